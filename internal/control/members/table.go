package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	// MissedBeats is the number of periods without a sign of life after which a member counts as lost.
	MissedBeats = 3

	minPeriod     = time.Second
	periodPerPeer = 40 * time.Millisecond
	forgetAfter   = 10 * time.Minute
	maxMembers    = 4096
	maxNameBytes  = 256 // of a host id, an address or a data centre
	remoteFanout  = 2   // members of each other data centre that this host exchanges heartbeats with
)

// Member is what one entry host last said of itself.
type Member struct {
	Host       table.HostID
	Address    string // ip:port of its peer API
	DataCentre table.DataCentre
	Generation table.Generation
	Ready      bool
	Stopping   bool
	Sequence   uint64
	HeardAt    time.Time // on the clock of this host
}

// Table holds the other members. The zero value is not usable; call New. It is not safe for
// concurrent use.
type Table struct {
	self  table.HostID
	home  table.DataCentre
	hosts map[table.HostID]Member
}

// New returns a Table of the other members, as seen by the host self in the data centre home.
func New(self table.HostID, home table.DataCentre) *Table {
	return &Table{self: self, home: home, hosts: map[table.HostID]Member{}}
}

// Note takes what a member said. An older sequence than the last one has no effect, nor has a
// member without a name or address of its own, or one beyond the number of members that fit.
func (t *Table) Note(m Member) {
	if m.Host == t.self || !named(string(m.Host)) || !named(m.Address) || !named(string(m.DataCentre)) {
		return
	}

	old, ok := t.hosts[m.Host]
	if ok && old.Sequence > m.Sequence || !ok && len(t.hosts) >= maxMembers {
		return
	}

	// A restarted process has a new id at its old address.
	for id, other := range t.hosts {
		if other.Address == m.Address && id != m.Host && other.HeardAt.Before(m.HeardAt) {
			delete(t.hosts, id)
		}
	}

	t.hosts[m.Host] = m
}

func named(name string) bool {
	return name != "" && len(name) <= maxNameBytes
}

// Period returns the time between two heartbeats to one member. It grows with the number of
// members, so that the bytes that a host spends on heartbeats stay bounded.
func (t *Table) Period() time.Duration {
	return max(minPeriod, time.Duration(len(t.hosts))*periodPerPeer)
}

// Alive reports whether m has been heard lately enough.
func (t *Table) Alive(m Member, now time.Time) bool {
	return now.Sub(m.HeardAt) < MissedBeats*t.Period()
}

// Live returns the live members ordered by host id.
func (t *Table) Live(now time.Time) []Member {
	var live []Member

	for _, m := range t.hosts {
		if t.Alive(m, now) {
			live = append(live, m)
		}
	}

	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })

	return live
}

// Known returns the member host, live or not.
func (t *Table) Known(host table.HostID) (Member, bool) {
	m, ok := t.hosts[host]

	return m, ok
}

// Forget drops members that have been silent for long.
func (t *Table) Forget(now time.Time) {
	for id, m := range t.hosts {
		if now.Sub(m.HeardAt) > forgetAfter {
			delete(t.hosts, id)
		}
	}
}

// Beat returns the members to exchange heartbeats with: all of the own data centre, a few of each
// other one. The few are chosen by rendezvous hashing, so that hosts spread over them.
func (t *Table) Beat(now time.Time) []Member {
	var chosen []Member

	remote := map[table.DataCentre][]Member{}

	for _, m := range t.Live(now) {
		if m.DataCentre == t.home {
			chosen = append(chosen, m)
		} else {
			remote[m.DataCentre] = append(remote[m.DataCentre], m)
		}
	}

	for _, members := range remote {
		slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(t.weight(a.Host), t.weight(b.Host)) })
		chosen = append(chosen, members[:min(remoteFanout, len(members))]...)
	}

	return chosen
}

func (t *Table) weight(host table.HostID) uint64 {
	return xxhash.Sum64String(string(t.self) + "\x00" + string(host))
}

// Mine reports whether the host self is among the n live hosts of the data centre home that look
// after the item named by key, by rendezvous hashing.
func (t *Table) Mine(now time.Time, key string, n int) bool {
	own := score(t.self, key)
	ahead := 0

	for _, m := range t.hosts {
		if m.DataCentre == t.home && t.Alive(m, now) && score(m.Host, key) > own {
			ahead++
		}
	}

	return ahead < n
}

func score(host table.HostID, key string) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + key)
}

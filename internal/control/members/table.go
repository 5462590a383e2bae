package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/rendezvous"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	// MissedBeats is the number of periods without a sign of life after which a member counts as lost.
	MissedBeats = 3

	minPeriod     = time.Second
	periodPerPeer = 50 * time.Millisecond
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
	// period is kept because each look at a member's age needs it.
	period time.Duration
	least  time.Duration
}

// New returns a Table of the other members, as seen by the host self in the data centre home.
func New(self table.HostID, home table.DataCentre) *Table {
	return NewPaced(self, home, 0)
}

// NewPaced returns a Table like New whose period is at least least, also with few members. Zero means 1 s.
func NewPaced(self table.HostID, home table.DataCentre, least time.Duration) *Table {
	least = cmp.Or(least, minPeriod)

	return &Table{self: self, home: home, hosts: map[table.HostID]Member{}, period: least, least: least}
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

	before := len(t.hosts)
	defer func() { t.pace(before) }()

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

// Period returns the time between two heartbeats to one member. It grows with the members that
// this host exchanges heartbeats with, so that the bytes that it spends on them stay bounded.
func (t *Table) Period() time.Duration {
	return t.period
}

// pace renews the period if the number of members is no longer what it was.
func (t *Table) pace(before int) {
	if len(t.hosts) == before {
		return
	}

	in := map[table.DataCentre]int{}
	for _, m := range t.hosts {
		in[m.DataCentre]++
	}

	partners := 0

	for dc, n := range in {
		if dc != t.home {
			n = min(n, remoteFanout)
		}

		partners += n
	}

	t.period = max(t.least, time.Duration(partners)*periodPerPeer)
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

// Count returns the number of live members.
func (t *Table) Count(now time.Time) int {
	n := 0

	for _, m := range t.hosts {
		if t.Alive(m, now) {
			n++
		}
	}

	return n
}

// Some returns up to n live members, others each time. It looks at few of the members, so that it
// can be part of each heartbeat.
func (t *Table) Some(now time.Time, n int) []Member {
	var some []Member

	for _, m := range t.hosts {
		if len(some) == n {
			break
		}

		if t.Alive(m, now) {
			some = append(some, m)
		}
	}

	return some
}

// Known returns the member host, live or not.
func (t *Table) Known(host table.HostID) (Member, bool) {
	m, ok := t.hosts[host]

	return m, ok
}

// At returns the member, live or not, that has the peer API at address.
func (t *Table) At(address string) (Member, bool) {
	for _, m := range t.hosts {
		if m.Address == address {
			return m, true
		}
	}

	return Member{}, false
}

// Forget drops members that have been silent for long.
func (t *Table) Forget(now time.Time) {
	before := len(t.hosts)
	defer func() { t.pace(before) }()

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

	remote := map[table.DataCentre][]weighted{}

	for _, m := range t.hosts {
		switch {
		case !t.Alive(m, now):
		case m.DataCentre == t.home:
			chosen = append(chosen, m)
		default:
			remote[m.DataCentre] = least(remote[m.DataCentre], weighted{m, t.weight(m.Host)})
		}
	}

	for _, few := range remote {
		for _, w := range few {
			chosen = append(chosen, w.Member)
		}
	}

	slices.SortFunc(chosen, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })

	return chosen
}

type weighted struct {
	Member

	weight uint64
}

// least adds w to few and keeps those of the least weights, in order.
func least(few []weighted, w weighted) []weighted {
	i, _ := slices.BinarySearchFunc(few, w, func(a, b weighted) int { return cmp.Compare(a.weight, b.weight) })
	few = slices.Insert(few, i, w)

	return few[:min(remoteFanout, len(few))]
}

func (t *Table) weight(host table.HostID) uint64 {
	return rendezvous.Score(string(t.self), string(host))
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
	return rendezvous.Score(string(host), key)
}

package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/rendezvous"
)

const (
	// MissedHeartbeats is the number of heartbeat periods without a report after which a member counts as lost.
	MissedHeartbeats = 3

	defaultMinPeriod = time.Second
	// viewAge is far below the time after which a member counts as lost.
	viewAge       = 50 * time.Millisecond
	periodPerPeer = 50 * time.Millisecond
	forgetAfter   = 10 * time.Minute
	maxMembers    = 4096
	maxNameBytes  = 256 // maximum length of a host id, an address or a data centre
	remoteFanout  = 2   // number of members of each other data centre with which this host exchanges heartbeats
)

// Member is what one entry host last reported about itself.
type Member struct {
	Host       entity.HostID
	Address    string // ip:port of its peer API
	DataCentre entity.DataCentre
	Generation entity.Generation
	Ready      bool
	Stopping   bool
	LocalHosts int       // number of live hosts in its data centre, itself included
	Processor  int       // processor time of the host, in thousandths of a core; zero if unknown
	Sequence   uint64    // number of the report; later reports of the host have higher ones
	ReceivedAt time.Time // when the report was received, on the clock of this host
}

// Table holds the other members. The zero value is not usable; call New. It is not safe for concurrent use.
type Table struct {
	self    entity.HostID
	home    entity.DataCentre
	members map[entity.HostID]Member
	// byAddress are the members that reported last from each address.
	byAddress map[string]entity.HostID
	// settled is when the last new member of the home data centre was added.
	settled time.Time
	// view is the last result of currentView; nil if it does not hold any more.
	view *view
	// period is the result of Period. It is cached, as each check of a member's age needs it.
	period    time.Duration
	minPeriod time.Duration // lower bound of period
}

// New returns an empty Table for the host self in the data centre home.
func New(self entity.HostID, home entity.DataCentre) *Table {
	return NewWithMinPeriod(self, home, 0)
}

// NewWithMinPeriod returns a Table like New whose period is at least minPeriod, also with few members. Zero means 1 s.
func NewWithMinPeriod(self entity.HostID, home entity.DataCentre, minPeriod time.Duration) *Table {
	minPeriod = cmp.Or(minPeriod, defaultMinPeriod)

	return &Table{self: self, home: home, members: map[entity.HostID]Member{}, byAddress: map[string]entity.HostID{}, period: minPeriod, minPeriod: minPeriod}
}

// Update records the report of a member. It ignores reports with an older sequence than the last one, the
// host's own reports, reports with an empty or overlong id, address or data centre, and new members in a full Table.
func (t *Table) Update(m Member) {
	if m.Host == t.self || !validName(string(m.Host)) || !validName(m.Address) || !validName(string(m.DataCentre)) {
		return
	}

	old, ok := t.members[m.Host]
	if ok && old.Sequence > m.Sequence || !ok && len(t.members) >= maxMembers {
		return
	}

	before := len(t.members)
	defer func() { t.updatePeriod(before) }()

	// A restarted process has a new id at its old address; the old id is dropped.
	if id, ok := t.byAddress[m.Address]; ok && id != m.Host && t.members[id].ReceivedAt.Before(m.ReceivedAt) {
		t.remove(id)
	}

	if old.Address != m.Address {
		t.forgetAddress(old)
	}

	if !ok && m.DataCentre == t.home {
		t.settled = m.ReceivedAt
	}

	if !ok || t.changesView(old, m) {
		t.view = nil
	}

	t.members[m.Host] = m
	t.byAddress[m.Address] = m.Host
}

// remove drops the member with the given id.
func (t *Table) remove(id entity.HostID) {
	t.forgetAddress(t.members[id])
	delete(t.members, id)
	t.view = nil
}

// forgetAddress drops the address of m from byAddress, unless another member has reported from it since.
func (t *Table) forgetAddress(m Member) {
	if t.byAddress[m.Address] == m.Host {
		delete(t.byAddress, m.Address)
	}
}

// validName reports whether name is present and not too long.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes
}

// Period returns the time between two heartbeats to one member. It grows with the number of heartbeat
// partners, which bounds the traffic of this host.
func (t *Table) Period() time.Duration {
	return t.period
}

// updatePeriod recomputes the period if the number of members has changed since it was memberCount.
func (t *Table) updatePeriod(memberCount int) {
	if len(t.members) == memberCount {
		return
	}

	perDataCentre := map[entity.DataCentre]int{}
	for _, m := range t.members {
		perDataCentre[m.DataCentre]++
	}

	partners := 0

	for dc, n := range perDataCentre {
		if dc != t.home {
			n = min(n, remoteFanout)
		}

		partners += n
	}

	t.period = max(t.minPeriod, time.Duration(partners)*periodPerPeer)
}

// Alive reports whether m was received less than MissedHeartbeats periods ago.
func (t *Table) Alive(m Member, now time.Time) bool {
	return now.Sub(m.ReceivedAt) < MissedHeartbeats*t.Period()
}

// view is what is derived from the members at one time, for all heartbeats of the next viewAge.
type view struct {
	at     time.Time
	live   []Member // ordered by host id
	counts map[entity.DataCentre]int
}

// currentView returns a view that is not older than viewAge. Its parts must not be modified.
func (t *Table) currentView(now time.Time) *view {
	if t.view != nil && !now.Before(t.view.at) && now.Sub(t.view.at) < viewAge {
		return t.view
	}

	v := &view{at: now, counts: map[entity.DataCentre]int{t.home: 1}}
	newest := map[entity.DataCentre]Member{}

	for _, m := range t.members {
		if t.Alive(m, now) {
			v.live = append(v.live, m)
			v.counts[m.DataCentre]++
		}

		if m.DataCentre != t.home && reportsLater(m, newest[m.DataCentre]) {
			newest[m.DataCentre] = m
		}
	}

	for dc, m := range newest {
		v.counts[dc] = max(v.counts[dc], min(m.LocalHosts, maxMembers))
	}

	slices.SortFunc(v.live, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	t.view = v

	return v
}

// reportsLater reports whether the number of hosts that a states replaces that of b. Of two that were received at the same time, the
// larger number counts, so that the order of members does not decide and limits are divided among enough hosts.
func reportsLater(a, b Member) bool {
	return cmp.Or(a.ReceivedAt.Compare(b.ReceivedAt), cmp.Compare(a.LocalHosts, b.LocalHosts)) > 0
}

// changesView reports whether a view that was made from old differs from one made from m, received at m.ReceivedAt, in more than
// the times and numbers of reports.
func (t *Table) changesView(old, m Member) bool {
	alive := t.Alive(old, m.ReceivedAt)
	old.Sequence, old.ReceivedAt = m.Sequence, m.ReceivedAt

	return !alive || old != m
}

// Live returns the live members ordered by host id.
func (t *Table) Live(now time.Time) []Member { return slices.Clone(t.currentView(now).live) }

// LiveCount returns the number of live members.
func (t *Table) LiveCount(now time.Time) int { return len(t.currentView(now).live) }

// HostCounts returns the number of entry hosts in each data centre. A host exchanges heartbeats with few hosts of another
// data centre, so their number there is the one that was last reported from it, until that report is forgotten. The number in
// the home data centre is that of its live hosts, this one included. The result must not be modified.
func (t *Table) HostCounts(now time.Time) map[entity.DataCentre]int { return t.currentView(now).counts }

// HomeHosts returns the number of live hosts in the home data centre, this one included.
func (t *Table) HomeHosts(now time.Time) int { return t.currentView(now).counts[t.home] }

// Get returns the member with the id host, live or not.
func (t *Table) Get(host entity.HostID) (Member, bool) {
	m, ok := t.members[host]

	return m, ok
}

// ByAddress returns the member, live or not, whose peer API is at address.
func (t *Table) ByAddress(address string) (Member, bool) {
	m, ok := t.members[t.byAddress[address]]

	return m, ok
}

// Forget drops members that have been silent for more than 10 minutes.
func (t *Table) Forget(now time.Time) {
	before := len(t.members)
	defer func() { t.updatePeriod(before) }()

	for id, m := range t.members {
		if now.Sub(m.ReceivedAt) > forgetAfter {
			t.remove(id)
		}
	}
}

// HeartbeatPartners returns the live members with which to exchange heartbeats: all of the home data centre and two
// of each other data centre. The two are chosen by rendezvous hashing, which spreads the hosts of the home data centre
// over all members of the other one.
func (t *Table) HeartbeatPartners(now time.Time) []Member {
	var partners []Member

	remote := map[entity.DataCentre][]weighted{}

	for _, m := range t.members {
		switch {
		case !t.Alive(m, now):
		case m.DataCentre == t.home:
			partners = append(partners, m)
		default:
			remote[m.DataCentre] = insertByWeight(remote[m.DataCentre], weighted{m, t.weight(m.Host)})
		}
	}

	for _, lightest := range remote {
		for _, w := range lightest {
			partners = append(partners, w.Member)
		}
	}

	slices.SortFunc(partners, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })

	return partners
}

// weighted is a member with its rendezvous weight for this host.
type weighted struct {
	Member

	weight uint64
}

// insertByWeight adds w to sorted, which is in order of weight, and keeps the first remoteFanout members.
func insertByWeight(sorted []weighted, w weighted) []weighted {
	i, _ := slices.BinarySearchFunc(sorted, w, func(a, b weighted) int { return cmp.Compare(a.weight, b.weight) })
	sorted = slices.Insert(sorted, i, w)

	return sorted[:min(remoteFanout, len(sorted))]
}

func (t *Table) weight(host entity.HostID) uint64 {
	return rendezvous.Score(string(t.self), string(host))
}

// Responsible reports whether this host is one of the n live hosts of its data centre that are responsible for
// key, by rendezvous hashing.
func (t *Table) Responsible(now time.Time, key string, n int) bool {
	return t.Rank(now, key) < n
}

// Rank returns the place of this host, from zero, in the order in which the live hosts of its data centre are responsible
// for key.
func (t *Table) Rank(now time.Time, key string) int {
	ownScore := score(t.self, key)
	ahead := 0

	for _, m := range t.members {
		if m.DataCentre == t.home && t.Alive(m, now) && score(m.Host, key) > ownScore {
			ahead++
		}
	}

	return ahead
}

func score(host entity.HostID, key string) uint64 {
	return rendezvous.Score(string(host), key)
}

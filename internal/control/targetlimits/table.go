// Package targetlimits holds what targets state about themselves in their answers: the rate of requests that they accept from
// all entry hosts, that they leave, and for how long they refuse all requests of this host. It says to which targets this host
// may send.
//
// A limit holds from the first answer that states it until one to a request that was sent later states none. Hosts tell each
// other what they have learned themselves. A few hosts, chosen by their order for the target, have an equal share of the
// limit each; the others send nothing to the target. Shares need no messages between hosts, and the sum stays within
// the limit whatever the number of hosts.
package targetlimits

import (
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// usedFraction is the fraction of a limit that the shares add up to. The rest covers hosts that disagree for a moment
	// about which hosts there are.
	usedFraction = 0.9
	// minRate is the lowest rate, in requests per second over all hosts, at which a target is tried. Only its answers
	// show that a limit has ended.
	minRate = 0.2

	// bucketSize is the number of requests that a host may send at once after a pause, or those of bucketTime if that is more.
	bucketSize = 1.0
	bucketTime = 100 * time.Millisecond
	// maxDebt bounds the requests beyond the share that are made up for. Calls may be sent without end to a target that this
	// host does not reach.
	maxDebt = 2.0
	// needOfUrgent and needPerRank are the fill of the bucket from which on a request may be sent: more urgent ones may be
	// sent sooner than others, and leave a debt.
	needOfUrgent = 0.5
	needPerRank  = 0.2
	// burstSeconds and minBurst bound the requests that all hosts together may send at once, by the number of hosts that
	// have a share: the requests of burstSeconds at the limit, plus minBurst.
	burstSeconds = 2.0
	minBurst     = 4.0

	// fleetMemory is how long hosts that are no longer heard keep their shares, as they may only be cut off.
	fleetMemory = 30 * time.Second
	// endedMemory is how long an ended limit is remembered, so that older statements of peers do not bring it back. Peers'
	// statements that are older are ignored.
	endedMemory = 30 * time.Second
	// maxLimits bounds the targets of which a host tells others, and of which it accepts statements from one of them.
	maxLimits = 64
	// maxPeers bounds the peers of which the last observation is known, the most recent ones. The id of a host changes with
	// each start.
	maxPeers = 1024
	// maxPerSecond bounds a limit; a higher one is no restriction.
	maxPerSecond = 1e6
)

// Statement is what an answer of a target states. The zero value states no limit.
type Statement struct {
	Limited   bool
	PerSecond float64 // requests per second that the target accepts from all hosts; not negative
}

// Observation is what a host has learned from an answer of a target.
type Observation struct {
	Target    entity.TargetID
	Statement Statement
	Age       time.Duration // time since the answer stated a limit, or since the request was sent to which it stated none
	Number    uint64        // higher for a later observation of the same host
}

// Change is a limit that began, changed or ended.
type Change struct {
	Target    entity.TargetID
	Statement Statement
	Source    entity.HostID // host that learned it; empty for this one
	Age       time.Duration // as Observation.Age
	Holders   int           // number of hosts that have a share
	Share     float64       // requests per second that this host may send
}

// Options configure a Table. The zero value is that of a host on its own.
type Options struct {
	// Turn returns the place of this host, from zero, in the order of all hosts for key, and their number. Nil means that
	// there are no other hosts.
	Turn func(key string) (place, hosts int)
	// OnChange is called when a limit began, changed or ended, without a lock held; nil means no call.
	OnChange func(Change)
}

// Table holds the limits of targets. It is safe for concurrent use. A nil Table limits nothing. Make it with New.
type Table struct {
	opts Options

	limited atomic.Int64 // number of targets that have a limit
	shuns   atomic.Int64 // length of shunned

	mu       sync.Mutex
	limits   map[entity.TargetID]*limit
	own      map[entity.TargetID]observation   // what this host has learned itself
	number   uint64                            // of the last observation
	received *lru.Cache[entity.HostID, uint64] // number of the last observation of each peer
	hosts    int                               // number of hosts that may have a share
	hostsAt  time.Time                         // when there were so many
	heldBack int64
	shunned  map[entity.TargetID]shun // targets that leave or refuse requests
}

// limit is the present limit of a target, or the last one if it has ended.
type limit struct {
	Statement

	at      time.Time // when the newest statement was made
	since   time.Time // when this host began to apply the limit
	tokens  float64   // requests that may be sent; negative after urgent ones and those that cannot be held back
	filled  time.Time // when tokens was computed
	share   float64   // tokens per second
	holders int
}

type observation struct {
	Statement

	at     time.Time
	number uint64
}

// New returns a Table without limits.
func New(opts Options) *Table {
	if opts.Turn == nil {
		opts.Turn = func(string) (int, int) { return 0, 1 }
	}

	if opts.OnChange == nil {
		opts.OnChange = func(Change) {}
	}

	received, err := lru.New[entity.HostID, uint64](maxPeers)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &Table{opts: opts, limits: map[entity.TargetID]*limit{}, own: map[entity.TargetID]observation{}, received: received, shunned: map[entity.TargetID]shun{}}
}

// Record records what an answer of target states. sentAt is when the request was sent to which now the answer has begun.
func (t *Table) Record(now, sentAt time.Time, target entity.TargetID, s Statement) {
	if t == nil || !s.Limited && t.limited.Load() == 0 {
		return
	}

	at := sentAt
	if s.Limited {
		at = now
	}

	t.mu.Lock()

	known := t.limits[target]
	if known == nil && !s.Limited || known != nil && !at.After(known.at) {
		t.mu.Unlock()

		return
	}

	t.number++
	t.own[target] = observation{Statement: s, at: at, number: t.number}
	change, changed := t.apply(now, at, target, s)
	t.mu.Unlock()

	if changed {
		t.opts.OnChange(change)
	}
}

// apply makes s the newest statement of target, unless a newer one is known. The caller holds mu.
func (t *Table) apply(now, at time.Time, target entity.TargetID, s Statement) (Change, bool) {
	l := t.limits[target]
	if l == nil && !s.Limited || l != nil && !at.After(l.at) {
		return Change{}, false
	}

	if l == nil {
		l = &limit{}
		t.limits[target] = l
	}

	s.PerSecond = min(s.PerSecond, maxPerSecond)
	changed := l.Statement != s

	if s.Limited && !l.Limited {
		l.since, l.tokens, l.filled = now, 0, now // a full bucket at each host would be a burst
	}

	l.refill(now)
	l.Statement, l.at = s, at
	t.setShare(now, target, l)
	t.count()

	return Change{Target: target, Statement: s, Age: now.Sub(at), Holders: l.holders, Share: l.share}, changed
}

// count sets the number of targets that have a limit. The caller holds mu.
func (t *Table) count() {
	var n int64

	for _, l := range t.limits {
		if l.Limited {
			n++
		}
	}

	t.limited.Store(n)
}

// setShare sets this host's share of l. The caller holds mu.
func (t *Table) setShare(now time.Time, target entity.TargetID, l *limit) {
	place, hosts := t.opts.Turn(string(target))
	hosts = max(hosts, 1)

	if hosts >= t.hosts || now.Sub(t.hostsAt) > fleetMemory {
		t.hosts, t.hostsAt = hosts, now
	}

	l.holders = min(t.hosts, max(int((minBurst+burstSeconds*l.PerSecond)/(bucketSize+needOfUrgent)), 1))
	l.share = 0

	if place < l.holders {
		l.share = max(usedFraction*l.PerSecond, minRate) / float64(l.holders)
	}
}

// refill adds the tokens that have become due. The caller holds the lock of the table.
func (l *limit) refill(now time.Time) {
	l.tokens = min(l.tokens+l.share*max(now.Sub(l.filled).Seconds(), 0), l.bucket())
	l.filled = now
}

// bucket returns the most tokens that l may hold.
func (l *limit) bucket() float64 { return max(bucketSize, l.share*bucketTime.Seconds()) }

// need returns the tokens from which on a request of the given rank may be sent. The lowest rank is the most urgent.
func need(rank int) float64 {
	return min(needOfUrgent+needPerRank*float64(max(rank, 0)), bucketSize)
}

// limitOf returns the limit of target, or nil if it has none. The caller holds mu.
func (t *Table) limitOf(now time.Time, target entity.TargetID) *limit {
	l := t.limits[target]
	if l == nil || !l.Limited {
		return nil
	}

	l.refill(now)

	return l
}

// Admits reports whether this host may send a request of the given rank to target now.
func (t *Table) Admits(now time.Time, target entity.TargetID, rank int) bool {
	return t.Wait(now, target, rank) == 0
}

// Any reports whether there is a target to which this host may not send at all times.
func (t *Table) Any() bool { return t != nil && (t.limited.Load() > 0 || t.shuns.Load() > 0) }

// Limits reports whether target has a limit, leaves or refuses requests.
func (t *Table) Limits(now time.Time, target entity.TargetID) bool {
	if !t.Any() {
		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	return t.limitOf(now, target) != nil || t.shunnedFor(now, target) != 0
}

// Wait returns the time until this host may send a request of the given rank to target: zero if it may now, and a negative
// time if it has no share or the target leaves.
func (t *Table) Wait(now time.Time, target entity.TargetID, rank int) time.Duration {
	if !t.Any() {
		return 0
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	refused := t.shunnedFor(now, target)

	l := t.limitOf(now, target)
	if refused < 0 || l == nil || l.tokens >= need(rank) {
		return refused
	}

	if l.share == 0 {
		return -1
	}

	return max(refused, time.Duration((need(rank)-l.tokens)/l.share*float64(time.Second))+1) // rounded up
}

// Take reports whether this host may send a request of the given rank to target now, and if so counts it.
func (t *Table) Take(now time.Time, target entity.TargetID, rank int) bool {
	if !t.Any() {
		return true
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	l := t.limitOf(now, target)

	switch {
	case t.shunnedFor(now, target) != 0:
		t.heldBack++

		return false
	case l == nil:
		return true
	case l.tokens < need(rank):
		t.heldBack++

		return false
	}

	l.tokens--

	return true
}

// Return takes back a request that was counted at takenAt and is not sent.
func (t *Table) Return(now, takenAt time.Time, target entity.TargetID) {
	if !t.Any() {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if l := t.limitOf(now, target); l != nil && takenAt.After(l.since) {
		l.tokens = min(l.tokens+1, l.bucket())
	}
}

// Charge counts a request to target that is sent in any case, so that others are held back for longer.
func (t *Table) Charge(now time.Time, target entity.TargetID) {
	if !t.Any() {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if l := t.limitOf(now, target); l != nil {
		l.tokens = max(l.tokens-1, -maxDebt)
	}
}

// Observations returns what this host has learned itself of limits that hold or have ended lately, for other hosts.
func (t *Table) Observations(now time.Time) []Observation {
	if t == nil {
		return nil
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	list := make([]Observation, 0, min(len(t.own), maxLimits))

	for target, o := range t.own {
		if len(list) == maxLimits {
			break
		}

		list = append(list, Observation{Target: target, Statement: o.Statement, Age: now.Sub(o.at), Number: o.number})
	}

	return list
}

// Merge adds what the host from has learned itself.
func (t *Table) Merge(now time.Time, from entity.HostID, observations []Observation) {
	if t == nil || len(observations) == 0 {
		return
	}

	var changes []Change

	t.mu.Lock()

	received, _ := t.received.Get(from)
	newest := received

	for _, o := range observations[:min(len(observations), maxLimits)] {
		// An observation that is told again would seem newer by the time that the message took.
		if o.Number <= received || o.Age < 0 || o.Age > endedMemory || !(o.Statement.PerSecond >= 0) {
			continue
		}

		newest = max(newest, o.Number)

		change, changed := t.apply(now, now.Add(-o.Age), o.Target, o.Statement)
		if !changed {
			continue
		}

		delete(t.own, o.Target)

		change.Source = from
		changes = append(changes, change)
	}

	t.received.Add(from, newest)

	t.mu.Unlock()

	for _, c := range changes {
		t.opts.OnChange(c)
	}
}

// Tick adapts the shares to the number of hosts. It forgets statements that ended a while ago and targets for which keep returns
// false.
func (t *Table) Tick(now time.Time, keep func(entity.TargetID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for target, l := range t.limits {
		if !keep(target) || !l.Limited && now.Sub(l.at) > endedMemory {
			delete(t.limits, target)
			delete(t.own, target)

			continue
		}

		l.refill(now)
		t.setShare(now, target, l)
	}

	t.tickShunned(now, keep)
	t.count()
}

// Stats are figures of a Table.
type Stats struct {
	Limited  int64 // targets with a limit
	Shunned  int64 // targets that leave or refuse requests, as they state
	HeldBack int64 // sends that were held back so far, though a target had been chosen
}

// Stats returns the present figures.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()

	return Stats{Limited: t.limited.Load(), Shunned: t.shuns.Load(), HeldBack: t.heldBack}
}

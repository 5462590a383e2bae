// Package placing chooses the targets of a request by the work that all entry hosts have under way.
//
// A Board adds the work of this host to the work that its peers last reported, tracks which model replica
// has prefilled which prompt prefix, and estimates the prefill speed of each replica. Its choices take account
// of uneven load, shared prompt prefixes, and targets that fail or slow down.
package placing

import (
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// rankCount is the number of distinct ranks; higher (less urgent) ranks count as the last one.
	rankCount = 4
	// peerTimeout is the minimum age at which a peer's report of its work is dropped: several heartbeat intervals
	// of a small fleet.
	peerTimeout = 3 * time.Second
)

// TargetWork is the work under way on one target.
type TargetWork struct {
	Target         entity.TargetID
	PendingPrefill [rankCount]entity.Tokens // prompt tokens not prefilled yet, by rank
	Running        int                      // requests being answered
	KVTokens       entity.Tokens            // KV cache of those requests
}

func (u *TargetWork) empty() bool {
	return *u == TargetWork{Target: u.Target}
}

func (u *TargetWork) add(v *TargetWork) {
	for i := range u.PendingPrefill {
		u.PendingPrefill[i] += v.PendingPrefill[i]
	}

	u.Running += v.Running
	u.KVTokens += v.KVTokens
}

func (u *TargetWork) subtract(v *TargetWork) {
	for i := range u.PendingPrefill {
		u.PendingPrefill[i] -= v.PendingPrefill[i]
	}

	u.Running -= v.Running
	u.KVTokens -= v.KVTokens
}

// Board tracks the work on all targets and places new work. It is safe for concurrent use. Make it with New.
type Board struct {
	mu              sync.Mutex
	own             map[entity.TargetID]*TargetWork
	peers           map[entity.HostID]peerWork
	totals          map[entity.TargetID]*TargetWork // own plus peers, kept since each choice looks at all targets
	queues          map[entity.TargetID][]*queued
	records         map[entity.TargetID]*record
	centres         map[entity.DataCentre]*reachability
	demand          map[entity.ServiceName]*decayingSum
	cache           *cache
	prefillRate     float64 // mean prompt tokens per second of a replica under its present load
	idlePrefillRate float64 // the same, for replicas that process a single prompt
}

// peerWork is what one peer last reported.
type peerWork struct {
	at   time.Time // of the last report
	uses []TargetWork

	demands map[entity.ServiceName]float64 // prompt tokens per second
}

// New returns a Board without any work.
func New() *Board {
	return &Board{
		own:             map[entity.TargetID]*TargetWork{},
		peers:           map[entity.HostID]peerWork{},
		totals:          map[entity.TargetID]*TargetWork{},
		queues:          map[entity.TargetID][]*queued{},
		records:         map[entity.TargetID]*record{},
		centres:         map[entity.DataCentre]*reachability{},
		demand:          map[entity.ServiceName]*decayingSum{},
		cache:           newCache(),
		prefillRate:     initialPrefillRate,
		idlePrefillRate: initialPrefillRate,
	}
}

// Export returns the work of this host by target, without idle targets.
func (b *Board) Export() []TargetWork {
	b.mu.Lock()
	defer b.mu.Unlock()

	var uses []TargetWork

	for id, u := range b.own {
		if u.empty() {
			delete(b.own, id)

			continue
		}

		uses = append(uses, *u)
	}

	return uses
}

// Merge replaces the work last reported by the host from with uses. The Board retains uses.
func (b *Board) Merge(now time.Time, from entity.HostID, uses []TargetWork) {
	b.mu.Lock()
	defer b.mu.Unlock()

	old := b.peers[from]
	b.peers[from] = peerWork{at: now, uses: uses, demands: old.demands}

	b.subtract(old.uses)

	for i := range uses {
		entry(b.totals, uses[i].Target).add(&uses[i])
	}
}

// subtract removes uses from the totals. The caller holds mu.
func (b *Board) subtract(uses []TargetWork) {
	for i := range uses {
		sum := entry(b.totals, uses[i].Target)
		sum.subtract(&uses[i])

		if sum.empty() {
			delete(b.totals, uses[i].Target)
		}
	}
}

// Tick drops peers that have not reported for longer than life or 3 s, whichever is greater, and the records of
// targets for which keep returns false.
func (b *Board) Tick(now time.Time, life time.Duration, keep func(entity.TargetID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	for id, p := range b.peers {
		if now.Sub(p.at) > max(life, peerTimeout) {
			b.subtract(p.uses)
			delete(b.peers, id)
		}
	}

	for id := range b.records {
		if !keep(id) {
			delete(b.records, id)
		}
	}
}

// total returns the known work of all hosts on id. The caller holds mu.
func (b *Board) total(id entity.TargetID) TargetWork {
	if sum, ok := b.totals[id]; ok {
		return *sum
	}

	return TargetWork{Target: id}
}

// entry returns the element of uses for id and creates it if there is none.
func entry(uses map[entity.TargetID]*TargetWork, id entity.TargetID) *TargetWork {
	u, ok := uses[id]
	if !ok {
		u = &TargetWork{Target: id}
		uses[id] = u
	}

	return u
}

// rankIndex limits rank to the distinct ranks, from 0 to rankCount-1.
func rankIndex(rank int) int {
	return min(max(rank, 0), rankCount-1)
}

// Claim is work that was added to a target. The zero value holds no work.
type Claim struct {
	board  *Board
	use    TargetWork
	queued *queued // nil for work other than prompts
}

// Release removes the work from its target. Further calls have no effect.
func (c *Claim) Release() {
	if c.board == nil {
		return
	}

	c.board.mu.Lock()
	defer c.board.mu.Unlock()

	entry(c.board.own, c.use.Target).subtract(&c.use)
	c.board.subtract([]TargetWork{c.use})
	c.board.dequeue(c.use.Target, c.queued)
	c.board = nil
}

// claim adds use to its target. The caller holds mu.
func (b *Board) claim(use TargetWork) Claim {
	entry(b.own, use.Target).add(&use)
	entry(b.totals, use.Target).add(&use)

	return Claim{board: b, use: use}
}

// record returns the record of id and creates it if there is none. The caller holds mu.
func (b *Board) record(id entity.TargetID) *record {
	r, ok := b.records[id]
	if !ok {
		r = &record{}
		b.records[id] = r
	}

	return r
}

// Busy returns the number of requests being answered on target plus its prompt tokens waiting for prefill.
func (b *Board) Busy(target entity.TargetID) int {
	b.mu.Lock()
	defer b.mu.Unlock()

	u := b.total(target)
	busy := u.Running

	for _, n := range u.PendingPrefill {
		busy += int(n)
	}

	return busy
}

// IdlePrefillRate returns the estimated prefill rate of an otherwise idle replica, in prompt tokens per second.
func (b *Board) IdlePrefillRate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.idlePrefillRate
}

// DecodeLoad is the decode work on a group of model replicas.
type DecodeLoad struct {
	Running  int           // requests being answered
	KVTokens entity.Tokens // KV cache of those requests
}

// DecodeLoad returns the total decode work on ids.
func (b *Board) DecodeLoad(ids []entity.TargetID) DecodeLoad {
	b.mu.Lock()
	defer b.mu.Unlock()

	var l DecodeLoad

	for _, id := range ids {
		u := b.total(id)
		l.Running += u.Running
		l.KVTokens += u.KVTokens
	}

	return l
}

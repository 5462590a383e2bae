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
	"github.com/dotterelflow/dotterelflow/internal/control/speeds"
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
	KVTokens       entity.Tokens            // tokens in the KV cache of those requests
}

func (w *TargetWork) empty() bool {
	return *w == TargetWork{Target: w.Target}
}

func (w *TargetWork) add(other *TargetWork) {
	for i := range w.PendingPrefill {
		w.PendingPrefill[i] += other.PendingPrefill[i]
	}

	w.Running += other.Running
	w.KVTokens += other.KVTokens
}

func (w *TargetWork) subtract(other *TargetWork) {
	for i := range w.PendingPrefill {
		w.PendingPrefill[i] -= other.PendingPrefill[i]
	}

	w.Running -= other.Running
	w.KVTokens -= other.KVTokens
}

// Board tracks the work on all targets and places new work. It is safe for concurrent use. Make it with New.
type Board struct {
	mu              sync.Mutex
	own             map[entity.TargetID]*TargetWork
	peers           map[entity.HostID]peerWork
	totals          map[entity.TargetID]*TargetWork // own plus peers, kept since each choice looks at all targets
	queues          map[entity.TargetID][]*queued   // prompts that this host has placed, oldest first
	parts           map[Prefix][]entity.TargetID    // targets of the queued prompts that bring a large shared part, oldest first
	records         map[entity.TargetID]*record
	centres         map[entity.DataCentre]*reachability
	demand          map[entity.ServiceName]*decayingSum // uncached prompt tokens that arrive at this host
	cache           *cache
	prefillRate     float64 // mean prompt tokens per second of a replica under its present load
	idlePrefillRate float64 // the same, for replicas that process a single prompt
	hosts           int     // hosts of the fleet; zero if unknown
	speeds          *speeds.Table
	paces           map[entity.ServiceName]paceView // what speeds knows of the decode replicas of each service
}

// peerWork is what one peer last reported.
type peerWork struct {
	at   time.Time // time of the last report
	work []TargetWork

	demands map[entity.ServiceName]float64 // uncached prompt tokens per second that arrive at the peer
}

// New returns a Board without any work.
func New() *Board {
	return &Board{
		own:             map[entity.TargetID]*TargetWork{},
		peers:           map[entity.HostID]peerWork{},
		totals:          map[entity.TargetID]*TargetWork{},
		queues:          map[entity.TargetID][]*queued{},
		parts:           map[Prefix][]entity.TargetID{},
		records:         map[entity.TargetID]*record{},
		centres:         map[entity.DataCentre]*reachability{},
		demand:          map[entity.ServiceName]*decayingSum{},
		cache:           newCache(),
		prefillRate:     initialPrefillRate,
		idlePrefillRate: initialPrefillRate,
		speeds:          speeds.New(),
		paces:           map[entity.ServiceName]paceView{},
	}
}

// Export returns the work of this host by target, without idle targets.
func (b *Board) Export() []TargetWork {
	b.mu.Lock()
	defer b.mu.Unlock()

	var work []TargetWork

	for id, w := range b.own {
		if w.empty() {
			delete(b.own, id)

			continue
		}

		work = append(work, *w)
	}

	return work
}

// Merge replaces the work last reported by the host from. The Board retains the slice work.
func (b *Board) Merge(now time.Time, from entity.HostID, work []TargetWork) {
	b.mu.Lock()
	defer b.mu.Unlock()

	old := b.peers[from]
	b.peers[from] = peerWork{at: now, work: work, demands: old.demands}

	b.subtract(old.work)

	for i := range work {
		entry(b.totals, work[i].Target).add(&work[i])
	}
}

// subtract removes work from the totals. The caller holds mu.
func (b *Board) subtract(work []TargetWork) {
	for i := range work {
		sum := entry(b.totals, work[i].Target)
		sum.subtract(&work[i])

		if sum.empty() {
			delete(b.totals, work[i].Target)
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
			b.subtract(p.work)
			delete(b.peers, id)
		}
	}

	for id := range b.records {
		if !keep(id) {
			delete(b.records, id)
		}
	}

	for service, v := range b.paces {
		if now.Sub(v.at) > peerTimeout {
			delete(b.paces, service)
		}
	}

	b.speeds.Tick(now, keep)
}

// total returns the known work of all hosts on id. The caller holds mu.
func (b *Board) total(id entity.TargetID) TargetWork {
	if sum, ok := b.totals[id]; ok {
		return *sum
	}

	return TargetWork{Target: id}
}

// entry returns the element of byTarget for id and creates it if there is none.
func entry(byTarget map[entity.TargetID]*TargetWork, id entity.TargetID) *TargetWork {
	w, ok := byTarget[id]
	if !ok {
		w = &TargetWork{Target: id}
		byTarget[id] = w
	}

	return w
}

// rankIndex limits rank to the distinct ranks, from 0 to rankCount-1.
func rankIndex(rank int) int {
	return min(max(rank, 0), rankCount-1)
}

// Claim is work that was added to a target. The zero value holds no work.
type Claim struct {
	board  *Board
	work   TargetWork
	queued *queued // nil for work other than prompts
}

// Release removes the work from its target. Further calls have no effect.
func (c *Claim) Release() {
	if c.board == nil {
		return
	}

	c.board.mu.Lock()
	defer c.board.mu.Unlock()

	entry(c.board.own, c.work.Target).subtract(&c.work)
	c.board.subtract([]TargetWork{c.work})
	c.board.dequeue(c.work.Target, c.queued)
	c.board = nil
}

// claim adds work to its target. The caller holds mu.
func (b *Board) claim(work TargetWork) Claim {
	entry(b.own, work.Target).add(&work)
	entry(b.totals, work.Target).add(&work)

	return Claim{board: b, work: work}
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

	w := b.total(target)
	busy := w.Running

	for _, n := range w.PendingPrefill {
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
	KVTokens entity.Tokens // tokens in the KV cache of those requests
}

// DecodeLoad returns the total decode work on ids.
func (b *Board) DecodeLoad(ids []entity.TargetID) DecodeLoad {
	b.mu.Lock()
	defer b.mu.Unlock()

	var l DecodeLoad

	for _, id := range ids {
		w := b.total(id)
		l.Running += w.Running
		l.KVTokens += w.KVTokens
	}

	return l
}

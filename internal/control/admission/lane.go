package admission

import (
	"container/heap"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// item is one accepted work.
type item struct {
	work        Work
	need        amounts
	cost        float64 // seconds of the whole capacity, by the dominant resource
	latestStart time.Time
	seq         uint64
	started     time.Time // zero while queued
	flow        *flow
	pos         [orderCount]int
}

// order indexes the heaps that an item is in.
type order int

const (
	byTurn order = iota
	byLatestStart
	orderCount
)

// itemHeap is a heap of items that knows their positions, for container/heap.
type itemHeap struct {
	items []*item
	order order
	less  func(a, b *item) bool
}

func (h *itemHeap) Len() int           { return len(h.items) }
func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].pos[h.order] = i
	h.items[j].pos[h.order] = j
}

func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.pos[h.order] = len(h.items)
	h.items = append(h.items, it)
}

func (h *itemHeap) Pop() any {
	n := len(h.items) - 1
	it := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]

	return it
}

func arrivedEarlier(a, b *item) bool { return a.seq < b.seq }

func startsEarlier(a, b *item) bool {
	if a.latestStart.Equal(b.latestStart) {
		return a.seq < b.seq
	}

	return a.latestStart.Before(b.latestStart)
}

// flow is the queue of one account in a lane.
type flow struct {
	account table.AccountID
	weight  float64
	tag     float64 // virtual start time of the next work
	cost    float64 // of the queued work
	items   itemHeap
	pos     int // in the lane's ready heap
}

// flowHeap orders flows that have work by their tag.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].tag == h[j].tag {
		return h[i].items.items[0].seq < h[j].items.items[0].seq
	}

	return h[i].tag < h[j].tag
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos = i
	h[j].pos = j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.pos = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	n := len(*h) - 1
	f := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]

	return f
}

// lane queues the work of one urgency, fair between accounts by start-time fair queueing.
type lane struct {
	urgency  table.Urgency
	flows    map[table.AccountID]*flow
	ready    flowHeap
	due      itemHeap // all queued work by latest start
	virtual  float64  // start tag of the work last taken
	cost     float64  // of all queued work
	weight   float64  // of the flows that have work
	running  int
	meter    meter
	rate     flowRate // seconds of the whole capacity started a second
	held     average  // seconds from start to end
	run      average  // the same of work with output tokens
	tokens   average  // output tokens of it
	perToken average  // seconds from start to end for each output token
	known    known    // what the estimates of the queued work rest on
}

// known holds the averages that estimates were made with.
type known struct {
	held, perToken average
}

// stale reports whether the averages have moved so far that estimates need to be made anew.
func (l *lane) stale() bool {
	return l.held.differs(l.known.held) || l.perToken.differs(l.known.perToken)
}

// learn notes work that ran for some seconds and gave some output tokens. The time per token is the
// ratio of the means: the mean of the ratios is ruled by short answers, whose time is mostly prefill.
func (l *lane) learn(seconds, tokens float64) {
	l.run.sample(seconds)
	l.tokens.sample(tokens)
	l.perToken = average{value: l.run.value / l.tokens.value, set: true}
}

func newLane(u table.Urgency) *lane {
	return &lane{
		urgency: u,
		flows:   make(map[table.AccountID]*flow),
		due:     itemHeap{order: byLatestStart, less: startsEarlier},
	}
}

func (l *lane) len() int { return len(l.due.items) }

func (l *lane) flow(id table.AccountID, weight float64) *flow {
	f, ok := l.flows[id]
	if ok {
		if f.items.Len() == 0 {
			f.weight = weight
		}

		return f
	}

	less := arrivedEarlier
	if l.urgency == table.Patient {
		less = startsEarlier
	}

	f = &flow{account: id, weight: weight, items: itemHeap{order: byTurn, less: less}}
	l.flows[id] = f

	return f
}

func (l *lane) push(it *item) {
	f := it.flow
	heap.Push(&f.items, it)
	heap.Push(&l.due, it)

	f.cost += it.cost
	l.cost += it.cost

	if f.items.Len() > 1 {
		heap.Fix(&l.ready, f.pos)

		return
	}

	f.tag = max(f.tag, l.virtual)
	l.weight += f.weight
	heap.Push(&l.ready, f)
}

// remove takes a queued item out without charging its account.
func (l *lane) remove(it *item) {
	f := it.flow
	heap.Remove(&f.items, it.pos[byTurn])
	heap.Remove(&l.due, it.pos[byLatestStart])

	f.cost -= it.cost
	l.cost -= it.cost

	if f.items.Len() > 0 {
		heap.Fix(&l.ready, f.pos)

		return
	}

	f.cost = 0
	l.weight -= f.weight
	heap.Remove(&l.ready, f.pos)

	if len(l.ready) == 0 {
		l.cost, l.weight = 0, 0
	}
}

// take removes it to be run and charges its account's share.
func (l *lane) take(it *item) {
	f := it.flow
	l.virtual = max(l.virtual, f.tag)
	f.tag += it.cost / f.weight
	l.running++
	l.remove(it)
}

// reorder restores the order of all queues after latest starts have changed.
func (l *lane) reorder() {
	heap.Init(&l.due)

	for _, f := range l.ready {
		heap.Init(&f.items)
	}

	heap.Init(&l.ready)
}

// next returns the work whose turn it is, or nil.
func (l *lane) next() *item {
	if len(l.ready) == 0 {
		return nil
	}

	return l.ready[0].items.items[0]
}

// sweep forgets accounts without work whose past use no longer counts.
func (l *lane) sweep() {
	for id, f := range l.flows {
		if f.items.Len() == 0 && (f.tag <= l.virtual || len(l.ready) == 0) {
			delete(l.flows, id)
		}
	}
}

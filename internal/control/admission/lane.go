package admission

import (
	"container/heap"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// item is one unit of accepted work.
type item struct {
	work        Work
	need        amounts
	cost        float64 // seconds of the whole capacity, by the dominant resource; see Controller.cost
	latestStart time.Time
	seq         uint64    // number in the order of arrival
	started     time.Time // start of the run; zero while queued
	flow        *flow
	pos         [orderCount]int // position in each heap
}

// order indexes the heaps that an item is in.
type order int

const (
	byTurn order = iota
	byLatestStart
	orderCount
)

// itemHeap is a heap for container/heap that records in each item its position.
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
	account  entity.AccountID
	weight   float64
	startTag float64 // virtual start time of the next work
	cost     float64 // sum of the costs of the queued work
	items    itemHeap
	pos      int // position in the lane's ready heap
}

// flowHeap is a heap of the flows that have work, by their start tag.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag == h[j].startTag {
		return h[i].items.items[0].seq < h[j].items.items[0].seq
	}

	return h[i].startTag < h[j].startTag
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

// lane queues the work of one urgency and orders its accounts by start-time fair queueing.
type lane struct {
	urgency         entity.Urgency
	flows           map[entity.AccountID]*flow
	ready           flowHeap
	due             itemHeap // all queued work by latest start
	virtualTime     float64  // start tag of the work started last
	cost            float64  // sum of the costs of all queued work
	weight          float64  // sum of the weights of the flows that have work
	running         int
	meter           meter         // tokens of the lane's started work
	startRate       decayedRate   // cost of the work started per second: the part of the whole capacity in use
	runSeconds      average       // mean seconds from start to end of all work
	answerSeconds   average       // mean seconds from start to end of work with output tokens
	answerTokens    average       // mean output tokens of such work
	secondsPerToken average       // ratio of answerSeconds to answerTokens
	basis           estimateBasis // averages from which the estimates of the queued work were made
}

// estimateBasis holds the averages from which estimates were made.
type estimateBasis struct {
	runSeconds, secondsPerToken average
}

// stale reports whether the averages have changed so much that the estimates must be recomputed.
func (l *lane) stale() bool {
	return l.runSeconds.differs(l.basis.runSeconds) || l.secondsPerToken.differs(l.basis.secondsPerToken)
}

// sampleAnswer updates the time per output token with work that ran for seconds and returned tokens. The time per
// token is the ratio of the means, as short answers, whose time is mostly prefill, would dominate a mean of ratios.
func (l *lane) sampleAnswer(seconds, tokens float64) {
	l.answerSeconds.sample(seconds)
	l.answerTokens.sample(tokens)
	l.secondsPerToken = average{value: l.answerSeconds.value / l.answerTokens.value, set: true}
}

func newLane(u entity.Urgency) *lane {
	return &lane{
		urgency: u,
		flows:   make(map[entity.AccountID]*flow),
		due:     itemHeap{order: byLatestStart, less: startsEarlier},
	}
}

func (l *lane) len() int { return len(l.due.items) }

func (l *lane) flow(id entity.AccountID, weight float64) *flow {
	f, ok := l.flows[id]
	if ok {
		if f.items.Len() == 0 {
			f.weight = weight
		}

		return f
	}

	less := arrivedEarlier
	if l.urgency == entity.Patient {
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

	f.startTag = max(f.startTag, l.virtualTime)
	l.weight += f.weight
	heap.Push(&l.ready, f)
}

// remove removes a queued item without charging its flow.
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

// take removes a queued item that starts to run, and charges its cost to its flow.
func (l *lane) take(it *item) {
	f := it.flow
	l.virtualTime = max(l.virtualTime, f.startTag)
	f.startTag += it.cost / f.weight
	l.running++
	l.remove(it)
}

// reorder restores the order of all heaps after latest starts have changed.
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

// sweep removes the flows without work whose past use no longer affects the order.
func (l *lane) sweep() {
	for id, f := range l.flows {
		if f.items.Len() == 0 && (f.startTag <= l.virtualTime || len(l.ready) == 0) {
			delete(l.flows, id)
		}
	}
}

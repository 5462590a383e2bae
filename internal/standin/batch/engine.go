package batch

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Options describe one engine. A zero field takes its default.
type Options struct {
	Target       table.TargetID
	Role         table.Role
	PrefillRate  table.Tokens  // prompt tokens per second; 8,000 by default
	DecodeRate   table.Tokens  // output tokens per second of the whole batch; 800 by default
	StreamRate   table.Tokens  // output tokens per second of one stream; 60 by default
	Slots        int           // streams that run at a time; 32 by default
	PrefillShare float64       // share of time for prefill on a busy mixed engine; 0.5 by default
	MixedLoss    float64       // speed lost on a busy mixed engine; 0.25 by default
	CacheTokens  table.Tokens  // size of the prefix cache; 200,000 by default
	ChangeTime   time.Duration // time a role change takes once the engine is empty; 8 s by default
	ReportEvery  time.Duration // 500 ms by default
	ReportLag    time.Duration // 700 ms by default
	CacheLag     time.Duration // 2 s by default
	CacheGap     float64       // share of cache events that are lost
	Seed         int64         // chooses the lost cache events
}

func (o Options) withDefaults() Options {
	o.PrefillRate = cmp.Or(o.PrefillRate, 8000)
	o.DecodeRate = cmp.Or(o.DecodeRate, 800)
	o.StreamRate = cmp.Or(o.StreamRate, 60)
	o.Slots = cmp.Or(o.Slots, 32)
	o.PrefillShare = cmp.Or(o.PrefillShare, 0.5)
	o.MixedLoss = cmp.Or(o.MixedLoss, 0.25)
	o.CacheTokens = cmp.Or(o.CacheTokens, 200_000)
	o.ChangeTime = cmp.Or(o.ChangeTime, 8*time.Second)
	o.ReportEvery = cmp.Or(o.ReportEvery, 500*time.Millisecond)
	o.ReportLag = cmp.Or(o.ReportLag, 700*time.Millisecond)
	o.CacheLag = cmp.Or(o.CacheLag, 2*time.Second)

	return o
}

// Engine is one modelled engine. Make it with New.
type Engine struct {
	opt Options
	now time.Time

	role     table.Role
	changing bool
	next     table.Role
	away     time.Time // end of the role change; zero while it waits for work in flight

	jobs    map[table.RequestID]*job
	prompts jobHeap // wait for or run prefill
	waiting jobHeap // wait for a decode slot
	streams jobHeap // decode, by finish
	served  float64 // output tokens given to each stream since the start
	order   uint64

	cache   *cache
	reports reports
	events  []Event
}

// New returns an idle engine whose time starts at now.
func New(now time.Time, opt Options) *Engine {
	opt = opt.withDefaults()
	e := &Engine{
		opt:     opt,
		now:     now,
		role:    opt.Role,
		jobs:    make(map[table.RequestID]*job),
		prompts: jobHeap{less: byUrgency},
		waiting: jobHeap{less: byUrgency},
		streams: jobHeap{less: byFinish},
		cache:   newCache(opt),
	}
	e.reports.next = now
	e.report()

	return e
}

// Role returns the role in force.
func (e *Engine) Role() table.Role { return e.role }

// Changing reports whether a role change is under way.
func (e *Engine) Changing() bool { return e.changing }

// InFlight returns how many requests the engine holds.
func (e *Engine) InFlight() int { return len(e.jobs) }

// Submit takes in w at now. It fails with ErrChanging or ErrRole and then holds nothing of w.
// A request that the engine already holds is left as it is.
func (e *Engine) Submit(now time.Time, w Work) error {
	e.run(now)

	if e.changing {
		return ErrChanging
	}

	if w.Imported && e.role == table.Prefill || !w.Imported && e.role == table.Decode {
		return ErrRole
	}

	if _, ok := e.jobs[w.Request]; ok {
		return nil
	}

	e.order++
	j := &job{work: w, order: e.order, left: float64(w.Prefill)}
	e.jobs[w.Request] = j

	if w.Imported {
		heap.Push(&e.waiting, j)
		e.fill()

		return nil
	}

	heap.Push(&e.prompts, j)
	e.begin()

	return nil
}

// Cancel drops request at now and reports whether the engine held it.
func (e *Engine) Cancel(now time.Time, request table.RequestID) bool {
	e.run(now)

	j, ok := e.jobs[request]
	if !ok {
		return false
	}

	e.drop(j)
	e.settle()

	return true
}

// Generated returns how many output tokens request has at now, Offset included, and whether the
// engine holds it.
func (e *Engine) Generated(now time.Time, request table.RequestID) (table.Tokens, bool) {
	e.run(now)

	j, ok := e.jobs[request]
	if !ok {
		return 0, false
	}

	return e.generated(j), true
}

// ChangeRole orders role at now. The change begins when no work is in flight; until its end the
// engine takes no work in. The role in force is confirmed at once. It fails with ErrChanging if a
// change to another role is under way.
func (e *Engine) ChangeRole(now time.Time, role table.Role) error {
	e.run(now)

	if e.changing && e.next != role {
		return ErrChanging
	}

	if e.changing || e.role == role {
		return nil
	}

	e.changing = true
	e.next = role
	e.settle()

	return nil
}

// Export removes all work in flight at now and returns it in order of arrival, so that it can go
// on elsewhere. Work whose prefill is over is marked Imported; other work starts afresh.
func (e *Engine) Export(now time.Time) []Work {
	e.run(now)

	jobs := make([]*job, 0, len(e.jobs))
	for _, j := range e.jobs {
		jobs = append(jobs, j)
	}

	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.order, b.order) })

	works := make([]Work, 0, len(jobs))

	for _, j := range jobs {
		w := j.work
		w.Offset = e.generated(j)
		works = append(works, w)

		e.drop(j)
	}

	e.settle()

	return works
}

// Advance moves time to now and returns the events up to then in order. The slice is valid until
// the next call.
func (e *Engine) Advance(now time.Time) []Event {
	e.run(now)

	events := e.events
	e.events = nil

	return events
}

// Next returns the time of the next event, or the zero time if none is due without new work.
func (e *Engine) Next() time.Time {
	if len(e.events) > 0 {
		return e.now
	}

	if e.changing && !e.away.IsZero() {
		return e.away
	}

	prefill, stream := e.rates()
	wait := math.Inf(1)

	if prefill > 0 {
		wait = e.prompts.jobs[0].left / prefill
	}

	if stream > 0 {
		wait = min(wait, (e.streams.jobs[0].finish-e.served)/stream)
	}

	if math.IsInf(wait, 1) {
		return time.Time{}
	}

	return e.now.Add(time.Duration(math.Ceil(max(wait, 0) * float64(time.Second))))
}

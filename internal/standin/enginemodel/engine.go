package enginemodel

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Options describe one engine. Zero fields with a default below have that default.
type Options struct {
	Target         entity.TargetID
	Role           entity.Role
	PrefillRate    entity.Tokens // prompt tokens per second; 8,000 by default
	DecodeRate     entity.Tokens // output tokens per second of the whole batch; 800 by default
	StreamRate     entity.Tokens // output tokens per second of one stream; 60 by default
	Slots          int           // streams that run at a time; 32 by default
	PrefillShare   float64       // share of time for prefill while a mixed engine runs prefill and decode; 0.5 by default
	MixedSlowdown  float64       // share of speed lost while a mixed engine runs prefill and decode; 0.25 by default
	CacheTokens    entity.Tokens // capacity of the prefix cache; 200,000 by default
	RoleChangeTime time.Duration // duration of a role change once no work is in flight; 8 s by default
	ReportInterval time.Duration // interval between load reports; 500 ms by default
	ReportLag      time.Duration // time until a load report is visible; 700 ms by default
	CacheEventLag  time.Duration // time until a cache event is visible; 2 s by default
	CacheEventLoss float64       // share of cache events that are lost
	Seed           int64         // seed of the random choice of lost cache events
}

func (o Options) withDefaults() Options {
	o.PrefillRate = cmp.Or(o.PrefillRate, 8000)
	o.DecodeRate = cmp.Or(o.DecodeRate, 800)
	o.StreamRate = cmp.Or(o.StreamRate, 60)
	o.Slots = cmp.Or(o.Slots, 32)
	o.PrefillShare = cmp.Or(o.PrefillShare, 0.5)
	o.MixedSlowdown = cmp.Or(o.MixedSlowdown, 0.25)
	o.CacheTokens = cmp.Or(o.CacheTokens, 200_000)
	o.RoleChangeTime = cmp.Or(o.RoleChangeTime, 8*time.Second)
	o.ReportInterval = cmp.Or(o.ReportInterval, 500*time.Millisecond)
	o.ReportLag = cmp.Or(o.ReportLag, 700*time.Millisecond)
	o.CacheEventLag = cmp.Or(o.CacheEventLag, 2*time.Second)

	return o
}

// Engine is one modelled engine. It is created by New and is not safe for concurrent use.
type Engine struct {
	opt Options
	now time.Time

	role      entity.Role
	changing  bool
	nextRole  entity.Role
	changeEnd time.Time // end of the role change; zero without a change and while the change waits for work in flight

	jobs            map[entity.RequestID]*job
	prompts         jobHeap // waiting for or running prefill
	waiting         jobHeap // waiting for a decode slot
	streams         jobHeap // running decode, ordered by finish
	servedPerStream float64 // output tokens that a stream running since New would have
	submitted       uint64  // number of requests added

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
		jobs:    make(map[entity.RequestID]*job),
		prompts: jobHeap{less: byUrgency},
		waiting: jobHeap{less: byUrgency},
		streams: jobHeap{less: byFinish},
		cache:   newCache(opt),
	}
	e.reports.nextAt = now
	e.takeReport()

	return e
}

// Role returns the present role, which is the old one until a role change ends.
func (e *Engine) Role() entity.Role { return e.role }

// Changing reports whether a role change is under way.
func (e *Engine) Changing() bool { return e.changing }

// InFlight returns the number of requests in the engine.
func (e *Engine) InFlight() int { return len(e.jobs) }

// Submit adds w at now. It fails with ErrChanging during a role change, and with ErrRole if the role does not run
// the next part of w; then w is not added. A request that is already in the engine is not changed.
func (e *Engine) Submit(now time.Time, w Work) error {
	e.advanceTo(now)

	if e.changing {
		return ErrChanging
	}

	if w.Imported && e.role == entity.Prefill || !w.Imported && e.role == entity.Decode {
		return ErrRole
	}

	if _, ok := e.jobs[w.Request]; ok {
		return nil
	}

	e.submitted++
	j := &job{work: w, order: e.submitted, prefillLeft: float64(w.Prefill)}
	e.jobs[w.Request] = j

	if w.Imported {
		heap.Push(&e.waiting, j)
		e.startStreams()

		return nil
	}

	heap.Push(&e.prompts, j)
	e.beginPrompt()

	return nil
}

// Cancel removes request at now and reports whether it was in the engine.
func (e *Engine) Cancel(now time.Time, request entity.RequestID) bool {
	e.advanceTo(now)

	j, ok := e.jobs[request]
	if !ok {
		return false
	}

	e.remove(j)
	e.schedule()

	return true
}

// Generated returns the number of output tokens that request has at now, Offset included, and whether it is in the engine.
func (e *Engine) Generated(now time.Time, request entity.RequestID) (entity.Tokens, bool) {
	e.advanceTo(now)

	j, ok := e.jobs[request]
	if !ok {
		return 0, false
	}

	return e.generated(j), true
}

// ChangeRole orders a change to role at now. The change starts when no work is in flight; until its end Submit
// fails. ChangeRole fails with ErrChanging if a change to another role is under way. It has no effect if the engine
// has the role, or is changing to it.
func (e *Engine) ChangeRole(now time.Time, role entity.Role) error {
	e.advanceTo(now)

	if e.changing && e.nextRole != role {
		return ErrChanging
	}

	if e.changing || e.role == role {
		return nil
	}

	e.changing = true
	e.nextRole = role
	e.schedule()

	return nil
}

// Export removes all work in flight at now and returns it in the order of Submit, so that another engine can
// continue it. Work whose prefill is complete is marked Imported; other work loses its prefill progress.
func (e *Engine) Export(now time.Time) []Work {
	e.advanceTo(now)

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

		e.remove(j)
	}

	e.schedule()

	return works
}

// Advance moves time to now and returns the events since the last call, in order. The slice is valid until the next call.
func (e *Engine) Advance(now time.Time) []Event {
	e.advanceTo(now)

	events := e.events
	e.events = nil

	return events
}

// Next returns the time of the next event, or the zero time if there will be none without new work.
func (e *Engine) Next() time.Time {
	if len(e.events) > 0 {
		return e.now
	}

	if e.changing && !e.changeEnd.IsZero() {
		return e.changeEnd
	}

	prefill, stream := e.rates()
	wait := math.Inf(1)

	if prefill > 0 {
		wait = e.prompts.jobs[0].prefillLeft / prefill
	}

	if stream > 0 {
		wait = min(wait, (e.streams.jobs[0].finish-e.servedPerStream)/stream)
	}

	if math.IsInf(wait, 1) {
		return time.Time{}
	}

	return e.now.Add(time.Duration(math.Ceil(max(wait, 0) * float64(time.Second))))
}

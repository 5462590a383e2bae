package enginemodel

import (
	"container/heap"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// roundingTolerance is the remainder in tokens below which a prompt or stream counts as complete, because event
// times are rounded to nanoseconds.
const roundingTolerance = 1e-4

// rates returns the tokens per second of the running prompt and of each stream; zero if none runs.
func (e *Engine) rates() (prefill, stream float64) {
	n := e.streams.Len()
	prefillRuns := e.prompts.Len() > 0 && (e.role == entity.Prefill || n+e.waiting.Len() < e.opt.Slots)

	if prefillRuns {
		prefill = float64(e.opt.PrefillRate)
	}

	if n == 0 {
		return prefill, 0
	}

	decode := float64(e.opt.DecodeRate)
	if prefillRuns {
		speed := 1 - e.opt.MixedSlowdown
		prefill *= e.opt.PrefillShare * speed
		decode *= (1 - e.opt.PrefillShare) * speed
	}

	return prefill, min(decode/float64(n), float64(e.opt.StreamRate))
}

// advanceTo moves time to now, in steps from one event or load report to the next.
func (e *Engine) advanceTo(now time.Time) {
	for {
		at := now
		if e.reports.nextAt.Before(at) {
			at = e.reports.nextAt
		}

		// Set aside the events that Advance has not returned yet, because Next would return the present time for them.
		pending := e.events
		e.events = nil
		next := e.Next()
		e.events = pending

		due := !next.IsZero() && !next.After(at)
		if due {
			at = next
		}

		e.progress(at)

		if due {
			e.completeDue()

			continue
		}

		if !at.Before(e.reports.nextAt) {
			e.takeReport()

			continue
		}

		return
	}
}

// progress moves time to at and adds the tokens that the running prompt and streams process until then. No event may be
// due earlier.
func (e *Engine) progress(at time.Time) {
	dt := at.Sub(e.now).Seconds()
	if dt <= 0 {
		return
	}

	prefill, stream := e.rates()
	if prefill > 0 {
		e.prompts.jobs[0].prefillLeft -= prefill * dt
	}

	e.servedPerStream += stream * dt
	e.now = at
}

// completeDue completes what is due now: the role change, or the running prompt and the streams.
func (e *Engine) completeDue() {
	if e.changing && !e.changeEnd.IsZero() && !e.now.Before(e.changeEnd) {
		e.changing = false
		e.role = e.nextRole
		e.changeEnd = time.Time{}
		e.emit(RoleChanged, Work{}, 0)

		return
	}

	prefill, _ := e.rates()
	if prefill > 0 && e.prompts.jobs[0].prefillLeft <= roundingTolerance {
		e.completePrompt()
	}

	for e.streams.Len() > 0 && e.streams.jobs[0].finish-e.servedPerStream <= roundingTolerance {
		j := heap.Pop(&e.streams).(*job)
		e.finish(j)
	}

	e.startStreams()
	e.schedule()
}

// completePrompt ends the prefill of the running prompt and passes it on to decode, on this engine or, if this is a
// prefill engine, on another one.
func (e *Engine) completePrompt() {
	j := heap.Pop(&e.prompts).(*job)
	e.cache.store(e.now, j.work.Prefix, j.work.PrefixTokens)

	if j.work.Offset == 0 {
		j.work.Offset = 1
		e.emit(FirstToken, j.work, j.cached)
	}

	j.work.Imported = true
	e.beginPrompt()

	if j.work.Offset >= j.work.Decode {
		e.finish(j)

		return
	}

	if e.role != entity.Prefill {
		heap.Push(&e.waiting, j)

		return
	}

	delete(e.jobs, j.work.Request)
	e.emit(PrefillDone, j.work, j.cached)
}

// finish ends j after its last output token.
func (e *Engine) finish(j *job) {
	j.work.Offset = j.work.Decode
	delete(e.jobs, j.work.Request)
	e.emit(Finished, j.work, j.cached)
}

// beginPrompt looks up the prefix of the prompt that runs next in the cache, once for each prompt.
func (e *Engine) beginPrompt() {
	if e.prompts.Len() == 0 {
		return
	}

	j := e.prompts.jobs[0]
	if j.prefixLookedUp {
		return
	}

	j.prefixLookedUp = true
	j.cached = min(e.cache.find(j.work.Prefix), j.work.Prefill)
	j.prefillLeft -= float64(j.cached)
}

// startStreams starts waiting streams in free slots.
func (e *Engine) startStreams() {
	for e.waiting.Len() > 0 && e.streams.Len() < e.opt.Slots {
		j := heap.Pop(&e.waiting).(*job)
		j.finish = e.servedPerStream + float64(j.work.Decode-j.work.Offset)
		heap.Push(&e.streams, j)
	}
}

// schedule starts the work that can run now and, once nothing is in flight, an ordered role change.
func (e *Engine) schedule() {
	e.startStreams()
	e.beginPrompt()

	if !e.changing || !e.changeEnd.IsZero() || len(e.jobs) > 0 {
		return
	}

	e.changeEnd = e.now.Add(e.opt.RoleChangeTime)
	e.cache.clear(e.now)
}

// emit adds an event of the present time.
func (e *Engine) emit(t EventType, w Work, cached entity.Tokens) {
	e.events = append(e.events, Event{At: e.now, Type: t, Work: w, Cached: cached})
}

// remove removes j without an event.
func (e *Engine) remove(j *job) {
	delete(e.jobs, j.work.Request)

	for _, h := range []*jobHeap{&e.prompts, &e.waiting, &e.streams} {
		if i := slices.Index(h.jobs, j); i >= 0 {
			heap.Remove(h, i)
		}
	}
}

// generated returns the number of whole output tokens that j has now, Offset included.
func (e *Engine) generated(j *job) entity.Tokens {
	if !slices.Contains(e.streams.jobs, j) {
		return j.work.Offset
	}

	left := entity.Tokens(j.finish - e.servedPerStream + 1 - roundingTolerance)

	return j.work.Decode - min(left, j.work.Decode-j.work.Offset)
}

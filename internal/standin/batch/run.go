package batch

import (
	"container/heap"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// roundOff is the part of a token that rounding to nanoseconds may leave.
const roundOff = 1e-4

// rates returns the tokens per second of the first prompt and of each stream.
func (e *Engine) rates() (prefill, stream float64) {
	n := e.streams.Len()
	prefilling := e.prompts.Len() > 0 && (e.role == table.Prefill || n+e.waiting.Len() < e.opt.Slots)

	if prefilling {
		prefill = float64(e.opt.PrefillRate)
	}

	if n == 0 {
		return prefill, 0
	}

	decode := float64(e.opt.DecodeRate)
	if prefilling {
		speed := 1 - e.opt.MixedLoss
		prefill *= e.opt.PrefillShare * speed
		decode *= (1 - e.opt.PrefillShare) * speed
	}

	return prefill, min(decode/float64(n), float64(e.opt.StreamRate))
}

// run moves time to now, one event or load report at a time.
func (e *Engine) run(now time.Time) {
	for {
		at := now
		if e.reports.next.Before(at) {
			at = e.reports.next
		}

		pending := e.events
		e.events = nil
		next := e.Next()
		e.events = pending

		due := !next.IsZero() && !next.After(at)
		if due {
			at = next
		}

		e.flow(at)

		if due {
			e.complete()

			continue
		}

		if !at.Before(e.reports.next) {
			e.report()

			continue
		}

		return
	}
}

// flow lets prompts and streams make progress until at.
func (e *Engine) flow(at time.Time) {
	dt := at.Sub(e.now).Seconds()
	if dt <= 0 {
		return
	}

	prefill, stream := e.rates()
	if prefill > 0 {
		e.prompts.jobs[0].left -= prefill * dt
	}

	e.served += stream * dt
	e.now = at
}

// complete ends what is due at the present time.
func (e *Engine) complete() {
	if e.changing && !e.away.IsZero() && !e.now.Before(e.away) {
		e.changing = false
		e.role = e.next
		e.away = time.Time{}
		e.emit(RoleChanged, Work{}, 0)

		return
	}

	prefill, _ := e.rates()
	if prefill > 0 && e.prompts.jobs[0].left <= roundOff {
		e.endPrompt()
	}

	for e.streams.Len() > 0 && e.streams.jobs[0].finish-e.served <= roundOff {
		j := heap.Pop(&e.streams).(*job)
		e.finish(j)
	}

	e.fill()
	e.settle()
}

func (e *Engine) endPrompt() {
	j := heap.Pop(&e.prompts).(*job)
	e.cache.store(e.now, j.work.Prefix, j.work.PrefixTokens)

	if j.work.Offset == 0 {
		j.work.Offset = 1
		e.emit(FirstToken, j.work, j.cached)
	}

	j.work.Imported = true
	e.begin()

	if j.work.Offset >= j.work.Decode {
		e.finish(j)

		return
	}

	if e.role != table.Prefill {
		heap.Push(&e.waiting, j)

		return
	}

	delete(e.jobs, j.work.Request)
	e.emit(PrefillDone, j.work, j.cached)
}

func (e *Engine) finish(j *job) {
	j.work.Offset = j.work.Decode
	delete(e.jobs, j.work.Request)
	e.emit(Finished, j.work, j.cached)
}

// begin looks up the prefix of the prompt that has its turn.
func (e *Engine) begin() {
	if e.prompts.Len() == 0 {
		return
	}

	j := e.prompts.jobs[0]
	if j.begun {
		return
	}

	j.begun = true
	j.cached = min(e.cache.find(j.work.Prefix), j.work.Prefill)
	j.left -= float64(j.cached)
}

// fill starts waiting streams while slots are free.
func (e *Engine) fill() {
	for e.waiting.Len() > 0 && e.streams.Len() < e.opt.Slots {
		j := heap.Pop(&e.waiting).(*job)
		j.finish = e.served + float64(j.work.Decode-j.work.Offset)
		heap.Push(&e.streams, j)
	}
}

// settle begins an ordered role change once nothing is in flight.
func (e *Engine) settle() {
	e.fill()
	e.begin()

	if !e.changing || !e.away.IsZero() || len(e.jobs) > 0 {
		return
	}

	e.away = e.now.Add(e.opt.ChangeTime)
	e.cache.clear(e.now)
}

func (e *Engine) emit(t EventType, w Work, cached table.Tokens) {
	e.events = append(e.events, Event{At: e.now, Type: t, Work: w, Cached: cached})
}

func (e *Engine) drop(j *job) {
	delete(e.jobs, j.work.Request)

	for _, h := range []*jobHeap{&e.prompts, &e.waiting, &e.streams} {
		if i := slices.Index(h.jobs, j); i >= 0 {
			heap.Remove(h, i)
		}
	}
}

func (e *Engine) generated(j *job) table.Tokens {
	if !slices.Contains(e.streams.jobs, j) {
		return j.work.Offset
	}

	left := table.Tokens(j.finish - e.served + 1 - roundOff)

	return j.work.Decode - min(left, j.work.Decode-j.work.Offset)
}

package admission_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const tick = 10 * time.Millisecond

var epoch = time.Date(2026, 1, 2, 8, 0, 0, 0, time.UTC)

// run is a request on the model's targets, with the tokens still to be processed.
type run struct {
	work    admission.Work
	prefill float64
	decode  float64
}

// outcome counts the results of the offers of one kind.
type outcome struct {
	offered, refused, expired, good, late int
	worstRefusal                          time.Duration // longest time from arrival to expiry
	retryAfter                            []time.Duration
}

// fleet is a fluid model of batching targets: prompts share the prefill rate in order of start,
// answers share the decode rate evenly, each limited to streamRate.
type fleet struct {
	c        *admission.Controller
	capacity admission.Capacity
	now      time.Time
	running  []*run
	results  map[string]*outcome
	n        int
	onRefuse func(w admission.Work, d admission.Decision)
}

const streamRate = 100.0 // tokens per second of one answer

func newFleet(capacity admission.Capacity) *fleet {
	f := &fleet{
		c:        admission.New(admission.Options{}),
		capacity: capacity,
		now:      epoch,
		results:  make(map[string]*outcome),
	}
	f.c.SetCapacity(capacity)

	return f
}

func (f *fleet) result(name string) *outcome {
	if f.results[name] == nil {
		f.results[name] = &outcome{}
	}

	return f.results[name]
}

// offer offers w with a deadline after within, and counts the result under the kind of w.
func (f *fleet) offer(w admission.Work, within time.Duration) admission.Decision {
	f.n++
	w.Request = entity.RequestID(fmt.Sprintf("r%d", f.n))
	w.Arrived = f.now
	w.Deadline = f.now.Add(within)

	r := f.result(string(w.Kind))
	r.offered++

	d := f.c.Offer(f.now, w)
	if !d.Accepted {
		r.refused++
		r.retryAfter = append(r.retryAfter, d.RetryAfter)

		if f.onRefuse != nil {
			f.onRefuse(w, d)
		}
	}

	return d
}

func (f *fleet) step() {
	f.now = f.now.Add(tick)

	for _, refusal := range f.c.Expired(f.now) {
		r := f.result(string(refusal.Work.Kind))
		r.expired++
		r.worstRefusal = max(r.worstRefusal, f.now.Sub(refusal.Work.Arrived))
	}

	for _, g := range f.c.Next(f.now) {
		f.running = append(f.running, &run{g.Work, float64(g.Work.Prefill), float64(g.Work.Decode)})
	}

	f.serve()
}

func (f *fleet) serve() {
	budget := float64(f.capacity.PrefillPerSecond) * tick.Seconds()
	decoding := 0

	for _, r := range f.running {
		part := min(budget, r.prefill)
		r.prefill -= part
		budget -= part

		if r.prefill <= 0 {
			decoding++
		}
	}

	each := min(streamRate, float64(f.capacity.DecodePerSecond)/float64(max(decoding, 1))) * tick.Seconds()

	f.running = slices.DeleteFunc(f.running, func(r *run) bool {
		if r.prefill > 0 {
			return false
		}

		r.decode -= each
		if r.decode > 0 {
			return false
		}

		out := f.result(string(r.work.Kind))
		if f.now.After(r.work.Deadline) {
			out.late++
		} else {
			out.good++
		}

		f.c.Done(f.now, r.work.Request, admission.Usage{Prefill: r.work.Prefill, Decode: r.work.Decode})

		return true
	})
}

// forEach steps the fleet through d and calls do before each step. due returns the number of requests that
// arrive in this tick at the given rate per second; calls with equal rates share one counter.
func (f *fleet) forEach(d time.Duration, do func(due func(rate float64) int)) {
	credit := map[float64]float64{}
	ticks := int(d / tick)

	for range ticks {
		do(func(rate float64) int {
			credit[rate] += rate * tick.Seconds()
			n := int(credit[rate])
			credit[rate] -= float64(n)

			return n
		})
		f.step()
	}
}

package experiment

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/routing"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/standin/batch"
)

// send chooses a target for the start of r; avoid refused it before.
func (h *host) send(r *request, avoid table.TargetID) {
	phase := routing.Prefill
	if r.pool == services {
		phase = routing.Whole
	}

	h.dispatch(r, r.batchWork(), phase, h.dc, avoid, 0)
}

// hand chooses a target for the output of r, whose KV cache is on a target in near.
func (h *host) hand(r *request, w batch.Work, near table.DataCentre, avoid table.TargetID) {
	transfer := transferSetup + time.Duration(float64(w.Prefill+w.Offset)/transferRate*float64(time.Second))
	h.dispatch(r, w, routing.Decode, near, avoid, transfer)
}

// dispatch sends w to a target, or tries again later if none is usable.
func (h *host) dispatch(r *request, w batch.Work, phase routing.Phase, near table.DataCentre, avoid table.TargetID, transfer time.Duration) {
	s := h.sim
	q := routing.Request{
		Model: r.kind.Model, Service: r.kind.Service, Phase: phase, Urgency: r.kind.Urgency, Prefill: w.Prefill,
		Decode: max(r.predicted-w.Offset, 1), Prefix: routing.Prefix(w.Prefix), PrefixTokens: w.PrefixTokens,
		Near: near, Avoid: avoid,
	}

	c, ok := h.view.Pick(h.rng, q)
	if !ok && s.now.After(r.deadline) {
		s.lose(r)

		return
	}

	if !ok {
		s.after(retryEvery, func() {
			if r.id == w.Request && r.outcome == pending {
				h.dispatch(r, w, phase, near, "", transfer)
			}
		})

		return
	}

	cost := routing.Cost{Prefill: w.Prefill, Decode: q.Decode}
	if phase == routing.Decode {
		cost.Prefill = 0
	}

	s.charge(r, c, cost)
	s.after(s.delay(near, c.DataCentre)+transfer, func() {
		if r.id == w.Request && r.outcome == pending {
			h.deliver(r, w, phase, near, transfer)
		}
	})
}

// deliver submits w to its target, which may refuse it, for example in a role change.
func (h *host) deliver(r *request, w batch.Work, phase routing.Phase, near table.DataCentre, transfer time.Duration) {
	s := h.sim
	n := r.unit
	u := s.units[n]

	if err := u.engine.Submit(s.now, w); err != nil {
		s.release(r)
		s.tally.bounced++
		h.dispatch(r, w, phase, near, u.ID, transfer)

		return
	}

	s.refresh(n)
}

// refresh notes when unit n has its next event.
func (s *sim) refresh(n int) {
	u := s.units[n]
	u.next = never

	if next := u.engine.Next(); !next.IsZero() {
		u.next = next.Sub(epoch)
	}
}

// advance takes the events of unit n that are due.
func (s *sim) advance(n int) {
	u := s.units[n]

	for _, ev := range u.engine.Advance(s.now) {
		s.event(n, ev)
	}

	for _, ev := range u.engine.CacheEvents(s.now) {
		s.cacheEvent(u, ev)
	}

	s.refresh(n)
}

func (s *sim) cacheEvent(u *unit, ev batch.CacheEvent) {
	for _, h := range s.hosts {
		if !s.reach(h.dc, u.DataCentre) {
			continue
		}

		if ev.Stored {
			h.prefixes.Add(routing.Prefix(ev.Prefix), u.ID)
		} else {
			h.prefixes.Remove(routing.Prefix(ev.Prefix), u.ID)
		}
	}
}

func (s *sim) event(n int, ev batch.Event) {
	if ev.Type == batch.RoleChanged {
		s.changed(n)

		return
	}

	r, ok := s.byID[ev.Work.Request]
	if !ok || r.unit != n {
		return // of an attempt that was given up
	}

	u := s.units[n]
	h := r.host

	switch ev.Type {
	case batch.FirstToken:
		r.cached = ev.Cached
		r.first = s.now.Add(s.delay(h.dc, u.DataCentre) + s.deployment.Client)
		h.prefixes.Add(routing.Prefix(ev.Work.Prefix), u.ID)
	case batch.PrefillDone:
		s.release(r)
		h.hand(r, ev.Work, u.DataCentre, "")
	case batch.Finished:
		s.finish(r, u)
	}
}

func (s *sim) finish(r *request, u *unit) {
	h := r.host
	r.finished = s.now.Add(s.delay(h.dc, u.DataCentre) + s.deployment.Client)

	s.release(r)
	s.end(r, answered)
	h.demand.Learn(r.arrival.Account, r.kind.Name, roles.Usage{Prompt: r.arrival.Prefill, Cached: r.cached, Output: r.arrival.Decode})
	h.admissions[r.pool].Done(s.now, r.id, admission.Usage{Prefill: r.arrival.Prefill - r.cached, Decode: r.arrival.Decode})
	h.startWork(r.pool)
}

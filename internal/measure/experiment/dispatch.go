package experiment

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/routing"
	"github.com/dotterelflow/dotterelflow/internal/standin/enginemodel"
)

// dispatchStart sends r to its first target: a prefill engine, or a service replica. It does not choose avoid, the
// target that refused r before; empty means none.
func (h *host) dispatchStart(r *request, avoid entity.TargetID) {
	phase := routing.Prefill
	if r.pool == servicePool {
		phase = routing.Whole
	}

	h.dispatch(r, r.engineWork(), phase, h.dc, avoid, 0)
}

// handOff sends w, the decode part of r, to an engine other than avoid; empty means any. The data centre near holds
// the KV cache, whose transfer delays the delivery.
func (h *host) handOff(r *request, w enginemodel.Work, near entity.DataCentre, avoid entity.TargetID) {
	transfer := transferSetup + time.Duration(float64(w.Prefill+w.Offset)/transferRate*float64(time.Second))
	h.dispatch(r, w, routing.Decode, near, avoid, transfer)
}

// dispatch picks a target for the given phase of r and delivers w there after transfer and the network delay from near,
// the data centre that sends the work. While no target is usable, it tries again each retryInterval until the deadline
// of r.
func (h *host) dispatch(r *request, w enginemodel.Work, phase routing.Phase, near entity.DataCentre, avoid entity.TargetID, transfer time.Duration) {
	s := h.sim
	q := routing.Request{
		Model: r.kind.Model, Service: r.kind.Service, Phase: phase, Urgency: r.kind.Urgency, Prefill: w.Prefill,
		Decode: max(r.predictedOutput-w.Offset, 1), Prefix: routing.Prefix(w.Prefix), PrefixTokens: w.PrefixTokens,
		Near: near, Avoid: avoid,
	}

	c, ok := h.view.Pick(h.rng, q)
	if !ok && s.now.After(r.deadline) {
		s.markLost(r)

		return
	}

	if !ok {
		s.after(retryInterval, func() {
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

// deliver submits w to the target of r. If the target refuses w, for example during a role change, deliver
// dispatches w to another one.
func (h *host) deliver(r *request, w enginemodel.Work, phase routing.Phase, near entity.DataCentre, transfer time.Duration) {
	s := h.sim
	n := r.targetIndex
	target := s.targets[n]

	if err := target.engine.Submit(s.now, w); err != nil {
		s.release(r)
		s.tally.refusedByTarget++
		h.dispatch(r, w, phase, near, target.ID, transfer)

		return
	}

	s.updateNextEvent(n)
}

// updateNextEvent stores the time of the next event of target n.
func (s *sim) updateNextEvent(n int) {
	target := s.targets[n]
	target.nextEvent = never

	if next := target.engine.Next(); !next.IsZero() {
		target.nextEvent = next.Sub(epoch)
	}
}

// advanceTarget handles the events of target n that are due.
func (s *sim) advanceTarget(n int) {
	target := s.targets[n]

	for _, ev := range target.engine.Advance(s.now) {
		s.handleEvent(n, ev)
	}

	for _, ev := range target.engine.CacheEvents(s.now) {
		s.handleCacheEvent(target, ev)
	}

	s.updateNextEvent(n)
}

// handleCacheEvent updates the prefix index of each host that can reach target.
func (s *sim) handleCacheEvent(target *simTarget, ev enginemodel.CacheEvent) {
	for _, h := range s.hosts {
		if !s.reachable(h.dc, target.DataCentre) {
			continue
		}

		if ev.Stored {
			h.prefixes.Add(routing.Prefix(ev.Prefix), target.ID)
		} else {
			h.prefixes.Remove(routing.Prefix(ev.Prefix), target.ID)
		}
	}
}

// handleEvent handles an event of the engine of target n.
func (s *sim) handleEvent(n int, ev enginemodel.Event) {
	if ev.Type == enginemodel.RoleChanged {
		s.finishRoleChange(n)

		return
	}

	r, ok := s.byID[ev.Work.Request]
	if !ok || r.targetIndex != n {
		return // the event belongs to an abandoned attempt
	}

	target := s.targets[n]
	h := r.host

	switch ev.Type {
	case enginemodel.FirstToken:
		r.cached = ev.Cached
		r.firstToken = s.now.Add(s.delay(h.dc, target.DataCentre) + s.deployment.ClientDelay)
		h.prefixes.Add(routing.Prefix(ev.Work.Prefix), target.ID)
	case enginemodel.PrefillDone:
		s.release(r)
		h.handOff(r, ev.Work, target.DataCentre, "")
	case enginemodel.Finished:
		s.finishRequest(r, target)
	}
}

// finishRequest ends r, whose last token was generated on target, and reports its usage to the host's estimates.
func (s *sim) finishRequest(r *request, target *simTarget) {
	h := r.host
	r.finished = s.now.Add(s.delay(h.dc, target.DataCentre) + s.deployment.ClientDelay)

	s.release(r)
	s.setOutcome(r, answered)
	h.demand.Learn(r.arrival.Account, r.kind.Name, roles.Usage{Prompt: r.arrival.Prefill, Cached: r.cached, Output: r.arrival.Decode})
	h.admissions[r.pool].Done(s.now, r.id, admission.Usage{Prefill: r.arrival.Prefill - r.cached, Decode: r.arrival.Decode})
	h.startWork(r.pool)
}

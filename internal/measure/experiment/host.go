package experiment

import (
	"math/rand"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/routing"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

// slotsPerPrefill is the number of requests in flight that each engine in the prefill role adds to the capacity.
const slotsPerPrefill = 8

const (
	backoffBase  = time.Second // time until a caller tries again, doubled for each refusal, the first one included
	maxDoublings = 4
)

// overcommit is the sum of the hosts' shares of the fleet's rates. It exceeds 1 because the hosts receive unequal
// work over a few seconds, so exact shares would leave capacity unused.
const overcommit = 1.5

// pool says which targets serve a request. A host admits work for each pool separately.
type pool int

const (
	enginePool pool = iota
	servicePool
	poolCount
)

// host is one entry host.
type host struct {
	sim        *sim
	dc         entity.DataCentre
	admissions [poolCount]Admission
	ledger     *routing.Ledger
	prefixes   *routing.Prefixes
	demand     *roles.Demand
	view       *routing.View
	rng        *rand.Rand
	backlog    roles.Rate // work for engines that is accepted and not started
}

// addHosts creates the entry hosts of all data centres and their first views.
func (s *sim) addHosts() {
	for _, c := range s.deployment.Centres {
		for range c.Hosts {
			h := &host{
				sim:        s,
				dc:         c.Name,
				admissions: [poolCount]Admission{newAdmission(s.fifo), newAdmission(s.fifo)},
				ledger:     routing.NewLedger(),
				prefixes:   routing.NewPrefixes(0),
				demand:     roles.NewDemand(roles.DemandOptions{}),
				rng:        rand.New(rand.NewSource(s.trace.Seed*100 + int64(len(s.hosts)))),
			}
			s.hosts = append(s.hosts, h)
			s.byCentre[c.Name] = append(s.byCentre[c.Name], h)
		}
	}

	s.tickAll()
}

// tick rebuilds the routing view and the admission capacity from targets and starts the work that is admitted.
func (h *host) tick(targets []routing.Target) {
	s := h.sim

	h.view = routing.Build(routing.Options{
		Now: s.now, Home: h.dc, Hosts: len(s.hosts), Ledger: h.ledger, Prefixes: h.prefixes, Local: s.variant.local,
		Distance: func(from, to entity.DataCentre) time.Duration { return s.delay(from, to) },
	}, targets)

	for p := range poolCount {
		h.admissions[p].SetCapacity(h.capacity(targets, p))
		h.startWork(p)
	}
}

// capacity returns this host's share of the capacity of the targets in p that it may use.
func (h *host) capacity(targets []routing.Target, p pool) admission.Capacity {
	s := h.sim
	hosts := 0

	for _, other := range s.hosts {
		if s.reachable(h.dc, other.dc) && (!s.variant.local || other.dc == h.dc) {
			hosts++
		}
	}

	var c admission.Capacity

	for i := range targets {
		t := &targets[i]
		if t.State != routing.Usable || t.Leaving || s.variant.local && t.DataCentre != h.dc {
			continue
		}

		switch {
		case p == servicePool && t.Type == entity.Service:
			c.PrefillPerSecond += t.DecodeRate
			c.DecodePerSecond += t.DecodeRate
			c.Slots += t.Slots
		case p == enginePool && t.Type == entity.Engine && t.Role == entity.Prefill:
			c.PrefillPerSecond += t.PrefillRate
			c.Slots += slotsPerPrefill
		case p == enginePool && t.Type == entity.Engine:
			c.DecodePerSecond += t.DecodeRate
			c.Slots += t.Slots
		}
	}

	share := overcommit / float64(hosts)
	c.PrefillPerSecond = entity.Tokens(float64(c.PrefillPerSecond) * share)
	c.DecodePerSecond = entity.Tokens(float64(c.DecodePerSecond) * share)
	c.Slots = max(c.Slots/hosts, 1)

	return c
}

// offer submits r to admission, or marks it lost after its deadline.
func (h *host) offer(r *request) {
	s := h.sim
	if s.now.After(r.deadline) {
		s.markLost(r)

		return
	}

	d := h.admissions[r.pool].Offer(s.now, h.admissionWork(r))
	if !d.Accepted {
		h.refuse(r, d)

		return
	}

	if r.pool == enginePool {
		h.backlog = h.backlog.Add(r.backlogCost())
		h.demand.Admit(s.now, roles.Source{DataCentre: h.dc, Model: trace.ModelName}, r.kind.Urgency,
			r.predictedPrefill, r.predictedOutput)
	}

	h.startWork(r.pool)
}

// admissionWork predicts the tokens of r and returns it as work for admission.
func (h *host) admissionWork(r *request) admission.Work {
	r.predictedPrefill, r.predictedOutput = h.demand.Predict(r.arrival.Account, r.kind.Name, r.arrival.Prefill, r.kind.MaxOutput)

	return admission.Work{
		Request: r.id, Account: r.arrival.Account, Kind: r.kind.Name, Urgency: r.kind.Urgency,
		Prefill: r.predictedPrefill, Decode: r.predictedOutput, Arrived: r.arrived, Deadline: r.deadline,
	}
}

// refuse handles a refusal of r: the caller of a patient request offers it again after a backoff, and other requests
// are lost.
func (h *host) refuse(r *request, d admission.Decision) {
	s := h.sim
	s.tally.refusals++

	if r.kind.Urgency != entity.Patient {
		s.markLost(r)

		return
	}

	r.refusals++
	backoff := backoffBase << min(r.refusals, maxDoublings)
	s.after(max(d.RetryAfter, backoff), func() { h.offer(r) })
}

// startWork dispatches the work of p that admission grants and refuses the queued work that can no
// longer start in time.
func (h *host) startWork(p pool) {
	s := h.sim
	a := h.admissions[p]

	for _, g := range a.Next(s.now) {
		r := s.byID[g.Work.Request]
		h.removeBacklog(r)
		h.dispatchStart(r, "")
	}

	for _, x := range a.Expired(s.now) {
		r := s.byID[x.Work.Request]
		h.removeBacklog(r)
		h.refuse(r, x.Decision)
	}
}

// removeBacklog subtracts r from the backlog of accepted work.
func (h *host) removeBacklog(r *request) {
	if r.pool == enginePool {
		h.backlog = h.backlog.Add(r.backlogCost().Scale(-1))
	}
}

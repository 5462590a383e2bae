package experiment

import (
	"math/rand"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/routing"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

// slotsPerPrefill is how many requests an engine in the prefill role adds to those in flight.
const slotsPerPrefill = 8

const (
	firstBackoff = time.Second // of a caller after a refusal; doubles with each
	maxDoublings = 4
)

// overcommit is by how much the shares of the hosts in the rates exceed the whole. Hosts get unequal
// work within seconds, and exact shares would leave a part unused.
const overcommit = 1.5

// pool tells the work of engines from that of services.
type pool int

const (
	engines pool = iota
	services
	poolCount
)

// host is one entry host.
type host struct {
	sim        *sim
	dc         table.DataCentre
	admissions [poolCount]Admission
	ledger     *routing.Ledger
	prefixes   *routing.Prefixes
	demand     *roles.Demand
	view       *routing.View
	rng        *rand.Rand
	queued     roles.Rate // accepted and not started, of engines
}

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

// tick builds the view from what is visible now and starts what may start.
func (h *host) tick(targets []routing.Target) {
	s := h.sim

	h.view = routing.Build(routing.Options{
		Now: s.now, Home: h.dc, Hosts: len(s.hosts), Ledger: h.ledger, Prefixes: h.prefixes, Local: s.variant.local,
		Distance: func(from, to table.DataCentre) time.Duration { return s.delay(from, to) },
	}, targets)

	for p := range poolCount {
		h.admissions[p].SetCapacity(h.capacity(targets, p))
		h.startWork(p)
	}
}

// capacity returns the share of this host in what it can reach.
func (h *host) capacity(targets []routing.Target, p pool) admission.Capacity {
	s := h.sim
	hosts := 0

	for _, other := range s.hosts {
		if s.reach(h.dc, other.dc) && (!s.variant.local || other.dc == h.dc) {
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
		case p == services && t.Type == table.Service:
			c.PrefillPerSecond += t.DecodeRate
			c.DecodePerSecond += t.DecodeRate
			c.Slots += t.Slots
		case p == engines && t.Type == table.Engine && t.Role == table.Prefill:
			c.PrefillPerSecond += t.PrefillRate
			c.Slots += slotsPerPrefill
		case p == engines && t.Type == table.Engine:
			c.DecodePerSecond += t.DecodeRate
			c.Slots += t.Slots
		}
	}

	share := overcommit / float64(hosts)
	c.PrefillPerSecond = table.Tokens(float64(c.PrefillPerSecond) * share)
	c.DecodePerSecond = table.Tokens(float64(c.DecodePerSecond) * share)
	c.Slots = max(c.Slots/hosts, 1)

	return c
}

// offer hands r to admission. A refused patient request comes again after the stated time.
func (h *host) offer(r *request) {
	s := h.sim
	if s.now.After(r.deadline) {
		s.lose(r)

		return
	}

	d := h.admissions[r.pool].Offer(s.now, h.work(r))
	if !d.Accepted {
		h.refuse(r, d)

		return
	}

	if r.pool == engines {
		h.queued = h.queued.Add(r.cost())
		h.demand.Admit(s.now, roles.Source{DataCentre: h.dc, Model: trace.ModelName}, r.kind.Urgency, r.prefill, r.predicted)
	}

	h.startWork(r.pool)
}

func (h *host) work(r *request) admission.Work {
	r.prefill, r.predicted = h.demand.Predict(r.arrival.Account, r.kind.Name, r.arrival.Prefill, r.kind.MaxOutput)

	return admission.Work{
		Request: r.id, Account: r.arrival.Account, Kind: r.kind.Name, Urgency: r.kind.Urgency,
		Prefill: r.prefill, Decode: r.predicted, Arrived: r.arrived, Deadline: r.deadline,
	}
}

func (h *host) refuse(r *request, d admission.Decision) {
	s := h.sim
	s.tally.refusals++

	if r.kind.Urgency != table.Patient {
		s.lose(r)

		return
	}

	r.refusals++
	backoff := firstBackoff << min(r.refusals, maxDoublings)
	s.after(max(d.RetryAfter, backoff), func() { h.offer(r) })
}

// startWork sends what admission lets go.
func (h *host) startWork(p pool) {
	s := h.sim
	a := h.admissions[p]

	for _, g := range a.Next(s.now) {
		r := s.byID[g.Work.Request]
		h.unqueue(r)
		h.send(r, "")
	}

	for _, x := range a.Expired(s.now) {
		r := s.byID[x.Work.Request]
		h.unqueue(r)
		h.refuse(r, x.Decision)
	}
}

func (h *host) unqueue(r *request) {
	if r.pool == engines {
		h.queued = h.queued.Add(r.cost().Scale(-1))
	}
}

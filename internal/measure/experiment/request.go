package experiment

import (
	"fmt"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/routing"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
	"github.com/dotterelflow/dotterelflow/internal/standin/enginemodel"
)

// patientBacklogShare is the share of queued patient work that counts as backlog in decisions on role changes.
const patientBacklogShare = 0.25

// outcome says how a request ended.
type outcome int

const (
	pending outcome = iota
	answered
	lost
)

// request is the state of one arrival from the caller's first attempt to its end.
type request struct {
	arrival          *trace.Arrival
	kind             *trace.Kind
	pool             pool
	host             *host
	id               entity.RequestID // id of the current attempt
	attempt          int              // number of the current attempt, from 0
	arrived          time.Time
	deadline         time.Time
	predictedPrefill entity.Tokens // prompt tokens predicted by the demand estimate of the host
	predictedOutput  entity.Tokens // output tokens predicted by the demand estimate of the host
	refusals         int           // number of refusals by admission

	targetIndex int             // index in sim.targets of the target that serves the request; -1 means none
	flight      *routing.Flight // the work in flight on that target; nil without one
	charged     routing.Cost    // the cost of the request in flight

	cached     entity.Tokens // prompt tokens that came from a prefix cache
	firstToken time.Time     // time at which the first token reaches the caller
	finished   time.Time     // time at which the last token reaches the caller
	outcome    outcome
}

// arrive creates the request of a, the next arrival of the trace, and offers it to a random host of its data centre.
func (s *sim) arrive(a *trace.Arrival) {
	s.arrived++

	kind := &s.deployment.Kinds[a.Kind]
	hosts := s.byCentre[a.DataCentre]
	r := &request{
		arrival:     a,
		kind:        kind,
		host:        hosts[s.balancer.Intn(len(hosts))],
		id:          a.Request,
		arrived:     s.now,
		deadline:    s.now.Add(kind.Deadline),
		targetIndex: -1,
	}

	if kind.Model == "" {
		r.pool = servicePool
	}

	s.requests = append(s.requests, r)
	s.byID[r.id] = r
	s.openRequests++
	s.after(s.deployment.ClientDelay, func() { r.host.offer(r) })
}

// backlogCost returns the work that r adds to the backlog in decisions on role changes. Patient work counts only in
// part, as the rest can wait.
func (r *request) backlogCost() roles.Rate {
	cost := roles.Rate{Requests: 1, Prefill: float64(r.predictedPrefill), Decode: float64(r.predictedOutput)}
	if r.kind.Urgency == entity.Patient {
		return cost.Scale(patientBacklogShare)
	}

	return cost
}

// newAttempt abandons the present attempt of r and gives r a new id, so that late events of the old attempt are ignored.
func (s *sim) newAttempt(r *request) {
	s.release(r)
	r.host.admissions[r.pool].Cancel(s.now, r.id)
	delete(s.byID, r.id)

	r.attempt++
	r.id = entity.RequestID(fmt.Sprintf("%s/%d", r.arrival.Request, r.attempt))
	r.firstToken = time.Time{}
	s.byID[r.id] = r
}

// markLost ends r without an answer to its caller.
func (s *sim) markLost(r *request) {
	s.release(r)
	s.setOutcome(r, lost)
	r.host.admissions[r.pool].Cancel(s.now, r.id)
}

// setOutcome ends r with the outcome o.
func (s *sim) setOutcome(r *request, o outcome) {
	delete(s.byID, r.id)
	r.outcome = o
	s.openRequests--
}

// charge assigns r to the target of c and adds cost to the work in flight there.
func (s *sim) charge(r *request, c routing.Choice, cost routing.Cost) {
	r.targetIndex = s.indexOf[c.Target]
	r.flight = c.Flight
	r.charged = cost
	r.flight.Start(cost)
}

// release removes r from its target and from the work in flight there. It has no effect without a target.
func (s *sim) release(r *request) {
	if r.flight != nil {
		r.flight.End(r.charged)
	}

	r.flight = nil
	r.targetIndex = -1
}

// engineWork returns r as work for its first target. A service call needs no prefill, so it counts as imported.
func (r *request) engineWork() enginemodel.Work {
	return enginemodel.Work{
		Request: r.id, Urgency: r.kind.Urgency, Prefill: r.arrival.Prefill, Decode: r.arrival.Decode,
		Prefix: enginemodel.Prefix(r.arrival.Prefix), PrefixTokens: r.arrival.PrefixTokens,
		Imported: r.pool == servicePool,
	}
}

package experiment

import (
	"fmt"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/routing"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
	"github.com/dotterelflow/dotterelflow/internal/standin/batch"
)

// patientBacklog is the part of queued patient work that counts within the horizon of role changes.
const patientBacklog = 0.25

// outcome is how a request ended.
type outcome int

const (
	pending outcome = iota
	answered
	lost
)

// request is one arrival on its way.
type request struct {
	arrival   *trace.Arrival
	kind      *trace.Kind
	pool      pool
	host      *host
	id        table.RequestID // of the current attempt
	attempt   int
	arrived   time.Time
	deadline  time.Time
	prefill   table.Tokens // predicted
	predicted table.Tokens // output
	refusals  int

	unit    int // that holds it; -1: none
	flight  *routing.Flight
	charged routing.Cost

	cached   table.Tokens // prompt tokens that came from a prefix cache
	first    time.Time    // first token at the caller
	finished time.Time    // last token at the caller
	outcome  outcome
}

// arrive takes in the next arrival of the trace.
func (s *sim) arrive(a *trace.Arrival) {
	s.arrived++

	kind := &s.deployment.Kinds[a.Kind]
	hosts := s.byCentre[a.DataCentre]
	r := &request{
		arrival:  a,
		kind:     kind,
		host:     hosts[s.balancer.Intn(len(hosts))],
		id:       a.Request,
		arrived:  s.now,
		deadline: s.now.Add(kind.Deadline),
		unit:     -1,
	}

	if kind.Model == "" {
		r.pool = services
	}

	s.requests = append(s.requests, r)
	s.byID[r.id] = r
	s.open++
	s.after(s.deployment.Client, func() { r.host.offer(r) })
}

// cost returns what r adds to the backlog within the horizon of role changes. Patient work counts
// in part, as the rest can wait.
func (r *request) cost() roles.Rate {
	cost := roles.Rate{Requests: 1, Prefill: float64(r.prefill), Decode: float64(r.predicted)}
	if r.kind.Urgency == table.Patient {
		return cost.Scale(patientBacklog)
	}

	return cost
}

// again gives r a new id, so that late events of the former attempt are not taken for its own.
func (s *sim) again(r *request) {
	s.release(r)
	r.host.admissions[r.pool].Cancel(s.now, r.id)
	delete(s.byID, r.id)

	r.attempt++
	r.id = table.RequestID(fmt.Sprintf("%s/%d", r.arrival.Request, r.attempt))
	r.first = time.Time{}
	s.byID[r.id] = r
}

// lose ends r without an answer.
func (s *sim) lose(r *request) {
	s.release(r)
	s.end(r, lost)
	r.host.admissions[r.pool].Cancel(s.now, r.id)
}

func (s *sim) end(r *request, o outcome) {
	delete(s.byID, r.id)
	r.outcome = o
	s.open--
}

// charge counts r on the target of c.
func (s *sim) charge(r *request, c routing.Choice, cost routing.Cost) {
	r.unit = s.index[c.Target]
	r.flight = c.Flight
	r.charged = cost
	r.flight.Start(cost)
}

// release takes r off the counts of its target.
func (s *sim) release(r *request) {
	if r.flight != nil {
		r.flight.End(r.charged)
	}

	r.flight = nil
	r.unit = -1
}

// batchWork returns r as work for its first target.
func (r *request) batchWork() batch.Work {
	return batch.Work{
		Request: r.id, Urgency: r.kind.Urgency, Prefill: r.arrival.Prefill, Decode: r.arrival.Decode,
		Prefix: batch.Prefix(r.arrival.Prefix), PrefixTokens: r.arrival.PrefixTokens,
		Imported: r.pool == services,
	}
}

package balance

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
)

// Admission lets a request start.
type Admission interface {
	Admit(ctx context.Context, req table.Request) (release func(*answers.Answer), err error)
}

// Sum is the demand of one host for one model.
type Sum struct {
	Model   table.Model
	Rate    roles.Rate // of admitted work, per second
	Backlog roles.Rate // waiting for admission
}

// Meter counts the demand that passes an Admission. It is safe for concurrent use.
type Meter struct {
	clock clockwork.Clock
	home  table.DataCentre
	next  Admission

	mu      sync.Mutex
	demand  *roles.Demand
	waiting map[table.Model]roles.Rate
}

// NewMeter returns a Meter of what next admits in the data centre home.
func NewMeter(clock clockwork.Clock, home table.DataCentre, next Admission, opts roles.DemandOptions) *Meter {
	return &Meter{clock: clock, home: home, next: next, demand: roles.NewDemand(opts), waiting: map[table.Model]roles.Rate{}}
}

// Admit waits as the Admission does and counts req while it waits and when it may start.
func (m *Meter) Admit(ctx context.Context, req table.Request) (func(*answers.Answer), error) {
	if req.Kind.Model == "" {
		return m.next.Admit(ctx, req)
	}

	work := m.wait(req)
	release, err := m.next.Admit(ctx, req)
	m.waited(req, work, err == nil)

	if err != nil {
		return nil, err
	}

	return func(ans *answers.Answer) {
		release(ans)
		m.learn(req, ans)
	}, nil
}

func (m *Meter) wait(req table.Request) roles.Rate {
	m.mu.Lock()
	defer m.mu.Unlock()

	prefill, decode := m.demand.Predict(req.Account, req.Kind.Name, req.Prefill, req.Decode)
	work := roles.Rate{Requests: 1, Prefill: float64(prefill), Decode: float64(decode)}
	m.waiting[req.Kind.Model] = m.waiting[req.Kind.Model].Add(work)

	return work
}

func (m *Meter) waited(req table.Request, work roles.Rate, admitted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.waiting[req.Kind.Model] = m.waiting[req.Kind.Model].Add(work.Scale(-1))

	if admitted {
		m.demand.Admit(m.clock.Now(), roles.Source{DataCentre: m.home, Model: req.Kind.Model}, req.Kind.Urgency,
			table.Tokens(work.Prefill), table.Tokens(work.Decode))
	}
}

// learn takes the output of a whole answer, each of whose events but the last is a token.
func (m *Meter) learn(req table.Request, ans *answers.Answer) {
	if ended, problem := ans.Ended(); !ended || problem != nil {
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.demand.Learn(req.Account, req.Kind.Name, roles.Usage{Prompt: req.Prefill, Output: table.Tokens(max(len(ans.Events())-1, 0))})
}

// Sums returns the demand for each of models here.
func (m *Meter) Sums(models []table.Model) []Sum {
	m.mu.Lock()
	defer m.mu.Unlock()

	sums := make([]Sum, 0, len(models))
	for _, model := range models {
		source := roles.Source{DataCentre: m.home, Model: model}
		sums = append(sums, Sum{Model: model, Rate: m.demand.Rate(m.clock.Now(), source), Backlog: m.waiting[model]})
	}

	return sums
}

package rolebalance

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
)

// Admission waits until a request may start. The returned function must be called once, when the request has
// ended.
type Admission interface {
	Admit(ctx context.Context, req entity.Request) (release func(*answers.Answer), err error)
}

// ModelDemand is the demand of one host for one model.
type ModelDemand struct {
	Model   entity.Model
	Rate    roles.Rate // admitted work per second
	Backlog roles.Rate // work waiting for admission, not a rate
}

// Meter measures the demand that passes through an Admission. It is safe for concurrent use.
type Meter struct {
	clock clockwork.Clock
	home  entity.DataCentre
	next  Admission

	mu      sync.Mutex
	demand  *roles.Demand
	waiting map[entity.Model]roles.Rate
}

// NewMeter returns a Meter of the requests that next admits on a host of the data centre home.
func NewMeter(clock clockwork.Clock, home entity.DataCentre, next Admission, opts roles.DemandOptions) *Meter {
	return &Meter{clock: clock, home: home, next: next, demand: roles.NewDemand(opts), waiting: map[entity.Model]roles.Rate{}}
}

// Admit passes req to the wrapped Admission. A request for a model counts as waiting until the Admission returns,
// and as demand once it is admitted. The length of its answer corrects later estimates.
func (m *Meter) Admit(ctx context.Context, req entity.Request) (func(*answers.Answer), error) {
	if req.Kind.Model == "" {
		return m.next.Admit(ctx, req)
	}

	work := m.addWaiting(req)
	release, err := m.next.Admit(ctx, req)
	m.endWaiting(req, work, err == nil)

	if err != nil {
		return nil, err
	}

	return func(ans *answers.Answer) {
		release(ans)
		m.learnOutput(req, ans)
	}, nil
}

// addWaiting counts req as waiting and returns its estimated work.
func (m *Meter) addWaiting(req entity.Request) roles.Rate {
	m.mu.Lock()
	defer m.mu.Unlock()

	prefill, decode := m.demand.Predict(req.Account, req.Kind.Name, req.Prefill, req.Decode)
	work := roles.Rate{Requests: 1, Prefill: float64(prefill), Decode: float64(decode)}
	m.waiting[req.Kind.Model] = m.waiting[req.Kind.Model].Add(work)

	return work
}

// endWaiting ends the wait of req, and counts its work as demand if it was admitted.
func (m *Meter) endWaiting(req entity.Request, work roles.Rate, admitted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.waiting[req.Kind.Model] = m.waiting[req.Kind.Model].Add(work.Scale(-1))

	if admitted {
		m.demand.Admit(m.clock.Now(), roles.Source{DataCentre: m.home, Model: req.Kind.Model}, req.Kind.Urgency,
			entity.Tokens(work.Prefill), entity.Tokens(work.Decode))
	}
}

// learnOutput feeds the output length of a whole answer to the demand estimate. Each event but the last counts
// as one token.
func (m *Meter) learnOutput(req entity.Request, ans *answers.Answer) {
	if ended, problem := ans.Ended(); !ended || problem != nil {
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.demand.Learn(req.Account, req.Kind.Name, roles.Usage{Prompt: req.Prefill, Output: entity.Tokens(max(len(ans.Events())-1, 0))})
}

// Demand returns this host's demand for each of models, in their order.
func (m *Meter) Demand(models []entity.Model) []ModelDemand {
	m.mu.Lock()
	defer m.mu.Unlock()

	sums := make([]ModelDemand, 0, len(models))
	for _, model := range models {
		source := roles.Source{DataCentre: m.home, Model: model}
		sums = append(sums, ModelDemand{Model: model, Rate: m.demand.Rate(m.clock.Now(), source), Backlog: m.waiting[model]})
	}

	return sums
}

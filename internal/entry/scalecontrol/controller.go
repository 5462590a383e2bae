// Package scalecontrol orders the number of replicas of services that are scaled by need. Only the entry host that has the duties of the
// lease holder sends orders. Package scaling decides.
package scalecontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/rolesplit"
	"github.com/dotterelflow/dotterelflow/internal/control/scaling"
	"github.com/dotterelflow/dotterelflow/internal/control/ticker"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	stepInterval = 500 * time.Millisecond
	// orderTimeout bounds one order. Orders of one step are sent at the same time.
	orderTimeout = time.Second
	// statusInterval is the time between two log lines on a service for which nothing is ordered.
	statusInterval = 10 * time.Second
	// defaultCallRate is the number of orders a second where the platform states no limit.
	defaultCallRate = 10
	// callShare is the fraction of the platform's limit on calls that orders use. The others are usage reports.
	callShare = 0.5
)

// Platform takes the orders.
type Platform interface {
	// Order sends o once. After an error it is unknown whether the order is carried out, now or later.
	Order(ctx context.Context, term duties.Term, o duties.Order) (duties.Result, error)
}

// Duties says when this host may send orders.
type Duties interface {
	// Term returns the term in which this host may send orders, and false while it may not.
	Term() (duties.Term, bool)
	// BeginCall reports whether a call may be sent now. end must be called once the call has ended.
	BeginCall(t duties.Term) (end func(), ok bool)
}

// Options configure Start. All fields but Clock and Log are required.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	Log        *log.Logger     // nil means the default logger
	Duties     Duties
	Platform   Platform
	Catalog    func() *catalog.Catalog
	Fleet      func() *fleet.Snapshot
	Board      *placing.Board
	HasTraffic func() bool // whether this host has received requests
	CallRate   float64     // calls a second that the platform takes from all duties together; zero if unknown
	// HostCounts returns the number of hosts in each data centre; DataCentre returns that of a host, "" being this one, and false if it
	// is not known to be alive.
	HostCounts func() map[entity.DataCentre]int
	DataCentre func(entity.HostID) (entity.DataCentre, bool)
}

// Stats are the numbers of replicas of all services that are scaled, and of the orders sent; zero while this host has no term.
type Stats struct{ Wanted, Present scaling.Counts }

// Controller sends orders in the terms of this host. Create it with Start. Its methods are safe for concurrent use.
type Controller struct {
	opts  Options
	done  chan struct{}
	stats atomic.Pointer[Stats]
	sent  atomic.Int64

	term     duties.Term // term of services
	fenced   duties.Term // the last term in which the platform refused an order for a later holder
	calls    float64     // orders that may be sent now
	counted  time.Time   // when calls was last raised
	services map[entity.ServiceName]*service
}

// service is the state of one service in a term.
type service struct {
	scaling  *scaling.Controller
	loggedAt time.Time
	hasLoad  bool // requests have arrived at some host
}

// Start returns a Controller that works until ctx ends.
func Start(ctx context.Context, opts Options) *Controller {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	c := &Controller{opts: opts, done: make(chan struct{})}

	go func() {
		defer close(c.done)

		ticker.Run(ctx, opts.Clock, stepInterval, c.step)
	}()

	return c
}

// Done returns a channel that is closed once no more orders are sent.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Stats returns the numbers of the last step. It may be called on nil.
func (c *Controller) Stats() Stats {
	if c == nil || c.stats.Load() == nil {
		return Stats{}
	}

	return *c.stats.Load()
}

// OrdersSent returns the number of orders sent, answered or not. It may be called on nil.
func (c *Controller) OrdersSent() int64 {
	if c == nil {
		return 0
	}

	return c.sent.Load()
}

// step sends the orders that are due if this host has a term. What is known of earlier terms is forgotten: other holders may have sent
// orders since.
func (c *Controller) step(ctx context.Context) {
	term, held := c.opts.Duties.Term()
	if !held {
		c.term = duties.Term{}
		c.stats.Store(nil)

		return
	}

	if term != c.term {
		c.term, c.services = term, map[entity.ServiceName]*service{}
	}

	var stats Stats

	for _, s := range c.opts.Catalog().Services() {
		if s.Scaling == nil || c.fenced == term {
			continue
		}

		plan := c.scale(ctx, s)
		stats.Wanted = stats.Wanted.Add(plan.Wanted)
		stats.Present = stats.Present.Add(plan.Present)
	}

	c.stats.Store(&stats)
}

// scale sends the orders for s that are due.
func (c *Controller) scale(ctx context.Context, s catalog.Service) scaling.Plan {
	state := c.services[s.Name]
	if state == nil {
		state = &service{scaling: scaling.New()}
		c.services[s.Name] = state
	}

	now := c.opts.Clock.Now()
	targets := c.opts.Fleet().Of(s.Name)

	demand, heard := c.demand(now, s, targets)
	state.hasLoad = state.hasLoad || demand != rolesplit.Demand{} || c.opts.HasTraffic()

	orders := state.scaling.Tick(scaling.Input{
		Now: now, Scaling: *s.Scaling, Targets: targets, Roles: s.Engine != nil, RequestsSeen: state.hasLoad, Demand: demand, Unheard: !heard,
	})
	orders = orders[:c.allowed(now, len(orders))]
	plan := state.scaling.Plan()

	if len(orders) > 0 || now.Sub(state.loggedAt) >= statusInterval {
		state.loggedAt = now
		c.opts.Log.Info().Str("service", string(s.Name)).Uint64("fence", uint64(c.term.Fence)).Int("orders", len(orders)).
			Float64("need-read", plan.Demand.Prefill).Float64("need-answer", plan.Demand.Decode).
			Int("wanted", plan.Total).Int("reserve", plan.Total-plan.Bare).Int("wanted-ordinary", plan.Wanted.Ordinary).
			Int("wanted-reclaimable", plan.Wanted.Reclaimable).Int("ordinary", plan.Present.Ordinary).Int("reclaimable", plan.Present.Reclaimable).
			Int("ordered-elsewhere", plan.Avoided).Msg("replicas by need")
	}

	c.send(ctx, s, state.scaling, orders)

	return plan
}

// allowed returns how many of n orders may be sent now, and counts them. The decider asks again for the others.
func (c *Controller) allowed(now time.Time, n int) int {
	rate := defaultCallRate * 1.0
	if c.opts.CallRate > 0 {
		rate = callShare * c.opts.CallRate
	}

	c.calls = min(c.calls+rate*now.Sub(c.counted).Seconds(), max(rate*stepInterval.Seconds(), 1))
	c.counted = now
	n = min(n, int(c.calls))
	c.calls -= float64(n)

	return n
}

// outcome is how an order ended.
type outcome struct {
	result duties.Result
	err    error
	sent   bool
}

// send sends orders at the same time and waits for the answers.
func (c *Controller) send(ctx context.Context, s catalog.Service, decider *scaling.Controller, orders []scaling.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	outcomes := make([]outcome, len(orders))

	var calls sync.WaitGroup

	for i, o := range orders {
		calls.Go(func() {
			end, ok := c.opts.Duties.BeginCall(c.term)
			if !ok {
				return
			}

			defer end()

			c.sent.Add(1)

			result, err := c.opts.Platform.Order(ctx, c.term, duties.Order{Service: s.Name, DataCentre: o.DataCentre, Count: o.Count, Reclaimable: o.Reclaimable})
			outcomes[i] = outcome{result, err, true}
		})
	}

	calls.Wait()

	for i, o := range orders {
		c.settle(s, decider, o, outcomes[i])
	}
}

// settle hands the outcome of o to the decider and logs it.
func (c *Controller) settle(s catalog.Service, decider *scaling.Controller, o scaling.Order, out outcome) {
	now := c.opts.Clock.Now()

	if !out.sent {
		decider.Answer(now, o, duties.Failed, true)

		return
	}

	answered := out.err == nil || verdict.Of(out.err) == verdict.NotRun
	decider.Answer(now, o, out.result, answered)

	text := "replicas ordered"

	switch {
	case !answered:
		text = "order of replicas without an answer"
	case out.result == duties.Fenced:
		c.fenced = c.term
		text = "order of replicas refused: a later holder has sent orders"
	case out.result == duties.Unavailable:
		text = "order of replicas refused: none to be had"
	case out.result != duties.Accepted:
		text = "order of replicas refused"
	}

	c.opts.Log.Info().Str("service", string(s.Name)).Str("data-centre", string(o.DataCentre)).Bool("reclaimable", o.Reclaimable).
		Int("replicas", o.Count).Int("present", o.Present).Str("reason", o.Reason.String()).Float64("price", s.Scaling.Prices[o.DataCentre]).
		Uint64("fence", uint64(c.term.Fence)).Err(out.err).Msg(text)
}

// demand returns the demand for s at all hosts as numbers of fully busy replicas. It reports false if hosts are heard in less than half
// of the data centres that have some.
func (c *Controller) demand(now time.Time, s catalog.Service, targets []fleet.Target) (need rolesplit.Demand, ok bool) {
	var (
		ids   []entity.TargetID
		slots int
		heard []scaling.Heard
	)

	for _, t := range targets {
		ids = append(ids, t.ID)
		slots += t.Slots
	}

	if slots == 0 {
		return rolesplit.Demand{}, false
	}

	// Requests that run on leaving replicas need a place among those that stay.
	for _, t := range c.opts.Fleet().All {
		if t.Service == s.Name && t.Leaving {
			ids = append(ids, t.ID)
		}
	}

	for _, l := range c.opts.Board.HostLoads(now, s.Name, ids) {
		if dc, alive := c.opts.DataCentre(l.Host); alive {
			heard = append(heard, scaling.Heard{
				DataCentre: dc, Load: scaling.Load{Prefill: l.Prefill, Running: float64(l.Decode.Running), KVTokens: float64(l.Decode.KVTokens)},
			})
		}
	}

	counts := c.opts.HostCounts()
	centres := map[entity.DataCentre]bool{}

	for _, h := range heard {
		centres[h.DataCentre] = true
	}

	ok = 2*len(centres) >= len(counts)

	load := scaling.Extrapolate(heard, counts)
	need = rolesplit.Demand{Decode: load.Running / float64(slots) * float64(len(targets))}

	if s.Engine == nil {
		return need, ok
	}

	need.Prefill = load.Prefill / c.opts.Board.IdlePrefillRate()

	if s.Engine.KVCapacity > 0 {
		need.Decode = max(need.Decode, load.KVTokens/float64(s.Engine.KVCapacity))
	}

	return need, ok
}

// Package conduct gives model replicas their roles, from the one host that holds the lease.
package conduct

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/split"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/control/ticker"
)

const (
	tickEvery = 200 * time.Millisecond
	// orderBound bounds one order's call.
	orderBound = time.Second

	// The lease is short, since orders are few and late ones are refused by their fencing number.
	lease  = 5 * time.Second
	renew  = 1500 * time.Millisecond
	poll   = 5 * time.Second
	margin = time.Second
)

// Result says what became of an order.
type Result uint8

const (
	// Accepted orders are being carried out.
	Accepted Result = iota
	// InForce orders change nothing.
	InForce
	// Refused orders have no effect.
	Refused
	// Fenced orders were refused since a later holder has given orders.
	Fenced
)

// State is what a replica says of itself.
type State struct {
	Role   table.Role
	Orders uint64 // number of orders that this run of the replica has accepted
	Busy   bool   // an order is being carried out
}

// Order is an order with the authority under which it is given.
type Order struct {
	split.Order
	Holder  table.HostID
	Fence   table.Fence
	Expects uint64 // orders that the replica must have accepted before; it refuses the order otherwise
}

// Replicas asks replicas and takes orders to them.
type Replicas interface {
	State(ctx context.Context, t fleet.Target) (State, error)
	// Order sends o. An error leaves open whether it is carried out, now or later.
	Order(ctx context.Context, o Order) (Result, error)
}

// Options are the parts of a Conductor. All are required but Clock and Log.
type Options struct {
	Clock    clockwork.Clock // nil means the real clock
	Lease    clockwork.Clock // measures the lease; it must also count suspensions; nil means Clock
	Log      *log.Logger     // nil means the default logger
	Host     table.HostID
	Store    authority.Store
	Replicas Replicas
	Catalog  func() *catalog.Catalog
	Fleet    func() *fleet.Snapshot
	Board    *placing.Board
	Standby  func() bool   // whether this host may take the lease
	Loaded   func() bool   // whether requests have come
	Turn     time.Duration // least time between the orders of two holders
	Seed     uint64
}

// Conductor gives orders while this host holds the lease. Make it with Start.
type Conductor struct {
	opts     Options
	lease    *authority.Runner
	stopping atomic.Bool
	giving   atomic.Bool // an order may be on its way
	done     chan struct{}

	fence    table.Fence // of the orders given last
	taken    time.Time   // when this host first held under fence
	fenced   bool        // a later holder has given orders
	machines map[table.ServiceName]*split.Machine

	changing  []table.TargetID // gathered within a step
	published atomic.Pointer[[]table.TargetID]
}

// Start runs a Conductor until ctx ends.
func Start(ctx context.Context, opts Options) *Conductor {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Lease == nil {
		opts.Lease = opts.Clock
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	c := &Conductor{opts: opts, done: make(chan struct{}), machines: map[table.ServiceName]*split.Machine{}}
	c.lease = authority.Start(ctx, opts.Lease, opts.Store, c, authority.Options{
		DataCentre: "all", Host: opts.Host, Lease: lease, Renew: renew, Poll: poll, Margin: margin,
	}, opts.Seed)

	go c.run(ctx)

	return c
}

// Done is closed once the Conductor has ended.
func (c *Conductor) Done() <-chan struct{} { return c.done }

// Stop gives the lease up.
func (c *Conductor) Stop() { c.stopping.Store(true) }

// Authority implements authority.Surroundings.
func (c *Conductor) Authority() authority.Tick {
	return authority.Tick{Standby: c.opts.Standby(), Quiet: !c.giving.Load(), Stop: c.stopping.Load()}
}

func (c *Conductor) run(ctx context.Context) {
	defer close(c.done)

	ticker.Run(ctx, c.opts.Clock, tickEvery, c.step)
	<-c.lease.Done()
}

func (c *Conductor) step(ctx context.Context) {
	now := c.opts.Lease.Now()

	fence, held := c.lease.Held(now)
	if !held || c.stopping.Load() {
		c.publish(nil)

		return
	}

	if fence != c.fence {
		c.fence, c.taken, c.fenced = fence, now, false
		clear(c.machines)
		c.opts.Log.Info().Uint64("fence", uint64(fence)).Msg("holds the lease for orders")
	}

	// A former holder's last orders and the first of this one are kept apart.
	if c.fenced || fence > 1 && now.Sub(c.taken) < c.opts.Turn {
		return
	}

	c.changing = nil

	for _, s := range c.opts.Catalog().Services() {
		if s.Engine != nil {
			c.conduct(ctx, s)
		}
	}

	c.publish(c.changing)
}

// publish tells what changes; replicas that change take no work until then.
func (c *Conductor) publish(changing []table.TargetID) {
	for _, id := range changing {
		c.opts.Board.Changing(c.opts.Clock.Now(), id)
	}

	c.published.Store(&changing)
}

// Changing returns the replicas that carry out this host's orders; none where it does not hold the lease.
func (c *Conductor) Changing() []table.TargetID {
	if ids := c.published.Load(); ids != nil {
		return *ids
	}

	return nil
}

func (c *Conductor) conduct(ctx context.Context, s catalog.Service) {
	m, ok := c.machines[s.Name]
	if !ok {
		m = split.New()
		c.machines[s.Name] = m
	}

	now := c.opts.Clock.Now()
	targets := c.opts.Fleet().Of(s.Name)
	need := c.need(now, s, targets)

	orders := m.Tick(split.Input{Now: now, Targets: targets, Loaded: c.opts.Loaded(), Busy: c.opts.Board.Busy, Need: need})
	if len(orders) > 0 {
		c.opts.Log.Info().Str("service", string(s.Name)).Int("targets", len(targets)).Int("orders", len(orders)).
			Float64("need-read", need.Read).Float64("need-answer", need.Answer).Msg("roles are wrong")
	}

	for _, o := range orders {
		c.give(ctx, m, o)
	}

	c.changing = append(c.changing, m.Changing()...)
}

// need returns the demand for s, as all hosts see it.
func (c *Conductor) need(now time.Time, s catalog.Service, targets []fleet.Target) split.Need {
	var (
		ids   []table.TargetID
		slots int
	)

	for _, t := range targets {
		ids = append(ids, t.ID)
		slots += t.Slots
	}

	if len(ids) == 0 || slots == 0 {
		return split.Need{}
	}

	load := c.opts.Board.Running(ids)
	need := split.Need{
		Read:   c.opts.Board.Demand(now, s.Name) / c.opts.Board.Pace(),
		Answer: float64(load.Runs) / float64(slots) * float64(len(ids)),
	}

	if s.Engine.KVCapacity > 0 {
		need.Answer = max(need.Answer, float64(load.Held)/float64(s.Engine.KVCapacity))
	}

	return need
}

// give asks a replica for its state and sends one order, if the lease still holds right before.
func (c *Conductor) give(ctx context.Context, m *split.Machine, o split.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderBound)
	defer cancel()

	logged := func() *log.Entry {
		return c.opts.Log.Info().Str("target", string(o.Target.ID)).Str("role", o.Role.String()).Uint64("fence", uint64(c.fence))
	}

	state, err := c.opts.Replicas.State(ctx, o.Target)
	if err != nil || state.Busy || state.Role == o.Role {
		m.Refused(c.opts.Clock.Now(), o)
		logged().Bool("busy", state.Busy).Str("has", state.Role.String()).Err(err).Msg("no order given")

		return
	}

	c.giving.Store(true)
	defer c.giving.Store(false)

	if f, held := c.lease.Held(c.opts.Lease.Now()); !held || f != c.fence || c.fenced {
		m.Refused(c.opts.Clock.Now(), o)

		return
	}

	result, err := c.opts.Replicas.Order(ctx, Order{Order: o, Holder: c.opts.Host, Fence: c.fence, Expects: state.Orders})

	switch {
	case err != nil:
		logged().Uint64("expects", state.Orders).Err(err).Msg("order without an answer")
	case result == Fenced:
		c.fenced = true
		m.Refused(c.opts.Clock.Now(), o)
		logged().Msg("order refused: a later holder has given orders")
	case result == Refused:
		m.Refused(c.opts.Clock.Now(), o)
		logged().Uint64("expects", state.Orders).Msg("order refused")
	default:
		logged().Uint64("expects", state.Orders).Msg("order accepted")
	}
}

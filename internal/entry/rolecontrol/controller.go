// Package rolecontrol assigns the prefill and decode roles to model replicas by direct orders. Only the entry host that
// holds a lease over all data centres sends the orders.
//
// It serves the entry hosts of package platform/host. Those of package entry/host use package rolebalance instead, which
// declares role changes as plans of one data centre.
package rolecontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/rolesplit"
	"github.com/dotterelflow/dotterelflow/internal/control/ticker"
)

const (
	stepInterval = 200 * time.Millisecond
	// scaledPendingDivisor sets the part of the replicas that may change their role at the same time where their number is ordered by
	// need. New ones come with any role and are idle.
	scaledPendingDivisor = 15
	// orderTimeout bounds reading a replica's state and sending it one order, both together.
	orderTimeout = time.Second

	// The lease can be short, as orders are rare and replicas refuse late ones by their fencing number.
	leaseDuration = 5 * time.Second
	renewInterval = 1500 * time.Millisecond
	pollInterval  = 5 * time.Second
	leaseMargin   = time.Second
	// dutyPollInterval replaces pollInterval where there are duties: a holder that dies is followed in time for the next report.
	dutyPollInterval = 2 * time.Second
	// callTransit is the time after the lease was taken until the first call of a duty. The former holder's last call was begun leaseMargin
	// before its lease ended, or had ended before the lease was released; this covers its way.
	callTransit = 500 * time.Millisecond
)

// Result is a replica's reply to an order.
type Result uint8

const (
	// Accepted means that the replica is carrying the order out.
	Accepted Result = iota
	// InForce means that the replica has the ordered role already.
	InForce
	// Refused means that the order has no effect.
	Refused
	// Fenced means that the order has no effect because a later holder has sent orders.
	Fenced
)

// State is a replica's report of its role.
type State struct {
	Role   entity.Role
	Orders uint64 // number of orders that the replica has accepted since it started
	Busy   bool   // an order is being carried out
}

// Order is an order with the holder and fencing number of the lease under which it is sent.
type Order struct {
	rolesplit.Order
	Holder  entity.HostID
	Fence   entity.Fence
	Expects uint64 // State.Orders at which the order is valid; at any other count the replica refuses it
}

// Replicas reads the state of replicas and sends them orders.
type Replicas interface {
	State(ctx context.Context, t fleet.Target) (State, error)
	// Order sends o. After an error it is unknown whether the order is carried out, now or later.
	Order(ctx context.Context, o Order) (Result, error)
}

// Options configure Start. All fields but Clock, LeaseClock, Log and Seed are required.
type Options struct {
	Clock       clockwork.Clock // nil means the real clock
	LeaseClock  clockwork.Clock // measures the lease and must advance while the machine is suspended; nil means Clock
	Log         *log.Logger     // nil means the default logger
	Host        entity.HostID
	Store       authority.Store
	Replicas    Replicas
	Catalog     func() *catalog.Catalog
	Fleet       func() *fleet.Snapshot
	Board       *placing.Board
	Standby     func() bool   // whether this host may take the lease
	HasTraffic  func() bool   // whether this host has received requests
	Hosts       func() int    // number of entry hosts; nil means that this host hears from all of them
	HandoverGap time.Duration // least time between the orders of two holders, and between calls of a host before and after another holder's
	Duties      bool          // calls of duties are made in the terms of this Controller
	FirstStart  bool          // no host has held the lease before this process started
	Seed        uint64
}

// Controller sends orders while this host holds the lease. Create it with Start. Its methods are safe for
// concurrent use.
type Controller struct {
	opts          Options
	lease         *authority.Runner
	stopping      atomic.Bool
	callsInFlight atomic.Int64                // orders and calls of duties that may be in flight
	term          atomic.Pointer[duties.Term] // result of Term, while the lease is held
	done          chan struct{}

	startedAt time.Time                 // on LeaseClock, as all times here
	lastCall  atomic.Pointer[time.Time] // when this host last began or ended a call of a duty; nil for never

	fence     entity.Fence // fencing number of the last lease that this host held
	heldSince time.Time    // when step first found that lease held
	callsFrom time.Time    // when the first call of a duty may be made under that lease
	fenced    bool         // a later holder has sent orders to a replica
	splits    map[entity.ServiceName]*rolesplit.Controller

	changing  []entity.TargetID                 // replicas that are carrying out orders; collected during a step
	published atomic.Pointer[[]entity.TargetID] // result of Changing
}

// Start returns a Controller that sends orders in the background while this host holds the lease, until ctx ends.
func Start(ctx context.Context, opts Options) *Controller {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.LeaseClock == nil {
		opts.LeaseClock = opts.Clock
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	if opts.Hosts == nil {
		opts.Hosts = opts.Board.KnownHosts
	}

	poll := pollInterval
	if opts.Duties {
		poll = dutyPollInterval
	}

	c := &Controller{opts: opts, done: make(chan struct{}), startedAt: opts.LeaseClock.Now(), splits: map[entity.ServiceName]*rolesplit.Controller{}}
	c.lease = authority.Start(ctx, opts.LeaseClock, opts.Store, c, authority.Options{
		DataCentre: "all", Host: opts.Host, Lease: leaseDuration, Renew: renewInterval, Poll: poll, Margin: leaseMargin,
		FirstStart: opts.FirstStart,
	}, opts.Seed)

	go c.run(ctx)

	return c
}

// Done returns a channel that is closed once no more orders are sent and the lease runner has ended.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Stop ends the orders and makes this host release the lease. It does not wait.
func (c *Controller) Stop() { c.stopping.Store(true) }

// AuthorityInput implements authority.Environment.
func (c *Controller) AuthorityInput() authority.Tick {
	return authority.Tick{Standby: c.opts.Standby(), NoOrdersInFlight: c.callsInFlight.Load() == 0, Stopping: c.stopping.Load()}
}

func (c *Controller) run(ctx context.Context) {
	defer close(c.done)

	ticker.Run(ctx, c.opts.Clock, stepInterval, c.step)
	<-c.lease.Done()
}

// step sends the orders that are due if this host holds the lease.
func (c *Controller) step(ctx context.Context) {
	now := c.opts.LeaseClock.Now()

	lease := c.lease.Lease()
	fence := lease.Fence

	if !lease.Held(now) || c.stopping.Load() {
		c.publish(nil)
		c.term.Store(nil)

		return
	}

	if fence != c.fence {
		c.fence, c.heldSince, c.fenced = fence, now, false
		c.callsFrom = c.firstCall(now)
		c.term.Store(nil)
		clear(c.splits)
		c.opts.Log.Info().Uint64("fence", uint64(fence)).Msg("holds the lease for orders")
	}

	if !c.fenced && (lease.First || !now.Before(c.callsFrom)) {
		c.term.Store(&duties.Term{Holder: c.opts.Host, Fence: fence})
	}

	// Options.HandoverGap must pass between the last orders of a former holder and the first ones of this host.
	if c.fenced || !lease.First && now.Sub(c.heldSince) < c.opts.HandoverGap {
		return
	}

	c.changing = nil

	for _, s := range c.opts.Catalog().Services() {
		if s.Engine != nil {
			c.adjustRoles(ctx, s)
		}
	}

	c.publish(c.changing)
}

// firstCall returns when the first call of a duty may be made under a lease that was taken at now. Calls of this machine before and after
// another holder's must be HandoverGap apart. Calls before this process started are not known, so they may have been made until then.
func (c *Controller) firstCall(now time.Time) time.Time {
	first := now.Add(callTransit)

	last := c.startedAt
	if t := c.lastCall.Load(); t != nil {
		last = *t
	}

	if own := last.Add(c.opts.HandoverGap); own.After(first) {
		first = own
	}

	return first
}

// publish sets the result of Changing. It also makes the board give these replicas no work for a while, as
// they take none while they carry out an order.
func (c *Controller) publish(changing []entity.TargetID) {
	for _, id := range changing {
		c.opts.Board.PauseChanging(c.opts.Clock.Now(), id)
	}

	c.published.Store(&changing)
}

// Term returns the term in which this host has the duties of the holder, as far as it may make calls now. It reports false if this
// host does not hold the lease, has taken it from another one too recently, or stops.
func (c *Controller) Term() (duties.Term, bool) {
	if c == nil || c.stopping.Load() {
		return duties.Term{}, false
	}

	t := c.term.Load()
	if t == nil {
		return duties.Term{}, false
	}

	fence, held := c.lease.Held(c.opts.LeaseClock.Now())

	return *t, held && fence == t.Fence
}

// BeginCall reports whether a call of a duty may be sent now in term t. Call it right before the send, and call end once the call has
// been answered or given up: the lease is not released before.
func (c *Controller) BeginCall(t duties.Term) (end func(), ok bool) {
	c.callsInFlight.Add(1)

	if !c.Holds(t) {
		c.callsInFlight.Add(-1)

		return nil, false
	}

	c.noteCall()

	return sync.OnceFunc(func() {
		c.noteCall()
		c.callsInFlight.Add(-1)
	}), true
}

// noteCall records that a call of a duty is made now.
func (c *Controller) noteCall() {
	now := c.opts.LeaseClock.Now()
	c.lastCall.Store(&now)
}

// Holds reports whether this host may make calls in term t now. It is for a last check as the first byte of a call is written.
func (c *Controller) Holds(t duties.Term) bool {
	now, held := c.Term()

	return held && now == t
}

// Changing returns the replicas that are carrying out this host's orders, and none if it does not hold the
// lease.
func (c *Controller) Changing() []entity.TargetID {
	if ids := c.published.Load(); ids != nil {
		return *ids
	}

	return nil
}

// adjustRoles sends the orders that adapt the roles of the replicas of s to its demand.
func (c *Controller) adjustRoles(ctx context.Context, s catalog.Service) {
	split, ok := c.splits[s.Name]
	if !ok {
		split = rolesplit.New()
		c.splits[s.Name] = split
	}

	now := c.opts.Clock.Now()
	targets := c.opts.Fleet().Of(s.Name)
	need := c.demand(now, s, targets)

	in := rolesplit.Input{Now: now, Targets: targets, RequestsSeen: c.opts.HasTraffic(), Busy: c.opts.Board.Busy, Demand: need}
	if s.Scaling != nil {
		in.MaxPending, in.Scaled = len(targets)/scaledPendingDivisor, true
	}

	orders := split.Tick(in)
	if len(orders) > 0 {
		c.opts.Log.Info().Str("service", string(s.Name)).Int("targets", len(targets)).Int("orders", len(orders)).
			Float64("need-read", need.Prefill).Float64("need-answer", need.Decode).Msg("roles are wrong")
	}

	for _, o := range orders {
		c.sendOrder(ctx, split, o)
	}

	c.changing = append(c.changing, split.PendingTargets()...)
}

// demand returns the demand for s at all hosts as numbers of replicas, extrapolated from the hosts that this one hears from.
func (c *Controller) demand(now time.Time, s catalog.Service, targets []fleet.Target) rolesplit.Demand {
	var (
		ids   []entity.TargetID
		slots int
	)

	for _, t := range targets {
		ids = append(ids, t.ID)
		slots += t.Slots
	}

	if len(ids) == 0 || slots == 0 {
		return rolesplit.Demand{}
	}

	load := c.opts.Board.DecodeLoad(ids)
	need := rolesplit.Demand{
		Prefill: c.opts.Board.TotalDemand(now, s.Name) / c.opts.Board.IdlePrefillRate(),
		Decode:  float64(load.Running) / float64(slots) * float64(len(ids)),
	}

	if s.Engine.KVCapacity > 0 {
		need.Decode = max(need.Decode, float64(load.KVTokens)/float64(s.Engine.KVCapacity))
	}

	// In a large fleet a host hears from a part of the others. Callers are spread over all hosts alike.
	unheard := max(float64(c.opts.Hosts())/float64(c.opts.Board.KnownHosts()), 1)
	need.Prefill *= unheard
	need.Decode *= unheard

	return need
}

// sendOrder reads the state of a replica and sends it the order o, unless the state cannot be read, the replica is busy
// or it has the role already. It checks right before sending that the lease is still held.
func (c *Controller) sendOrder(ctx context.Context, split *rolesplit.Controller, o rolesplit.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	logged := func() *log.Entry {
		return c.opts.Log.Info().Str("target", string(o.Target.ID)).Str("role", o.Role.String()).Uint64("fence", uint64(c.fence))
	}

	state, err := c.opts.Replicas.State(ctx, o.Target)
	if err != nil || state.Busy || state.Role == o.Role {
		split.Withdraw(c.opts.Clock.Now(), o)
		logged().Bool("busy", state.Busy).Str("has", state.Role.String()).Err(err).Msg("no order sent")

		return
	}

	c.callsInFlight.Add(1)
	defer c.callsInFlight.Add(-1)

	if f, held := c.lease.Held(c.opts.LeaseClock.Now()); !held || f != c.fence || c.fenced {
		split.Withdraw(c.opts.Clock.Now(), o)

		return
	}

	result, err := c.opts.Replicas.Order(ctx, Order{Order: o, Holder: c.opts.Host, Fence: c.fence, Expects: state.Orders})

	switch {
	case err != nil:
		logged().Uint64("expects", state.Orders).Err(err).Msg("order without an answer")
	case result == Fenced:
		c.fenced = true
		c.term.Store(nil) // a later holder may have made calls of duties too
		split.Withdraw(c.opts.Clock.Now(), o)
		logged().Msg("order refused: a later holder has sent orders")
	case result == Refused:
		split.Withdraw(c.opts.Clock.Now(), o)
		logged().Uint64("expects", state.Orders).Msg("order refused")
	default:
		logged().Uint64("expects", state.Orders).Msg("order accepted")
	}
}

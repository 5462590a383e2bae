package govern

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("govern")

const (
	standbys  = 3 // hosts of a data centre that stand by for its lease
	listEvery = 2 * time.Second
	listBound = 2 * time.Second
)

// Platform is what a Governor uses of the platform.
type Platform interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Local is what a Governor asks of its own host. Its methods are called from several goroutines.
type Local interface {
	// Targets returns the targets of the configuration in force.
	Targets() []table.Target
	// Live returns the live peers of all data centres.
	Live() []members.Member
	// Ready reports whether this host may take on duties.
	Ready() bool
	// Open returns the number of this host's requests, and InFlight those at a target.
	Open() int
	InFlight(t table.TargetID) int
	// StopAsked is called when a plan says that this host may end.
	StopAsked()
}

// Options are the parts of a Governor. All but Clock and Log are required.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	Log        *log.Logger     // nil means the default logger
	Host       table.HostID
	Address    string // ip:port of the own peer API, as in the platform's host list
	DataCentre table.DataCentre
	Platform   Platform
	Engines    orders.Engines
	Local      Local
	Seed       uint64
}

// Governor runs the duties of control of one host. It is safe for concurrent use.
type Governor struct {
	opts  Options
	lease *authority.Runner
	order *orders.Runner
	plan  *plans.Runner
	done  chan struct{}

	stopping atomic.Bool
	obeyed   atomic.Uint64 // generation of the plans that traffic obeys

	mu    sync.Mutex
	heard map[table.HostID]plans.Host
	// fences are those of the leases that peers said they hold; zero for none.
	fences map[table.HostID]table.Fence
	hosts  []platform.Host
	read   table.Fence // authority under which hosts was read
	known  bool        // hosts was read at all
}

// Start runs a Governor until ctx ends.
func Start(ctx context.Context, opts Options) *Governor {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	g := &Governor{
		opts: opts, done: make(chan struct{}), heard: map[table.HostID]plans.Host{},
		fences: map[table.HostID]table.Fence{},
	}

	// The runners ask each other through g; they are told apart by when they are started.
	started := make(chan struct{})
	around := surroundings{governor: g, started: started}

	g.lease = authority.Start(ctx, opts.Clock, opts.Platform, around, authority.Options{
		DataCentre: opts.DataCentre, Host: opts.Host, Address: opts.Address,
	}, opts.Seed)
	g.order = orders.Start(ctx, opts.Clock, opts.Platform, opts.Engines, g.lease.Lease, opts.DataCentre, orders.Options{})
	g.plan = plans.Start(ctx, opts.Clock, opts.Platform, site{governor: g, started: started}, opts.DataCentre)

	close(started)

	go g.run(ctx)

	return g
}

// Done is closed once all duties have ended.
func (g *Governor) Done() <-chan struct{} {
	return g.done
}

// Stop gives the lease up, when no order is on its way.
func (g *Governor) Stop() {
	g.stopping.Store(true)
}

// run reads the platform's host list and tells the orders which engines there are.
func (g *Governor) run(ctx context.Context) {
	defer close(g.done)

	tick := g.opts.Clock.NewTicker(listEvery)
	defer tick.Stop()

	for {
		g.order.SetTargets(g.engines())
		g.readHosts(ctx)

		select {
		case <-ctx.Done():
			<-g.lease.Done()
			<-g.order.Done()
			<-g.plan.Done()

			return
		case <-tick.Chan():
		}
	}
}

// engines returns the engines of this data centre.
func (g *Governor) engines() []table.Target {
	var engines []table.Target

	for _, t := range g.opts.Local.Targets() {
		if t.Type == table.Engine && t.DataCentre == g.opts.DataCentre {
			engines = append(engines, t)
		}
	}

	return engines
}

// readHosts reads the host list if this host stands by for the lease; the others do not need it.
func (g *Governor) readHosts(ctx context.Context) {
	if !g.standsBy() {
		return
	}

	fence, _ := g.lease.Held(g.opts.Clock.Now())

	ctx, cancel := context.WithTimeout(ctx, listBound)
	defer cancel()

	hosts, err := g.opts.Platform.Hosts(ctx)
	if err != nil {
		return
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	g.hosts, g.read, g.known = hosts, fence, true
}

func (g *Governor) standsBy() bool {
	if g.stopping.Load() || !g.opts.Local.Ready() {
		return false
	}

	ids := []table.HostID{g.opts.Host}

	for _, m := range g.homes() {
		if m.Ready && !m.Stopping {
			ids = append(ids, m.Host)
		}
	}

	for _, id := range authority.Standbys(g.opts.DataCentre, ids, standbys) {
		if id == g.opts.Host {
			return true
		}
	}

	return false
}

// homes returns the live peers of this data centre.
func (g *Governor) homes() []members.Member {
	var homes []members.Member

	for _, m := range g.opts.Local.Live() {
		if m.DataCentre == g.opts.DataCentre {
			homes = append(homes, m)
		}
	}

	return homes
}

// gone reports whether the platform's list says that the host at address has gone.
func (g *Governor) gone(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, h := range g.hosts {
		if h.Address == address {
			return h.State == platform.HostGone
		}
	}

	return false
}

// Plans returns the newest list of planned changes that this host knows.
func (g *Governor) Plans() plans.List {
	return g.plan.List()
}

// Obeyed says that traffic follows the list of generation n.
func (g *Governor) Obeyed(n plans.Generation) {
	g.obeyed.Store(uint64(n))
}

// Fill completes the digest of this host for a peer of its data centre.
func (g *Governor) Fill(d *peer.Digest) {
	fence, _ := g.lease.Held(g.opts.Clock.Now())
	d.Fence = uint64(fence)

	// The counts are taken after the acknowledged list was obeyed.
	d.PlansGeneration = g.obeyed.Load()
	d.Open = uint32(max(g.opts.Local.Open(), 0))

	list := g.plan.List()
	if list.Generation == 0 {
		return
	}

	for id := range plans.Held(list) {
		d.Use = append(d.Use, &peer.TargetUse{Target: string(id), InFlight: uint32(max(g.opts.Local.InFlight(id), 0))})
	}

	encoded, err := json.Marshal(list)
	if err != nil {
		g.opts.Log.Error().Err(err).Msg("cannot encode the plans")

		return
	}

	d.Plans = encoded
}

// Hear takes the digest of a peer of this data centre.
func (g *Governor) Hear(d *peer.Digest) {
	if len(d.GetPlans()) > 0 {
		var list plans.List
		if err := json.Unmarshal(d.GetPlans(), &list); err == nil {
			g.plan.Observe(list)
		}
	}

	h := plans.Host{
		ID: table.HostID(d.GetHost()), Acked: plans.Generation(d.GetPlansGeneration()), Open: int(d.GetOpen()),
		InFlight: map[table.TargetID]int{},
	}

	for _, use := range d.GetUse() {
		h.InFlight[table.TargetID(use.GetTarget())] = int(use.GetInFlight())
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	g.heard[h.ID] = h
	g.fences[h.ID] = table.Fence(d.GetFence())
}

// Holder returns the host that is known to hold the lease, and its fencing number.
func (g *Governor) Holder() (authority.Lease, bool) {
	l := g.lease.Lease()

	return l, l.Held(g.opts.Clock.Now())
}

// PeerHolder returns the live peer that last said that it holds the lease, or "".
func (g *Governor) PeerHolder() (table.HostID, table.Fence) {
	homes := g.homes()

	g.mu.Lock()
	defer g.mu.Unlock()

	var (
		holder table.HostID
		fence  table.Fence
	)

	for _, m := range homes {
		if f := g.fences[m.Host]; f > fence {
			holder, fence = m.Host, f
		}
	}

	return holder, fence
}

// Waits returns the engines whose orders wait for former holders.
func (g *Governor) Waits() []orders.Wait {
	return g.order.Waits()
}

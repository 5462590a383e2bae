package fleetcontrol

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
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("govern")

const (
	maxStandbys      = 3               // number of hosts of a data centre that are candidates for its lease
	hostListInterval = 2 * time.Second // between two reads of the platform's host list
	hostListTimeout  = 2 * time.Second // timeout of one read
)

// Platform is the part of the platform's API that this package uses.
type Platform interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Local is the entry host that runs the control duties. Its methods are called from several goroutines.
type Local interface {
	// Targets returns the targets of the configuration in force.
	Targets() []entity.Target
	// Live returns the live peers of all data centres.
	Live() []members.Member
	// Ready reports whether this host may take the lease.
	Ready() bool
	// Open returns the number of this host's open requests.
	Open() int
	// InFlight returns the number of this host's requests in flight at t.
	InFlight(t entity.TargetID) int
	// OnStopRequested is called when a plan requires this host to stop. It may be called again for the same plan.
	OnStopRequested()
}

// Options configure Start. All fields but Clock, Log and Seed are required.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	Log        *log.Logger     // nil means the default logger
	Host       entity.HostID
	Address    string // ip:port of this host's peer API, as in the platform's host list
	DataCentre entity.DataCentre
	Platform   Platform
	Engines    orders.Engines
	Local      Local
	Seed       uint64
}

// Controller runs the control duties of one host. It is safe for concurrent use.
type Controller struct {
	opts        Options
	leaseRunner *authority.Runner
	orderRunner *orders.Runner
	planRunner  *plans.Runner
	done        chan struct{}

	stopping     atomic.Bool
	appliedPlans atomic.Uint64 // generation of the plans that the routing of this host follows

	mu         sync.Mutex
	peerStates map[entity.HostID]plans.Host // from the last digest of each peer
	// fences are the fencing numbers of the leases that peers reported to hold; zero for none.
	fences         map[entity.HostID]entity.Fence
	hosts          []platform.Host // the platform's host list
	hostsReadUnder entity.Fence    // fencing number when hosts was read; zero if the lease was not held
	hostsRead      bool            // hosts was read at least once
}

// Start runs the control duties in the background until ctx ends.
func Start(ctx context.Context, opts Options) *Controller {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	c := &Controller{
		opts: opts, done: make(chan struct{}), peerStates: map[entity.HostID]plans.Host{},
		fences: map[entity.HostID]entity.Fence{},
	}

	// The runners call each other through c, so their callbacks wait until all of them are set.
	started := make(chan struct{})
	lease := leaseAdapter{controller: c, started: started}

	c.leaseRunner = authority.Start(ctx, opts.Clock, opts.Platform, lease, authority.Options{
		DataCentre: opts.DataCentre, Host: opts.Host, Address: opts.Address,
	}, opts.Seed)
	c.orderRunner = orders.Start(ctx, opts.Clock, opts.Platform, opts.Engines, c.leaseRunner.Lease,
		opts.DataCentre, orders.Options{})
	c.planRunner = plans.Start(ctx, opts.Clock, opts.Platform, planAdapter{controller: c, started: started}, opts.DataCentre)

	close(started)

	go c.run(ctx)

	return c
}

// Done returns a channel that is closed once all control duties have ended.
func (c *Controller) Done() <-chan struct{} {
	return c.done
}

// Stop makes this host release the lease as soon as no order is in flight, and not take it again. It does
// not wait.
func (c *Controller) Stop() {
	c.stopping.Store(true)
}

// run keeps the platform's host list and the engines of the order runner up to date until ctx ends, and
// then waits for the runners.
func (c *Controller) run(ctx context.Context) {
	defer close(c.done)

	tick := c.opts.Clock.NewTicker(hostListInterval)
	defer tick.Stop()

	for {
		c.orderRunner.SetTargets(c.engines())
		c.readHosts(ctx)

		select {
		case <-ctx.Done():
			<-c.leaseRunner.Done()
			<-c.orderRunner.Done()
			<-c.planRunner.Done()

			return
		case <-tick.Chan():
		}
	}
}

// engines returns the engines of this data centre in the configuration in force.
func (c *Controller) engines() []entity.Target {
	var engines []entity.Target

	for _, t := range c.opts.Local.Targets() {
		if t.Type == entity.Engine && t.DataCentre == c.opts.DataCentre {
			engines = append(engines, t)
		}
	}

	return engines
}

// readHosts reads the platform's host list if this host is a candidate for the lease; other hosts do not
// need the list. After an error the last list stays.
func (c *Controller) readHosts(ctx context.Context) {
	if !c.isStandby() {
		return
	}

	fence, _ := c.leaseRunner.Held(c.opts.Clock.Now())

	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()

	hosts, err := c.opts.Platform.Hosts(ctx)
	if err != nil {
		return
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.hosts, c.hostsReadUnder, c.hostsRead = hosts, fence, true
}

// isStandby reports whether this host is a candidate for the lease.
func (c *Controller) isStandby() bool {
	if c.stopping.Load() || !c.opts.Local.Ready() {
		return false
	}

	ids := []entity.HostID{c.opts.Host}

	for _, m := range c.homePeers() {
		if m.Ready && !m.Stopping {
			ids = append(ids, m.Host)
		}
	}

	for _, id := range authority.Standbys(c.opts.DataCentre, ids, maxStandbys) {
		if id == c.opts.Host {
			return true
		}
	}

	return false
}

// homePeers returns the live peers of this data centre.
func (c *Controller) homePeers() []members.Member {
	var peers []members.Member

	for _, m := range c.opts.Local.Live() {
		if m.DataCentre == c.opts.DataCentre {
			peers = append(peers, m)
		}
	}

	return peers
}

// hostGone reports whether the platform's host list marks the host at address as gone.
func (c *Controller) hostGone(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, h := range c.hosts {
		if h.Address == address {
			return h.State == platform.HostGone
		}
	}

	return false
}

// Plans returns the newest list of planned changes that this host has read or received from a peer.
func (c *Controller) Plans() plans.List {
	return c.planRunner.List()
}

// PlansApplied records that the routing of this host now follows the list of generation n.
func (c *Controller) PlansApplied(n plans.Generation) {
	c.appliedPlans.Store(uint64(n))
}

// FillDigest adds the fencing number, the plans and the request counts of this host to its digest for a peer of
// its data centre.
func (c *Controller) FillDigest(d *peer.Digest) {
	fence, _ := c.leaseRunner.Held(c.opts.Clock.Now())
	d.Fence = uint64(fence)

	// The counts must be read after the generation that they are to confirm.
	d.PlansGeneration = c.appliedPlans.Load()
	d.Open = uint32(max(c.opts.Local.Open(), 0))

	list := c.planRunner.List()
	if list.Generation == 0 {
		return
	}

	for id := range plans.ControlledTargets(list) {
		d.Use = append(d.Use, &peer.TargetUse{Target: string(id), InFlight: uint32(max(c.opts.Local.InFlight(id), 0))})
	}

	encoded, err := json.Marshal(list)
	if err != nil {
		c.opts.Log.Error().Err(err).Msg("cannot encode the plans")

		return
	}

	d.Plans = encoded
}

// MergeDigest applies the digest of a peer of this data centre. Plans that cannot be decoded are ignored.
func (c *Controller) MergeDigest(d *peer.Digest) {
	if len(d.GetPlans()) > 0 {
		var list plans.List
		if err := json.Unmarshal(d.GetPlans(), &list); err == nil {
			c.planRunner.Observe(list)
		}
	}

	h := plans.Host{
		ID: entity.HostID(d.GetHost()), Acked: plans.Generation(d.GetPlansGeneration()), TotalInFlight: int(d.GetOpen()),
		InFlight: map[entity.TargetID]int{},
	}

	for _, use := range d.GetUse() {
		h.InFlight[entity.TargetID(use.GetTarget())] = int(use.GetInFlight())
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.peerStates[h.ID] = h
	c.fences[h.ID] = entity.Fence(d.GetFence())
}

// Holder returns this host's lease and whether it is held now.
func (c *Controller) Holder() (authority.Lease, bool) {
	l := c.leaseRunner.Lease()

	return l, l.Held(c.opts.Clock.Now())
}

// PeerHolder returns the live peer whose last digest reports that it holds the lease, with its fencing number, or ""
// if there is none. If several peers report that, it returns the one with the highest number.
func (c *Controller) PeerHolder() (entity.HostID, entity.Fence) {
	peers := c.homePeers()

	c.mu.Lock()
	defer c.mu.Unlock()

	var (
		holder entity.HostID
		fence  entity.Fence
	)

	for _, m := range peers {
		if f := c.fences[m.Host]; f > fence {
			holder, fence = m.Host, f
		}
	}

	return holder, fence
}

// OrderWaits returns the engines whose orders wait until former holders of the lease have acknowledged that they
// lost it.
func (c *Controller) OrderWaits() []orders.BlockedOrder {
	return c.orderRunner.BlockedOrders()
}

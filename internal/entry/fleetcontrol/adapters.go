package fleetcontrol

import (
	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// leaseAdapter implements authority.Environment.
type leaseAdapter struct {
	controller *Controller
	started    <-chan struct{}
}

// AuthorityInput implements authority.Environment.
func (l leaseAdapter) AuthorityInput() authority.Tick {
	<-l.started

	c := l.controller

	return authority.Tick{
		Standby: c.isStandby(), NoOrdersInFlight: c.orderRunner.NoOrdersInFlight(), Stopping: c.stopping.Load(), HostGone: c.hostGone,
	}
}

// planAdapter implements plans.Site.
type planAdapter struct {
	controller *Controller
	started    <-chan struct{}
}

// Lease implements plans.Site.
func (p planAdapter) Lease() authority.Lease {
	<-p.started

	return p.controller.leaseRunner.Lease()
}

// Input implements plans.Site.
func (p planAdapter) Input() plans.Input {
	<-p.started

	c := p.controller
	in := plans.Input{Targets: map[entity.TargetID]entity.Target{}, Engines: map[entity.TargetID]orders.Engine{}}

	for _, t := range c.opts.Local.Targets() {
		if t.DataCentre != c.opts.DataCentre {
			continue
		}

		in.Targets[t.ID] = t

		if t.Type == entity.Engine {
			in.Engines[t.ID] = c.orderRunner.Engine(t.ID)
		}
	}

	in.Hosts, in.Complete = c.planHosts()

	return in
}

// Do implements plans.Site.
func (p planAdapter) Do(f entity.Fence, a plans.Action) {
	<-p.started

	switch a := a.(type) {
	case plans.Order:
		p.controller.orderRunner.SetDesired(f, a.Target, a.Setting)
	case plans.Stop:
		if a.Host == p.controller.opts.Host {
			p.controller.opts.Local.OnStopRequested()
		}
	case plans.Move:
		// Nothing to do: the plan waits until the streams on the target have ended.
	}
}

// planHosts returns the entry hosts of this data centre that may be running, this one included. The
// second result reports whether the list is complete: only if this host holds the lease and has read
// the platform's host list since it took the lease.
func (c *Controller) planHosts() ([]plans.Host, bool) {
	now := c.opts.Clock.Now()
	fence, held := c.leaseRunner.Held(now)
	peers := c.homePeers()

	c.mu.Lock()
	defer c.mu.Unlock()

	hosts := []plans.Host{c.ownState()}
	seen := map[string]bool{c.opts.Address: true}

	for _, m := range peers {
		seen[m.Address] = true
		hosts = append(hosts, c.peerState(m.Host))
	}

	for _, h := range c.hosts {
		if seen[h.Address] || h.DataCentre != "" && h.DataCentre != string(c.opts.DataCentre) {
			continue
		}

		// A listed host that sends no heartbeats may still send work to targets, until the list marks it as gone.
		hosts = append(hosts, plans.Host{ID: entity.HostID(h.Address), Gone: h.State == platform.HostGone})
	}

	return hosts, held && c.hostsRead && c.hostsReadUnder == fence
}

// peerState returns the state of the peer id by its last digest; the caller holds mu.
func (c *Controller) peerState(id entity.HostID) plans.Host {
	if h, ok := c.peerStates[id]; ok {
		return h
	}

	return plans.Host{ID: id}
}

// ownState returns the state of this host, as its digests would report it.
func (c *Controller) ownState() plans.Host {
	h := plans.Host{
		ID: c.opts.Host, Acked: plans.Generation(c.appliedPlans.Load()), TotalInFlight: c.opts.Local.Open(),
		InFlight: map[entity.TargetID]int{},
	}

	for id := range plans.ControlledTargets(c.planRunner.List()) {
		h.InFlight[id] = c.opts.Local.InFlight(id)
	}

	return h
}

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
	governor *Controller
	started  <-chan struct{}
}

// AuthorityInput implements authority.Environment.
func (s leaseAdapter) AuthorityInput() authority.Tick {
	<-s.started

	g := s.governor

	return authority.Tick{
		Standby: g.isStandby(), NoOrdersInFlight: g.orderRunner.Quiet(), Stopping: g.stopping.Load(), HostGone: g.hostGone,
	}
}

// planAdapter implements plans.Site.
type planAdapter struct {
	governor *Controller
	started  <-chan struct{}
}

// Lease implements plans.Site.
func (s planAdapter) Lease() authority.Lease {
	<-s.started

	return s.governor.leaseRunner.Lease()
}

// Input implements plans.Site.
func (s planAdapter) Input() plans.Input {
	<-s.started

	g := s.governor
	in := plans.Input{Targets: map[entity.TargetID]entity.Target{}, Engines: map[entity.TargetID]orders.Engine{}}

	for _, t := range g.opts.Local.Targets() {
		if t.DataCentre != g.opts.DataCentre {
			continue
		}

		in.Targets[t.ID] = t

		if t.Type == entity.Engine {
			in.Engines[t.ID] = g.orderRunner.Engine(t.ID)
		}
	}

	in.Hosts, in.Complete = g.planHosts()

	return in
}

// Do implements plans.Site.
func (s planAdapter) Do(f entity.Fence, a plans.Action) {
	<-s.started

	switch a := a.(type) {
	case plans.Order:
		s.governor.orderRunner.SetDesired(f, a.Target, a.Setting)
	case plans.Stop:
		if a.Host == s.governor.opts.Host {
			s.governor.opts.Local.StopAsked()
		}
	case plans.Move:
		// Nothing to do: the plan waits until the streams on the target have ended.
	}
}

// planHosts returns the entry hosts of this data centre that may be running, this one included. The
// second result reports whether the list is complete: only if this host holds the lease and has read
// the platform's host list since it took it.
func (g *Controller) planHosts() ([]plans.Host, bool) {
	now := g.opts.Clock.Now()
	fence, held := g.leaseRunner.Held(now)
	peers := g.homePeers()

	g.mu.Lock()
	defer g.mu.Unlock()

	hosts := []plans.Host{g.ownState()}
	seen := map[string]bool{g.opts.Address: true}

	for _, m := range peers {
		seen[m.Address] = true
		hosts = append(hosts, g.peerState(m.Host))
	}

	for _, h := range g.hosts {
		if seen[h.Address] || h.DataCentre != "" && h.DataCentre != string(g.opts.DataCentre) {
			continue
		}

		// A listed host that sends no heartbeats may still send work to targets, until the list marks it as gone.
		hosts = append(hosts, plans.Host{ID: entity.HostID(h.Address), Gone: h.State == platform.HostGone})
	}

	return hosts, held && g.hostsRead && g.hostsReadUnder == fence
}

// peerState returns the state of the peer id by its last digest; the caller holds mu.
func (g *Controller) peerState(id entity.HostID) plans.Host {
	if h, ok := g.peerStates[id]; ok {
		return h
	}

	return plans.Host{ID: id}
}

// ownState returns the state of this host, as its digests would report it.
func (g *Controller) ownState() plans.Host {
	h := plans.Host{
		ID: g.opts.Host, Acked: plans.Generation(g.appliedPlans.Load()), TotalInFlight: g.opts.Local.Open(),
		InFlight: map[entity.TargetID]int{},
	}

	for id := range plans.ControlledTargets(g.planRunner.List()) {
		h.InFlight[id] = g.opts.Local.InFlight(id)
	}

	return h
}

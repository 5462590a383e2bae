package govern

import (
	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// surroundings implements authority.Surroundings.
type surroundings struct {
	governor *Governor
	started  <-chan struct{}
}

// Authority implements authority.Surroundings.
func (s surroundings) Authority() authority.Tick {
	<-s.started

	g := s.governor

	return authority.Tick{
		Standby: g.standsBy(), Quiet: g.order.Quiet(), Stop: g.stopping.Load(), Gone: g.gone,
	}
}

// site implements plans.Site.
type site struct {
	governor *Governor
	started  <-chan struct{}
}

// Lease implements plans.Site.
func (s site) Lease() authority.Lease {
	<-s.started

	return s.governor.lease.Lease()
}

// Input implements plans.Site.
func (s site) Input() plans.Input {
	<-s.started

	g := s.governor
	in := plans.Input{Targets: map[table.TargetID]table.Target{}, Engines: map[table.TargetID]orders.Engine{}}

	for _, t := range g.opts.Local.Targets() {
		if t.DataCentre != g.opts.DataCentre {
			continue
		}

		in.Targets[t.ID] = t

		if t.Type == table.Engine {
			in.Engines[t.ID] = g.order.Engine(t.ID)
		}
	}

	in.Hosts, in.Complete = g.hostsInput()

	return in
}

// Do implements plans.Site.
func (s site) Do(f table.Fence, a plans.Action) {
	<-s.started

	switch a := a.(type) {
	case plans.Order:
		s.governor.order.Want(f, a.Target, a.Setting)
	case plans.Stop:
		if a.Host == s.governor.opts.Host {
			s.governor.opts.Local.StopAsked()
		}
	case plans.Move:
		// Streams on the target are waited for.
	}
}

// hostsInput returns the entry hosts of this data centre that may be running, this one included.
// It is complete only with a host list that was read under the present authority.
func (g *Governor) hostsInput() ([]plans.Host, bool) {
	now := g.opts.Clock.Now()
	fence, held := g.lease.Held(now)
	homes := g.homes()

	g.mu.Lock()
	defer g.mu.Unlock()

	hosts := []plans.Host{g.own()}
	seen := map[string]bool{g.opts.Address: true}

	for _, m := range homes {
		seen[m.Address] = true
		hosts = append(hosts, g.heardOf(m.Host))
	}

	for _, h := range g.hosts {
		if seen[h.Address] || h.DataCentre != "" && h.DataCentre != string(g.opts.DataCentre) {
			continue
		}

		// A listed host that is not heard may still send work, until the list says that it is gone.
		hosts = append(hosts, plans.Host{ID: table.HostID(h.Address), Gone: h.State == platform.HostGone})
	}

	return hosts, held && g.known && g.read == fence
}

// heardOf returns what the peer id said last; the caller holds mu.
func (g *Governor) heardOf(id table.HostID) plans.Host {
	if h, ok := g.heard[id]; ok {
		return h
	}

	return plans.Host{ID: id}
}

// own returns what this host would say of itself.
func (g *Governor) own() plans.Host {
	h := plans.Host{
		ID: g.opts.Host, Acked: plans.Generation(g.obeyed.Load()), Open: g.opts.Local.Open(),
		InFlight: map[table.TargetID]int{},
	}

	for id := range plans.Held(g.plan.List()) {
		h.InFlight[id] = g.opts.Local.InFlight(id)
	}

	return h
}

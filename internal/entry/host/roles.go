package host

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/entry/rolebalance"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// peerDemand is the demand in the last digest of a peer.
type peerDemand struct {
	at   time.Time // when the digest arrived; zero: no digest yet
	sums []rolebalance.ModelDemand
}

// roleState holds the state that role decisions need from earlier digests and decisions: the demand of peers, and when
// engines changed role. It is safe for concurrent use.
type roleState struct {
	mu        sync.Mutex
	demand    map[entity.HostID]peerDemand
	roles     map[entity.TargetID]entity.Role // role of each engine at the last call of roleChangedAt
	changedAt map[entity.TargetID]time.Time   // when the last change of role was seen
}

func newRoleState() *roleState {
	return &roleState{
		demand: map[entity.HostID]peerDemand{}, roles: map[entity.TargetID]entity.Role{}, changedAt: map[entity.TargetID]time.Time{},
	}
}

// recordDemand stores the demand in a peer's digest that arrived at now.
func (s *roleState) recordDemand(now time.Time, d *peer.Digest) {
	sums := make([]rolebalance.ModelDemand, 0, len(d.GetDemand()))

	for _, x := range d.GetDemand() {
		sums = append(sums, rolebalance.ModelDemand{
			Model:   entity.Model(x.GetModel()),
			Rate:    roles.Rate{Requests: x.GetRequests(), Prefill: x.GetPrefill(), Decode: x.GetDecode()},
			Backlog: roles.Rate{Requests: x.GetWaitingRequests(), Prefill: x.GetWaitingPrefill(), Decode: x.GetWaitingDecode()},
		})
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.demand[entity.HostID(d.GetHost())] = peerDemand{at: now, sums: sums}
}

// roleChangedAt records the present role of an engine and returns when it was last seen to change; zero if it never was.
func (s *roleState) roleChangedAt(now time.Time, id entity.TargetID, role entity.Role) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()

	if old, ok := s.roles[id]; ok && old != role {
		s.changedAt[id] = now
	}

	s.roles[id] = role

	return s.changedAt[id]
}

// models returns the models of the configured engines, sorted and without duplicates.
func (h *Host) models() []entity.Model {
	var models []entity.Model

	for _, t := range h.targets() {
		if t.Type == entity.Engine {
			models = append(models, t.Model)
		}
	}

	slices.Sort(models)

	return slices.Compact(models)
}

// appendDemand adds the demand that arrives at this host to the digest d for a peer.
func (h *Host) appendDemand(d *peer.Digest) {
	for _, s := range h.meter.Demand(h.models()) {
		d.Demand = append(d.Demand, &peer.Demand{
			Model: string(s.Model), Requests: s.Rate.Requests, Prefill: s.Rate.Prefill, Decode: s.Rate.Decode,
			WaitingRequests: s.Backlog.Requests, WaitingPrefill: s.Backlog.Prefill, WaitingDecode: s.Backlog.Decode,
		})
	}
}

// HoldsAuthority implements rolebalance.Site.
func (l local) HoldsAuthority() bool {
	_, held := l.host.fleetControl.Holder()

	return held
}

// Input implements rolebalance.Site.
func (l local) Input() (roles.Input, entity.Weights) {
	h := l.host
	now := h.opts.Clock.Now()
	in := roles.Input{Now: now}

	snapshot := h.config.Current()
	if snapshot == nil {
		return in, entity.Weights{}
	}

	reachable := h.network.Reachable()
	loads := h.loads.All()
	list := h.fleetControl.Plans()

	for _, t := range snapshot.Targets {
		if t.Type == entity.Engine && reachable[t.DataCentre] {
			in.Engines = append(in.Engines, h.engineInput(now, t, loads[t.ID], list))
		}
	}

	in.Loads = h.demandInputs(now, reachable)

	return in, snapshot.Weights
}

// engineInput returns the input of role decisions for the engine t. If a plan is changing the engine's role, Role is the
// planned role.
func (h *Host) engineInput(now time.Time, t entity.Target, load entity.Load, list plans.List) roles.Engine {
	role := h.router.Role(t.ID)
	e := roles.Engine{
		Target: t.ID, DataCentre: t.DataCentre, Model: t.Model, Role: role, PrefillRate: t.PrefillRate, DecodeRate: t.DecodeRate,
		ReportedAt: load.At, ChangedAt: h.roleState.roleChangedAt(now, t.ID, role), Changing: load.Changing,
		Unusable: t.Leaving || plans.ControlledTargets(list)[t.ID] || h.guard.Reserved(t.Model, t.ID), Open: load.Running + load.Queued,
	}

	for _, p := range list.Plans {
		if p.Target == t.ID && p.Kind == plans.RoleChange && !p.Phase.Ended() && p.Setting != nil {
			e.Role, e.Changing, e.Unusable = p.Setting.Role, true, t.Leaving
		}
	}

	return e
}

// demandInputs returns the demand of each reachable data centre and model, summed over the live hosts. The At of a sum is
// the time of the oldest demand in it. It is zero if a live host has not reported its demand yet, so that no decision is
// based on part of the demand.
func (h *Host) demandInputs(now time.Time, reachable map[entity.DataCentre]bool) []roles.Load {
	type part struct {
		dc     entity.DataCentre
		demand peerDemand
	}

	models := h.models()
	parts := []part{{h.opts.DataCentre, peerDemand{now, h.meter.Demand(models)}}}

	h.roleState.mu.Lock()

	for _, m := range h.network.Live() {
		if reachable[m.DataCentre] {
			parts = append(parts, part{m.DataCentre, h.roleState.demand[m.Host]})
		}
	}

	h.roleState.mu.Unlock()

	sums := map[roles.Source]roles.Load{}

	for _, p := range parts {
		for _, model := range models {
			source := roles.Source{DataCentre: p.dc, Model: model}

			sum, ok := sums[source]
			if !ok {
				sum = roles.Load{Source: source, At: now}
			}

			if p.demand.at.Before(sum.At) {
				sum.At = p.demand.at
			}

			for _, s := range p.demand.sums {
				if s.Model == model {
					sum.Rate, sum.Backlog = sum.Rate.Add(s.Rate), sum.Backlog.Add(s.Backlog)
				}
			}

			sums[source] = sum
		}
	}

	list := make([]roles.Load, 0, len(sums))
	for _, s := range sums {
		list = append(list, s)
	}

	return list
}

package host

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/balance"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// told is the demand that a peer told last.
type told struct {
	at   time.Time
	sums []balance.Sum
}

// changes notes what role decisions need to remember. It is safe for concurrent use.
type changes struct {
	mu    sync.Mutex
	told  map[table.HostID]told
	roles map[table.TargetID]table.Role // last seen
	since map[table.TargetID]time.Time  // when another role was seen first
}

func newChanges() *changes {
	return &changes{told: map[table.HostID]told{}, roles: map[table.TargetID]table.Role{}, since: map[table.TargetID]time.Time{}}
}

// hear takes the demand in the digest of a peer.
func (c *changes) hear(now time.Time, d *peer.Digest) {
	sums := make([]balance.Sum, 0, len(d.GetDemand()))

	for _, x := range d.GetDemand() {
		sums = append(sums, balance.Sum{
			Model:   table.Model(x.GetModel()),
			Rate:    roles.Rate{Requests: x.GetRequests(), Prefill: x.GetPrefill(), Decode: x.GetDecode()},
			Backlog: roles.Rate{Requests: x.GetWaitingRequests(), Prefill: x.GetWaitingPrefill(), Decode: x.GetWaitingDecode()},
		})
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.told[table.HostID(d.GetHost())] = told{at: now, sums: sums}
}

// changed returns when the role of an engine was seen to change, zero for long ago.
func (c *changes) changed(now time.Time, id table.TargetID, role table.Role) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()

	if old, ok := c.roles[id]; ok && old != role {
		c.since[id] = now
	}

	c.roles[id] = role

	return c.since[id]
}

// models returns the models that engines serve.
func (h *Host) models() []table.Model {
	var models []table.Model

	for _, t := range h.targets() {
		if t.Type == table.Engine {
			models = append(models, t.Model)
		}
	}

	slices.Sort(models)

	return slices.Compact(models)
}

// fillDemand tells a peer the demand that arrives here.
func (h *Host) fillDemand(d *peer.Digest) {
	for _, s := range h.meter.Sums(h.models()) {
		d.Demand = append(d.Demand, &peer.Demand{
			Model: string(s.Model), Requests: s.Rate.Requests, Prefill: s.Rate.Prefill, Decode: s.Rate.Decode,
			WaitingRequests: s.Backlog.Requests, WaitingPrefill: s.Backlog.Prefill, WaitingDecode: s.Backlog.Decode,
		})
	}
}

// Holds implements balance.Site.
func (l local) Holds() bool {
	_, held := l.host.governor.Holder()

	return held
}

// Input implements balance.Site.
func (l local) Input() (roles.Input, table.Weights) {
	h := l.host
	now := h.opts.Clock.Now()
	in := roles.Input{Now: now}

	snapshot := h.config.Current()
	if snapshot == nil {
		return in, table.Weights{}
	}

	reachable := h.network.Reachable()
	loads := h.loads.All()
	list := h.governor.Plans()

	for _, t := range snapshot.Targets {
		if t.Type == table.Engine && reachable[t.DataCentre] {
			in.Engines = append(in.Engines, h.engineOf(now, t, loads[t.ID], list))
		}
	}

	in.Loads = h.demandOf(now, reachable)

	return in, snapshot.Weights
}

func (h *Host) engineOf(now time.Time, t table.Target, load table.Load, list plans.List) roles.Engine {
	role := h.router.Role(t.ID)
	e := roles.Engine{
		Target: t.ID, DataCentre: t.DataCentre, Model: t.Model, Role: role, PrefillRate: t.PrefillRate, DecodeRate: t.DecodeRate,
		Reported: load.At, Changed: h.changes.changed(now, t.ID, role), Changing: load.Changing,
		Unusable: t.Leaving || plans.Held(list)[t.ID] || h.guard.Reserved(t.Model, t.ID), Open: load.Running + load.Queued,
	}

	for _, p := range list.Plans {
		if p.Target == t.ID && p.Kind == plans.RoleChange && !p.Phase.Ended() && p.Setting != nil {
			e.Role, e.Changing, e.Unusable = p.Setting.Role, true, t.Leaving
		}
	}

	return e
}

// demandOf sums the demand of each data centre in reach. Where a live host has told none the time
// is zero, so that nothing is decided on a part of the demand.
func (h *Host) demandOf(now time.Time, reachable map[table.DataCentre]bool) []roles.Load {
	type part struct {
		dc   table.DataCentre
		told told
	}

	models := h.models()
	parts := []part{{h.opts.DataCentre, told{now, h.meter.Sums(models)}}}

	h.changes.mu.Lock()

	for _, m := range h.network.Live() {
		if reachable[m.DataCentre] {
			parts = append(parts, part{m.DataCentre, h.changes.told[m.Host]})
		}
	}

	h.changes.mu.Unlock()

	sums := map[roles.Source]roles.Load{}

	for _, p := range parts {
		for _, model := range models {
			source := roles.Source{DataCentre: p.dc, Model: model}

			sum, ok := sums[source]
			if !ok {
				sum = roles.Load{Source: source, At: now}
			}

			if p.told.at.Before(sum.At) {
				sum.At = p.told.at
			}

			for _, s := range p.told.sums {
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

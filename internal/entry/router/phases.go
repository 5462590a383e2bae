package router

import (
	"maps"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/routing"
)

// Role returns the role that an engine last reported, or its configured role before the first report. Before
// the first Refresh every engine is Mixed.
func (r *Router) Role(t entity.TargetID) entity.Role {
	roles := r.roles.Load()
	if roles == nil {
		return entity.Mixed
	}

	return (*roles)[t]
}

// PickDecode chooses an engine in the data centre near that may run the decode of req and is not among tried.
// It prefers req.PreferredDecode while tried is empty. It reports false if no engine is usable.
func (r *Router) PickDecode(req entity.Request, near entity.DataCentre, tried []entity.TargetID) (entity.Target, bool) {
	view, snapshot := r.dataCentreView.Load(), r.snapshot.Load()
	if view == nil {
		return entity.Target{}, false
	}

	if t, ok := findTarget(snapshot, req.PreferredDecode); ok && len(tried) == 0 && t.DataCentre == near && r.canDecode(t, req) &&
		!r.recentlyRefused(t.ID) {
		return t, true
	}

	q := routing.Request{
		Model: req.Kind.Model, Phase: routing.Decode, Urgency: req.Kind.Urgency, Decode: req.Decode, Near: near,
	}

	return r.pickFrom(view, q, tried, func(t entity.Target) bool { return t.DataCentre == near && r.canDecode(t, req) })
}

// canDecode reports whether t serves the model of req, runs decodes and is usable.
func (r *Router) canDecode(t entity.Target, req entity.Request) bool {
	return t.Model == req.Kind.Model && r.Role(t.ID) != entity.Prefill && r.usable(t, req)
}

// canHandOver reports whether a request whose prompt runs on t can be completed: either t runs both phases, or
// there is an engine in its data centre that can fetch the KV cache and run the decode.
func (r *Router) canHandOver(req entity.Request, t entity.Target) bool {
	if t.Type != entity.Engine || r.Role(t.ID) != entity.Prefill {
		return true
	}

	_, ok := r.PickDecode(req, t.DataCentre, nil)

	return ok
}

// rolesOf returns the role of each target of snapshot: the reported role if there is a report, otherwise the
// configured one.
func rolesOf(snapshot *entity.Snapshot, loads map[entity.TargetID]entity.Load) map[entity.TargetID]entity.Role {
	roles := make(map[entity.TargetID]entity.Role, len(snapshot.Targets))

	for _, t := range snapshot.Targets {
		roles[t.ID] = t.Role
	}

	for l := range maps.Values(loads) {
		if _, ok := roles[l.Target]; ok {
			roles[l.Target] = l.Role
		}
	}

	return roles
}

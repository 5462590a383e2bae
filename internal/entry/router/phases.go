package router

import (
	"maps"
	"slices"

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

// PickDecode chooses an engine in the data centre near that may run the decode of req, whose prompt runs on req.Preferred,
// and is not among tried. Engines that are known to run another software version than req.Preferred cannot use its KV
// cache. PickDecode prefers req.PreferredDecode while tried is empty. It reports false if no engine is usable.
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

	accepts := func(t entity.Target) bool { return t.DataCentre == near && r.canDecode(t, req) }

	t, ok := r.pickFrom(view, q, tried, accepts)
	if ok || !r.versions.known(req.Preferred) {
		return t, ok
	}

	// The engines of one version may be too few to be drawn.
	return r.leastUsed(snapshot, func(t entity.Target) bool { return !slices.Contains(tried, t.ID) && accepts(t) })
}

// leastUsed returns the target that accepts returns true for and that has the fewest requests of this host.
func (r *Router) leastUsed(snapshot *entity.Snapshot, accepts func(entity.Target) bool) (entity.Target, bool) {
	var (
		best  entity.Target
		found bool
	)

	for _, t := range snapshot.Targets {
		if accepts(t) && (!found || r.InFlight(t.ID) < r.InFlight(best.ID)) {
			best, found = t, true
		}
	}

	return best, found
}

// canDecode reports whether t serves the model of req, runs decodes, is usable and is not known to run another software
// version than req.Preferred.
func (r *Router) canDecode(t entity.Target, req entity.Request) bool {
	return t.Model == req.Kind.Model && r.Role(t.ID) != entity.Prefill && r.versions.mayMatch(t.ID, req.Preferred) && r.usable(t, req)
}

// canHandOver reports whether a request whose prompt runs on t can be completed: either t runs both phases, or
// there is an engine in its data centre that can fetch the KV cache and run the decode.
func (r *Router) canHandOver(req entity.Request, t entity.Target) bool {
	if t.Type != entity.Engine || r.Role(t.ID) != entity.Prefill {
		return true
	}

	req.Preferred = t.ID
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

package plans

import (
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
)

const (
	// gateTimeout is how long a plan waits for the order that closes the target's own gate to be
	// recorded. After that, the plan announces that the target is leaving even if no order is recorded.
	gateTimeout = time.Second
	// moveAfter is how long a plan waits for requests in flight before it requests hosts to move them.
	moveAfter = 30 * time.Second
	// missingAfter is how long a target or host must be missing from the Input before its plan ends;
	// the holder's configuration and host list may be older than the plan.
	missingAfter = 30 * time.Second
	// downAfter is how long an engine must have been silent before the plan stops waiting for the engine's own
	// count of requests in flight.
	downAfter = 30 * time.Second
	// maxEndedPlans is the number of ended plans that a List keeps for operators to read.
	maxEndedPlans = 100
)

// Host is an entry host that may send work to the targets of the data centre. Unreachable hosts are
// included until the platform's host list no longer has them.
type Host struct {
	ID            entity.HostID
	Gone          bool                    // the platform's host list shows the host as gone
	Acked         Generation              // generation of the newest List that the host has applied
	InFlight      map[entity.TargetID]int // the host's requests at each target, counted after it applied Acked
	TotalInFlight int                     // all requests of the host, counted after it applied Acked
}

// Input is the lease holder's view of the data centre.
type Input struct {
	Now time.Time
	// Complete means that Hosts has every host that may be running, by the platform's host list as
	// read under the current lease, and that Targets comes from an accepted configuration. While it
	// is false, acknowledgements don't count, and no plan fails because of an unknown name.
	Complete bool
	Hosts    []Host
	Targets  map[entity.TargetID]entity.Target
	Engines  map[entity.TargetID]orders.Engine // state of the gated targets
}

// Advance returns a copy of l in which each plan has made the step that in allows, if any, and whether
// a plan changed. It does not modify l.
func Advance(l List, in Input) (List, bool) {
	next := List{Generation: l.Generation + 1, Plans: slices.Clone(l.Plans)}
	changed := false

	for i := range next.Plans {
		p := advance(next.Plans[i], in)
		if p.Phase == next.Plans[i].Phase && p.PreviousSetting == next.Plans[i].PreviousSetting {
			continue
		}

		if p.leaving() && p.LeavingGeneration == 0 {
			p.LeavingGeneration = next.Generation
		}

		p.Since = in.Now
		next.Plans[i] = p
		changed = true
	}

	if !changed {
		return l, false
	}

	next.Plans = trim(next.Plans)

	return next, true
}

// trim drops the oldest ended plans that control no target, down to maxEndedPlans.
func trim(plans []Plan) []Plan {
	ended := 0

	for _, p := range plans {
		if !p.controls() {
			ended++
		}
	}

	return slices.DeleteFunc(plans, func(p Plan) bool {
		if p.controls() || ended <= maxEndedPlans {
			return false
		}

		ended--

		return true
	})
}

func advance(p Plan, in Input) Plan {
	if p.Cancel && p.cancellable() {
		p.Phase = Reopening

		return p
	}

	if !in.exists(p) {
		return endMissing(p, in)
	}

	if p.PreviousSetting == nil && in.Targets[p.Target].Gated && !p.Phase.Ended() {
		if s, ok := currentSetting(in.Engines[p.Target]); ok {
			p.PreviousSetting = &s

			return p
		}
	}

	switch p.Phase {
	case Declared:
		if in.mayAnnounce(p) {
			p.Phase = Closing
		}
	case Closing:
		if in.closed(p) {
			p.Phase = Waiting
		}
	case Waiting:
		if in.drained(p) {
			p.Phase = Ordering
		}
	case Ordering:
		if in.ordersSettled(p) {
			p.Phase = Done
		}
	case Reopening:
		if p.PreviousSetting == nil || in.Engines[p.Target].Settled(*p.PreviousSetting) {
			p.Phase = Cancelled
		}
	}

	return p
}

func (p Plan) cancellable() bool {
	switch p.Phase {
	case Declared, Closing, Waiting:
		return true
	case Done:
		return p.Kind == Drain
	default:
		return false
	}
}

// exists reports whether the target or host of p is known. The replacement and the host need to be
// known only while p is Declared.
func (in Input) exists(p Plan) bool {
	if p.Kind == StopHost {
		listed := slices.ContainsFunc(in.Hosts, func(h Host) bool { return h.ID == p.Host })

		return listed || p.Phase != Declared
	}

	_, known := in.Targets[p.Target]
	_, replaced := in.Targets[p.Replacement]

	return known && (replaced || p.Kind != Replace || p.Phase != Declared)
}

// endMissing ends a plan whose target, replacement or host is not known, once missingAfter has passed
// since the plan last changed.
func endMissing(p Plan, in Input) Plan {
	switch {
	case !in.Complete, in.Now.Before(p.Since.Add(missingAfter)):
	case p.Phase == Done && p.leaving():
		p.Phase = Retired
	case p.Phase.Ended():
	case p.Phase == Reopening:
		p.Phase = Cancelled
	default:
		p.Phase, p.Reason = Failed, "the target, its replacement or the host is not known"
	}

	return p
}

// mayAnnounce reports whether p may announce to the hosts that its target is leaving. The order that
// closes the target's gate is recorded first, unless that takes longer than gateTimeout, so that the gate
// can close even if the platform is unavailable from then on.
func (in Input) mayAnnounce(p Plan) bool {
	if !in.Targets[p.Target].Gated || !in.Now.Before(p.Since.Add(gateTimeout)) {
		return true
	}

	e := in.Engines[p.Target]

	return e.IntentCurrent && e.Intent.Number > 0 && e.Intent.Admission == orders.Closed
}

// currentSetting returns the setting of the engine e: that of its last order or, if it never got one,
// the one that it reports. It returns false if neither is known.
func currentSetting(e orders.Engine) (orders.Setting, bool) {
	switch {
	case e.IntentCurrent && e.Intent.Number > 0:
		return e.Intent.Setting, true
	case e.IntentCurrent && e.StateCurrent && !e.State.Unknown && !e.State.Changing:
		return e.State.Setting, true
	default:
		return orders.Setting{}, false
	}
}

// gateClosed reports whether the target has a gate and reports it as closed.
func (in Input) gateClosed(id entity.TargetID) bool {
	e := in.Engines[id]

	return in.Targets[id].Gated && e.StateCurrent && !e.State.Unknown && !e.State.Changing && e.State.Admission == orders.Closed
}

// closed reports whether no new work can reach the target or host of p.
func (in Input) closed(p Plan) bool {
	if p.Kind == StopHost {
		return in.everyHost(func(h Host) bool { return h.ID != p.Host || h.Acked >= p.LeavingGeneration })
	}

	return in.gateClosed(p.Target) || in.everyHost(func(h Host) bool { return h.Acked >= p.LeavingGeneration })
}

// drained reports whether nothing is in flight at the target or host of p. With a closed gate, the
// engine's own count covers hosts that have not acknowledged; otherwise, every host must have
// acknowledged or be gone.
func (in Input) drained(p Plan) bool {
	if p.Kind == StopHost {
		return in.everyHost(func(h Host) bool { return h.ID != p.Host || h.Acked >= p.LeavingGeneration && h.TotalInFlight == 0 })
	}

	if !in.idle(p.Target) {
		return false
	}

	closed := in.gateClosed(p.Target)

	return in.everyHost(func(h Host) bool {
		if h.Acked < p.LeavingGeneration {
			return closed
		}

		return h.InFlight[p.Target] == 0
	})
}

// idle reports whether the target id has nothing in flight by its own count, or has no gate and so
// reports no count. An engine may still run requests of a host that died, whose callers come back for the
// answers. An engine that has not answered for downAfter counts as idle.
func (in Input) idle(id entity.TargetID) bool {
	e := in.Engines[id]

	switch {
	case !in.Targets[id].Gated:
		return true
	case e.StateCurrent:
		return e.State.InFlight == 0
	default:
		return !e.SilentSince.IsZero() && !in.Now.Before(e.SilentSince.Add(downAfter))
	}
}

func (in Input) everyHost(ok func(Host) bool) bool {
	return in.Complete && !slices.ContainsFunc(in.Hosts, func(h Host) bool { return !h.Gone && !ok(h) })
}

// ordersSettled reports whether all orders of p are settled; true if p has none.
func (in Input) ordersSettled(p Plan) bool {
	switch p.Kind {
	case RoleChange:
		return in.Engines[p.Target].Settled(*p.Setting)
	case Replace:
		e := in.Engines[p.Replacement]

		return !in.Targets[p.Replacement].Gated || e.IntentCurrent && !e.Intent.Open && e.Intent.Admission == orders.Open
	default:
		return true
	}
}

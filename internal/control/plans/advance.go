package plans

import (
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	// gateWait is how long a plan waits, before it announces that a target is leaving, for the
	// order that closes the target's own gate to be on record.
	gateWait = time.Second
	// moveAfter is how long work in flight may go on before it is moved.
	moveAfter = 30 * time.Second
	// absentFor is how long a target or host must be missing from what whoever carries out a plan
	// knows; the configuration and the host list may be older than the plan.
	absentFor = 30 * time.Second
	// downAfter is how long an engine must be silent before its own count is not waited for.
	downAfter = 30 * time.Second
	// keepEnded is the number of ended plans that a List keeps for its readers.
	keepEnded = 100
)

// Host is an entry host of the data centre that may send work to its targets. Hosts that are not
// heard are listed too, until the platform's host list says that they are gone.
type Host struct {
	ID       table.HostID
	Gone     bool
	Acked    Generation             // newest List that it has put into use
	InFlight map[table.TargetID]int // its requests at each target, counted after it acted on Acked
	Open     int                    // all its requests, counted likewise
}

// Input is what the holder of the authority knows.
type Input struct {
	Now time.Time
	// Complete says that Hosts has every host that may be running, by the platform's host list as
	// read under the present authority, and that Targets is of an accepted configuration. Until
	// then no plan counts on acknowledgements, and none fails for a name that is not known.
	Complete bool
	Hosts    []Host
	Targets  map[table.TargetID]table.Target
	Engines  map[table.TargetID]orders.Engine // of gated targets
}

// Advance returns l with each plan taken as far as in allows, and whether anything changed. It
// leaves l unchanged.
func Advance(l List, in Input) (List, bool) {
	next := List{Generation: l.Generation + 1, Plans: slices.Clone(l.Plans)}
	changed := false

	for i := range next.Plans {
		p := advance(next.Plans[i], in)
		if p.Phase == next.Plans[i].Phase && p.Before == next.Plans[i].Before {
			continue
		}

		if p.leaving() && p.From == 0 {
			p.From = next.Generation
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

// trim drops the oldest plans that ended and determine nothing.
func trim(plans []Plan) []Plan {
	ended := 0

	for _, p := range plans {
		if !p.holds() {
			ended++
		}
	}

	return slices.DeleteFunc(plans, func(p Plan) bool {
		if p.holds() || ended <= keepEnded {
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

	if !in.knows(p) {
		return withoutTarget(p, in)
	}

	if p.Before == nil && in.Targets[p.Target].Gated && !p.Phase.Ended() {
		if s, ok := present(in.Engines[p.Target]); ok {
			p.Before = &s

			return p
		}
	}

	switch p.Phase {
	case Declared:
		if in.announced(p) {
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
		if in.ordered(p) {
			p.Phase = Done
		}
	case Reopening:
		if p.Before == nil || in.Engines[p.Target].Settled(*p.Before) {
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

// knows reports whether what p names exists. A replacement and a host must do so at the start.
func (in Input) knows(p Plan) bool {
	if p.Kind == StopHost {
		listed := slices.ContainsFunc(in.Hosts, func(h Host) bool { return h.ID == p.Host })

		return listed || p.Phase != Declared
	}

	_, known := in.Targets[p.Target]
	_, replaced := in.Targets[p.Replacement]

	return known && (replaced || p.Kind != Replace || p.Phase != Declared)
}

// withoutTarget ends a plan whose target left the configuration, or whose host never was listed.
func withoutTarget(p Plan, in Input) Plan {
	switch {
	case !in.Complete, in.Now.Before(p.Since.Add(absentFor)):
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

// announced reports whether hosts are to be told that the target of p is leaving. The order that
// closes its gate goes on record first, so that from then on the gate closes without the platform.
func (in Input) announced(p Plan) bool {
	if !in.Targets[p.Target].Gated || !in.Now.Before(p.Since.Add(gateWait)) {
		return true
	}

	e := in.Engines[p.Target]

	return e.Recorded && e.Intent.Number > 0 && e.Intent.Admission == orders.Closed
}

// present returns the setting that the engine e is to have.
func present(e orders.Engine) (orders.Setting, bool) {
	switch {
	case e.Recorded && e.Intent.Number > 0:
		return e.Intent.Setting, true
	case e.Recorded && e.Stated && !e.State.Unknown && !e.State.Changing:
		return e.State.Setting, true
	default:
		return orders.Setting{}, false
	}
}

// shut reports whether the target's own gate is closed.
func (in Input) shut(id table.TargetID) bool {
	e := in.Engines[id]

	return in.Targets[id].Gated && e.Stated && !e.State.Unknown && !e.State.Changing && e.State.Admission == orders.Closed
}

// closed reports whether no new work can reach what p closes.
func (in Input) closed(p Plan) bool {
	if p.Kind == StopHost {
		return in.every(func(h Host) bool { return h.ID != p.Host || h.Acked >= p.From })
	}

	return in.shut(p.Target) || in.every(func(h Host) bool { return h.Acked >= p.From })
}

// drained reports whether nothing is in flight at what p closes. Behind a shut gate the engine
// counts for the hosts that are not heard; without one they must be heard or gone.
func (in Input) drained(p Plan) bool {
	if p.Kind == StopHost {
		return in.every(func(h Host) bool { return h.ID != p.Host || h.Acked >= p.From && h.Open == 0 })
	}

	if !in.idle(p.Target) {
		return false
	}

	shut := in.shut(p.Target)

	return in.every(func(h Host) bool {
		if h.Acked < p.From {
			return shut
		}

		return h.InFlight[p.Target] == 0
	})
}

// idle reports whether the target id, if it can tell, has nothing in flight. It may run requests
// of a host that died, whose callers come back for them.
func (in Input) idle(id table.TargetID) bool {
	e := in.Engines[id]

	switch {
	case !in.Targets[id].Gated:
		return true
	case e.Stated:
		return e.State.InFlight == 0
	default:
		return !e.Silent.IsZero() && !in.Now.Before(e.Silent.Add(downAfter))
	}
}

func (in Input) every(ok func(Host) bool) bool {
	return in.Complete && !slices.ContainsFunc(in.Hosts, func(h Host) bool { return !h.Gone && !ok(h) })
}

// ordered reports whether the orders of p, if it gives any, are settled.
func (in Input) ordered(p Plan) bool {
	switch p.Kind {
	case RoleChange:
		return in.Engines[p.Target].Settled(*p.Setting)
	case Replace:
		e := in.Engines[p.Replacement]

		return !in.Targets[p.Replacement].Gated || e.Recorded && !e.Intent.Open && e.Intent.Admission == orders.Open
	default:
		return true
	}
}

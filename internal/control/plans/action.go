package plans

import (
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
)

// Order sets the desired setting of the engine Target, through orders.Runner.SetDesired.
type Order struct {
	Target  entity.TargetID
	Setting orders.Setting
}

// Move requests the entry hosts to move their streams off Target, by resuming them elsewhere or by
// exporting the KV cache, where possible. The plan waits for the streams that can't move.
type Move struct{ Target entity.TargetID }

// Stop permits Host to exit: it takes no new work and has none in flight.
type Stop struct{ Host entity.HostID }

// Action is an Order, a Move or a Stop. Each is idempotent and may be repeated.
type Action interface{ planned() }

func (Order) planned() {}
func (Move) planned()  {}
func (Stop) planned()  {}

// Actions returns the actions that the plans of l require now. l must already be stored in the
// platform, so that the next lease holder takes the same actions.
func Actions(l List, in Input) []Action {
	var actions []Action

	for _, p := range l.Plans {
		if a := action(p, in); a != nil {
			actions = append(actions, a)
		}

		if p.Phase == Waiting && p.Target != "" && !in.Now.Before(p.Since.Add(moveAfter)) {
			actions = append(actions, Move{Target: p.Target})
		}
	}

	return actions
}

func action(p Plan, in Input) Action {
	switch {
	case p.Kind == StopHost:
		if p.Phase == Done {
			return Stop{Host: p.Host}
		}

		return nil
	case p.Phase == Ordering && p.Kind == RoleChange && in.orderSafe(p):
		return Order{Target: p.Target, Setting: *p.Setting}
	case p.Phase == Ordering && p.Kind == Replace:
		return openReplacement(p, in)
	case p.PreviousSetting == nil, p.Phase == Ordering && !in.Engines[p.Target].IntentCurrent:
		return nil
	case p.Phase == Reopening:
		return Order{Target: p.Target, Setting: *p.PreviousSetting}
	case p.Phase == Declared, p.leaving():
		closed := *p.PreviousSetting
		closed.Admission = orders.Closed

		return Order{Target: p.Target, Setting: closed}
	default:
		return nil
	}
}

// orderSafe reports whether the order of p interrupts no request: nothing is in flight, or the order is on
// record already. The phase Ordering does not ensure this, as an engine that restarted after it was drained
// may admit requests again.
func (in Input) orderSafe(p Plan) bool {
	e := in.Engines[p.Target]

	return in.drained(p) || e.IntentCurrent && e.Intent.Setting == *p.Setting
}

// openReplacement returns the order that opens the admission of p's replacement and keeps the rest of
// its setting, or nil if the replacement has no gate or its setting is not known.
func openReplacement(p Plan, in Input) Action {
	s, ok := currentSetting(in.Engines[p.Replacement])
	if !ok || !in.Targets[p.Replacement].Gated {
		return nil
	}

	s.Admission = orders.Open

	return Order{Target: p.Replacement, Setting: s}
}

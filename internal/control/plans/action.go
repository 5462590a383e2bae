package plans

import (
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Order asks for the setting of an engine, as orders.Runner.Want takes it.
type Order struct {
	Target  table.TargetID
	Setting orders.Setting
}

// Move asks the entry hosts to move their streams off Target, by resume or by export of the KV
// cache, where that can be done. Streams that can't move are waited for.
type Move struct{ Target table.TargetID }

// Stop tells Host that it may end: it has taken no new work and has none left.
type Stop struct{ Host table.HostID }

// Action is an Order, a Move or a Stop. Each is idempotent and may be given again.
type Action interface{ planned() }

func (Order) planned() {}
func (Move) planned()  {}
func (Stop) planned()  {}

// Actions returns what the plans of l ask for now. l must be on record: whoever takes over then
// asks for the same.
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
	case p.Phase == Ordering && p.Kind == RoleChange && in.mayChange(p):
		return Order{Target: p.Target, Setting: *p.Setting}
	case p.Phase == Ordering && p.Kind == Replace:
		return reopen(p, in)
	case p.Before == nil, p.Phase == Ordering && !in.Engines[p.Target].Recorded:
		return nil
	case p.Phase == Reopening:
		return Order{Target: p.Target, Setting: *p.Before}
	case p.Phase == Declared, p.leaving():
		shut := *p.Before
		shut.Admission = orders.Closed

		return Order{Target: p.Target, Setting: shut}
	default:
		return nil
	}
}

// mayChange reports whether the order of p cuts nothing. An engine that restarted since it was
// drained may have an open gate again.
func (in Input) mayChange(p Plan) bool {
	e := in.Engines[p.Target]

	return in.drained(p) || e.Recorded && e.Intent.Setting == *p.Setting
}

// reopen opens the replacement in p, whatever else it is set to.
func reopen(p Plan, in Input) Action {
	s, ok := present(in.Engines[p.Replacement])
	if !ok || !in.Targets[p.Replacement].Gated {
		return nil
	}

	s.Admission = orders.Open

	return Order{Target: p.Replacement, Setting: s}
}

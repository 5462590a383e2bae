package orders

import (
	"errors"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// next returns the action that e is due, or nil.
func (m *Machine) next(now time.Time, r authority.Record, e *entry) Action {
	switch {
	case !e.loaded:
		return ReadIntent{Target: e.target.ID}
	case e.intent.Fence != m.fence:
		return m.adopt(r, e)
	case e.intent.Open:
		return m.finish(now, r, e)
	case e.wanted != nil && (e.intent.Number == 0 || *e.wanted != e.intent.Setting):
		return m.record(now, r, e)
	case now.Before(e.askAt):
		return nil
	case e.stated && e.intent.Number > 0 && m.astray(e):
		return m.write(e, m.reopened(e))
	default:
		return Ask{Target: e.target.ID, Fence: m.fence}
	}
}

// astray reports whether the engine lost the setting of its settled order, as by a restart.
func (m *Machine) astray(e *entry) bool {
	return e.state.Unknown || !e.state.Changing && e.state.Setting != e.intent.Setting
}

// adopt brings the intent under the present fence, so that a former holder's conditional write
// fails from here on.
func (m *Machine) adopt(r authority.Record, e *entry) Action {
	i := e.intent.withoutPending(r.Cleared)
	i.Fence = m.fence

	if i.Open {
		i = i.withPending(m.fence)
	}

	return m.write(e, i)
}

func (m *Machine) write(e *entry, i Intent) Action {
	return WriteIntent{Target: e.target.ID, Expect: e.version, Intent: i}
}

// reopened returns the settled intent of e as open again: the same order.
func (m *Machine) reopened(e *entry) Intent {
	i := e.intent.withPending(m.fence)
	i.Open = true

	return i
}

// others reports whether an order of another fence may be on its way to the engine.
func (m *Machine) others(r authority.Record, e *entry) bool {
	return slices.ContainsFunc(e.intent.Pending, func(f table.Fence) bool {
		return f != m.fence && !r.Cleared(f)
	})
}

// fenced reports whether the engine refuses the orders of all former holders.
func (m *Machine) fenced(e *entry) bool {
	return e.target.ChecksFencing && e.stated && e.state.Fence == m.fence
}

// record writes the intent of a different order, if none of a former holder can have an effect.
func (m *Machine) record(now time.Time, r authority.Record, e *entry) Action {
	if !m.others(r, e) || m.fenced(e) {
		i := e.intent.withoutPending(r.Cleared).withPending(m.fence)
		i.Open = true
		i.Order = Order{Setting: *e.wanted, Fence: m.fence, Number: e.intent.Number + 1}

		return m.write(e, i)
	}

	if !e.target.ChecksFencing || !e.stated {
		return m.ask(now, e)
	}

	// Giving the same order again tells the engine the present fence.
	return m.write(e, m.reopened(e))
}

func (m *Machine) ask(now time.Time, e *entry) Action {
	if now.Before(e.askAt) {
		return nil
	}

	return Ask{Target: e.target.ID, Fence: m.fence}
}

// finish brings the open order of e to its end.
func (m *Machine) finish(now time.Time, r authority.Record, e *entry) Action {
	if !e.stated || e.state.Changing {
		return m.ask(now, e)
	}

	arrived := !e.state.Unknown && e.state.Setting == e.intent.Setting
	proven := !e.target.ChecksFencing || !m.others(r, e) || m.fenced(e)

	if !arrived || !proven {
		return Send{Target: e.target.ID, Order: e.intent.Order}
	}

	if now.Before(e.quietAt) {
		return m.ask(now, e)
	}

	return m.write(e, m.settled(r, e))
}

func (m *Machine) settled(r authority.Record, e *entry) Intent {
	i := e.intent.withoutPending(func(f table.Fence) bool { return f == m.fence || r.Cleared(f) })
	i.Open = false

	return i
}

// Sent hands back the result of a Send.
func (m *Machine) Sent(now time.Time, a Send, s State, err error) {
	e := m.entries[a.Target]
	e.busy, e.sending = false, false

	m.learn(now, e, a.Order.Fence, s, err)

	switch {
	case err == nil:
	case errors.Is(err, ErrFenced), errors.Is(err, ErrNotSent):
		e.retryAt = now.Add(m.opts.Retry)
	default:
		e.retryAt = now.Add(m.opts.Retry)
		e.quietAt = now.Add(m.opts.ConnectionLifetime)
	}
}

// Wait says that the engine Target gets no different order for now.
type Wait struct {
	Target table.TargetID
	Fences []table.Fence // former holders that have not acknowledged their loss
}

// Waits returns the engines whose wanted setting waits for former holders, ordered by id.
func (m *Machine) Waits(r authority.Record) []Wait {
	var waits []Wait

	for _, id := range m.ids {
		e := m.entries[id]
		if !e.loaded || e.target.ChecksFencing || e.wanted == nil || *e.wanted == e.intent.Setting || !m.others(r, e) {
			continue
		}

		waits = append(waits, Wait{Target: id, Fences: slices.DeleteFunc(slices.Clone(e.intent.Pending), func(f table.Fence) bool {
			return f == m.fence || r.Cleared(f)
		})})
	}

	return waits
}

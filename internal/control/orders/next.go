package orders

import (
	"errors"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// next returns the action that is due for e, or nil.
func (m *Machine) next(now time.Time, r authority.Record, e *entry) Action {
	switch {
	case !e.loaded:
		return ReadIntent{Target: e.target.ID}
	case e.intent.Fence != m.fence:
		return m.adopt(r, e)
	case e.intent.Open:
		return m.finishOpenOrder(now, r, e)
	case e.desired != nil && (e.intent.Number == 0 || *e.desired != e.intent.Setting):
		return m.writeNewOrder(now, r, e)
	case now.Before(e.queryAt):
		return nil
	case e.stateCurrent && e.intent.Number > 0 && m.drifted(e):
		return m.writeIntent(e, m.reopened(e))
	default:
		return QueryState{Target: e.target.ID, Fence: m.fence}
	}
}

// drifted reports whether the engine no longer has the setting of its settled order, for example
// after a restart.
func (m *Machine) drifted(e *entry) bool {
	return e.state.Unknown || !e.state.Changing && e.state.Setting != e.intent.Setting
}

// adopt rewrites the intent under the current fence, so that conditional writes of former holders
// fail from then on.
func (m *Machine) adopt(r authority.Record, e *entry) Action {
	i := e.intent.withoutPending(r.Cleared)
	i.Fence = m.fence

	if i.Open {
		i = i.withPending(m.fence)
	}

	return m.writeIntent(e, i)
}

func (m *Machine) writeIntent(e *entry, i Intent) Action {
	return WriteIntent{Target: e.target.ID, Expect: e.version, Intent: i}
}

// reopened returns the settled intent of e with the same order marked open again.
func (m *Machine) reopened(e *entry) Intent {
	i := e.intent.withPending(m.fence)
	i.Open = true

	return i
}

// formerPending reports whether an order under another fence may still reach the engine.
func (m *Machine) formerPending(r authority.Record, e *entry) bool {
	return slices.ContainsFunc(e.intent.Pending, func(f entity.Fence) bool {
		return f != m.fence && !r.Cleared(f)
	})
}

// formersFenced reports whether the engine is known to refuse the orders of all former holders.
func (m *Machine) formersFenced(e *entry) bool {
	return e.target.ChecksFencing && e.stateCurrent && e.state.Fence == m.fence
}

// writeNewOrder records an intent with the desired setting, once no order of a former holder can
// take effect. Until then it returns an action that is needed for that, or nil.
func (m *Machine) writeNewOrder(now time.Time, r authority.Record, e *entry) Action {
	if !m.formerPending(r, e) || m.formersFenced(e) {
		i := e.intent.withoutPending(r.Cleared).withPending(m.fence)
		i.Open = true
		i.Order = Order{Setting: *e.desired, Fence: m.fence, Number: e.intent.Number + 1}

		return m.writeIntent(e, i)
	}

	if !e.target.ChecksFencing || !e.stateCurrent {
		return m.queryState(now, e)
	}

	// Sending the same order again makes the engine store the current fence.
	return m.writeIntent(e, m.reopened(e))
}

func (m *Machine) queryState(now time.Time, e *entry) Action {
	if now.Before(e.queryAt) {
		return nil
	}

	return QueryState{Target: e.target.ID, Fence: m.fence}
}

// finishOpenOrder returns the next action for the open order of e: query, send or settle. It settles
// the order once the engine has the setting, no send of this process can still arrive, and, if the
// engine checks fencing numbers, no former holder's order can take effect.
func (m *Machine) finishOpenOrder(now time.Time, r authority.Record, e *entry) Action {
	if !e.stateCurrent || e.state.Changing {
		return m.queryState(now, e)
	}

	applied := !e.state.Unknown && e.state.Setting == e.intent.Setting
	safe := !e.target.ChecksFencing || !m.formerPending(r, e) || m.formersFenced(e)

	if !applied || !safe {
		return SendOrder{Target: e.target.ID, Order: e.intent.Order}
	}

	if now.Before(e.mayArriveUntil) {
		return m.queryState(now, e)
	}

	return m.writeIntent(e, m.settled(r, e))
}

func (m *Machine) settled(r authority.Record, e *entry) Intent {
	i := e.intent.withoutPending(func(f entity.Fence) bool { return f == m.fence || r.Cleared(f) })
	i.Open = false

	return i
}

// Sent records the result of sending the order of a. After an error other than ErrFenced and ErrNotSent, the
// order may still arrive until Options.ConnectionLifetime has passed.
func (m *Machine) Sent(now time.Time, a SendOrder, s State, err error) {
	e := m.entries[a.Target]
	e.busy, e.sending = false, false

	m.observe(now, e, a.Order.Fence, s, err)

	switch {
	case err == nil:
	case errors.Is(err, ErrFenced), errors.Is(err, ErrNotSent):
		e.retryAt = now.Add(m.opts.RetryDelay)
	default:
		e.retryAt = now.Add(m.opts.RetryDelay)
		e.mayArriveUntil = now.Add(m.opts.ConnectionLifetime)
	}
}

// BlockedOrder describes an engine that can't get a new order yet, because an order of a former lease holder may
// still arrive.
type BlockedOrder struct {
	Target entity.TargetID
	Fences []entity.Fence // fencing numbers of the former holders that are not cleared
}

// BlockedOrders returns the engines whose desired setting is delayed by orders of former holders, sorted by
// target id.
func (m *Machine) BlockedOrders(r authority.Record) []BlockedOrder {
	var blocked []BlockedOrder

	for _, id := range m.ids {
		e := m.entries[id]
		if !e.loaded || e.target.ChecksFencing || e.desired == nil || *e.desired == e.intent.Setting || !m.formerPending(r, e) {
			continue
		}

		blocked = append(blocked, BlockedOrder{Target: id, Fences: slices.DeleteFunc(slices.Clone(e.intent.Pending), func(f entity.Fence) bool {
			return f == m.fence || r.Cleared(f)
		})})
	}

	return blocked
}

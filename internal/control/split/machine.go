// Package split decides which model replicas read prompts and which generate answers, and gives the orders
// for it. It answers a mix of prompts and answers that shifts, and replicas that are lost or replaced.
//
// A Machine belongs to one goroutine, does no I/O and reads no clock.
package split

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	// startPart is the part of the replicas that read prompts as long as no demand is known.
	startPart = 0.61
	// settleTime is how long the parts must be wrong before a replica is changed under load, so that one
	// that is back soon is waited for.
	settleTime = 4 * time.Second
	// adaptTime is how long one side must be short before a replica changes over: twice the time that a change takes.
	adaptTime = 6 * time.Second
	// A side is short above these parts of its replicas. Answers are slowed down late, prompts early by load.
	shortRead   = 1.1
	shortAnswer = 0.9
	// The other side can spare a replica if the rest stay below these parts.
	spareRead   = 0.6
	spareAnswer = 0.5
	// underway bounds the replicas in change at a time under load.
	underway = 2
	// lateOrder is the time after which an order without effect is no longer expected to be carried out.
	lateOrder = 13 * time.Second
	// refusedPause is the time for which a replica that refused an order is left alone.
	refusedPause = 2 * time.Second
)

// Order asks for an absolute role of one replica.
type Order struct {
	Target fleet.Target
	Role   table.Role
}

// Input is what a decision depends on.
type Input struct {
	Now     time.Time
	Targets []fleet.Target // model replicas of one service that do not leave
	Busy    func(table.TargetID) int
	Loaded  bool // requests have come
	Need    Need
}

// Need is the demand, as replicas that it would keep busy all the time. The zero value is no demand.
type Need struct {
	Read   float64 // prompts
	Answer float64 // answers, by the scarcer of slots and KV cache
}

// pending is an order that was given and has no effect yet.
type pending struct {
	role  table.Role
	until time.Time
}

// Machine decides for one service. Make it with New.
type Machine struct {
	pending map[table.TargetID]pending
	refused map[table.TargetID]time.Time // until when a replica that refused an order gets none
	wrong   time.Time                    // since when the parts are wrong; zero: they are not

	shift float64   // of the part of the readers, by demand
	side  float64   // step that the demand asks for
	short time.Time // since when it does; zero: it does not
}

// New returns a Machine that has given no order.
func New() *Machine {
	return &Machine{pending: map[table.TargetID]pending{}, refused: map[table.TargetID]time.Time{}}
}

// Tick returns the orders that are due. Each counts as given.
func (m *Machine) Tick(in Input) []Order {
	m.settle(in)

	if len(in.Targets) < 2 {
		return nil
	}

	readers := 0

	for _, t := range in.Targets {
		if m.role(t) == table.Prefill {
			readers++
		}
	}

	m.adapt(in, readers)

	missing := m.wanted(len(in.Targets)) - readers
	if missing == 0 {
		m.wrong = time.Time{}

		return nil
	}

	if m.wrong.IsZero() {
		m.wrong = in.Now
	}

	limit := len(in.Targets)

	if in.Loaded {
		if in.Now.Sub(m.wrong) < settleTime {
			return nil
		}

		limit = underway - len(m.pending)
	}

	return m.change(in, missing, limit)
}

// wanted returns the replicas of n that are to read prompts.
func (m *Machine) wanted(n int) int {
	return min(max(int(math.Round((startPart+m.shift)*float64(n))), 1), n-1)
}

// adapt shifts the part of the readers by one replica at a time, once one side has been short for a while
// and the other side can spare it.
func (m *Machine) adapt(in Input, readers int) {
	n, answerers := float64(len(in.Targets)), float64(len(in.Targets)-readers)
	step := 0.0

	switch {
	case in.Need.Read > shortRead*float64(readers) && in.Need.Answer < spareAnswer*(answerers-1):
		step = 1 / n
	case in.Need.Answer > shortAnswer*answerers && in.Need.Read < spareRead*float64(readers-1):
		step = -1 / n
	}

	if step == 0 || !in.Loaded || len(m.pending) > 0 || step*m.side < 0 {
		m.side, m.short = step, time.Time{}

		return
	}

	if m.short.IsZero() {
		m.side, m.short = step, in.Now

		return
	}

	if in.Now.Sub(m.short) >= adaptTime {
		m.shift += step
		m.short = in.Now
	}
}

// settle forgets orders that took effect, came to nothing, or went to a replica that is gone.
func (m *Machine) settle(in Input) {
	listed := make(map[table.TargetID]fleet.Target, len(in.Targets))
	for _, t := range in.Targets {
		listed[t.ID] = t
	}

	for id, until := range m.refused {
		if in.Now.After(until) {
			delete(m.refused, id)
		}
	}

	for id, p := range m.pending {
		t, ok := listed[id]
		if !ok || t.Role == p.role || in.Now.After(p.until) {
			delete(m.pending, id)
		}
	}
}

// role returns the role that t has or will have.
func (m *Machine) role(t fleet.Target) table.Role {
	if p, ok := m.pending[t.ID]; ok {
		return p.role
	}

	return t.Role
}

// change orders up to limit replicas to the role that lacks missing ones; a negative number stands for
// replicas that generate.
func (m *Machine) change(in Input, missing, limit int) []Order {
	to, from := table.Prefill, table.Decode
	if missing < 0 {
		to, from, missing = table.Decode, table.Prefill, -missing
	}

	var (
		free   []fleet.Target
		centre = map[table.DataCentre]int{}
	)

	for _, t := range in.Targets {
		if _, changing := m.pending[t.ID]; t.Role == from && !changing && !in.Now.Before(m.refused[t.ID]) {
			free = append(free, t)
			centre[t.DataCentre]++
		}
	}

	var orders []Order

	for len(orders) < min(missing, limit) && len(free) > 0 {
		// From the data centre with most of them, the one with least to lose.
		i := best(free, func(a, b fleet.Target) int {
			return cmp.Or(
				cmp.Compare(centre[b.DataCentre], centre[a.DataCentre]),
				cmp.Compare(in.Busy(a.ID), in.Busy(b.ID)),
				cmp.Compare(a.ID, b.ID),
			)
		})
		t := free[i]
		free = slices.Delete(free, i, i+1)
		centre[t.DataCentre]--
		m.pending[t.ID] = pending{role: to, until: in.Now.Add(lateOrder)}
		orders = append(orders, Order{Target: t, Role: to})
	}

	return orders
}

// best returns the index of the first in the order of compare.
func best(targets []fleet.Target, compare func(a, b fleet.Target) int) int {
	first := 0

	for i := range targets {
		if compare(targets[i], targets[first]) < 0 {
			first = i
		}
	}

	return first
}

// Changing returns the replicas whose orders have not taken effect yet.
func (m *Machine) Changing() []table.TargetID {
	ids := make([]table.TargetID, 0, len(m.pending))
	for id := range m.pending {
		ids = append(ids, id)
	}

	return ids
}

// Refused takes back an order that had no effect.
func (m *Machine) Refused(now time.Time, o Order) {
	delete(m.pending, o.Target.ID)
	m.refused[o.Target.ID] = now.Add(refusedPause)
}

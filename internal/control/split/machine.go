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

	missing := wanted(len(in.Targets)) - readers
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
func wanted(n int) int {
	return min(max(int(math.Round(startPart*float64(n))), 1), n-1)
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

// Refused takes back an order that had no effect.
func (m *Machine) Refused(now time.Time, o Order) {
	delete(m.pending, o.Target.ID)
	m.refused[o.Target.ID] = now.Add(refusedPause)
}

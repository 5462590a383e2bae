package orders_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
)

var start = time.Unix(1_000_000, 0)

// takenOver returns a machine after a takeover: its lease has fence 2 and lists the holder of fence 1
// as a former holder. The machine has loaded i as the intent of its only engine.
func takenOver(checks bool, i orders.Intent) (*orders.Machine, authority.Lease) {
	m := orders.NewMachine(orders.Options{ConnectionLifetime: lifetime})
	m.SetTargets(start, []entity.Target{{ID: "a", ChecksFencing: checks}})

	l := authority.Lease{
		Fence:  2,
		Until:  start.Add(time.Hour),
		Record: authority.Record{Fence: 2, Former: []authority.FormerHolder{{Fence: 1, Host: "h", Address: "h"}}},
	}

	m.Loaded(start, m.Tick(start, l)[0].(orders.ReadIntent), i, 7, nil)

	return m, l
}

func TestAfterTakeover(t *testing.T) {
	open := orders.Intent{Order: orders.Order{Setting: settings[0], Fence: 1, Number: 5}, Open: true, Pending: []entity.Fence{1}}
	settled := open
	settled.Open = false

	applied := orders.State{Setting: settings[0], Fence: 1, Number: 5}
	fenced := applied
	fenced.Fence = 2

	notApplied := orders.State{Setting: settings[1], Fence: 1, Number: 4}
	unknown := orders.State{Unknown: true, Fence: 1}
	changing := orders.State{Setting: settings[1], Changing: true, Fence: 1}

	adopted := orders.Order{Setting: settings[0], Fence: 2, Number: 5}
	next := orders.Order{Setting: settings[2], Fence: 2, Number: 6}
	both := []entity.Fence{1, 2}

	write := func(o orders.Order, open bool, pending []entity.Fence) orders.Action {
		return orders.WriteIntent{Target: "a", Expect: 8, Intent: orders.Intent{Order: o, Open: open, Pending: pending}}
	}

	tests := []struct {
		name   string
		checks bool
		intent orders.Intent
		state  orders.State
		want   orders.Action
	}{
		{"ignoring, open, not applied: same order", false, open, notApplied, orders.SendOrder{Target: "a", Order: adopted}},
		{"ignoring, open, unknown: same order", false, open, unknown, orders.SendOrder{Target: "a", Order: adopted}},
		{"ignoring, open, changing: wait", false, open, changing, nil},
		{"ignoring, open, applied: settle, former stays pending", false, open, applied, write(adopted, false, []entity.Fence{1})},
		{"ignoring, settled, former pending: no different order", false, settled, applied, nil},
		{"checking, open, applied: send the fence first", true, open, applied, orders.SendOrder{Target: "a", Order: adopted}},
		{"checking, open, fence sent: settle", true, open, fenced, write(adopted, false, []entity.Fence{1})},
		{"checking, settled, former pending: same order again", true, settled, applied, write(adopted, true, both)},
		{"checking, settled, fence sent: different order", true, settled, fenced, write(next, true, both)},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, l := takenOver(tt.checks, tt.intent)
			m.SetDesired(l.Fence, "a", settings[2])

			adopt := m.Tick(start, l)[0].(orders.WriteIntent)
			require.Equal(t, entity.Fence(2), adopt.Intent.Fence)
			m.Written(start, adopt, 8, nil)

			now := start
			if actions := m.Tick(now, l); len(actions) > 0 {
				m.Answered(now, actions[0].(orders.QueryState), tt.state, nil)
			}

			got := m.Tick(now, l)
			if tt.want == nil {
				require.Empty(t, got)

				return
			}

			require.Equal(t, []orders.Action{tt.want}, got)
		})
	}
}

func TestAnswerFromAnEarlierAuthority(t *testing.T) {
	m, l := takenOver(true, orders.Intent{})
	m.Answered(start, orders.QueryState{Target: "a", Fence: 1}, orders.State{Setting: settings[0]}, nil)
	require.False(t, m.Engine("a").StateCurrent)

	m.Answered(start, orders.QueryState{Target: "a", Fence: l.Fence}, orders.State{Setting: settings[0]}, nil)
	require.True(t, m.Engine("a").StateCurrent)
}

// TestWishEndsWithItsAuthority checks that a desired setting from an earlier lease has no effect after the
// host takes the lease again and another holder had it in between.
func TestWishEndsWithItsAuthority(t *testing.T) {
	m, l := takenOver(false, orders.Intent{Order: orders.Order{Fence: 2, Number: 5}})
	m.SetDesired(l.Fence, "a", settings[0])

	write := m.Tick(start, l)[0]
	require.IsType(t, orders.WriteIntent{}, write)
	m.Written(start, write.(orders.WriteIntent), 0, orders.ErrNotSent)

	l.Fence, l.Record.Fence = 4, 4
	now := start.Add(time.Minute)
	read := m.Tick(now, l)[0].(orders.ReadIntent)
	m.Loaded(now, read, orders.Intent{Order: orders.Order{Setting: settings[1], Fence: 4, Number: 7}}, 9, nil)

	m.SetDesired(2, "a", settings[0])
	require.Equal(t, []orders.Action{orders.QueryState{Target: "a", Fence: 4}}, m.Tick(now, l))
}

// TestQuestions counts the state queries to an engine while nothing changes.
func TestQuestions(t *testing.T) {
	tests := []struct {
		name  string
		state orders.State
		want  int // queries in a minute
	}{
		{"open", orders.State{}, 6},
		{"closed", orders.State{Setting: orders.Setting{Admission: orders.Closed}}, 120},
		{"changing", orders.State{Changing: true}, 120},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, l := takenOver(false, orders.Intent{Order: orders.Order{Fence: 2}})
			queries := 0

			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
				for _, a := range m.Tick(now, l) {
					queries++

					m.Answered(now, a.(orders.QueryState), tt.state, nil)
				}
			}

			require.Equal(t, tt.want, queries)
		})
	}
}

// BenchmarkTick measures one tick of the lease holder in a data centre of the design size: 120 engines
// that already have their setting.
func BenchmarkTick(b *testing.B) {
	const engines = 120

	m := orders.NewMachine(orders.Options{})
	l := authority.Lease{Fence: 1, Until: start.Add(time.Hour), Record: authority.Record{Fence: 1}}

	var targets []entity.Target
	for i := range engines {
		targets = append(targets, entity.Target{ID: entity.TargetID(fmt.Sprint("engine-", i))})
	}

	m.SetTargets(start, targets)

	for range engines {
		for _, a := range m.Tick(start, l) {
			switch a := a.(type) {
			case orders.ReadIntent:
				m.Loaded(start, a, orders.Intent{Order: orders.Order{Fence: 1}}, 1, nil)
			case orders.QueryState:
				m.Answered(start, a, orders.State{}, nil)
			}
		}
	}

	b.ReportAllocs()

	for b.Loop() {
		m.Tick(start.Add(time.Second), l)
	}
}

func TestNoOrdersInFlight(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want time.Duration // time until NoOrdersInFlight is true again
	}{
		{"taken", nil, 0},
		{"fenced", orders.ErrFenced, 0},
		{"not sent", orders.ErrNotSent, 0},
		{"no answer", context.DeadlineExceeded, lifetime},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			open := orders.Intent{Order: orders.Order{Setting: settings[0], Fence: 2, Number: 5}, Open: true}
			m, l := takenOver(false, open)

			m.Answered(start, m.Tick(start, l)[0].(orders.QueryState), orders.State{}, nil)

			send := m.Tick(start, l)[0].(orders.SendOrder)
			require.False(t, m.NoOrdersInFlight(start.Add(time.Hour)))

			m.Sent(start, send, orders.State{}, tt.err)
			require.True(t, m.NoOrdersInFlight(start.Add(tt.want)))
			require.Equal(t, tt.want == 0, m.NoOrdersInFlight(start))
		})
	}
}

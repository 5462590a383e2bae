package plans_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
)

var (
	now    = time.Unix(1_000_000, 0)
	open   = orders.Setting{Role: entity.Mixed}
	closed = orders.Setting{Role: entity.Mixed, Admission: orders.Closed}
)

// engineWith returns an engine whose settled order set s, with n requests in flight.
func engineWith(s orders.Setting, n int) orders.Engine {
	return orders.Engine{
		IntentCurrent: true, Intent: orders.Intent{Order: orders.Order{Setting: s, Number: 1}},
		StateCurrent: true, State: orders.State{Setting: s, InFlight: n},
	}
}

func TestAdvance(t *testing.T) {
	acked := plans.Host{ID: "h1", Acked: 5}
	busy := plans.Host{ID: "h1", Acked: 5, InFlight: map[entity.TargetID]int{"gated": 1, "bare": 1}, TotalInFlight: 2}
	unacked := plans.Host{ID: "h2", Acked: 4}
	gone := plans.Host{ID: "h2", Gone: true}

	tests := []struct {
		name   string
		target entity.TargetID
		phase  plans.Phase
		age    time.Duration
		cancel bool
		hosts  []plans.Host
		engine orders.Engine
		want   plans.Phase
	}{
		{"gate order not on record", "gated", plans.Declared, 0, false, nil, engineWith(open, 0), plans.Declared},
		{"gate order can't be recorded", "gated", plans.Declared, time.Second, false, nil, engineWith(open, 0), plans.Closing},
		{"gate order on record", "gated", plans.Declared, 0, false, nil, engineWith(closed, 0), plans.Closing},
		{"no gate", "bare", plans.Declared, 0, false, nil, orders.Engine{}, plans.Closing},
		{"gate closed, host unacknowledged", "gated", plans.Closing, 0, false, []plans.Host{acked, unacked}, engineWith(closed, 1), plans.Waiting},
		{"gate open, host unacknowledged", "gated", plans.Closing, 0, false, []plans.Host{acked, unacked}, engineWith(open, 0), plans.Closing},
		{"gate open, all acknowledged", "gated", plans.Closing, 0, false, []plans.Host{acked}, engineWith(open, 0), plans.Waiting},
		{"no gate, host unacknowledged", "bare", plans.Closing, 0, false, []plans.Host{acked, unacked}, orders.Engine{}, plans.Closing},
		{"no gate, host gone", "bare", plans.Closing, 0, false, []plans.Host{acked, gone}, orders.Engine{}, plans.Waiting},
		{"engine counts one", "gated", plans.Waiting, 0, false, []plans.Host{acked, unacked}, engineWith(closed, 1), plans.Waiting},
		{"host counts one", "gated", plans.Waiting, 0, false, []plans.Host{busy}, engineWith(closed, 0), plans.Waiting},
		{"gate closed, none in flight", "gated", plans.Waiting, 0, false, []plans.Host{acked, unacked}, engineWith(closed, 0), plans.Ordering},
		{"gate open again, host unacknowledged", "gated", plans.Waiting, 0, false, []plans.Host{acked, unacked}, engineWith(open, 0), plans.Waiting},
		{"engine down, host unacknowledged", "gated", plans.Waiting, 0, false, []plans.Host{acked, unacked}, orders.Engine{}, plans.Waiting},
		{"engine not queried yet", "gated", plans.Waiting, 0, false, []plans.Host{acked}, orders.Engine{}, plans.Waiting},
		{"engine just stopped answering", "gated", plans.Waiting, 0, false, []plans.Host{acked}, orders.Engine{SilentSince: now}, plans.Waiting},
		{"engine down, none in flight", "gated", plans.Waiting, time.Minute, false, []plans.Host{acked}, orders.Engine{SilentSince: now}, plans.Ordering},
		{"engine down, host counts one", "gated", plans.Waiting, time.Minute, false, []plans.Host{busy}, orders.Engine{SilentSince: now}, plans.Waiting},
		{"no gate, late host unacknowledged", "bare", plans.Waiting, 0, false, []plans.Host{acked, unacked}, orders.Engine{}, plans.Waiting},
		{"no gate, host counts one", "bare", plans.Waiting, 0, false, []plans.Host{busy}, orders.Engine{}, plans.Waiting},
		{"cancelled while waiting", "gated", plans.Waiting, 0, true, []plans.Host{acked}, engineWith(closed, 1), plans.Reopening},
		{"cancelled while ordering", "gated", plans.Ordering, 0, true, []plans.Host{acked}, engineWith(closed, 0), plans.Done},
		{"done drain cancelled", "gated", plans.Done, 0, true, []plans.Host{acked}, engineWith(closed, 0), plans.Reopening},
		{"reopened", "gated", plans.Reopening, 0, true, nil, engineWith(open, 0), plans.Cancelled},
		{"older configuration lacks the target", "none", plans.Declared, 0, false, nil, orders.Engine{}, plans.Declared},
		{"target left the configuration", "none", plans.Waiting, time.Minute, false, nil, orders.Engine{}, plans.Failed},
		{"drained target left the configuration", "none", plans.Done, time.Minute, false, nil, orders.Engine{}, plans.Retired},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := plans.List{Generation: 7, Plans: []plans.Plan{{
				ID: "p", Kind: plans.Drain, Target: tt.target, Phase: tt.phase, Cancel: tt.cancel, LeavingGeneration: 5, Since: now, PreviousSetting: &open,
			}}}
			in := plans.Input{
				Now: now.Add(tt.age), Complete: true, Hosts: tt.hosts,
				Targets: map[entity.TargetID]entity.Target{"gated": {ID: "gated", Gated: true}, "bare": {ID: "bare"}},
				Engines: map[entity.TargetID]orders.Engine{"gated": tt.engine},
			}

			got, changed := plans.Advance(l, in)
			require.Equal(t, tt.want, got.Plans[0].Phase)
			require.Equal(t, tt.want != tt.phase, changed)
			require.Equal(t, tt.phase, l.Plans[0].Phase)

			// Right after a takeover the host list is not known, so acknowledgements don't count.
			in.Complete = false
			if p, _ := plans.Advance(l, in); tt.phase == plans.Waiting && !tt.cancel && tt.target != "none" {
				require.Equal(t, plans.Waiting, p.Plans[0].Phase)
			}
		})
	}
}

// TestUnknownNames checks plans for unknown targets and hosts, right after the declaration and a minute
// later.
func TestUnknownNames(t *testing.T) {
	tests := []struct {
		plan  plans.Plan
		after plans.Phase
	}{
		{plans.Plan{Kind: plans.StopHost, Host: "h9"}, plans.Failed},
		{plans.Plan{Kind: plans.Withdraw, Target: "none"}, plans.Failed},
		{plans.Plan{Kind: plans.Replace, Target: "bare", Replacement: "none"}, plans.Failed},
		{plans.Plan{Kind: plans.Replace, Target: "none", Replacement: "bare"}, plans.Failed},
		{plans.Plan{Kind: plans.StopHost, Host: "h9", Phase: plans.Waiting}, plans.Ordering}, // the host has exited
	}

	for _, tt := range tests {
		if tt.plan.Phase == "" {
			tt.plan.Phase = plans.Declared
		}

		tt.plan.Since = now
		l := plans.List{Generation: 7, Plans: []plans.Plan{tt.plan}}
		in := plans.Input{
			Now: now, Complete: true, Hosts: []plans.Host{{ID: "h1"}},
			Targets: map[entity.TargetID]entity.Target{"bare": {ID: "bare"}},
		}

		if tt.plan.Phase == plans.Declared {
			_, changed := plans.Advance(l, in)
			require.False(t, changed, "%+v", tt.plan)
		}

		in.Now, in.Complete = now.Add(time.Minute), false
		if tt.plan.Phase == plans.Declared {
			_, changed := plans.Advance(l, in)
			require.False(t, changed, "%+v", tt.plan)
		}

		in.Complete = true
		got, _ := plans.Advance(l, in)
		require.Equal(t, tt.after, got.Plans[0].Phase, "%+v", tt.plan)
	}
}

// TestNoOrderToARestartedEngine checks that an engine that restarts after the drain, and so admits requests
// again, is closed again instead of getting the order.
func TestNoOrderToARestartedEngine(t *testing.T) {
	l := plans.List{Generation: 7, Plans: []plans.Plan{{
		ID: "p", Kind: plans.RoleChange, Target: "gated", Setting: &decode, Phase: plans.Ordering, LeavingGeneration: 5, PreviousSetting: &open,
	}}}
	in := plans.Input{
		Now: now, Complete: true, Hosts: []plans.Host{{ID: "h1"}},
		Targets: map[entity.TargetID]entity.Target{"gated": {ID: "gated", Gated: true}},
		Engines: map[entity.TargetID]orders.Engine{"gated": engineWith(closed, 0)},
	}
	require.Equal(t, []plans.Action{plans.Order{Target: "gated", Setting: decode}}, plans.Actions(l, in))

	restarted := engineWith(closed, 1)
	restarted.State.Admission = orders.Open
	in.Engines["gated"] = restarted
	require.Equal(t, []plans.Action{plans.Order{Target: "gated", Setting: closed}}, plans.Actions(l, in))

	// A new lease holder has not yet determined whether the former one sent the order.
	restarted.IntentCurrent = false
	in.Engines["gated"] = restarted
	require.Empty(t, plans.Actions(l, in))
}

// TestRacingDeclarations checks declarations with a lost answer, repeated ones and conflicting ones.
func TestRacingDeclarations(t *testing.T) {
	ctx := t.Context()
	store := standin.NewStore(clockwork.NewFakeClock())
	first, second := store.View(), store.View()
	drain := plans.Plan{ID: "a", Kind: plans.Drain, Target: "x", By: "ola"}

	first.SetFaults(standin.Faults{LoseAnswer: true})
	require.NoError(t, plans.Declare(ctx, first, dc, drain, now), "settled by reading back")
	first.SetFaults(standin.Faults{})

	require.NoError(t, plans.Declare(ctx, second, dc, drain, now), "the same plan again")
	require.ErrorIs(t, plans.Declare(ctx, second, dc, plans.Plan{ID: "a", Kind: plans.Withdraw, Target: "x"}, now), plans.ErrConflict)
	require.ErrorIs(t, plans.Declare(ctx, second, dc, plans.Plan{ID: "b", Kind: plans.Withdraw, Target: "x"}, now), plans.ErrConflict)
	require.ErrorIs(t, plans.Declare(ctx, second, dc,
		plans.Plan{ID: "c", Kind: plans.Replace, Target: "y", Replacement: "x"}, now), plans.ErrConflict)
	require.Error(t, plans.Declare(ctx, second, dc, plans.Plan{ID: "d", Kind: "explode", Target: "y"}, now))
	require.NoError(t, plans.Declare(ctx, second, dc, plans.Plan{ID: "e", Kind: plans.Drain, Target: "y"}, now))
	require.NoError(t, plans.Cancel(ctx, second, dc, "a"))
	require.Error(t, plans.Cancel(ctx, second, dc, "z"))
}

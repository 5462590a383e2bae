package plans_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
)

// leaveBound is the maximum time for which a leaving target still gets new work.
const leaveBound = 3 * time.Second

var decode = orders.Setting{Role: entity.Decode}

func noCheck() {}

func (w *world) declare(p plans.Plan) {
	require.NoError(w.t, plans.Declare(w.t.(*testing.T).Context(), w.store.View(), dc, p, w.clock.Now()))
}

// until runs the world until the plan id is in phase, and fails the test after a minute.
func (w *world) until(id plans.ID, phase plans.Phase) {
	for end := w.clock.Now().Add(time.Minute); w.plan(id).Phase != phase; {
		require.True(w.t, w.clock.Now().Before(end), "%+v", w.plan(id))
		w.run(step, noCheck)
	}
}

// TestNoNewWork checks, under several faults, that a leaving target admits no new request after leaveBound.
func TestNoNewWork(t *testing.T) {
	faults := map[string]func(w *world){
		"none":              func(*world) {},
		"lagging host list": func(w *world) { w.kill(w.hosts[2]) },
		"platform out":      func(w *world) { w.view.SetFaults(standin.Faults{Down: true}) },
		"host partitioned":  func(w *world) { w.hosts[1].partitioned = true },
		"partitioned, platform out": func(w *world) {
			w.hosts[1].partitioned = true
			w.view.SetFaults(standin.Faults{Down: true})
		},
	}

	tests := []struct {
		target  entity.TargetID
		covered func(fault string) bool // no new work arrives under fault
	}{
		{"engine", func(string) bool { return true }},
		{"bare", func(fault string) bool { return fault != "host partitioned" && fault != "partitioned, platform out" }},
		{"service", func(fault string) bool { return fault != "host partitioned" && fault != "partitioned, platform out" }},
	}

	for _, tt := range tests {
		for name, fault := range faults {
			t.Run(string(tt.target)+", "+name, func(t *testing.T) {
				w := newWorld(t, 5)
				w.load = 10
				w.run(20*time.Second, noCheck)
				w.declare(plans.Plan{ID: "p", Kind: plans.Withdraw, Target: tt.target})
				w.until("p", plans.Closing)

				closing := w.clock.Now()
				fault(w)
				w.run(30*time.Second, noCheck)

				if tt.covered(name) {
					require.Less(t, w.lastAdmitted[tt.target].Sub(closing), leaveBound)

					return
				}

				// Without a gate the plan waits for the unreachable host.
				require.Equal(t, plans.Closing, w.plan("p").Phase)
			})
		}
	}
}

// TestPlanCutsNothing runs random sequences of plans, host kills, partitions and platform outages under
// load. Each step checks that no request is interrupted. After the faults end, each plan must end.
func TestPlanCutsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"))
		declared := 0
		targets := []entity.TargetID{"engine", "spare", "bare", "service"}

		check := func() {
			if w.serviceRequests == 0 || w.holder == nil {
				return
			}

			for _, p := range w.holder.list.Plans {
				require.False(t, p.Target == "service" && p.Kind != plans.RoleChange &&
					(p.Phase == plans.Ordering || p.Phase == plans.Done), "%d requests at a drained service", w.serviceRequests)
			}
		}

		run := func(t *rapid.T) { w.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "steps"))*step, check) }
		pick := func(t *rapid.T) *host { return rapid.SampledFrom(w.hosts).Draw(t, "host") }

		declare := func(t *rapid.T, p plans.Plan) {
			declared++
			p.ID = plans.ID(fmt.Sprint("plan-", declared))
			_ = plans.Declare(t.Context(), w.store.View(), dc, p, w.clock.Now())
		}

		roleChange := func(t *rapid.T) {
			s := orders.Setting{Role: rapid.SampledFrom([]entity.Role{entity.Mixed, entity.Prefill, entity.Decode}).Draw(t, "role")}
			declare(t, plans.Plan{Kind: plans.RoleChange, Target: rapid.SampledFrom(targets[:3]).Draw(t, "target"), Setting: &s})
			run(t)
		}

		t.Repeat(map[string]func(*rapid.T){
			"run":  run,
			"run2": run,
			"drain": func(t *rapid.T) {
				declare(t, plans.Plan{Kind: plans.Drain, Target: rapid.SampledFrom(targets).Draw(t, "target")})
				run(t)
			},
			"role change": roleChange,
			"role change with a host partitioned": func(t *rapid.T) {
				if h := pick(t); h != w.holder {
					h.partitioned = true
				}

				roleChange(t)
			},
			"replace": func(t *rapid.T) {
				declare(t, plans.Plan{Kind: plans.Replace, Target: "engine", Replacement: "spare"})
				run(t)
			},
			"stop host": func(t *rapid.T) {
				declare(t, plans.Plan{Kind: plans.StopHost, Host: pick(t).id})
				run(t)
			},
			"cancel": func(t *rapid.T) {
				id := plans.ID(fmt.Sprint("plan-", rapid.IntRange(0, declared).Draw(t, "plan")))
				_ = plans.Cancel(t.Context(), w.store.View(), dc, id)
			},
			"kill": func(t *rapid.T) {
				if h := pick(t); !h.dead() {
					w.kill(h)
				}
			},
			"kill the holder": func(*rapid.T) {
				if w.holder != nil {
					w.kill(w.holder)
				}
			},
			"partition": func(t *rapid.T) {
				if h := pick(t); h != w.holder {
					h.partitioned = !h.partitioned
				}
			},
			"platform": func(t *rapid.T) { w.view.SetFaults(standin.Faults{Down: rapid.Bool().Draw(t, "down")}) },
		})

		for _, h := range w.hosts {
			h.partitioned = false
		}

		w.view.SetFaults(standin.Faults{})
		w.run(3*time.Minute, check)

		for i := range declared {
			if p, ok := w.holder.list.Plan(plans.ID(fmt.Sprint("plan-", i+1))); ok {
				require.True(t, p.Phase.Ended(), "%+v", p)
			}
		}
	})
}

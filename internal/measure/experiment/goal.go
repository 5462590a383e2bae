package experiment

import (
	"fmt"

	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

const (
	minOracleShare  = 0.95    // minimum goodput, as a share of the oracle's
	minUrgentShare  = 0.99    // minimum share of the urgent requests within their objective
	maxChangesShare = 1.0 / 3 // maximum role changes, as a share of the reactive threshold's
)

// Keys of the goals.
const (
	GoalOracle    = "oracle"
	GoalUrgent    = "urgent"
	GoalPatient   = "patient"
	GoalChanges   = "changes"
	GoalReactive  = "reactive"
	GoalBaselines = "baselines"
)

// Goal is a figure that the chosen policy must reach, and whether it did.
type Goal struct {
	Key    string `json:"key"`
	Name   string `json:"name"`
	Met    bool   `json:"met"`
	Figure string `json:"figure"`
}

// goals compares the results of the chosen policy with its goals. It returns nil unless all policies ran.
// Deployments that weigh a role change more than goodput have a limit on role changes in place of the comparison
// with the baselines.
func (r *Report) goals(d trace.Deployment) []Goal {
	for _, name := range Policies() {
		if r.Result(name) == nil {
			return nil
		}
	}

	chosen, oracle := r.Result(Chosen), r.Result(Oracle)
	goals := []Goal{{
		Key:    GoalOracle,
		Name:   "goodput of the oracle's",
		Met:    float64(chosen.All.Good) >= minOracleShare*float64(oracle.All.Good),
		Figure: fmt.Sprintf("%.2f%%", 100*float64(chosen.All.Good)/float64(oracle.All.Good)),
	}}

	goals = append(goals, r.urgentGoals(d)...)
	goals = append(goals, Goal{
		Key:    GoalPatient,
		Name:   "patient work lost beyond the oracle's",
		Met:    chosen.LostPatient <= oracle.LostPatient,
		Figure: fmt.Sprintf("%d lost, oracle %d", chosen.LostPatient, oracle.LostPatient),
	})

	if d.Weights.RoleChange > d.Weights.Goodput {
		return append(goals, r.roleChangeGoals()...)
	}

	return append(goals, r.baselineGoal())
}

// urgentGoals returns a goal for each wave in which the oracle shows that the fleet has the capacity for the urgent work.
func (r *Report) urgentGoals(d trace.Deployment) []Goal {
	var goals []Goal

	for _, p := range d.Phases {
		oracle := r.Result(Oracle).UrgentByPhase[p.Name]
		if !p.Wave || oracle.Share() < minUrgentShare {
			continue
		}

		chosen := r.Result(Chosen).UrgentByPhase[p.Name]
		goals = append(goals, Goal{
			Key:    GoalUrgent,
			Name:   "urgent work in " + p.Name,
			Met:    chosen.Share() >= minUrgentShare,
			Figure: fmt.Sprintf("%.2f%%, oracle %.2f%%", 100*chosen.Share(), 100*oracle.Share()),
		})
	}

	return goals
}

// roleChangeGoals returns two goals against the reactive threshold: at most a third of its role changes, and no less
// goodput.
func (r *Report) roleChangeGoals() []Goal {
	chosen, reactive := r.Result(Chosen), r.Result(Reactive)

	return []Goal{
		{
			Key:    GoalChanges,
			Name:   "role changes at most a third of the reactive threshold's",
			Met:    float64(chosen.RoleChanges) <= maxChangesShare*float64(reactive.RoleChanges),
			Figure: fmt.Sprintf("%d against %d", chosen.RoleChanges, reactive.RoleChanges),
		},
		{
			Key:    GoalReactive,
			Name:   "goodput not below the reactive threshold's",
			Met:    chosen.All.Good >= reactive.All.Good,
			Figure: fmt.Sprintf("%d against %d good", chosen.All.Good, reactive.All.Good),
		},
	}
}

// baselineGoal requires that no baseline has more goodput than the chosen policy.
func (r *Report) baselineGoal() Goal {
	chosen := r.Result(Chosen)
	top := chosen

	for _, name := range []string{Static, Reactive, Hysteresis, NoSpill} {
		if x := r.Result(name); x.All.Good > top.All.Good {
			top = x
		}
	}

	return Goal{
		Key:    GoalBaselines,
		Name:   "no baseline with more goodput",
		Met:    top == chosen,
		Figure: fmt.Sprintf("%d good; best is %s with %d", chosen.All.Good, top.Policy, top.All.Good),
	}
}

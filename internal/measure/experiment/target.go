package experiment

import (
	"fmt"

	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

const (
	oracleShare  = 0.95 // of the oracle's goodput
	urgentShare  = 0.99 // of urgent work within objective
	changesShare = 1.0 / 3
)

// Keys of the targets.
const (
	TargetOracle    = "oracle"
	TargetUrgent    = "urgent"
	TargetPatient   = "patient"
	TargetChanges   = "changes"
	TargetReactive  = "reactive"
	TargetBaselines = "baselines"
)

// Target is one stated aim and whether it was met.
type Target struct {
	Key    string `json:"key"`
	Name   string `json:"name"`
	Met    bool   `json:"met"`
	Figure string `json:"figure"`
}

// targets judges the chosen policy; it returns nothing unless all policies ran.
func (r *Report) targets(d trace.Deployment) []Target {
	for _, name := range Policies() {
		if r.Result(name) == nil {
			return nil
		}
	}

	chosen, oracle := r.Result(Chosen), r.Result(Oracle)
	targets := []Target{{
		Key:    TargetOracle,
		Name:   "goodput of the oracle's",
		Met:    float64(chosen.All.Good) >= oracleShare*float64(oracle.All.Good),
		Figure: fmt.Sprintf("%.2f%%", 100*float64(chosen.All.Good)/float64(oracle.All.Good)),
	}}

	targets = append(targets, r.urgentTargets(d)...)
	targets = append(targets, Target{
		Key:    TargetPatient,
		Name:   "patient work lost beyond the oracle's",
		Met:    chosen.LostPatient <= oracle.LostPatient,
		Figure: fmt.Sprintf("%d lost, oracle %d", chosen.LostPatient, oracle.LostPatient),
	})

	if d.Weights.RoleChange > d.Weights.Goodput {
		return append(targets, r.fewChanges()...)
	}

	return append(targets, r.noBetterBaseline())
}

// urgentTargets judges each wave in which the oracle shows that the fleet can carry the urgent work.
func (r *Report) urgentTargets(d trace.Deployment) []Target {
	var targets []Target

	for _, p := range d.Phases {
		can := r.Result(Oracle).Urgent[p.Name]
		if !p.Wave || can.Share() < urgentShare {
			continue
		}

		got := r.Result(Chosen).Urgent[p.Name]
		targets = append(targets, Target{
			Key:    TargetUrgent,
			Name:   "urgent work in " + p.Name,
			Met:    got.Share() >= urgentShare,
			Figure: fmt.Sprintf("%.2f%%, oracle %.2f%%", 100*got.Share(), 100*can.Share()),
		})
	}

	return targets
}

func (r *Report) fewChanges() []Target {
	chosen, reactive := r.Result(Chosen), r.Result(Reactive)

	return []Target{
		{
			Key:    TargetChanges,
			Name:   "role changes at most a third of the reactive threshold's",
			Met:    float64(chosen.RoleChanges) <= changesShare*float64(reactive.RoleChanges),
			Figure: fmt.Sprintf("%d against %d", chosen.RoleChanges, reactive.RoleChanges),
		},
		{
			Key:    TargetReactive,
			Name:   "goodput not below the reactive threshold's",
			Met:    chosen.All.Good >= reactive.All.Good,
			Figure: fmt.Sprintf("%d against %d good", chosen.All.Good, reactive.All.Good),
		},
	}
}

func (r *Report) noBetterBaseline() Target {
	chosen := r.Result(Chosen)
	top := chosen

	for _, name := range []string{Static, Reactive, Hysteresis, NoSpill} {
		if x := r.Result(name); x.All.Good > top.All.Good {
			top = x
		}
	}

	return Target{
		Key:    TargetBaselines,
		Name:   "no baseline with more goodput",
		Met:    top == chosen,
		Figure: fmt.Sprintf("%d good; best is %s with %d", chosen.All.Good, top.Policy, top.All.Good),
	}
}

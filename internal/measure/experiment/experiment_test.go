package experiment_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/measure/experiment"
)

const seeds = 5

// reports holds the experiment of each deployment, which several tests judge.
var reports sync.Map

func report(t *testing.T, deployment string) *experiment.Report {
	t.Helper()

	if testing.Short() {
		t.Skip("runs all policies")
	}

	run, _ := reports.LoadOrStore(deployment, sync.OnceValues(func() (*experiment.Report, error) {
		return experiment.Run(t.Context(), experiment.Options{Deployment: deployment, Seeds: seeds})
	}))

	r, err := run.(func() (*experiment.Report, error))()
	require.NoError(t, err)

	return r
}

// requireTarget fails unless there are targets of that key and all are met.
func requireTarget(t *testing.T, deployment, key string) {
	t.Helper()

	found := false

	for _, x := range report(t, deployment).Targets {
		if x.Key != key {
			continue
		}

		found = true

		require.True(t, x.Met, "%s: %s", x.Name, x.Figure)
	}

	require.True(t, found)
}

func TestDombudNearOracle(t *testing.T)  { requireTarget(t, "dombud", experiment.TargetOracle) }
func TestDombudUrgent(t *testing.T)      { requireTarget(t, "dombud", experiment.TargetUrgent) }
func TestDombudPatientLost(t *testing.T) { requireTarget(t, "dombud", experiment.TargetPatient) }
func TestDombudBaselines(t *testing.T)   { requireTarget(t, "dombud", experiment.TargetBaselines) }
func TestQafzehNearOracle(t *testing.T)  { requireTarget(t, "qafzeh", experiment.TargetOracle) }
func TestQafzehUrgent(t *testing.T)      { requireTarget(t, "qafzeh", experiment.TargetUrgent) }
func TestQafzehPatientLost(t *testing.T) { requireTarget(t, "qafzeh", experiment.TargetPatient) }
func TestQafzehFewChanges(t *testing.T)  { requireTarget(t, "qafzeh", experiment.TargetChanges) }
func TestQafzehGoodput(t *testing.T)     { requireTarget(t, "qafzeh", experiment.TargetReactive) }

// TestNothingIsLeftHanging has role changes, drained engines and a cut-off data centre in each run.
func TestNothingIsLeftHanging(t *testing.T) {
	for _, deployment := range []string{"dombud", "qafzeh"} {
		for _, x := range report(t, deployment).Results {
			require.Zero(t, x.Unfinished, x.Policy)
		}

		require.Positive(t, report(t, deployment).Result(experiment.Chosen).RoleChanges)
	}
}

func TestRunIsDeterministic(t *testing.T) {
	opt := experiment.Options{Deployment: "qafzeh", Seeds: 1, Policies: []string{experiment.Chosen}}

	a, err := experiment.Run(t.Context(), opt)
	require.NoError(t, err)

	b, err := experiment.Run(t.Context(), opt)
	require.NoError(t, err)
	require.Equal(t, a.Results[0].Timeline, b.Results[0].Timeline)
	require.Equal(t, a.Results[0].FirstToken, b.Results[0].FirstToken)
	require.Empty(t, a.Targets, "not all policies ran")
}

func TestEngineTimeLostFollowsChanges(t *testing.T) {
	x := report(t, "dombud").Result(experiment.Chosen)
	least := time.Duration(x.RoleChanges) * 7 * time.Second // most of the time that a change takes

	require.GreaterOrEqual(t, x.EngineAway, least.Seconds())
}

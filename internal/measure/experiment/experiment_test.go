package experiment_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/measure/experiment"
)

const seeds = 5

// reports caches the experiment of each deployment, whose results several tests check. The values are functions
// that run the experiment on their first call.
var reports sync.Map

// report returns the results of all policies for a deployment.
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

// requireGoal fails unless the report has a goal with that key and all goals with it are met.
func requireGoal(t *testing.T, deployment, key string) {
	t.Helper()

	found := false

	for _, g := range report(t, deployment).Goals {
		if g.Key != key {
			continue
		}

		found = true

		require.True(t, g.Met, "%s: %s", g.Name, g.Figure)
	}

	require.True(t, found)
}

func TestDombudNearOracle(t *testing.T)  { requireGoal(t, "dombud", experiment.GoalOracle) }
func TestDombudUrgent(t *testing.T)      { requireGoal(t, "dombud", experiment.GoalUrgent) }
func TestDombudPatientLost(t *testing.T) { requireGoal(t, "dombud", experiment.GoalPatient) }
func TestDombudBaselines(t *testing.T)   { requireGoal(t, "dombud", experiment.GoalBaselines) }
func TestQafzehNearOracle(t *testing.T)  { requireGoal(t, "qafzeh", experiment.GoalOracle) }
func TestQafzehUrgent(t *testing.T)      { requireGoal(t, "qafzeh", experiment.GoalUrgent) }
func TestQafzehPatientLost(t *testing.T) { requireGoal(t, "qafzeh", experiment.GoalPatient) }
func TestQafzehFewChanges(t *testing.T)  { requireGoal(t, "qafzeh", experiment.GoalChanges) }
func TestQafzehGoodput(t *testing.T)     { requireGoal(t, "qafzeh", experiment.GoalReactive) }

// TestEachRequestEnds checks that each request ends, answered or lost, although each run has drained engines and a
// data centre that is cut off, and the chosen policy changes roles.
func TestEachRequestEnds(t *testing.T) {
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
	require.Empty(t, a.Goals, "not all policies ran")
}

func TestEngineTimeLostFollowsChanges(t *testing.T) {
	x := report(t, "dombud").Result(experiment.Chosen)
	minTime := time.Duration(x.RoleChanges) * 7 * time.Second // a bit less than the 8 s that each change takes

	require.GreaterOrEqual(t, x.EngineSecondsLost, minTime.Seconds())
}

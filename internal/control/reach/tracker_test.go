package reach_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/reach"
)

const targets = 4 // of the service "s"

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// fails records failures of the given targets.
func fails(t *reach.Tracker, now time.Time, ids ...entity.TargetID) {
	for _, id := range ids {
		t.RecordFailed(now, "s", id, targets)
	}
}

func due(t *reach.Tracker, now time.Time) []entity.ServiceName {
	names, _ := t.Due(now)

	return names
}

func TestOneLostTargetIsNoCut(t *testing.T) {
	tr := reach.New(nil)
	fails(tr, at(0), "a", "a", "a")
	require.False(t, tr.Doubtful(at(0), "s"))
	require.Empty(t, due(tr, at(0)))
}

func TestFailuresWithAnAnswerBetweenThemAreNoCut(t *testing.T) {
	tr := reach.New(nil)
	fails(tr, at(0), "a")
	tr.RecordReached(at(0), "s")
	fails(tr, at(0), "b")
	require.False(t, tr.Doubtful(at(0), "s"))

	fails(tr, at(time.Minute), "c")
	require.False(t, tr.Doubtful(at(time.Minute), "s"), "the failure of b was long ago")
}

func TestProbeDecidesWhetherAServiceIsCutOff(t *testing.T) {
	var changes []reach.Change

	tr := reach.New(func(c reach.Change) { changes = append(changes, c) })
	fails(tr, at(0), "a", "b")
	require.True(t, tr.Doubtful(at(0), "s"))
	require.False(t, tr.CutOff("s"), "this process may have been paused")

	tr.RecordReached(at(0), "s")
	require.True(t, tr.Doubtful(at(0), "s"), "an open connection may live on")

	require.Equal(t, []entity.ServiceName{"s"}, due(tr, at(0)))
	require.Empty(t, due(tr, at(0)), "one probe at a time")
	tr.RecordProbe(at(0), "s", true)
	require.False(t, tr.Doubtful(at(0), "s"))

	fails(tr, at(100*time.Millisecond), "a", "b")
	require.False(t, tr.Doubtful(at(100*time.Millisecond), "s"), "it was probed just now")

	fails(tr, at(2*time.Second), "a", "b")
	require.NotEmpty(t, due(tr, at(2*time.Second)))
	tr.RecordProbe(at(2*time.Second), "s", false)
	require.True(t, tr.CutOff("s"))
	require.Equal(t, []entity.ServiceName{"s"}, tr.Unreachable())
	require.False(t, tr.CutOff("other"))

	_, next := tr.Due(at(2 * time.Second))
	require.False(t, next.IsZero())
	tr.RecordReached(at(2*time.Second), "s")
	require.True(t, tr.CutOff("s"), "an answer may have begun before the cut")

	require.NotEmpty(t, due(tr, next))
	tr.RecordProbe(next, "s", true)
	require.False(t, tr.CutOff("s"))
	require.Equal(t, []reach.Change{
		{Service: "s", CutOff: true, Failed: 2}, {Service: "s", Failed: 2, Lasted: next.Sub(at(2 * time.Second))},
	}, changes)
}

func TestServiceWithOneTargetCanBeCutOff(t *testing.T) {
	tr := reach.New(nil)
	tr.RecordFailed(at(0), "s", "a", 1)
	require.Equal(t, []entity.ServiceName{"s"}, due(tr, at(0)))
}

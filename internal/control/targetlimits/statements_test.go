package targetlimits_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/targetlimits"
)

func TestTargetThatRefusesIsAdmittedAfterTheTimeItStates(t *testing.T) {
	table := targetlimits.New(targetlimits.Options{})
	at := func(d time.Duration) time.Time { return epoch.Add(d) }

	table.RecordRefusal(at(0), "a", 3*time.Second)
	table.RecordRefusal(at(time.Second), "a", time.Second) // does not shorten the time
	require.Equal(t, 2*time.Second, table.Wait(at(time.Second), "a", 0))
	require.False(t, table.Take(at(2999*time.Millisecond), "a", 0))
	require.True(t, table.Take(at(3*time.Second), "a", 0))
	require.True(t, table.Take(at(0), "b", 0))
	require.False(t, table.Leaves(at(0), "a"))

	table.RecordRefusal(at(0), "c", 1<<62)
	require.False(t, table.Take(at(time.Minute), "c", 0))
	require.True(t, table.Take(at(time.Hour), "c", 0), "no statement holds for ever")

	table.RecordRefusal(at(0), "d", -time.Second)
	table.RecordRefusal(at(0), "d", 0)
	require.True(t, table.Admits(at(0), "d", 0))
}

// A limit that a target states beside a refusal holds too.
func TestRefusalAndLimitOfATargetHoldBoth(t *testing.T) {
	table := targetlimits.New(targetlimits.Options{})
	table.Record(epoch, epoch, "a", limited(0.5))
	table.RecordRefusal(epoch, "a", time.Second)
	require.Greater(t, table.Wait(epoch, "a", 0), time.Second, "the bucket starts empty")

	table.RecordRefusal(epoch, "a", time.Minute)
	require.Equal(t, time.Minute, table.Wait(epoch, "a", 0))
	require.False(t, table.Take(epoch.Add(30*time.Second), "a", 0))
}

func TestTargetThatLeavesIsAdmittedInItsNextRunAlone(t *testing.T) {
	table := targetlimits.New(targetlimits.Options{})
	require.True(t, table.RecordLeaving(epoch, "a@1"))
	require.False(t, table.RecordLeaving(epoch, "a@1"), "it is known")
	table.Record(epoch.Add(time.Second), epoch, "a@1", targetlimits.Statement{}) // an answer to an earlier request
	require.Negative(t, table.Wait(epoch.Add(time.Minute), "a@1", 0))
	require.Equal(t, []entity.TargetID{"a@1"}, table.Leaving(epoch))
	require.True(t, table.Take(epoch, "a@2", 0), "the replica has started again")

	table.Tick(epoch, func(id entity.TargetID) bool { return id != "a@1" })
	require.Zero(t, table.Stats().Shunned, "the run has ended")
	require.True(t, table.RecordLeaving(epoch, "b"))
	table.Tick(epoch.Add(time.Hour), func(entity.TargetID) bool { return true })
	require.Zero(t, table.Stats().Shunned, "no statement holds for ever")
	require.False(t, table.Any())
}

func TestNilTableKnowsNoStatements(t *testing.T) {
	var table *targetlimits.Table

	require.False(t, table.RecordLeaving(epoch, "a"))
	table.RecordRefusal(epoch, "a", time.Second)
	require.True(t, table.Admits(epoch, "a", 0))
	require.Empty(t, table.Leaving(epoch))
}

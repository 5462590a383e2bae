package deployment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
)

// TestBeliefTellsWhyATargetIsSentRequests guards against logs that do not tell whether a target is in force, kept or gone.
func TestBeliefTellsWhyATargetIsSentRequests(t *testing.T) {
	s := newState()
	s.Targets().Replaced(now, []storewatch.Entry{{Name: "a", Value: []byte("x")}}, 5)

	id := s.Fleet().All[0].ID
	b := s.Belief(now.Add(time.Second), id)
	require.True(t, b.Listed)
	require.Equal(t, time.Second, b.Age)
	require.Equal(t, uint64(5), b.Revision)
	require.Equal(t, "store", b.Source)
	require.False(t, b.Odd())
	require.True(t, s.Belief(now.Add(time.Minute), id).Odd(), "the list is old")
	require.True(t, s.Belief(now, entity.TargetID("other")).Odd(), "not listed")

	s.Targets().Returned(now, time.Hour)
	s.Targets().Replaced(now, nil, 6)

	b = s.Belief(now, id)
	require.True(t, b.Listed && b.Kept && b.Odd())

	s.Tick(now.Add(3 * time.Second))

	b = s.Belief(now, id)
	require.False(t, b.Listed)
	require.Equal(t, "grace period", b.Source)
}

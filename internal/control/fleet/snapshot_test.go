package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
)

func TestTargetsByRole(t *testing.T) {
	s := fleet.NewSnapshot([]fleet.Target{
		{ID: "a", Service: "m", Role: entity.Prefill}, {ID: "b", Service: "m", Role: entity.Decode},
		{ID: "c", Service: "m", Role: entity.Prefill, Leaving: true}, {ID: "d", Service: "n", Role: entity.Prefill},
	})

	require.Equal(t, []fleet.Target{{ID: "a", Service: "m", Role: entity.Prefill}}, s.InRole("m", entity.Prefill))
	require.Len(t, s.InRole("m", entity.Decode), 1)
	require.Empty(t, s.InRole("n", entity.Decode))
	require.Empty(t, (*fleet.Snapshot)(nil).InRole("m", entity.Prefill))
}

package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

func TestTargetsByRole(t *testing.T) {
	s := fleet.NewSnapshot([]fleet.Target{
		{ID: "a", Service: "m", Role: table.Prefill}, {ID: "b", Service: "m", Role: table.Decode},
		{ID: "c", Service: "m", Role: table.Prefill, Leaving: true}, {ID: "d", Service: "n", Role: table.Prefill},
	})

	require.Equal(t, []fleet.Target{{ID: "a", Service: "m", Role: table.Prefill}}, s.InRole("m", table.Prefill))
	require.Len(t, s.InRole("m", table.Decode), 1)
	require.Empty(t, s.InRole("n", table.Decode))
	require.Empty(t, (*fleet.Snapshot)(nil).InRole("m", table.Prefill))
}

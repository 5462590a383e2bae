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

func TestTargetsByVersion(t *testing.T) {
	s := fleet.NewSnapshot([]fleet.Target{
		{ID: "a", Service: "m", Role: entity.Decode, Version: "v1"}, {ID: "b", Service: "m", Role: entity.Decode, Version: "v2"},
		{ID: "c", Service: "m", Role: entity.Decode, Version: "v3", Leaving: true}, {ID: "d", Service: "m", Role: entity.Prefill, Version: "v2"},
	})

	require.Equal(t, []fleet.Target{{ID: "b", Service: "m", Role: entity.Decode, Version: "v2"}}, s.AtVersion("m", entity.Decode, "v2"))
	require.Empty(t, s.AtVersion("m", entity.Decode, "v3"), "it is leaving")
	require.Empty(t, s.AtVersion("n", entity.Decode, "v2"))
	require.Equal(t, map[entity.ServiceName][]entity.SoftwareVersion{"m": {"v1", "v2", "v3"}}, s.Versions(), "streams of v3 may still live")
	require.Empty(t, (*fleet.Snapshot)(nil).Versions())
}

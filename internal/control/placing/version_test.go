package placing_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
)

// atVersion returns n replicas of version.
func atVersion(name string, n int, version entity.SoftwareVersion) []fleet.Target {
	var list []fleet.Target
	for i := range n {
		list = append(list, fleet.Target{ID: entity.TargetID(fmt.Sprint(name, i)), Slots: 8, Version: version})
	}

	return list
}

// chosen returns how many of 1,000 streams begin at each version.
func chosen(t *testing.T, prefill, decode []fleet.Target, except ...entity.SoftwareVersion) map[entity.SoftwareVersion]int {
	t.Helper()

	counts := map[entity.SoftwareVersion]int{}

	for i := range 1000 {
		v, ok := placing.ChooseVersion(placing.Job{ID: entity.RequestID(fmt.Sprint("q", i))}, prefill, decode, except)
		require.True(t, ok)

		counts[v]++
	}

	return counts
}

func TestStreamsAreDividedByWhatVersionsCanServe(t *testing.T) {
	prefill := append(atVersion("p", 6, "v1"), atVersion("q", 2, "v2")...)
	decode := append(atVersion("d", 6, "v1"), atVersion("e", 2, "v2")...)
	got := chosen(t, prefill, decode)
	require.InDelta(t, 750, got["v1"], 60)

	// v1 has most of the prefill replicas and few to generate.
	decode = append(atVersion("d", 2, "v1"), atVersion("e", 6, "v2")...)
	got = chosen(t, prefill, decode)
	require.InDelta(t, 500, got["v1"], 60)
}

func TestVersionThatHasNoReplicaToSpareGetsNoNewStreams(t *testing.T) {
	prefill := append(atVersion("p", 2, "v1"), atVersion("q", 2, "v2")...)
	got := chosen(t, prefill, append(atVersion("d", 1, "v1"), atVersion("e", 3, "v2")...))
	require.Zero(t, got["v1"])

	got = chosen(t, prefill, append(atVersion("d", 1, "v1"), atVersion("e", 1, "v2")...))
	require.Positive(t, got["v1"])
	require.Positive(t, got["v2"])
}

func TestVersionWithoutPrefillReplicasServes(t *testing.T) {
	got := chosen(t, atVersion("p", 4, "v1"), append(atVersion("d", 4, "v1"), atVersion("e", 4, "v2")...))
	require.Positive(t, got["v2"])
	require.Greater(t, got["v1"], 2*got["v2"])

	got = chosen(t, atVersion("p", 4, "v1"), atVersion("e", 4, "v2"))
	require.Equal(t, 1000, got["v2"], "v1 cannot generate")
}

func TestVersionsThatWerePassedOverAreNotChosen(t *testing.T) {
	decode := append(atVersion("d", 4, "v1"), atVersion("e", 4, "v2")...)
	require.Equal(t, 1000, chosen(t, nil, decode, "v1")["v2"])

	_, ok := placing.ChooseVersion(placing.Job{ID: "q"}, nil, decode, []entity.SoftwareVersion{"v1", "v2"})
	require.False(t, ok)

	_, ok = placing.ChooseVersion(placing.Job{ID: "q", Avoid: []entity.TargetID{"e0"}}, nil, atVersion("e", 1, "v2"), nil)
	require.False(t, ok, "all its replicas are avoided")
}

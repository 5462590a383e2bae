package cells_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/cells"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
)

const manyHosts = cells.MaxSingleCellHosts + 1

// replicas returns the given number of replicas for each data centre.
func replicas(counts map[entity.DataCentre]int) []fleet.Target {
	var all []fleet.Target

	for dc, n := range counts {
		for i := range n {
			all = append(all, fleet.Target{ID: entity.TargetID(fmt.Sprint(dc, i)), DataCentre: dc})
		}
	}

	return all
}

func prompt(shared, own uint64) placing.Job {
	return placing.Job{ID: entity.RequestID(fmt.Sprint(own)), Parts: []placing.Part{{ID: shared, Tokens: 500}, {ID: own, Tokens: 700}}}
}

func TestFewHostsShareOneCell(t *testing.T) {
	all := replicas(map[entity.DataCentre]int{"a": 3, "b": 2})

	require.Equal(t, []entity.DataCentre{cells.AllReplicas}, cells.Rank(all, cells.MaxSingleCellHosts, prompt(1, 2)))
	require.Len(t, cells.Members(cells.AllReplicas, all), 5)
	require.Len(t, cells.Members("b", all), 2)
	require.Empty(t, cells.Rank(nil, manyHosts, prompt(1, 2)))
}

func TestPromptsWithASharedPrefixHaveTheSameCells(t *testing.T) {
	all := replicas(map[entity.DataCentre]int{"a": 5, "b": 5, "c": 5})

	for shared := range uint64(50) {
		require.Equal(t, cells.Rank(all, manyHosts, prompt(shared, 1)), cells.Rank(all, 2*manyHosts, prompt(shared, 2)))
	}
}

// TestCellsAreUsedInProportion ranks cells of unequal size for many prefixes.
func TestCellsAreUsedInProportion(t *testing.T) {
	const prompts = 20_000

	all := replicas(map[entity.DataCentre]int{"a": 10, "b": 20, "c": 10})
	first := map[entity.DataCentre]float64{}

	for shared := range uint64(prompts) {
		first[cells.Rank(all, manyHosts, prompt(shared, 1))[0]]++
	}

	require.InDelta(t, 0.5, first["b"]/prompts, 0.02)
	require.InDelta(t, 0.25, first["a"]/prompts, 0.02)
}

// TestLostReplicaMovesFewPrompts checks that most prefixes keep their first cell when a cell loses a replica.
func TestLostReplicaMovesFewPrompts(t *testing.T) {
	before := replicas(map[entity.DataCentre]int{"a": 10, "b": 10})
	after := replicas(map[entity.DataCentre]int{"a": 10, "b": 9})
	moved := 0

	for shared := range uint64(1000) {
		if cells.Rank(before, manyHosts, prompt(shared, 1))[0] != cells.Rank(after, manyHosts, prompt(shared, 1))[0] {
			moved++
		}
	}

	require.Less(t, moved, 50)
}

func TestPlacerChangesOnlyIfItIsLost(t *testing.T) {
	hosts := []entity.HostID{"h1", "h2", "h3", "h4", "h5"}
	placer := cells.Placer("a", hosts)

	require.Contains(t, hosts, placer)
	require.Empty(t, cells.Placer("a", nil))

	for i, h := range hosts {
		rest := append(append([]entity.HostID{}, hosts[:i]...), hosts[i+1:]...)

		if h == placer {
			require.NotEqual(t, placer, cells.Placer("a", rest))
		} else {
			require.Equal(t, placer, cells.Placer("a", rest))
		}
	}
}

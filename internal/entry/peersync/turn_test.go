package peersync_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/peersync"
)

// fleetView is the view of one host.
type fleetView struct {
	hosts  int
	counts map[entity.DataCentre]int
	rank   int
}

func (f fleetView) Hosts() int                            { return f.hosts }
func (f fleetView) HostCounts() map[entity.DataCentre]int { return f.counts }
func (f fleetView) Rank(string) int                       { return f.rank }
func (f fleetView) Period() time.Duration                 { return 300 * time.Millisecond }

// TestEachWatchHasItsOwnTurn collects the turns of the watches of all hosts that read the store.
func TestEachWatchHasItsOwnTurn(t *testing.T) {
	for name, tt := range map[string]struct {
		counts map[entity.DataCentre]int
		hosts  int // that each host hears, itself included
		reads  int // hosts of each data centre that read the store at most
		spread time.Duration
	}{
		"one host":            {map[entity.DataCentre]int{"a": 1}, 1, 1, 300 * time.Millisecond},
		"small":               {map[entity.DataCentre]int{"a": 3, "b": 2, "c": 3}, 8, 3, 300 * time.Millisecond},
		"small, partly heard": {map[entity.DataCentre]int{"a": 3, "b": 2, "c": 3}, 7, 3, 600 * time.Millisecond},
		"large":               {map[entity.DataCentre]int{"a": 22, "b": 22, "c": 23, "d": 22}, 34, 3, 900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			seen := map[int]bool{}

			var last peersync.Turn

			for home, n := range tt.counts {
				for rank := range min(n, tt.reads) {
					for watch := range 2 {
						last = peersync.TurnOf(fleetView{tt.hosts, tt.counts, rank}, home, "readers", watch)
						require.False(t, seen[last.Index])
						seen[last.Index] = true

						require.Equal(t, tt.spread, last.Spread)
						require.LessOrEqual(t, last.First(), last.Next())
					}
				}
			}

			require.Len(t, seen, last.Count)
			require.Contains(t, seen, last.Count-1)
		})
	}
}

func TestHostsWhoseWatchesEndSoonReadFirst(t *testing.T) {
	turn := peersync.Turn{Count: 16, Spread: 300 * time.Millisecond}

	require.False(t, turn.IsLate(2*time.Second, 1, 0))
	require.True(t, turn.IsLate(2700*time.Millisecond, 1, 0))
	require.False(t, turn.IsLate(2700*time.Millisecond, 1, 10*time.Second))
	require.True(t, turn.IsLate(3300*time.Millisecond, 1, 10*time.Second))
	require.False(t, turn.IsLate(3300*time.Millisecond, 0.5, 10*time.Second), "half of the watches end half as often")
}

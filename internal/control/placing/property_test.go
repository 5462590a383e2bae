package placing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
)

// TestWorkOfAllHostsAddsUp compares a board with a plain count while peers report, fall silent and return, and
// work starts and ends on this host.
func TestWorkOfAllHostsAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			board      = placing.New()
			at         = now
			all        = []fleet.Target{{ID: "a", Slots: 4}, {ID: "b", Slots: 4}, {ID: "c", Slots: 4}}
			reported   = map[entity.HostID]map[entity.TargetID]int{}
			reportedAt = map[entity.HostID]time.Time{}
			placements []placing.Placement
		)

		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				host := entity.HostID(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "host")))
				reported[host], reportedAt[host] = map[entity.TargetID]int{}, at

				var work []placing.TargetWork

				for _, target := range all {
					if n := rapid.IntRange(0, 3).Draw(t, "runs"); n > 0 {
						reported[host][target.ID] = n
						work = append(work, placing.TargetWork{Target: target.ID, Running: n})
					}
				}

				board.Merge(at, host, work)
			},
			"wait": func(t *rapid.T) {
				at = at.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				board.Tick(at, 0, func(entity.TargetID) bool { return true })

				for host, last := range reportedAt {
					if at.Sub(last) > 3*time.Second {
						delete(reported, host)
						delete(reportedAt, host)
					}
				}
			},
			"start": func(*rapid.T) {
				place, ok := board.PlaceCall(at, all, placing.Job{ID: "q"})
				require.True(t, ok)

				placements = append(placements, place)
			},
			"end": func(t *rapid.T) {
				if len(placements) == 0 {
					t.Skip("nothing under way")
				}

				last := len(placements) - 1
				placements[last].Claim.Release()
				placements[last].Claim.Release()

				placements = placements[:last]
			},
			"": func(*rapid.T) {
				want := map[entity.TargetID]int{}

				for _, running := range reported {
					for id, n := range running {
						want[id] += n
					}
				}

				for _, place := range placements {
					want[place.Target.ID]++
				}

				for _, target := range all {
					require.Equal(t, want[target.ID], board.Busy(target.ID))
				}
			},
		})
	})
}

package placing_test

import (
	"fmt"
	"testing"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
)

// BenchmarkPlacePrompt measures a choice among the targets of a fleet in which each host has work on some of them.
func BenchmarkPlacePrompt(b *testing.B) {
	const targetsPerHost = 20

	for _, size := range []struct{ hosts, targets int }{{7, 18}, {85, 90}, {330, 600}} {
		b.Run(fmt.Sprintf("hosts=%d/targets=%d", size.hosts, size.targets), func(b *testing.B) {
			board := placing.New()

			var all []fleet.Target
			for i := range size.targets {
				all = append(all, fleet.Target{ID: entity.TargetID(fmt.Sprint("t", i)), Slots: 48})
			}

			for i := range size.hosts {
				var reported []placing.TargetWork
				for k := range min(targetsPerHost, size.targets) {
					reported = append(reported, placing.TargetWork{Target: all[(i+k)%size.targets].ID, Running: 1})
				}

				board.Merge(now, entity.HostID(fmt.Sprint("h", i)), reported)
			}

			work := job(12_000, placing.Part{ID: 1, Tokens: 512}, placing.Part{ID: 2, Tokens: 4870}, placing.Part{ID: 3, Tokens: 6610})

			for b.Loop() {
				place, _ := board.PlacePrompt(now, all, work)
				place.Claim.Release()
			}
		})
	}
}

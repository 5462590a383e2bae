package scaling_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/scaling"
)

// A host hears all hosts of its data centre and two of each other one. Each host serves a few requests at a time, so that the hosts
// that are heard differ from the others by chance.
func TestDemandOfHostsThatAreNotHeard(t *testing.T) {
	const plays = 300

	for _, fleet := range []struct {
		hosts, centres int
		perHost        float64 // mean requests under way
		deviation      float64 // most mean deviation from the demand of all hosts, as a fraction
	}{{8, 2, 60, 0.05}, {59, 3, 8, 0.12}, {330, 5, 8, 0.12}} {
		t.Run(fmt.Sprint(fleet.hosts, " hosts"), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 1))

			var bias, deviation float64

			for range plays {
				var (
					all    float64
					heard  []scaling.Heard
					counts = map[entity.DataCentre]int{}
				)

				for i := range fleet.hosts {
					dc := entity.DataCentre(fmt.Sprint(i % fleet.centres))
					counts[dc]++

					running := math.Max(0, math.Round(fleet.perHost+math.Sqrt(fleet.perHost)*r.NormFloat64()))
					all += running

					if i%fleet.centres == 0 || counts[dc] <= 2 {
						heard = append(heard, scaling.Heard{DataCentre: dc, Load: scaling.Load{Prefill: 1000 * running, Running: running, KVTokens: 10 * running}})
					}
				}

				load := scaling.Extrapolate(heard, counts)
				require.InDelta(t, 1000*load.Running, load.Prefill, 1)
				require.InDelta(t, 10*load.Running, load.KVTokens, 1)

				bias += (load.Running/all - 1) / plays
				deviation += math.Abs(load.Running/all-1) / plays
			}

			require.InDelta(t, 0, bias, 0.02)
			require.Less(t, deviation, fleet.deviation)
		})
	}
}

func TestDemandOfDataCentresThatAreNotHeard(t *testing.T) {
	heard := []scaling.Heard{{DataCentre: "a", Load: scaling.Load{Running: 3}}, {DataCentre: "a", Load: scaling.Load{Running: 5}}}

	require.InDelta(t, 8.0+4*10, scaling.Extrapolate(heard, map[entity.DataCentre]int{"a": 2, "b": 10}).Running, 1e-9)
	require.InDelta(t, 8.0, scaling.Extrapolate(heard, map[entity.DataCentre]int{"a": 1}).Running, 1e-9, "more are heard than counted")
	require.Zero(t, scaling.Extrapolate(nil, map[entity.DataCentre]int{"a": 1}))
}

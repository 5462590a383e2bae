package routing_test

import (
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/routing"
)

// TestTrafficWhileViewsAreBuilt runs Pick and Build concurrently, mainly for the race detector. All work ends, so the
// counts must return to zero.
func TestTrafficWhileViewsAreBuilt(t *testing.T) {
	const goroutines, picks, ticks = 8, 500, 50

	targets := fleet(20)
	ledger, prefixes := routing.NewLedger(), routing.NewPrefixes(16)
	build := func(tick int) *routing.View {
		at := now.Add(time.Duration(tick) * time.Second)

		return routing.Build(routing.Options{Now: at, Home: "dc0", Ledger: ledger, Prefixes: prefixes}, targets)
	}
	view := build(0)

	var wg sync.WaitGroup

	for g := range goroutines {
		wg.Go(func() {
			rng := rand.New(rand.NewSource(int64(g)))
			q := prompt()

			for i := range picks {
				q.Prefix = routing.Prefix(i % 32)

				c, ok := view.Pick(rng, q)
				if !ok {
					continue
				}

				c.Flight.Start(routing.Cost{Prefill: 10, Decode: 1})
				prefixes.Add(q.Prefix, c.Target)
				c.Flight.End(routing.Cost{Prefill: 10, Decode: 1})
			}
		})
	}

	for tick := range ticks {
		build(tick)
		prefixes.Drop(targets[tick%len(targets)].ID)
	}

	wg.Wait()

	for i := range targets {
		require.Zero(t, ledger.Flight(targets[i].ID).Open())
	}
}

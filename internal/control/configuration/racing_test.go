package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
)

// TestRacingOperators lets operators at several hosts increment an account's limit concurrently, while the
// platform loses answers, delays writes and fails. Each edit that was reported as accepted must have
// incremented the limit once, and all others must not have changed it.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(rt *rapid.T) {
			tb := rapidTB{TB: t, rt: rt}
			store := standin.NewStore(clockwork.NewRealClock())
			seed := rapid.Uint64().Draw(rt, "seed")
			operators := rapid.IntRange(2, 4).Draw(rt, "operators")

			_, err := newEditor(store.View()).Apply(context.Background(), edit(tb, "0000", 0, template, account("a", 0)))
			require.NoError(tb, err)

			var (
				accepted atomic.Int64
				wg       sync.WaitGroup
			)

			for i := range operators {
				o := operator{tb: tb, store: store, view: store.View(), rng: rand.New(rand.NewPCG(seed, uint64(i))), id: i}

				wg.Go(func() { accepted.Add(int64(o.makeEdits(10))) })
			}

			wg.Wait()
			time.Sleep(time.Minute)
			require.Equal(tb, int(accepted.Load()), openLimit(tb, storedContents(tb, store), "a"))
		})
	})
}

type operator struct {
	tb    testing.TB
	store *standin.Store
	view  *standin.View
	rng   *rand.Rand
	id    int
}

// makeEdits makes n edits and returns how many were accepted.
func (o operator) makeEdits(n int) int {
	accepted := 0

	for i := range n {
		time.Sleep(time.Duration(o.rng.IntN(300)) * time.Millisecond)

		base := storedContents(o.tb, o.store)
		e := edit(o.tb, fmt.Sprintf("%04d-%04d", o.id, i), base.Generation(), account("a", openLimit(o.tb, base, "a")+1))

		o.view.SetFaults(o.faults())
		time.AfterFunc(time.Duration(o.rng.IntN(4000))*time.Millisecond, func() { o.view.SetFaults(standin.Faults{}) })

		if o.applyUntilSettled(e) {
			accepted++
		}

		time.Sleep(5 * time.Second)
	}

	return accepted
}

func (o operator) faults() standin.Faults {
	switch o.rng.IntN(4) {
	case 0:
		return standin.Faults{LoseAnswer: true}
	case 1:
		return standin.Faults{LoseAnswer: true, LateWrite: time.Duration(o.rng.IntN(3000)) * time.Millisecond}
	case 2:
		return standin.Faults{Down: true}
	default:
		return standin.Faults{Delay: 100 * time.Millisecond}
	}
}

// applyUntilSettled sends e until its outcome is known and reports whether it was accepted.
func (o operator) applyUntilSettled(e configuration.Edit) bool {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := newEditor(o.view).Apply(ctx, e)

		cancel()

		if errors.Is(err, configuration.ErrUnsettled) {
			continue
		}

		return err == nil
	}
}

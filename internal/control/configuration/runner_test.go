package configuration_test

import (
	"context"
	"flag"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}

	os.Exit(m.Run())
}

func TestInForceAndNeverOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slowest time.Duration

		rapid.Check(bubbleTB{t}, func(rt *rapid.T) {
			f := newFleet(rapidTB{TB: t, rt: rt}, hostCount)
			defer f.stopAll()

			faults := rapid.SampledFrom([]standin.Faults{
				{}, {Down: true}, {SilentWatch: true}, {Delay: 300 * time.Millisecond},
				{SilentWatch: true, Delay: 300 * time.Millisecond},
			})
			index := rapid.IntRange(0, hostCount-1)
			pause := rapid.IntRange(1, 80)

			rt.Repeat(map[string]func(*rapid.T){
				"edit":    func(rt *rapid.T) { f.edit(f.edits) },
				"faults":  func(rt *rapid.T) { f.setFaults(index.Draw(rt, "host"), faults.Draw(rt, "faults")) },
				"restart": func(rt *rapid.T) { i := index.Draw(rt, "host"); f.stop(i); f.start(i) },
				"link": func(rt *rapid.T) {
					i, j := index.Draw(rt, "from"), index.Draw(rt, "to")
					if i != j {
						f.toggleLink(i, j)
					}
				},
				"outage": func(rt *rapid.T) {
					for i := range f.hosts {
						f.setFaults(i, standin.Faults{Down: true})
					}
				},
				"recovery": func(rt *rapid.T) {
					for i := range f.hosts {
						f.setFaults(i, standin.Faults{})
					}
				},
				"pass": func(rt *rapid.T) { f.run(time.Duration(pause.Draw(rt, "steps")) * step * 2) },
			})

			f.run(inForce)

			slowest = max(slowest, f.slowest)
		})

		t.Logf("slowest to be in force on a reachable host: %v", slowest)
	})
}

// mutedView can silence its open watches for good while later ones work.
type mutedView struct {
	*standin.View

	open []*atomic.Bool
}

func (v *mutedView) Watch(ctx context.Context, prefix string) (<-chan platform.Object, error) {
	events, err := v.View.Watch(ctx, prefix)
	if err != nil {
		return nil, err
	}

	muted := new(atomic.Bool)
	v.open = append(v.open, muted)
	heard := make(chan platform.Object)

	go func() {
		defer close(heard)

		for o := range events {
			if muted.Load() {
				continue
			}

			select {
			case heard <- o:
			case <-ctx.Done():
			}
		}
	}()

	return heard, nil
}

func TestSilentWatchIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stopAll()

		view := &mutedView{View: f.hosts[0].view}

		f.stop(0)
		f.hosts[0].source = view
		f.start(0)
		f.run(3 * time.Second)
		require.Len(t, view.open, 1, "a watch that is well was replaced")

		view.open[0].Store(true)
		f.edit(2)
		f.run(inForce)
		require.Len(t, view.open, 2)

		// The new watch shows the next change without waiting for a periodic read.
		f.edit(3)
		f.run(5 * step)
		require.Equal(t, f.newest, f.hosts[0].runner.Generation())
		require.Equal(t, 1, f.hosts[0].view.Calls().Watches)
	})
}

func TestRestartWithOnlyPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stopAll()

		f.run(inForce)
		// Host 1 stays behind: it hears neither the platform nor host 0.
		f.setFaults(1, standin.Faults{Down: true})
		f.toggleLink(0, 1)
		f.toggleLink(1, 2)
		f.edit(2)
		f.run(inForce)

		for i := range f.hosts {
			f.setFaults(i, standin.Faults{Down: true})
		}

		// After its restart, host 2 first hears host 1, which is behind, and then host 0.
		f.toggleLink(1, 2)
		f.toggleLink(0, 2)
		f.stop(2)
		f.start(2)
		f.run(heartbeat)
		require.False(t, f.hosts[2].runner.Ready())
		f.toggleLink(0, 2)
		f.beat()

		for range 100 {
			f.run(step)

			if h := f.hosts[2]; h.runner.Ready() {
				require.Equal(t, f.newest, h.runner.Generation(), "ready with an older copy")
			}
		}

		require.True(t, f.hosts[2].runner.Ready())
	})
}

func TestNeitherPlatformNorPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stopAll()

		f.run(inForce)
		f.setFaults(0, standin.Faults{Down: true})
		f.toggleLink(0, 1)
		f.stop(0)
		f.start(0)
		f.run(time.Minute)
		require.False(t, f.hosts[0].runner.Ready())
		require.Nil(t, f.hosts[0].runner.Current())

		f.setFaults(0, standin.Faults{})
		f.run(inForce)
		require.True(t, f.hosts[0].runner.Ready())
	})
}

// TestCallsAtRest bounds the platform calls of a host while nothing changes.
func TestCallsAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stopAll()

		f.run(10 * time.Second)

		before := f.hosts[0].view.Calls()

		f.run(time.Minute)

		calls := f.hosts[0].view.Calls()
		require.LessOrEqual(t, calls.Gets-before.Gets, 31)
		require.Equal(t, 1, calls.Watches)
	})
}

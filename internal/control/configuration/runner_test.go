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

// TestInForceAndNeverOlder checks the invariants of fleet under random edits, platform faults, cut links and
// restarts.
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
				"edit":    func(rt *rapid.T) { f.edit(f.editCount) },
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

			f.run(propagationLimit)

			slowest = max(slowest, f.slowestPropagation)
		})

		t.Logf("slowest propagation to a reachable host: %v", slowest)
	})
}

// mutingView can stop the delivery of an open watch without closing it. Watches opened later work.
type mutingView struct {
	*standin.View

	watches []*atomic.Bool
}

func (v *mutingView) Watch(ctx context.Context, prefix string) (<-chan platform.Object, error) {
	events, err := v.View.Watch(ctx, prefix)
	if err != nil {
		return nil, err
	}

	muted := new(atomic.Bool)
	v.watches = append(v.watches, muted)
	delivered := make(chan platform.Object)

	go func() {
		defer close(delivered)

		for o := range events {
			if muted.Load() {
				continue
			}

			select {
			case delivered <- o:
			case <-ctx.Done():
			}
		}
	}()

	return delivered, nil
}

func TestSilentWatchIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stopAll()

		view := &mutingView{View: f.hosts[0].view}

		f.stop(0)
		f.hosts[0].source = view
		f.start(0)
		f.run(3 * time.Second)
		require.Len(t, view.watches, 1, "a working watch was replaced")

		view.watches[0].Store(true)
		f.edit(2)
		f.run(propagationLimit)
		require.Len(t, view.watches, 2)

		// The new watch delivers the next change without waiting for a periodic read.
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

		f.run(propagationLimit)
		// Host 1 misses the next edit, as it reaches neither the platform nor another host.
		f.setFaults(1, standin.Faults{Down: true})
		f.toggleLink(0, 1)
		f.toggleLink(1, 2)
		f.edit(2)
		f.run(propagationLimit)

		for i := range f.hosts {
			f.setFaults(i, standin.Faults{Down: true})
		}

		// After its restart, host 2 first gets a heartbeat of host 1, whose generation is old, and then one of
		// host 0.
		f.toggleLink(1, 2)
		f.toggleLink(0, 2)
		f.stop(2)
		f.start(2)
		f.run(heartbeatInterval)
		require.False(t, f.hosts[2].runner.Ready())
		f.toggleLink(0, 2)
		f.sendHeartbeats()

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

		f.run(propagationLimit)
		f.setFaults(0, standin.Faults{Down: true})
		f.toggleLink(0, 1)
		f.stop(0)
		f.start(0)
		f.run(time.Minute)
		require.False(t, f.hosts[0].runner.Ready())
		require.Nil(t, f.hosts[0].runner.Current())

		f.setFaults(0, standin.Faults{})
		f.run(propagationLimit)
		require.True(t, f.hosts[0].runner.Ready())
	})
}

// TestCallsAtRest limits the number of platform calls of a host while the configuration does not change.
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

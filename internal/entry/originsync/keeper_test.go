package originsync_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// TestMostStreamsGoOnAfterAllHostsWereKilledUnderLoad kills all hosts while streams of two versions begin all the time. Those of the last half a second
// may be lost; of what lives, at least half has to go on, and none at another version.
func TestMostStreamsGoOnAfterAllHostsWereKilledUnderLoad(t *testing.T) {
	const (
		life    = 2 * time.Second // of a stream
		load    = 4 * time.Second
		perHost = 18 // streams a second
	)

	for name, hosts := range map[string]int{"8 hosts": 8, "89 hosts": 89} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				n := newNetwork(ctx, hosts, 4, 21, "v1", "v2")
				time.Sleep(settleTime)

				var (
					mu      sync.Mutex
					living  []begun
					running sync.WaitGroup
				)

				for seq, end := 0, time.Now().Add(load); time.Now().Before(end); seq++ {
					lives := time.Until(end) < life

					for i, h := range n.nodes {
						id, version := entity.RequestID(fmt.Sprint("q", seq, "-", i)), entity.SoftwareVersion(fmt.Sprint("v", 1+(seq+i)%2))

						running.Go(func() {
							b := h.begin(id, version)

							mu.Lock()
							defer mu.Unlock()

							if lives {
								living = append(living, b)
							}
						})
					}

					time.Sleep(time.Second / perHost)
				}

				running.Wait()

				writes := n.store.written()

				for _, h := range n.nodes {
					h.start(ctx)
				}

				time.Sleep(time.Second)

				got := n.takeUpAll(ctx, living, func(begun) *node { return n.live("") })

				cancel()
				time.Sleep(drainTime)
				t.Logf("%d hosts: %+v of %d, %d writes in %s", hosts, got, len(living), writes, load)
				require.Zero(t, got.wrong)
				require.Greater(t, 2*got.known, len(living))
				require.LessOrEqual(t, writes, 4*int(load/(500*time.Millisecond)+1), "two writes a second for each data centre")
			})
		})
	}
}

// TestOneVersionIsNotKept guards against calls to the store while one version serves.
func TestOneVersionIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork(ctx, 8, 4, 22, "v1")
		time.Sleep(time.Second)

		for _, h := range n.nodes {
			h.begin(entity.RequestID(h.address), "v1")
		}

		time.Sleep(time.Second)
		cancel()
		time.Sleep(drainTime)
		require.Zero(t, n.store.written())
	})
}

// TestStreamsFromBeforeASecondVersionGoOnAfterAllHostsWereKilled guards against streams that began while one version served, and that nobody can take
// up once the register lists a second one.
func TestStreamsFromBeforeASecondVersionGoOnAfterAllHostsWereKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork(ctx, 8, 4, 23, "v1")
		time.Sleep(settleTime)

		var streams []begun

		for i, h := range n.nodes {
			streams = append(streams, h.begin(entity.RequestID(fmt.Sprint("q", i)), "v1"))
		}

		n.fleet.Store(snapshotOf("v1", "v2"))
		time.Sleep(time.Second) // the register lists the second version

		for _, h := range n.nodes {
			h.start(ctx)
		}

		time.Sleep(time.Second)

		got := n.takeUpAll(ctx, streams, func(begun) *node { return n.live("") })

		cancel()
		time.Sleep(drainTime)
		require.Equal(t, len(streams), got.known)
	})
}

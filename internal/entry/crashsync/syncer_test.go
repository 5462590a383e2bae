package crashsync_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// allowedRetries is the number of targets that a request may reach later than the stability window after it has
	// crashed the third one, by the platform's rules.
	allowedRetries = 3

	smallWindow = 3 * time.Second // stability window of the platform's small sites
	largeWindow = 4 * time.Second // that of its large ones
)

// size is the size of a fleet, with the platform's stability window for it.
type size struct {
	hosts, centres int
	window         time.Duration
}

var sizes = []size{{8, 4, smallWindow}, {24, 4, smallWindow}, {30, 3, largeWindow}, {89, 4, largeWindow}, {330, 5, largeWindow}}

// late returns the number of crashes later than window after the third, without those by hosts that had just started.
func late(crashes []crash, window time.Duration) int {
	n := 0

	for i, c := range crashes {
		if i > 2 && c.inTouch && c.at.Sub(crashes[2].at) > window {
			n++
		}
	}

	return n
}

// play runs f in a synctest bubble with a fleet of the size s.
func play(t *testing.T, s size, seed uint64, f func(ctx context.Context, fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second) // until calls and pauses under way have ended
		}()

		f(ctx, newFleet(ctx, s.hosts, s.centres, seed))
	})
}

func TestCrashingRequestReachesFewTargetsAfterTheThird(t *testing.T) {
	const (
		interval = 50 * time.Millisecond
		length   = 12 * time.Second
	)

	faults := map[string]func(ctx context.Context, f *fleet){
		"calm":                  func(context.Context, *fleet) {},
		"messages lost":         func(_ context.Context, f *fleet) { f.setLoss(0.1) },
		"hosts start again":     restartHosts,
		"a data centre cut off": func(_ context.Context, f *fleet) { f.setCut("dc-1"); time.AfterFunc(length/2, func() { f.setCut("") }) },
	}

	for name, inject := range faults {
		for _, s := range sizes {
			t.Run(fmt.Sprintf("%s/%d hosts", name, s.hosts), func(t *testing.T) {
				play(t, s, 1, func(ctx context.Context, f *fleet) {
					time.Sleep(s.window)
					inject(ctx, f)

					crashes := f.crashes(1, interval, length, s.window)
					require.GreaterOrEqual(t, len(crashes), 3)
					require.LessOrEqual(t, late(crashes, s.window), allowedRetries)
					t.Logf("%d targets lost, %d late; %d messages, %d records", len(crashes), late(crashes, s.window), f.messages.Load(), f.records.Load())
				})
			})
		}
	}
}

func TestRequestThatCrashedThreeTargetsIsRefusedByAllHostsAfterTheWindow(t *testing.T) {
	const request = crashtracker.Fingerprint(1)

	for _, s := range sizes {
		t.Run(fmt.Sprintf("%d hosts", s.hosts), func(t *testing.T) {
			play(t, s, 1, func(_ context.Context, f *fleet) {
				time.Sleep(s.window)

				for i := range 3 {
					f.random().table.RecordLoss(time.Now(), crashtracker.Loss{Request: request, Target: entity.TargetID(fmt.Sprint("first-", i))})
				}

				time.Sleep(s.window)

				sends := 0

				for i, n := range f.nodes {
					if _, refused := n.table.Refuses(time.Now(), request); !refused {
						n.table.RecordLoss(time.Now(), crashtracker.Loss{Request: request, Target: entity.TargetID(fmt.Sprint("later-", i))})

						sends++
					}
				}

				require.LessOrEqual(t, sends, allowedRetries)
			})
		})
	}
}

// restartHosts starts a random host again twice a second, until ctx ends.
func restartHosts(ctx context.Context, f *fleet) {
	go func() {
		for ctx.Err() == nil {
			f.random().start(ctx)
			time.Sleep(500 * time.Millisecond)
		}
	}()
}

func TestMassLossReachesAllHostsInBoundedMessages(t *testing.T) {
	const lossesPerHost = 6

	for _, s := range sizes {
		t.Run(fmt.Sprintf("%d hosts", s.hosts), func(t *testing.T) {
			play(t, s, 1, func(_ context.Context, f *fleet) {
				time.Sleep(s.window)

				for i, n := range f.nodes {
					for j := range lossesPerHost {
						request := crashtracker.Fingerprint(i*lossesPerHost + j + 1)
						n.table.RecordLoss(time.Now(), crashtracker.Loss{Request: request, Target: entity.TargetID(fmt.Sprint("t", j))})
						time.Sleep(time.Millisecond / time.Duration(1+s.hosts/30))
					}
				}

				begin := time.Now()
				for !f.equal() {
					time.Sleep(10 * time.Millisecond)
					require.Less(t, time.Since(begin), s.window)
				}

				perHost := float64(f.messages.Load()) / float64(s.hosts)
				t.Logf("equal after %v; %.0f messages and %.0f records from each host", time.Since(begin), perHost, float64(f.records.Load())/float64(s.hosts))
				require.Less(t, perHost, 100*s.window.Seconds(), "about 80 messages a second from each host are allowed")
			})
		})
	}
}

func TestHostThatStartsLearnsAllRecords(t *testing.T) {
	for _, s := range sizes {
		t.Run(fmt.Sprintf("%d hosts", s.hosts), func(t *testing.T) {
			play(t, s, 1, func(ctx context.Context, f *fleet) {
				for i := range 200 {
					f.random().table.RecordLoss(time.Now(), crashtracker.Loss{Request: crashtracker.Fingerprint(i + 1), Target: "t"})
				}

				time.Sleep(2 * s.window)
				require.True(t, f.equal())

				n := f.random()
				n.start(ctx)
				time.Sleep(s.window)
				require.True(t, f.equal())
			})
		})
	}
}

func TestMalformedRecordsFromPeersAreIgnored(t *testing.T) {
	play(t, sizes[0], 1, func(_ context.Context, f *fleet) {
		n := f.nodes[0]
		reply := n.syncer.Handle(&peer.CrashRecords{Whole: true, Records: []*peer.CrashRecord{
			nil, {}, {Request: 1, Targets: []string{"", string(make([]byte, 300))}, LeftMs: 1 << 31}, {Request: 2, Targets: []string{"t", "t", "t", "t"}},
		}})
		require.Empty(t, reply.GetRecords())
		require.Zero(t, n.table.Sum())
	})
}

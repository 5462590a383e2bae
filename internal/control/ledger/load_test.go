package ledger_test

import (
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
)

const (
	writeBudget  = 300 // platform writes per second, as the design page states
	loadHosts    = 8
	loadTime     = 5 * time.Second
	platformTime = 2 * time.Millisecond // delay of the platform's answers
	forwardTime  = 3 * time.Millisecond // round trip to the preferred host, in another data centre
	serviceTime  = 800 * time.Millisecond
)

// load holds the platform calls and delays that were measured with keyed requests.
type load struct {
	requests  int
	refused   int
	writes    int           // platform writes within loadTime
	reads     int           // platform reads within loadTime
	perSecond float64       // platform writes per second
	median    time.Duration // median delay of a claim, forwarding included
	p99       time.Duration // 99th percentile of the same delay
}

// measure sends rate keyed requests per second to the hosts of a site. The hosts are divided into
// groups, as by partitions between data centres; in each group, one host per shard claims for all.
func measure(t *testing.T, rate, groups int) load {
	t.Helper()

	var got load

	synctest.Test(t, func(t *testing.T) {
		s := newSite(loadHosts, ledger.Options{})
		rng := rand.New(rand.NewSource(1))
		peers := make([]entity.HostID, loadHosts)

		for i, v := range s.views {
			v.SetFaults(standin.Faults{Delay: platformTime})
			peers[i] = host(i)
		}

		var (
			mu     sync.Mutex
			delays []time.Duration
			group  sync.WaitGroup
		)

		begun := time.Now()

		for time.Since(begun) < loadTime {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate)))

			h := rng.Intn(loadHosts)
			r := s.request(s.key())

			size := loadHosts / groups
			first := h / size * size
			via := slices.Index(peers, s.ledgers[h].PreferredHost(r.Key, peers[first:first+size]))

			group.Go(func() {
				at := time.Now()

				if via != h {
					time.Sleep(forwardTime)
				}

				o, err := claimThrough(s.ledgers[h], s.ledgers[via], r)

				mu.Lock()
				defer mu.Unlock()

				if err != nil {
					got.refused++

					return
				}

				delays = append(delays, time.Since(at))

				group.Go(func() {
					time.Sleep(serviceTime)
					require.NoError(t, s.ledgers[via].Finish(t.Context(), o.Record, ran("grade 3")))
				})
			})
		}

		for _, v := range s.views {
			got.writes += v.Calls().Puts
			got.reads += v.Calls().Gets
		}

		got.perSecond = float64(got.writes) / loadTime.Seconds()

		group.Wait()
		s.close()

		slices.Sort(delays)
		got.requests = len(delays)
		got.median = delays[len(delays)/2]
		got.p99 = delays[len(delays)*99/100]
	})

	return got
}

// TestWritesWithinBudget bounds the platform writes and logs platform calls and claim delays for
// several loads. One group is normal operation, four groups are data centres cut off from each other
// but not from the platform, and with eight groups each host claims for itself.
func TestWritesWithinBudget(t *testing.T) {
	tests := []struct{ groups, rate int }{{1, 5}, {1, 50}, {1, 300}, {1, 1000}, {4, 50}, {4, 300}, {8, 300}}

	for _, tt := range tests {
		got := measure(t, tt.rate, tt.groups)

		t.Logf("%d groups, %4d requests/s: %3.0f writes/s, %.2f writes and %.2f reads per request, claim p50 %s p99 %s, %d of %d refused",
			tt.groups, tt.rate, got.perSecond, float64(got.writes)/float64(got.requests),
			float64(got.reads)/float64(got.requests), got.median.Round(time.Millisecond), got.p99.Round(time.Millisecond),
			got.refused, got.requests+got.refused)

		require.LessOrEqual(t, got.perSecond, float64(writeBudget))
		require.Zero(t, got.refused)
	}
}

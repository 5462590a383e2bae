package admission_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// state is the expected state of one request in a property test.
type state int

const (
	queued state = iota
	running
	ended
)

// All accepted work ends exactly once: started and then done or cancelled, cancelled while queued, or refused.
// Slots and limits are never exceeded, and no state remains at the end.
func TestEachAcceptedWorkEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const openLimit = 5

		c := admission.New(admission.Options{MaxQueued: 40, MaxQueuedPerAccount: 10})
		slots := 0
		now := epoch
		works := map[entity.RequestID]state{}
		owner := map[entity.RequestID]entity.AccountID{}

		count := func(want state) (n int) {
			for _, s := range works {
				if s == want {
					n++
				}
			}

			return n
		}

		collect := func() {
			for _, r := range c.Expired(now) {
				require.Equal(t, queued, works[r.Work.Request])
				works[r.Work.Request] = ended
			}

			before := count(running)

			for _, g := range c.Next(now) {
				require.Equal(t, queued, works[g.Work.Request])
				works[g.Work.Request] = running
			}

			if after := count(running); after > before {
				require.LessOrEqual(t, after, slots)
			}
		}

		c.SetAccount("limited", entity.Limits{Open: openLimit})

		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			collect()

			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1, 2:
				w := admission.Work{
					Request: entity.RequestID(fmt.Sprint(i)),
					Account: rapid.SampledFrom([]entity.AccountID{"a", "b", "limited"}).Draw(t, "account"),
					Urgency: entity.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")),
					Prefill: entity.Tokens(rapid.IntRange(0, 2000).Draw(t, "prefill")),
					Decode:  entity.Tokens(rapid.IntRange(0, 2000).Draw(t, "decode")),
					Arrived: now, Deadline: now.Add(time.Duration(rapid.IntRange(-1, 60).Draw(t, "s")) * time.Second),
				}

				if d := c.Offer(now, w); d.Accepted {
					works[w.Request] = queued
					owner[w.Request] = w.Account
				} else {
					require.NotEmpty(t, d.Code)
				}
			case 3:
				slots = rapid.IntRange(0, 8).Draw(t, "slots")
				c.SetCapacity(admission.Capacity{
					PrefillPerSecond: entity.Tokens(rapid.IntRange(0, 3000).Draw(t, "P")),
					DecodePerSecond:  entity.Tokens(rapid.IntRange(0, 3000).Draw(t, "D")),
					Slots:            slots,
				})
			case 4, 5:
				for id := range works {
					if id == entity.RequestID(fmt.Sprint(i/2)) && works[id] == running {
						c.Done(now, id, admission.Usage{Decode: 10})
						works[id] = ended
					}
				}
			case 6:
				id := entity.RequestID(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "cancelled")))
				c.Cancel(now, id)

				if _, ok := works[id]; ok {
					works[id] = ended
				}
			}

			open := 0

			for id, s := range works {
				if s != ended && owner[id] == "limited" {
					open++
				}
			}

			require.LessOrEqual(t, open, openLimit)
			stats := c.Stats()
			require.Equal(t, count(queued), stats.Queued[0]+stats.Queued[1]+stats.Queued[2])
			require.Equal(t, count(running), stats.Running[0]+stats.Running[1]+stats.Running[2])
		}

		now = now.Add(time.Hour)
		collect()
		require.Zero(t, count(queued))

		for id, s := range works {
			if s == running {
				c.Done(now, id, admission.Usage{})
			}
		}

		c.Next(now.Add(time.Minute))
		require.Equal(t, admission.Stats{Accounts: 1}, c.Stats())
	})
}

// BenchmarkTick measures one control tick of an entry host under overload, with work of 5,600 accounts in the
// queues: the offers, starts and ends of the host's part of 6,100 requests per second and a quarter more.
func BenchmarkTick(b *testing.B) {
	const accounts = 5600

	for _, hosts := range []int{8, 66, 330} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			c := admission.New(admission.Options{})
			capacity := admission.Capacity{
				PrefillPerSecond: entity.Tokens(3_000_000 / hosts),
				DecodePerSecond:  entity.Tokens(1_200_000 / hosts),
				Slots:            30_000/hosts + 4,
			}
			c.SetCapacity(capacity)
			ids := make([]entity.AccountID, accounts)

			for i := range ids {
				ids[i] = entity.AccountID(fmt.Sprintf("account-%d", i))
				c.SetAccount(ids[i], entity.Limits{Weight: 1})
			}

			now := epoch
			n := 0
			offers := 6100 / 100 * 5 / 4
			offer := func() {
				n++
				w := admission.Work{
					Request: entity.RequestID(fmt.Sprintf("r%d", n)), Account: ids[n%accounts],
					Urgency: entity.Urgency(n % entity.UrgencyCount), Prefill: 500, Decode: 200,
					Arrived: now, Deadline: now.Add(5 * time.Minute),
				}
				c.Offer(now, w)
			}

			for range accounts {
				offer()
			}

			b.ReportAllocs()
			b.ResetTimer()

			for range b.N {
				now = now.Add(tick)

				for range (offers + hosts - 1) / hosts {
					offer()
				}

				c.Expired(now)

				for _, g := range c.Next(now) {
					c.Done(now, g.Work.Request, admission.Usage{Prefill: 500, Decode: 200})
				}
			}
		})
	}
}

// With all queues full of work of 5,600 accounts, the controller uses at most half of the 32 MB of memory that
// a node may use for control.
func TestMemoryOfFullQueues(t *testing.T) {
	const (
		accounts = 5600
		maxBytes = 16 << 20
	)

	works := make([]admission.Work, 60_000)
	for i := range works {
		works[i] = admission.Work{
			Request:  entity.RequestID(fmt.Sprintf("r%d", i)),
			Account:  entity.AccountID(fmt.Sprintf("account-%d", i%accounts)),
			Urgency:  entity.Urgency(i % entity.UrgencyCount),
			Deadline: epoch.Add(10 * time.Minute),
		}
	}

	var before, after runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&before)

	c := admission.New(admission.Options{MaxWait: [entity.UrgencyCount]time.Duration{time.Hour, time.Hour, time.Hour}})
	c.SetCapacity(admission.Capacity{Slots: 1})

	for _, w := range works {
		c.Offer(epoch, w)
	}

	runtime.GC()
	runtime.ReadMemStats(&after)

	stats := c.Stats()
	queued := stats.Queued[0] + stats.Queued[1] + stats.Queued[2]
	used := int(after.HeapAlloc - before.HeapAlloc)
	t.Logf("%d queued of %d accounts: %.2f MB, %d B each", queued, stats.Accounts, float64(used)/1e6, used/queued)
	require.Greater(t, queued, 24_000)
	require.LessOrEqual(t, used, maxBytes)
	runtime.KeepAlive(works)
}

// BenchmarkSizes measures a tick in which nothing can start, for several numbers of accounts with three
// requests each in the queues, and reports the heap bytes per account.
func BenchmarkSizes(b *testing.B) {
	for _, accounts := range []int{1400, 2800, 5600} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			var before, after runtime.MemStats

			works := make([]admission.Work, entity.UrgencyCount*accounts)
			for i := range works {
				works[i] = admission.Work{
					Request: entity.RequestID(fmt.Sprintf("r%d", i)), Account: entity.AccountID(fmt.Sprintf("account-%d", i/entity.UrgencyCount)),
					Urgency: entity.Urgency(i % entity.UrgencyCount), Prefill: 1, Decode: 1, Arrived: epoch, Deadline: epoch.Add(10 * time.Hour),
				}
			}

			runtime.GC()
			runtime.ReadMemStats(&before)

			c := admission.New(admission.Options{MaxQueued: 10 * accounts})
			c.SetCapacity(admission.Capacity{PrefillPerSecond: 1 << 30, DecodePerSecond: 1 << 30, Slots: 4})

			for _, w := range works {
				c.SetAccount(w.Account, entity.Limits{Weight: 1})
				c.Offer(epoch, w)
			}

			runtime.GC()
			runtime.ReadMemStats(&after)
			c.Next(epoch)

			now := epoch

			for b.Loop() {
				now = now.Add(time.Microsecond)
				c.Expired(now)
				c.Next(now)
			}

			stats, queued := c.Stats(), 0
			for _, n := range stats.Queued {
				queued += n
			}

			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(accounts), "heap-B/account")
			b.ReportMetric(float64(queued)/float64(accounts), "queued/account")
		})
	}
}

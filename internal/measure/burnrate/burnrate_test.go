package burnrate_test

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/measure/burnrate"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

var epoch = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)

var gradeKey = burnrate.Key{Account: "broker", Kind: "grade"}

// recordTraffic records a request of gradeKey every two seconds in [from, to). Every badEvery-th one ends
// with the event bad, the others are good; zero means that all are good.
func recordTraffic(l *burnrate.Ledger, from, to time.Time, badEvery int, bad burnrate.Event) {
	i := 0

	for now := from; now.Before(to); now = now.Add(2 * time.Second) {
		i++

		e := burnrate.Good
		if badEvery > 0 && i%badEvery == 0 {
			e = bad
		}

		l.Record(now, gradeKey, e)
	}
}

func TestBurnOverTheWindows(t *testing.T) {
	day := epoch.Add(72 * time.Hour)

	tests := []struct {
		name     string
		badEvery int           // every badEvery-th request is bad
		badFor   time.Duration // length of the period with bad requests
		goodFor  time.Duration // length of the good period that follows
		state    burnrate.State
		minBurn  [4]float64 // by window
		maxBurn  [4]float64
	}{
		{"all good", 0, 0, 0, burnrate.OK, [4]float64{}, [4]float64{}},
		{"at the objective", 100, 72 * time.Hour, 0, burnrate.Slow, [4]float64{.5, .9, .9, .9}, [4]float64{1.5, 1.1, 1.1, 1.1}},
		{"all bad for an hour", 1, time.Hour, 0, burnrate.Fast, [4]float64{99, 85, 13, 1}, [4]float64{100, 100, 17, 1.5}},
		{"a tenth for six hours", 10, 6 * time.Hour, 0, burnrate.Steady, [4]float64{9, 9, 8.5, 0.7}, [4]float64{11, 11, 11, 1}},
		{"an hour that is over", 1, time.Hour, 8 * time.Hour, burnrate.Recovering, [4]float64{0, 0, 0, 1}, [4]float64{0, 0, 0, 1.5}},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l burnrate.Ledger

			end := day.Add(-tt.goodFor)
			recordTraffic(&l, epoch, end.Add(-tt.badFor), 0, burnrate.Good)
			recordTraffic(&l, end.Add(-tt.badFor), end, tt.badEvery, burnrate.Late)
			recordTraffic(&l, end, day, 0, burnrate.Good)

			r := l.Report(day.Add(-time.Second), burnrate.ReportOptions{})
			require.Len(t, r.Series, 1)
			require.Equal(t, tt.state.String(), r.Series[0].State.String())

			for i, w := range r.Series[0].Windows {
				require.GreaterOrEqual(t, w.Burn, tt.minBurn[i], w.Span)
				require.LessOrEqual(t, w.Burn, tt.maxBurn[i], w.Span)
			}
		})
	}
}

// Since is accurate to the bucket width of the shortest window that contains the start of the burn.
func TestSinceAndCauses(t *testing.T) {
	end := epoch.Add(72 * time.Hour)

	tests := []struct {
		ago, width time.Duration
	}{
		{3 * time.Minute, time.Minute},
		{40 * time.Minute, 10 * time.Minute},
		{5 * time.Hour, time.Hour},
		{48 * time.Hour, 12 * time.Hour},
	}

	for _, tt := range tests {
		t.Run(tt.ago.String(), func(t *testing.T) {
			var l burnrate.Ledger

			began := end.Add(-tt.ago)
			recordTraffic(&l, epoch, began, 0, burnrate.Good)
			recordTraffic(&l, began, end, 3, burnrate.TargetLost)
			l.Record(end, gradeKey, burnrate.Refused)

			s := l.Report(end, burnrate.ReportOptions{}).Series[0]
			require.LessOrEqual(t, began.Sub(s.Since).Abs(), tt.width)
			require.Equal(t, burnrate.TargetLost, s.Causes[0].Event)
			require.Equal(t, burnrate.Cause{Event: burnrate.Refused, Count: 1}, s.Causes[1])
		})
	}
}

// At a low request rate most buckets contain no bad request although the burn goes on. Its start must
// still be found.
func TestSinceWithFewRequests(t *testing.T) {
	var l burnrate.Ledger

	end := epoch.Add(72 * time.Hour)
	began := end.Add(-5 * time.Hour)

	for at, i := epoch, 0; at.Before(end); at, i = at.Add(10*time.Second), i+1 {
		e := burnrate.Good
		if i%12 == 0 && !at.Before(began) {
			e = burnrate.Late
		}

		l.Record(at, gradeKey, e)
	}

	s := l.Report(end.Add(-time.Second), burnrate.ReportOptions{}).Series[0]
	require.LessOrEqual(t, began.Sub(s.Since).Abs(), time.Hour)
}

// The ledgers of several hosts, encoded and merged in any order, give the same report as one ledger that
// recorded all events.
func TestMergeIsAddition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]burnrate.Ledger, 4)
		now := epoch

		var all burnrate.Ledger

		for range rapid.IntRange(0, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3600).Draw(t, "s")) * time.Second)
			k := burnrate.Key{Account: entity.AccountID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account"))), Kind: "k"}
			e := burnrate.Event(rapid.IntRange(0, 6).Draw(t, "event"))
			all.Record(now, k, e)
			hosts[rapid.IntRange(0, 3).Draw(t, "host")].Record(now, k, e)
		}

		var merged burnrate.Ledger

		for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
			data, err := hosts[i].Encode()
			require.NoError(t, err)

			l, err := burnrate.Decode(data)
			require.NoError(t, err)
			merged.Merge(l)
		}

		require.Equal(t, all.Report(now, burnrate.ReportOptions{}), merged.Report(now, burnrate.ReportOptions{}))
	})
}

func TestEventOfARequest(t *testing.T) {
	tests := []struct {
		err            error
		late, changing bool
		want           burnrate.Event
	}{
		{nil, false, false, burnrate.Good},
		{nil, false, true, burnrate.Good},
		{nil, true, false, burnrate.Late},
		{nil, true, true, burnrate.RoleChange},
		{verdict.New(verdict.NotRun, verdict.CodeOverloaded, ""), false, false, burnrate.Refused},
		{verdict.New(verdict.NotRun, verdict.CodeOverloaded, ""), false, true, burnrate.RoleChange},
		{verdict.New(verdict.NotRun, verdict.CodeBadRequest, ""), false, false, burnrate.Good},
		{verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, ""), false, true, burnrate.TargetLost},
		{verdict.New(verdict.Ran, verdict.CodeTruncated, ""), false, false, burnrate.Cut},
		{verdict.New(verdict.MayHaveRun, verdict.CodeInternal, ""), false, false, burnrate.MayHaveRun},
		{fmt.Errorf("plain"), false, false, burnrate.MayHaveRun},
	}

	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.err, tt.late, tt.changing), func(t *testing.T) {
			require.Equal(t, tt.want.String(), burnrate.EventOf(tt.err, tt.late, tt.changing).String())
		})
	}
}

func TestLate(t *testing.T) {
	o := entity.Objective{FirstToken: time.Second, BetweenTokens: 64 * time.Millisecond}

	tests := []struct {
		timing burnrate.Timing
		want   bool
	}{
		{burnrate.Timing{}, false},
		{burnrate.Timing{FirstToken: time.Second, BetweenTokens: 64 * time.Millisecond, Total: time.Hour}, false},
		{burnrate.Timing{FirstToken: time.Second + 1}, true},
		{burnrate.Timing{BetweenTokens: 65 * time.Millisecond}, true},
	}

	for _, tt := range tests {
		require.Equal(t, tt.want, tt.timing.Late(o), tt.timing)
	}
}

// designAccounts is the number of client accounts that the system is designed for.
const designAccounts = 5600

// recordRandom records random events of n accounts with two kinds each at the given times.
func recordRandom(l *burnrate.Ledger, n int, times []time.Time) {
	rnd := rand.New(rand.NewSource(1))

	for _, now := range times {
		for i := range n {
			for _, kind := range []entity.KindName{"booking-check", "report"} {
				k := burnrate.Key{Account: entity.AccountID(fmt.Sprintf("account-%04d", i)), Kind: kind}

				for range 4 + rnd.Intn(4) {
					l.Record(now, k, burnrate.Event(rnd.Intn(7)))
				}
			}
		}
	}
}

// timesUntil returns the times from d before end until end, in steps of every.
func timesUntil(end time.Time, d, every time.Duration) (times []time.Time) {
	for now := end.Add(-d); !now.After(end); now = now.Add(every) {
		times = append(times, now)
	}

	return times
}

// timesInAllBuckets returns times that fall into every bucket of every window that ends at end.
func timesInAllBuckets(end time.Time) []time.Time {
	times := timesUntil(end, 72*time.Hour, 12*time.Hour)
	times = append(times, timesUntil(end, 6*time.Hour, time.Hour)...)
	times = append(times, timesUntil(end, time.Hour, 10*time.Minute)...)

	return append(times, timesUntil(end, 5*time.Minute, time.Minute)...)
}

// A host keeps its unsaved counts in memory. Those of all accounts in one interval stay well under the
// 32 MB that a node may use for control, and those of three days, which build up while the platform is
// unavailable, are bounded too.
func TestMemoryAtDesignScale(t *testing.T) {
	tests := []struct {
		name     string
		times    []time.Time
		maxBytes int
	}{
		{"one interval", timesUntil(epoch, 5*time.Minute, time.Minute), 8 << 20},
		{"three days", timesInAllBuckets(epoch), 24 << 20},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var before, after runtime.MemStats

			runtime.GC()
			runtime.ReadMemStats(&before)

			var l burnrate.Ledger
			recordRandom(&l, designAccounts, tt.times)
			runtime.GC()
			runtime.ReadMemStats(&after)

			used := int(after.HeapAlloc - before.HeapAlloc)
			data, err := l.Encode()
			require.NoError(t, err)
			t.Logf("%d series: %.2f MB, %d B an account, encoded %.2f MB",
				l.Len(), float64(used)/1e6, used/designAccounts, float64(len(data))/1e6)
			require.LessOrEqual(t, used, tt.maxBytes)
			runtime.KeepAlive(&l)
		})
	}
}

func BenchmarkRecord(b *testing.B) {
	var l burnrate.Ledger

	recordRandom(&l, designAccounts, timesUntil(epoch, 5*time.Minute, time.Minute))
	b.ReportAllocs()
	b.ResetTimer()

	for range b.N {
		l.Record(epoch, burnrate.Key{Account: "account-0001", Kind: "report"}, burnrate.Good)
	}
}

func BenchmarkReport(b *testing.B) {
	var l burnrate.Ledger

	recordRandom(&l, designAccounts, timesInAllBuckets(epoch))
	b.ResetTimer()

	for range b.N {
		l.Report(epoch, burnrate.ReportOptions{})
	}
}

// BenchmarkSizes reports the heap size of a ledger with no empty buckets and the size of its encoded form,
// by the number of accounts with two kinds each. One operation is one encoding.
func BenchmarkSizes(b *testing.B) {
	for _, n := range []int{1400, 2800, 5600} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats

			runtime.GC()
			runtime.ReadMemStats(&before)

			var l burnrate.Ledger
			recordRandom(&l, n, timesInAllBuckets(epoch))

			runtime.GC()
			runtime.ReadMemStats(&after)

			size := 0

			for b.Loop() {
				data, err := l.Encode()
				require.NoError(b, err)

				size = len(data)
			}

			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heap-MB")
			b.ReportMetric(float64(size)/1e6, "encoded-MB")
		})
	}
}

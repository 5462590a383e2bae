package retries_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/retries"
)

func TestLimiterRefillsWithTime(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	limiter := retries.NewLimiter(retries.LimiterOptions{Ratio: 0.2, Slack: 2, Span: 10 * time.Second, Margin: 1})

	require.True(t, limiter.Take(now, "s"))
	require.True(t, limiter.Take(now, "s"))
	require.False(t, limiter.Take(now, "s"))
	require.True(t, limiter.Take(now, "other"), "each service has its own bound")

	for range 5 {
		limiter.CountRequest(now, "s")
	}

	require.True(t, limiter.Take(now, "s"), "five requests earn one repeat")
	require.False(t, limiter.Take(now, "s"))
	require.True(t, limiter.Take(now.Add(11*time.Second), "s"))
}

// TestHostsTogetherKeepTheBound lets hosts count requests and take repeats at random. In any window of length
// span, to the precision of a step, the repeats of all hosts stay within the slack plus the ratio of the requests.
// The requests are those of the same window, of the window before it or of the window that begins half a window
// earlier, whichever has most. A margin of a half covers requests that are spread over two of these windows.
func TestHostsTogetherKeepTheBound(t *testing.T) {
	const (
		ratio = 0.2
		slack = 54
		span  = 10 * time.Second
		step  = span / 20 // length of a bucket
	)

	rapid.Check(t, func(rt *rapid.T) {
		now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
		hosts := make([]*retries.Limiter, rapid.IntRange(1, 9).Draw(rt, "hosts"))

		for i := range hosts {
			hosts[i] = retries.NewLimiter(retries.LimiterOptions{Ratio: ratio, Slack: slack, Span: span, Margin: 0.5})
			hosts[i].SetHosts(len(hosts))
		}

		var requests, repeats []time.Time

		for range rapid.IntRange(10, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			host := hosts[rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")]

			if rapid.Bool().Draw(rt, "request") {
				host.CountRequest(now, "s")

				requests = append(requests, now)
			} else if host.Take(now, "s") {
				repeats = append(repeats, now)
			}

			between := func(list []time.Time, oldest, newest time.Duration) (n float64) {
				for _, at := range list {
					if age := now.Sub(at); newest <= age && age <= oldest {
						n++
					}
				}

				return n
			}

			most := max(between(requests, span, 0), between(requests, 3*span/2, span/2), between(requests, 2*span, span))

			if got, bound := between(repeats, span-step, 0), ratio*most+slack; got > bound {
				rt.Fatalf("%v repeats, want at most %v", got, bound)
			}
		}
	})
}

func TestRepeatsThatAreNotSentAreReturned(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	limiter := retries.NewLimiter(retries.LimiterOptions{Slack: 2, Span: 10 * time.Second, Margin: 1})

	require.False(t, limiter.TakeAll(now, "s", 3), "all or none")
	require.True(t, limiter.TakeAll(now, "s", 2))
	require.False(t, limiter.Take(now, "s"))

	later := now.Add(2 * time.Second)
	limiter.Return(later, now, "s", 1)
	require.True(t, limiter.Take(later, "s"))
	require.False(t, limiter.Take(later, "s"))

	much := now.Add(time.Minute)
	require.True(t, limiter.TakeAll(much, "s", 2))
	limiter.Return(much, now, "s", 2)
	require.False(t, limiter.Take(much, "s"), "repeats that have left the window are not returned")
}

func TestPostponedRepeatIsCountedWhenItIsSent(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	limiter := retries.NewLimiter(retries.LimiterOptions{Slack: 1, Span: 10 * time.Second, Margin: 1})

	require.True(t, limiter.Take(now, "s"))
	limiter.Postpone(now.Add(5*time.Second), now, "s")
	require.False(t, limiter.Take(now.Add(11*time.Second), "s"))
	require.True(t, limiter.Take(now.Add(16*time.Second), "s"))
}

// A request arrives before its body, so one that arrived later may be counted first.
func TestRequestThatArrivedBeforeTheFirstOneIsCounted(t *testing.T) {
	limiter := retries.NewLimiter(retries.LimiterOptions{Ratio: 1, Span: 10 * time.Second, Margin: 1})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	limiter.CountRequest(now, "a")
	limiter.CountRequest(now.Add(-4*time.Second), "b")
	require.True(t, limiter.Take(now, "b"), "the request allows a repeat")
	require.False(t, limiter.Take(now, "b"))
}

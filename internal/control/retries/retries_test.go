package retries_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/retries"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

var epoch = time.Date(2026, 1, 2, 8, 0, 0, 0, time.UTC)

func TestVerdictPermitsRetry(t *testing.T) {
	tests := []struct {
		v          verdict.Verdict
		atMostOnce bool
		want       bool
	}{
		{verdict.NotRun, false, true},
		{verdict.NotRun, true, true},
		{verdict.MayHaveRun, false, true},
		{verdict.MayHaveRun, true, false},
		{verdict.Ran, false, false},
		{verdict.Ran, true, false},
		{verdict.Verdict(200), false, false},
	}

	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.v, tt.atMostOnce), func(t *testing.T) {
			b := retries.New(retries.Options{})
			require.Equal(t, tt.want, b.Take(epoch, "a", tt.v, tt.atMostOnce))
		})
	}
}

// A share of 1,000 requests per second fails and is retried until the budget is used up. The retries do not
// exceed a tenth of the successes, plus the burst and the refill over time.
func TestRetriesStayAShareOfTheTraffic(t *testing.T) {
	const (
		seconds = 60
		rate    = 1000
	)

	for _, failing := range []int{1, 20, 50, 100} {
		t.Run(fmt.Sprintf("%d in 100 fail", failing), func(t *testing.T) {
			b := retries.New(retries.Options{})
			now := epoch
			retried, succeeded := 0, 0

			for i := range seconds * rate {
				now = now.Add(time.Second / rate)

				if i%100 >= failing {
					succeeded++
					b.Succeeded(now, "a")

					continue
				}

				// Each failed request is retried until a retry is denied, at most three times.
				for range 3 {
					if !b.Take(now, "a", verdict.NotRun, false) {
						break
					}

					retried++
				}
			}

			require.LessOrEqual(t, float64(retried), 0.1*float64(succeeded)+10+0.1*seconds+1)
			require.Positive(t, retried)
		})
	}
}

func TestBudgetsAreSeparateAndRemovedWhenFull(t *testing.T) {
	b := retries.New(retries.Options{})

	for b.Take(epoch, "storm", verdict.NotRun, false) {
		continue
	}

	require.True(t, b.Take(epoch, "other", verdict.NotRun, false))
	require.EqualValues(t, 1, b.Denied())

	for i := range 5600 {
		b.Take(epoch, entity.AccountID(fmt.Sprint(i)), verdict.NotRun, false)
	}

	require.Equal(t, 5602, b.Accounts())
	b.Tick(epoch.Add(200 * time.Second))
	require.Zero(t, b.Accounts())
	require.True(t, b.Take(epoch.Add(200*time.Second), "storm", verdict.NotRun, false))
}

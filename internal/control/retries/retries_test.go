package retries_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/retries"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

var epoch = time.Date(2026, 1, 2, 8, 0, 0, 0, time.UTC)

func TestOnlyTheVerdictPermits(t *testing.T) {
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

// Of 1,000 requests a second, a share fails and is tried again until the budget ends: retries stay
// under a tenth of the successes, the burst and what time refills.
func TestRetriesStayAShareOfTheTraffic(t *testing.T) {
	const (
		seconds = 60
		rate    = 1000
	)

	for _, failing := range []int{1, 20, 50, 100} {
		t.Run(fmt.Sprintf("%d in 100 fail", failing), func(t *testing.T) {
			b := retries.New(retries.Options{})
			now := epoch
			taken, good := 0, 0

			for i := range seconds * rate {
				now = now.Add(time.Second / rate)

				if i%100 >= failing {
					good++
					b.Succeeded(now, "a")

					continue
				}

				// Each failure is tried until it is denied, at most three times.
				for range 3 {
					if !b.Take(now, "a", verdict.NotRun, false) {
						break
					}

					taken++
				}
			}

			require.LessOrEqual(t, float64(taken), 0.1*float64(good)+10+0.1*seconds+1)
			require.Positive(t, taken)
		})
	}
}

func TestBudgetsAreSeparateAndForgotten(t *testing.T) {
	b := retries.New(retries.Options{})

	for b.Take(epoch, "storm", verdict.NotRun, false) {
		continue
	}

	require.True(t, b.Take(epoch, "other", verdict.NotRun, false))
	require.EqualValues(t, 1, b.Denied())

	for i := range 5600 {
		b.Take(epoch, table.AccountID(fmt.Sprint(i)), verdict.NotRun, false)
	}

	require.Equal(t, 5602, b.Accounts())
	b.Tick(epoch.Add(200 * time.Second))
	require.Zero(t, b.Accounts())
	require.True(t, b.Take(epoch.Add(200*time.Second), "storm", verdict.NotRun, false))
}

package backoff_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/backoff"
)

func TestPauseDoublesWithEachFailureInARow(t *testing.T) {
	const first, longest = time.Second, 3 * time.Second

	var b backoff.Backoff

	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	require.False(t, b.Active(now))

	for _, want := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second} {
		b.Fail(now, first, longest)
		b.Fail(now.Add(want/2), first, longest)
		require.Equal(t, now.Add(want), b.End(), "a failure during the pause has no effect")

		now = now.Add(want)
		require.False(t, b.Active(now))
	}

	b = backoff.Backoff{}
	b.Fail(now, first, longest)
	b.Extend(now)
	require.Equal(t, now.Add(first), b.End(), "Extend does not shorten a pause")

	b.Extend(now.Add(time.Minute))
	require.True(t, b.Active(now.Add(59*time.Second)))
	b.Fail(now.Add(time.Minute), first, longest)
	require.Equal(t, now.Add(time.Minute+2*time.Second), b.End())
}

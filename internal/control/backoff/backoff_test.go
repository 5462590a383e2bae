package backoff_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/backoff"
)

func TestPauseDoublesWithEachFailureInARow(t *testing.T) {
	const first, longest = time.Second, 3 * time.Second

	var p backoff.Backoff

	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	require.False(t, p.Active(now))

	for _, want := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second} {
		p.Fail(now, first, longest)
		p.Fail(now.Add(want/2), first, longest)
		require.Equal(t, now.Add(want), p.End(), "a failure during the pause has no effect")

		now = now.Add(want)
		require.False(t, p.Active(now))
	}

	p = backoff.Backoff{}
	p.Fail(now, first, longest)
	p.Extend(now)
	require.Equal(t, now.Add(first), p.End(), "Extend does not shorten a pause")

	p.Extend(now.Add(time.Minute))
	require.True(t, p.Active(now.Add(59*time.Second)))
	p.Fail(now.Add(time.Minute), first, longest)
	require.Equal(t, now.Add(time.Minute+2*time.Second), p.End())
}

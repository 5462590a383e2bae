package feed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/feed"
)

func TestHostsLeaveTheStoreToReadersTheyHear(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	r := feed.NewReaders("x")

	require.False(t, r.Rest(now, 85, false), "no reader was heard yet")

	r.Hear(now, "y")
	require.False(t, r.Rest(now, 85, false), "a reader elsewhere does not count")

	r.Hear(now, "x")
	require.True(t, r.Rest(now, 85, false))
	require.False(t, r.Rest(now, 85, true), "readers read")
	require.False(t, r.Rest(now, 8, false), "a few hosts read each for itself")
	require.False(t, r.Rest(now.Add(2*time.Second), 85, false), "a silent reader is replaced by the store")
}

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

	require.False(t, r.Rest(now, 85, time.Second, false), "no reader was heard yet")

	r.Hear(now, "a", "y", true)
	r.Hear(now, "b", "y", true)
	require.False(t, r.Rest(now, 85, time.Second, false), "a reader elsewhere does not count")

	r.Hear(now, "c", "x", true)
	r.Hear(now, "c", "x", true)
	require.False(t, r.Rest(now, 85, time.Second, false), "one reader may be about to rest")

	r.Hear(now, "d", "x", true)
	require.True(t, r.Rest(now, 85, time.Second, false))
	require.False(t, r.Rest(now, 85, time.Second, true), "readers read")
	require.False(t, r.Rest(now, 8, time.Second, false), "a few hosts read each for itself")
	require.False(t, r.Rest(now.Add(2*time.Second), 85, time.Second, false), "a silent reader is replaced by the store")
	require.True(t, r.Rest(now.Add(7*time.Second), 330, 4*time.Second, false), "heartbeats of many hosts come seldom")
	require.False(t, r.Rest(now.Add(8*time.Second), 330, 4*time.Second, false))

	r.Hear(now, "c", "x", true)
	r.Hear(now, "d", "x", true)
	r.Hear(now, "d", "x", false)
	require.False(t, r.Rest(now, 85, time.Second, false), "a reader that says that it rests is none")
}

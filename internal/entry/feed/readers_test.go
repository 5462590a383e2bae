package feed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/feed"
)

func TestHostPausesReadingWhileReadersAreLive(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	r := feed.NewReaders("x")

	require.False(t, r.Rest(now, 85, time.Second, false), "no reader has sent a heartbeat yet")

	r.Hear(now, "a", "y", true)
	r.Hear(now, "b", "y", true)
	require.False(t, r.Rest(now, 85, time.Second, false), "readers of other data centres do not count")

	r.Hear(now, "c", "x", true)
	r.Hear(now, "c", "x", true)
	require.False(t, r.Rest(now, 85, time.Second, false), "a single reader may be about to stop reading too")

	r.Hear(now, "d", "x", true)
	require.True(t, r.Rest(now, 85, time.Second, false))
	require.False(t, r.Rest(now, 85, time.Second, true), "a reader goes on reading")
	require.False(t, r.Rest(now, 8, time.Second, false), "in a small fleet each host reads the store")
	require.False(t, r.Rest(now.Add(2*time.Second), 85, time.Second, false), "the readers have timed out")
	require.True(t, r.Rest(now.Add(7*time.Second), 330, 4*time.Second, false), "the timeout grows with the heartbeat period")
	require.False(t, r.Rest(now.Add(8*time.Second), 330, 4*time.Second, false))

	r.Hear(now, "c", "x", true)
	r.Hear(now, "d", "x", true)
	r.Hear(now, "d", "x", false)
	require.False(t, r.Rest(now, 85, time.Second, false), "a host that stops reading is no reader")
}

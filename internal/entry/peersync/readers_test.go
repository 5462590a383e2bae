package peersync_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/peersync"
)

func TestHostPausesReadingWhileReadersAreLive(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	r := peersync.NewReaders("x")

	require.False(t, r.ShouldPause(now, 85, time.Second, false), "no reader has sent a heartbeat yet")

	r.RecordHeartbeat(now, "a", "y", true)
	r.RecordHeartbeat(now, "b", "y", true)
	require.False(t, r.ShouldPause(now, 85, time.Second, false), "readers of other data centres do not count")

	r.RecordHeartbeat(now, "c", "x", true)
	r.RecordHeartbeat(now, "c", "x", true)
	require.False(t, r.ShouldPause(now, 85, time.Second, false), "a single reader may be about to stop reading too")

	r.RecordHeartbeat(now, "d", "x", true)
	require.True(t, r.ShouldPause(now, 85, time.Second, false))
	require.False(t, r.ShouldPause(now, 85, time.Second, true), "a reader goes on reading")
	require.False(t, r.ShouldPause(now, 8, time.Second, false), "in a small fleet each host reads the store")
	require.False(t, r.ShouldPause(now.Add(2*time.Second), 85, time.Second, false), "the readers have timed out")
	require.True(t, r.ShouldPause(now.Add(7*time.Second), 330, 4*time.Second, false), "the timeout grows with the heartbeat period")
	require.False(t, r.ShouldPause(now.Add(8*time.Second), 330, 4*time.Second, false))

	r.RecordHeartbeat(now, "c", "x", true)
	r.RecordHeartbeat(now, "d", "x", true)
	r.RecordHeartbeat(now, "d", "x", false)
	require.False(t, r.ShouldPause(now, 85, time.Second, false), "a host that stops reading is no reader")
}

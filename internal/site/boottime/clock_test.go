package boottime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/site/boottime"
)

func TestClockOnlyGoesForward(t *testing.T) {
	c := boottime.New()
	last := c.Now()

	for range 1000 {
		now := c.Now()
		require.False(t, now.Before(last))

		last = now
	}

	c.Sleep(time.Millisecond)
	require.GreaterOrEqual(t, c.Since(last), time.Millisecond)
	require.Less(t, c.Until(last), time.Duration(0))
}

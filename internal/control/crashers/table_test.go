package crashers_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/crashers"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

func TestRequestIsRefusedEverywhereAfterThreeLostTargets(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	hosts := []*crashers.Table{crashers.New(), crashers.New(), crashers.New()}
	f := crashers.FingerprintOf("h", "/x", []byte("body"))

	require.NotEqual(t, f, crashers.FingerprintOf("h", "/x", []byte("other")))
	require.NotEqual(t, f, crashers.FingerprintOf("h", "/xbody", nil))

	for i, target := range []table.TargetID{"a", "b", "c"} {
		for _, h := range hosts {
			_, refused := h.Refuses(now, f)
			require.False(t, refused)
		}

		hosts[i].RecordLoss(now, crashers.Loss{Request: f, Target: target})
		hosts[i].RecordLoss(now, crashers.Loss{Request: f, Target: target})

		for j, h := range hosts {
			if j != i {
				h.Merge(now, hosts[i].NewLosses(table.HostID(rune('0'+j))))
			}
		}
	}

	for _, h := range hosts {
		after, refused := h.Refuses(now, f)
		require.True(t, refused)
		require.Positive(t, after)

		_, refused = h.Refuses(now.Add(time.Hour), f)
		require.False(t, refused, "the refusal expires")
	}
}

func TestSameTargetCountsOnce(t *testing.T) {
	now := time.Now()
	c := crashers.New()

	for range 5 {
		c.RecordLoss(now, crashers.Loss{Request: 1, Target: "a"})
	}

	_, refused := c.Refuses(now, 1)
	require.False(t, refused)
}

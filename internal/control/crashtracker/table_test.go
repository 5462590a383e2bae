package crashtracker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

func TestRequestIsRefusedEverywhereAfterThreeLostTargets(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	hosts := []*crashtracker.Table{crashtracker.New(), crashtracker.New(), crashtracker.New()}
	f := crashtracker.FingerprintOf("h", "/x", []byte("body"))

	require.NotEqual(t, f, crashtracker.FingerprintOf("h", "/x", []byte("other")))
	require.NotEqual(t, f, crashtracker.FingerprintOf("h", "/xbody", nil))

	for i, target := range []entity.TargetID{"a", "b", "c"} {
		for _, h := range hosts {
			_, refused := h.Refuses(now, f)
			require.False(t, refused)
		}

		hosts[i].RecordLoss(now, crashtracker.Loss{Request: f, Target: target})
		hosts[i].RecordLoss(now, crashtracker.Loss{Request: f, Target: target})

		for j, h := range hosts {
			if j != i {
				h.Merge(now, hosts[i].NewLosses(entity.HostID(rune('0'+j))))
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
	table := crashtracker.New()

	for range 5 {
		table.RecordLoss(now, crashtracker.Loss{Request: 1, Target: "a"})
	}

	_, refused := table.Refuses(now, 1)
	require.False(t, refused)
}

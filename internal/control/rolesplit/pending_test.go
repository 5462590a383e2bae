package rolesplit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/rolesplit"
)

// Thirty replicas that were ordered come with the decode role.
func TestNumberOfChangesAtOnceUnderLoad(t *testing.T) {
	for _, test := range []struct{ most, want int }{{0, 2}, {1, 2}, {6, 6}} {
		s := newSite(90, 36)
		in := rolesplit.Input{
			Now: s.now, Targets: s.targets, RequestsSeen: true, Busy: func(entity.TargetID) int { return 0 }, MaxPending: test.most,
		}

		require.Empty(t, s.c.Tick(in))

		in.Now = s.now.Add(5 * time.Second)
		require.Len(t, s.c.Tick(in), test.want)
		require.Empty(t, s.c.Tick(in), "the first orders are pending")
	}
}

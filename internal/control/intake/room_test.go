package intake_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/intake"
)

const mib = 1 << 20

func TestCrowdLeavesRoomForOthers(t *testing.T) {
	r, now := intake.NewRoom(16*mib), time.Unix(1, 0)

	take := func(caller string, n int64) bool { return r.Enter(now, caller, func() {}).Take(now, n) }

	crowd := 0
	for take("crowd", mib) {
		crowd++
	}

	require.Equal(t, 8, crowd)
	require.True(t, take("other", 4*mib))
	require.False(t, take("another", mib), "the rest is for small requests")

	for range 4 * mib / intake.SmallBytes {
		require.True(t, take("crowd", intake.SmallBytes))
	}

	require.False(t, take("crowd", 1))
	require.EqualValues(t, 16*mib, r.Stats().Used)
}

func TestStalledRequestGivesWay(t *testing.T) {
	r, now := intake.NewRoom(16*mib), time.Unix(1, 0)

	var evicted []string

	enter := func(name string) *intake.Claim {
		return r.Enter(now, name, func() { evicted = append(evicted, name) })
	}

	whole, stalled, slow := enter("whole"), enter("stalled"), enter("slow")
	for _, c := range []*intake.Claim{whole, stalled, slow} {
		require.True(t, c.Take(now, 4*mib))
	}

	whole.Arrived()
	stalled.Received(now, mib)

	next := enter("next")
	require.False(t, next.Take(now, 4*mib))
	require.Empty(t, evicted, "nobody has stalled yet")

	for range 20 {
		now = now.Add(500 * time.Millisecond)
		slow.Received(now, 1)
		next.Received(now, 100_000)
	}

	require.False(t, next.Take(now, 4*mib))
	require.Equal(t, []string{"stalled"}, evicted)
	stalled.Leave()
	stalled.Leave()
	require.True(t, next.Take(now, 4*mib))

	require.True(t, r.EvictStalled(now))
	require.Equal(t, []string{"stalled", "slow"}, evicted)
	slow.Leave()
	next.Leave()
	whole.Leave()
	require.False(t, r.EvictStalled(now))
	require.Zero(t, r.Stats().Used)
}

func TestOnlyTheSameAddressGivesWayToItsShare(t *testing.T) {
	r, now := intake.NewRoom(16*mib), time.Unix(1, 0)

	var evicted []string

	take := func(caller string, n int64) bool {
		return r.Enter(now, caller, func() { evicted = append(evicted, caller) }).Take(now, n)
	}

	require.True(t, take("slow", 2*mib))

	now = now.Add(time.Second)

	require.True(t, take("crowd", 8*mib))
	require.False(t, take("crowd", mib))
	require.Empty(t, evicted, "there is room for others")

	now = now.Add(time.Second)

	require.False(t, take("crowd", mib))
	require.Equal(t, []string{"crowd"}, evicted)
	require.False(t, take("other", 4*mib))
	require.Equal(t, []string{"crowd", "slow"}, evicted, "the room is full")
}

func TestClaimThatHoldsNothingStays(t *testing.T) {
	r, now := intake.NewRoom(16*mib), time.Unix(1, 0)
	r.Enter(now, "empty", func() { t.Error("it frees nothing") })

	evicted := 0
	require.True(t, r.Enter(now.Add(time.Second), "stalled", func() { evicted++ }).Take(now, 8*mib))

	now = now.Add(time.Minute)
	require.False(t, r.Enter(now, "next", nil).Take(now, 12*mib))
	require.Equal(t, 1, evicted)
	require.False(t, r.EvictStalled(now))
}

func TestRoomWithoutBound(t *testing.T) {
	var r *intake.Room

	c := r.Enter(time.Time{}, "a", nil)
	require.True(t, c.Take(time.Time{}, 1<<40))
	c.Received(time.Time{}, 1)
	c.Arrived()
	c.Leave()
	require.False(t, r.EvictStalled(time.Time{}))
	require.Zero(t, r.Stats())
}

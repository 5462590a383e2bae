package rolesplit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/rolesplit"
)

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

type site struct {
	targets []fleet.Target
	c       *rolesplit.Controller
	now     time.Time
	loaded  bool
	scaled  bool
}

func newSite(n, prefill int) *site {
	s := &site{c: rolesplit.New(), now: start}

	for i := range n {
		role := entity.Decode
		if i < prefill {
			role = entity.Prefill
		}

		s.targets = append(s.targets, fleet.Target{
			ID: entity.TargetID(fmt.Sprintf("r%02d", i)), DataCentre: entity.DataCentre(fmt.Sprint(i % 3)), Role: role,
		})
	}

	return s
}

func (s *site) tick() []rolesplit.Order {
	return s.c.Tick(rolesplit.Input{
		Now: s.now, Targets: s.targets, RequestsSeen: s.loaded, Busy: func(entity.TargetID) int { return 0 },
	})
}

func (s *site) execute(orders []rolesplit.Order) {
	for _, o := range orders {
		for i := range s.targets {
			if s.targets[i].ID == o.Target.ID {
				s.targets[i].Role = o.Role
			}
		}
	}
}

func (s *site) prefillReplicas() (n int) {
	for _, t := range s.targets {
		if t.Role == entity.Prefill {
			n++
		}
	}

	return n
}

func TestRolesAreSetBeforeTheFirstRequest(t *testing.T) {
	s := newSite(18, 7)
	orders := s.tick()
	require.Len(t, orders, 4)
	require.Empty(t, s.tick(), "a pending order counts as executed")

	s.execute(orders)
	require.Equal(t, 11, s.prefillReplicas())

	s.now = s.now.Add(time.Minute)
	require.Empty(t, s.tick())
}

func TestOrdersSpreadOverDataCentres(t *testing.T) {
	s := newSite(18, 0)
	count := map[entity.DataCentre]int{}

	for _, o := range s.tick() {
		count[o.Target.DataCentre]++
	}

	for dc, n := range count {
		require.InDelta(t, 11.0/3, n, 1, dc)
	}
}

func TestReplicasThatReturnSoonCauseNoChange(t *testing.T) {
	s := newSite(18, 11)
	s.loaded = true
	lost := s.targets[:3]
	s.targets = s.targets[3:]

	require.Empty(t, s.tick())
	s.now = s.now.Add(3 * time.Second)
	require.Empty(t, s.tick())

	s.targets = append(s.targets, lost...)
	require.Empty(t, s.tick())
	s.now = s.now.Add(3 * time.Second)
	require.Empty(t, s.tick())
}

func TestLostPrefillReplicasAreReplacedGradually(t *testing.T) {
	s := newSite(18, 11)
	s.loaded = true
	s.targets = s.targets[5:]

	var all []rolesplit.Order

	for range 100 {
		orders := s.tick()
		require.LessOrEqual(t, len(orders), 2)
		all = append(all, orders...)
		s.execute(orders)
		s.now = s.now.Add(200 * time.Millisecond)
	}

	require.Len(t, all, 2)
	require.Equal(t, 8, s.prefillReplicas(), "prefill replicas of 13")
}

func TestRefusedOrderIsNotRepeatedAtOnce(t *testing.T) {
	s := newSite(2, 0)
	orders := s.tick()
	require.Len(t, orders, 1)
	s.c.Withdraw(s.now, orders[0])

	again := s.tick()
	require.Len(t, again, 1)
	require.NotEqual(t, orders[0].Target.ID, again[0].Target.ID)
	s.c.Withdraw(s.now, again[0])
	require.Empty(t, s.tick())

	s.now = s.now.Add(3 * time.Second)
	require.Len(t, s.tick(), 1)
}

// An order without an answer may still be executed seconds later, so no other replica gets an order until the first
// one has timed out.
func TestLateOrderIsWaitedFor(t *testing.T) {
	s := newSite(2, 0)
	require.Len(t, s.tick(), 1)

	s.now = s.now.Add(12 * time.Second)
	require.Empty(t, s.tick())

	s.now = s.now.Add(2 * time.Second)
	require.Len(t, s.tick(), 1)
}

func TestLastReplicaOfARoleIsNotChanged(t *testing.T) {
	s := newSite(1, 0)
	require.Empty(t, s.tick())

	s = newSite(2, 1)
	require.Empty(t, s.tick())
}

func (s *site) tickWith(demand rolesplit.Demand) []rolesplit.Order {
	return s.c.Tick(rolesplit.Input{
		Now: s.now, Targets: s.targets, RequestsSeen: s.loaded, Busy: func(entity.TargetID) int { return 0 }, Demand: demand, Scaled: s.scaled,
	})
}

// run ticks for d, executes the orders at once, and returns their number.
func (s *site) run(d time.Duration, demand rolesplit.Demand) (orders int) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(200 * time.Millisecond) {
		issued := s.tickWith(demand)
		orders += len(issued)
		s.execute(issued)
	}

	return orders
}

func TestDecodeDemandMovesPrefillReplicas(t *testing.T) {
	s := newSite(18, 11)
	s.loaded = true
	s.run(2*time.Minute, rolesplit.Demand{Prefill: 2, Decode: 13})

	decodeReplicas := len(s.targets) - s.prefillReplicas()
	require.GreaterOrEqual(t, decodeReplicas, 13)
	require.GreaterOrEqual(t, s.prefillReplicas(), 2)
}

func TestPrefillDemandMovesDecodeReplicas(t *testing.T) {
	s := newSite(18, 11)
	s.loaded = true
	s.run(2*time.Minute, rolesplit.Demand{Prefill: 14, Decode: 1.5})
	require.Greater(t, s.prefillReplicas(), 11)
	require.GreaterOrEqual(t, len(s.targets)-s.prefillReplicas(), 4, "enough replicas are left for decode")
}

func TestBurstOrShortageOfBothRolesChangesNothing(t *testing.T) {
	s := newSite(18, 11)
	s.loaded = true
	require.Zero(t, s.run(5*time.Second, rolesplit.Demand{Prefill: 20, Decode: 1}))
	require.Zero(t, s.run(time.Minute, rolesplit.Demand{Prefill: 8, Decode: 4}))
	require.Zero(t, s.run(time.Minute, rolesplit.Demand{Prefill: 20, Decode: 9}))
}

// TestIdleDecodeReplicasReadTogether has the demand of a large fleet whose prompts are long and whose answers are short. Moved
// one by one, the replicas would be too late for a burst of half a minute.
func TestIdleDecodeReplicasReadTogether(t *testing.T) {
	s := newSite(140, 85)
	s.loaded = true
	demand := rolesplit.Demand{Prefill: 75, Decode: 8}

	require.Zero(t, s.run(2*time.Second, demand), "a short burst")
	require.Equal(t, 17, s.run(time.Second, demand))
	s.run(time.Minute, demand)
	require.Equal(t, 116, s.prefillReplicas(), "three times the demand is left for decode")
	require.Zero(t, s.run(time.Minute, rolesplit.Demand{Prefill: 75, Decode: 14}), "a burst of answers for which the rest is enough")
}

// TestGroupGoesBackForABurstOfAnswers lets long answers follow half a minute of long prompts.
func TestGroupGoesBackForABurstOfAnswers(t *testing.T) {
	s := newSite(140, 85)
	s.loaded = true
	s.run(30*time.Second, rolesplit.Demand{Prefill: 75, Decode: 8})
	require.Equal(t, 116, s.prefillReplicas())

	s.run(3*time.Second, rolesplit.Demand{Prefill: 40, Decode: 30})
	require.LessOrEqual(t, s.prefillReplicas(), 90)

	s.run(time.Minute, rolesplit.Demand{Prefill: 40, Decode: 45})
	require.Equal(t, 85, s.prefillReplicas(), "no more go back than were taken")
}

// TestLostReplicasDoNotDelayIdleOnes loses replicas of both roles, so that others are being ordered all the time.
func TestLostReplicasDoNotDelayIdleOnes(t *testing.T) {
	s := newSite(140, 85)
	s.loaded = true
	s.targets = s.targets[20:]

	orders := 0
	for range 30 { // orders that never take effect stay pending
		orders += len(s.tickWith(rolesplit.Demand{Prefill: 75, Decode: 8}))
		s.now = s.now.Add(200 * time.Millisecond)
	}

	require.GreaterOrEqual(t, orders, 12)
	require.LessOrEqual(t, orders, 15, "an eighth of the replicas at once")
}

// TestIdleReplicasOfAScaledServiceKeepTheirRole guards against groups that read while most of the replicas are about to leave, so that
// too few are left for the answers.
func TestIdleReplicasOfAScaledServiceKeepTheirRole(t *testing.T) {
	s := newSite(140, 85)
	s.loaded, s.scaled = true, true

	require.Zero(t, s.run(time.Minute, rolesplit.Demand{Prefill: 75, Decode: 8}))
	require.Equal(t, 85, s.prefillReplicas())
}

func TestBusyDecodeReplicasKeepTheirRole(t *testing.T) {
	for _, demand := range []rolesplit.Demand{{Prefill: 75, Decode: 20}, {Prefill: 30, Decode: 2}, {Prefill: 42, Decode: 25}} {
		s := newSite(140, 85)
		s.loaded = true
		require.Zero(t, s.run(time.Minute, demand), "%+v", demand)
	}
}

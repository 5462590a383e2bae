package split_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/split"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

type site struct {
	targets []fleet.Target
	m       *split.Machine
	now     time.Time
	loaded  bool
}

func newSite(n, readers int) *site {
	s := &site{m: split.New(), now: start}

	for i := range n {
		role := table.Decode
		if i < readers {
			role = table.Prefill
		}

		s.targets = append(s.targets, fleet.Target{
			ID: table.TargetID(fmt.Sprintf("r%02d", i)), DataCentre: table.DataCentre(fmt.Sprint(i % 3)), Role: role,
		})
	}

	return s
}

func (s *site) tick() []split.Order {
	return s.m.Tick(split.Input{
		Now: s.now, Targets: s.targets, Loaded: s.loaded, Busy: func(table.TargetID) int { return 0 },
	})
}

func (s *site) carryOut(orders []split.Order) {
	for _, o := range orders {
		for i := range s.targets {
			if s.targets[i].ID == o.Target.ID {
				s.targets[i].Role = o.Role
			}
		}
	}
}

func (s *site) readers() (n int) {
	for _, t := range s.targets {
		if t.Role == table.Prefill {
			n++
		}
	}

	return n
}

func TestPartsAreSetBeforeTheFirstRequest(t *testing.T) {
	s := newSite(18, 7)
	orders := s.tick()
	require.Len(t, orders, 4)
	require.Empty(t, s.tick(), "an order counts as carried out until it is known not to be")

	s.carryOut(orders)
	require.Equal(t, 11, s.readers())

	s.now = s.now.Add(time.Minute)
	require.Empty(t, s.tick())
}

func TestOrdersSpreadOverDataCentres(t *testing.T) {
	s := newSite(18, 0)
	count := map[table.DataCentre]int{}

	for _, o := range s.tick() {
		count[o.Target.DataCentre]++
	}

	for dc, n := range count {
		require.InDelta(t, 11.0/3, n, 1, dc)
	}
}

func TestReplicaThatIsBackSoonIsWaitedFor(t *testing.T) {
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

func TestLostReadersAreReplacedAFewAtATime(t *testing.T) {
	s := newSite(18, 11)
	s.loaded = true
	s.targets = s.targets[5:]

	var given []split.Order

	for range 100 {
		orders := s.tick()
		require.LessOrEqual(t, len(orders), 2)
		given = append(given, orders...)
		s.carryOut(orders)
		s.now = s.now.Add(200 * time.Millisecond)
	}

	require.Len(t, given, 2)
	require.Equal(t, 8, s.readers(), "of 13")
}

func TestRefusedOrderIsNotRepeatedAtOnce(t *testing.T) {
	s := newSite(2, 0)
	orders := s.tick()
	require.Len(t, orders, 1)
	s.m.Refused(s.now, orders[0])

	again := s.tick()
	require.Len(t, again, 1)
	require.NotEqual(t, orders[0].Target.ID, again[0].Target.ID)
	s.m.Refused(s.now, again[0])
	require.Empty(t, s.tick())

	s.now = s.now.Add(3 * time.Second)
	require.Len(t, s.tick(), 1)
}

// An order without an answer may still be carried out seconds later, so no other replica takes its place
// until then.
func TestLateOrderIsWaitedFor(t *testing.T) {
	s := newSite(2, 0)
	require.Len(t, s.tick(), 1)

	s.now = s.now.Add(12 * time.Second)
	require.Empty(t, s.tick())

	s.now = s.now.Add(2 * time.Second)
	require.Len(t, s.tick(), 1)
}

func TestLastReplicaOfARoleStays(t *testing.T) {
	s := newSite(1, 0)
	require.Empty(t, s.tick())

	s = newSite(2, 1)
	require.Empty(t, s.tick())
}

func (s *site) tickWith(n split.Need) []split.Order {
	return s.m.Tick(split.Input{
		Now: s.now, Targets: s.targets, Loaded: s.loaded, Busy: func(table.TargetID) int { return 0 }, Need: n,
	})
}

// play carries orders out as they come for d.
func (s *site) play(d time.Duration, n split.Need) (orders int) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(200 * time.Millisecond) {
		given := s.tickWith(n)
		orders += len(given)
		s.carryOut(given)
	}

	return orders
}

func TestMixThatTurnsToAnswersChangesReadersOver(t *testing.T) {
	s := newSite(18, 11)
	s.loaded = true
	s.play(2*time.Minute, split.Need{Read: 2, Answer: 13})

	answerers := len(s.targets) - s.readers()
	require.GreaterOrEqual(t, answerers, 13)
	require.GreaterOrEqual(t, s.readers(), 2)
}

func TestMixThatTurnsToPromptsChangesAnswerersOver(t *testing.T) {
	s := newSite(18, 11)
	s.loaded = true
	s.play(2*time.Minute, split.Need{Read: 14, Answer: 1.5})
	require.Greater(t, s.readers(), 11)
	require.GreaterOrEqual(t, len(s.targets)-s.readers(), 4, "answers keep room")
}

func TestShortBurstOrTwoShortSidesChangeNothing(t *testing.T) {
	s := newSite(18, 11)
	s.loaded = true
	require.Zero(t, s.play(5*time.Second, split.Need{Read: 20, Answer: 1}))
	require.Zero(t, s.play(time.Minute, split.Need{Read: 8, Answer: 4}))
	require.Zero(t, s.play(time.Minute, split.Need{Read: 20, Answer: 9}))
}

package placing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
)

const (
	streamGap   = 200 * time.Millisecond
	spellLength = 600 * time.Millisecond
	// reportPeriod is the time between two heartbeats of a host to a peer in a fleet of some dozens.
	reportPeriod = 200 * time.Millisecond
)

// streams simulates hosts that place streams on replicas of unequal speed and exchange their state every 200 ms.
type streams struct {
	rand    *rand.Rand
	now     time.Duration
	events  eventQueue
	boards  []*placing.Board
	list    []fleet.Target
	factor  map[entity.TargetID]float64 // time for an event, as a multiple of the usual one
	spell   map[entity.TargetID]float64 // the same for a slow spell
	running map[entity.TargetID]int
	most    int           // most streams on one replica at once
	gap     time.Duration // as the hosts know it
	cost    float64       // time that a full replica takes for an event beyond that of an idle one, as a fraction of the latter
	apart   bool          // hosts hear of few hosts of other data centres
	period  time.Duration // time between two reports of a host
	over    int           // streams that were placed on a replica without a free slot
	late    int           // streams with a pause longer than streamGap
	total   int
}

// newStreams returns a simulation of replicas of which each third has the time factor slow, and all have slow spells if spells is set.
func newStreams(hosts, replicas int, slow float64, spells bool, gap, period time.Duration) *streams {
	s := &streams{
		rand: rand.New(rand.NewPCG(3, 3)), factor: map[entity.TargetID]float64{}, spell: map[entity.TargetID]float64{},
		running: map[entity.TargetID]int{}, gap: gap, period: period, cost: 0.23,
	}

	for i := range replicas {
		t := fleet.Target{ID: entity.TargetID(fmt.Sprint("r", i)), Service: "s", DataCentre: entity.DataCentre(fmt.Sprint(i / 3 % 3)), Slots: 32}
		s.list = append(s.list, t)
		s.factor[t.ID], s.spell[t.ID] = 0.7, 1

		if i%3 == 2 {
			s.factor[t.ID] = 0.7 * slow
		}
	}

	for range hosts {
		board := placing.New()
		board.SetHosts(hosts)
		s.boards = append(s.boards, board)
	}

	if spells {
		s.changeSpells()
	}

	for i := range s.boards {
		s.after(time.Duration(i)*period/time.Duration(hosts), func() { s.report(i) })
	}

	return s
}

func (s *streams) after(d time.Duration, do func()) { heap.Push(&s.events, event{s.now + d, do}) }

func (s *streams) clock() time.Time { return now.Add(s.now) }

// run lets perSecond streams begin, for d, and lets them end.
func (s *streams) run(perSecond float64, d time.Duration) {
	var arrive func()

	arrive = func() {
		s.begin()
		s.after(time.Duration(s.rand.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	s.after(0, arrive)

	for s.events.Len() > 0 && s.events[0].at < d {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

func (s *streams) changeSpells() {
	for _, t := range s.list {
		s.spell[t.ID] = 1
		if s.rand.Float64() < 0.15 {
			s.spell[t.ID] = 2.5
		}
	}

	s.after(spellLength, s.changeSpells)
}

// partners reports whether two hosts of three data centres exchange heartbeats: those of one data centre do, and two of each
// other one.
func (s *streams) partners(i, j int) bool {
	return !s.apart || i%3 == j%3 || (i/3+j/3)%(len(s.boards)/3) < 2
}

// report sends the state of host i to the others.
func (s *streams) report(i int) {
	work, seen := s.boards[i].Export(), s.boards[i].Speeds().Observations(s.clock())

	for j, to := range s.boards {
		if i != j && s.partners(i, j) {
			to.Merge(s.clock(), entity.HostID(fmt.Sprint(i)), work)
			to.Speeds().Merge(s.clock(), entity.HostID(fmt.Sprint(i)), seen)
		}
	}

	s.after(s.period, func() { s.report(i) })
}

// begin places a stream of 24 events on one of the hosts.
func (s *streams) begin() {
	i := s.rand.IntN(len(s.boards))
	board := s.boards[i]
	job := placing.Job{
		ID: entity.RequestID(fmt.Sprint(s.rand.Uint64())), Prompt: 5000, Output: 500, Near: entity.DataCentre(fmt.Sprint(i % 3)), Gap: s.gap,
	}

	place, ok := board.PlaceDecode(s.clock(), s.list, job, 400_000)
	if !ok {
		return
	}

	s.total++
	s.running[place.Target.ID]++
	s.most = max(s.most, s.running[place.Target.ID])

	if s.running[place.Target.ID] > 32 {
		s.over++
	}

	s.next(board, place, 24, false, 0, s.now)
}

// next produces one event after another. Each stretch of eight is recorded.
func (s *streams) next(board *placing.Board, place placing.Placement, left int, late bool, events int, since time.Duration) {
	id := place.Target.ID

	if left == 0 {
		s.running[id]--
		place.Claim.Release()

		if late {
			s.late++
		}

		return
	}

	pause := time.Duration(float64(46*time.Millisecond) * s.factor[id] * s.spell[id] * (1 + s.cost*float64(s.running[id])/32))

	s.after(pause, func() {
		if events++; s.now-since >= 400*time.Millisecond {
			board.RecordPace(s.clock(), place.Target, (s.now-since)/time.Duration(events))
			events, since = 0, s.now
		}

		s.next(board, place, left-1, late || pause > streamGap, events, since)
	})
}

// A third of the replicas takes 2.4 times as long for an event, and 15 in 100 are in a slow spell: only slow replicas in slow spells make
// pauses that are too long. With room elsewhere, few streams may meet them.
func TestStreamsKeepClearOfPausesOnSlowReplicas(t *testing.T) {
	before := newStreams(24, 36, 2.4, true, 0, reportPeriod)
	before.run(120, 30*time.Second)

	after := newStreams(24, 36, 2.4, true, streamGap, reportPeriod)
	after.run(120, 30*time.Second)

	t.Logf("late: %d of %d by load alone (most %d), %d of %d by speed too (most %d)", before.late, before.total, before.most, after.late, after.total, after.most)
	require.Less(t, 4*after.late, before.late)
	require.LessOrEqual(t, after.most, 32)
}

// If there is no room on the fast replicas, the slow ones are used.
func TestSlowReplicasAreUsedWhenFastOnesAreFull(t *testing.T) {
	s := newStreams(24, 36, 2.4, true, streamGap, reportPeriod)
	s.run(700, 10*time.Second)

	slow := 0
	for i := 2; i < 36; i += 3 {
		slow += s.running[s.list[i].ID]
	}

	t.Logf("%d streams on slow replicas, at most %d on one; %d of %d late", slow, s.most, s.late, s.total)
	require.Positive(t, slow)
}

// Replicas of equal speed are chosen as before, whatever their spells.
func TestEqualReplicasArePlacedByLoadAlone(t *testing.T) {
	byLoad := newStreams(8, 18, 1, false, 0, reportPeriod)
	byLoad.run(60, 20*time.Second)

	bySpeed := newStreams(8, 18, 1, false, streamGap, reportPeriod)
	bySpeed.run(60, 20*time.Second)
	require.Equal(t, byLoad.running, bySpeed.running)

	for _, cost := range []float64{0, 0.23, 2} {
		byLoad, bySpeed = newStreams(24, 18, 1, true, 0, reportPeriod), newStreams(24, 18, 1, true, streamGap, reportPeriod)
		byLoad.cost, bySpeed.cost = cost, cost

		byLoad.run(150, 20*time.Second)
		bySpeed.run(150, 20*time.Second)
		t.Logf("cost of load %v: most on one replica %d by load alone, %d by speed too; late %d, %d of %d", cost, byLoad.most, bySpeed.most, byLoad.late, bySpeed.late, bySpeed.total)
		require.LessOrEqual(t, bySpeed.most, byLoad.most+3)
		require.LessOrEqual(t, 100*(bySpeed.late-byLoad.late), bySpeed.total)
	}
}

// Without load, no stream goes to another data centre, however many hosts there are and whatever the speeds; and a target that
// fails in one of ten requests is left alone.
func TestNearAndSoundReplicasArePreferredInLargeFleets(t *testing.T) {
	s := newStreams(63, 36, 2.4, false, streamGap, reportPeriod)
	s.run(150, 10*time.Second)

	board := s.boards[0]
	for range 2 {
		board.RecordOutcome(s.clock(), s.list[0], placing.Failed)
	}

	idle := placing.New()
	for i := range 63 {
		idle.Merge(s.clock(), entity.HostID(fmt.Sprint(i)), nil)
	}

	for i := range 300 {
		job := placing.Job{ID: entity.RequestID(fmt.Sprint("x", i)), Prompt: 1000, Output: 500, Near: "0", Gap: streamGap}

		place, ok := board.PlaceDecode(s.clock(), s.list, job, 400_000)
		require.True(t, ok)
		require.NotEqual(t, s.list[0].ID, place.Target.ID)
		place.Claim.Release()

		place, ok = idle.PlaceDecode(s.clock(), s.list, job, 400_000)
		require.True(t, ok)
		require.Equal(t, entity.DataCentre("0"), place.Target.DataCentre)
		place.Claim.Release()
	}
}

// Hosts of a large fleet hear of each other late, and of few in other data centres. They may not all choose the replica that had the least
// load: at two thirds of the slots that the fast replicas have, hardly any stream may meet a replica without a free slot.
func TestManyHostsSpreadTheirStreams(t *testing.T) {
	for _, gap := range []time.Duration{0, streamGap} {
		s := newStreams(63, 36, 2.4, true, gap, 600*time.Millisecond)
		s.apart = true
		s.run(330, 15*time.Second)
		t.Logf("%d of %d streams placed beyond the slots, most %d; %d late", s.over, s.total, s.most, s.late)
		require.LessOrEqual(t, 100*s.over, s.total)
	}
}

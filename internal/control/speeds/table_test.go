package speeds_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/speeds"
)

var epoch = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

const (
	fast = 50 * time.Millisecond
	slow = 120 * time.Millisecond

	service = entity.ServiceName("s")
)

func ids(n int) []entity.TargetID {
	list := make([]entity.TargetID, n)
	for i := range list {
		list[i] = entity.TargetID(fmt.Sprint("r", i))
	}

	return list
}

// fill records six stretches on each of the targets, of which each third is slow.
func fill(t *speeds.Table, at time.Time, targets []entity.TargetID) {
	for i, id := range targets {
		pace := fast
		if i%3 == 2 {
			pace = slow
		}

		for range 6 {
			t.Record(at, service, id, 0, pace)
		}
	}
}

func TestSlowTargetIsKnownAtHostsThatHeardOfIt(t *testing.T) {
	here, there := speeds.New(), speeds.New()
	fill(there, epoch, ids(6))
	here.Merge(epoch.Add(time.Second), "there", there.Observations(epoch.Add(time.Second)))

	view := here.View(epoch.Add(2*time.Second), service, ids(6))
	require.True(t, view.Uneven())
	require.InDelta(t, 2.4, view.Slowness("r2"), 0.01)
	require.InDelta(t, 1, view.Slowness("r0"), 0.01)
	require.InDelta(t, 2.4, float64(view.Pause("r2", 0))/float64(view.Pause("r0", 0)), 0.01)
	require.Equal(t, view.Pause("r0", 0), view.Pause("unknown", 0))
	require.Greater(t, view.Pause("r0", 0), fast, "before the tail is learned")
	require.Empty(t, here.Observations(epoch.Add(2*time.Second)), "what was heard is not passed on")
}

func TestTargetsThatHardlyDifferCountAsEqual(t *testing.T) {
	table := speeds.New()
	for i, id := range ids(6) {
		for range 6 {
			table.Record(epoch, service, id, 0, fast+time.Duration(i)*time.Millisecond)
		}
	}

	require.False(t, table.View(epoch, service, ids(6)).Uneven())
	require.InDelta(t, 1, table.View(epoch, service, ids(6)).Slowness("r5"), 0)

	few := speeds.New()
	fill(few, epoch, ids(5))
	require.False(t, few.View(epoch, service, ids(5)).Uneven(), "five targets are too few to compare")
}

func TestLoadIsTakenOut(t *testing.T) {
	table := speeds.New()
	fill(table, epoch, ids(6))
	for range 6 {
		table.Record(epoch, service, "r9", 1, fast*5/4)
	}

	view := table.View(epoch, service, append(ids(6), "r9"))
	require.InDelta(t, 1, view.Slowness("r9"), 0.01)
	require.Greater(t, view.Pause("r9", 1), view.Pause("r9", 0))
}

// A target that was seen mostly outside slow spells, by several hosts, does not count as slow because of the spells.
func TestSpellIsNoSlowTarget(t *testing.T) {
	table := speeds.New()
	fill(table, epoch, ids(6))

	for i := range 20 {
		pace := fast
		if i%6 == 5 {
			pace = fast * 5 / 2
		}

		table.Record(epoch.Add(time.Duration(i)*time.Second/4), service, "r0", 0, pace)
	}

	require.Less(t, table.View(epoch.Add(5*time.Second), service, ids(6)).Slowness("r0"), 1.4)

	// The spells show in the pause that is to be expected on all targets.
	for i := range 400 {
		pace := fast
		if i%6 == 5 {
			pace = fast * 5 / 2
		}

		table.Record(epoch.Add(5*time.Second), service, "r1", 0, pace)
	}

	require.Greater(t, table.View(epoch.Add(5*time.Second), service, ids(6)).Pause("r3", 0), fast*3/2)
}

func TestObservationsEndWithAge(t *testing.T) {
	table := speeds.New()
	fill(table, epoch, ids(6))
	table.Merge(epoch, "peer", []speeds.Observation{{Target: "r10", Pace: slow, Weight: 6, Age: 29 * time.Second}})

	require.Len(t, table.Observations(epoch), 6)
	require.Empty(t, table.Observations(epoch.Add(4*time.Second)), "only what was seen lately is reported")
	require.InDelta(t, 2.4, table.View(epoch, service, append(ids(6), "r10")).Slowness("r10"), 0.01)
	require.InDelta(t, 1, table.View(epoch.Add(time.Second), service, append(ids(6), "r10")).Slowness("r10"), 0)
	require.False(t, table.View(epoch.Add(30*time.Second), service, ids(6)).Uneven())

	// A stale report that arrives late does not replace a newer one.
	table.Merge(epoch, "peer", []speeds.Observation{{Target: "r0", Pace: fast, Weight: 8}})
	table.Merge(epoch, "peer", []speeds.Observation{{Target: "r0", Pace: slow, Weight: 8, Age: time.Second}, {Target: "r1", Pace: slow, Weight: 8, Age: time.Hour}})
	require.InDelta(t, 1, table.View(epoch, service, ids(6)).Slowness("r0"), 0.01)
}

func TestHostThatReportsWrongSpeedsDoesNotDecide(t *testing.T) {
	table := speeds.New()
	fill(table, epoch, ids(6))

	for _, host := range []entity.HostID{"a", "b", "c"} {
		for range 8 {
			other := speeds.New()
			fill(other, epoch, ids(6))
			fill(other, epoch, ids(6))
			fill(other, epoch, ids(6))
			table.Merge(epoch, host, other.Observations(epoch))
		}
	}

	for range 100 {
		var lies []speeds.Observation
		for _, id := range ids(6) {
			lies = append(lies, speeds.Observation{Target: id, Pace: time.Second, Weight: 1 << 30})
		}

		lies = append(lies,
			speeds.Observation{Target: "r0", Weight: 8}, speeds.Observation{Target: "r0", Pace: -1, Weight: 8},
			speeds.Observation{Target: "r0", Pace: 1 << 62, Weight: 8}, speeds.Observation{Target: "r0", Pace: slow, Weight: -1},
			speeds.Observation{Target: "r0", Pace: slow, Weight: 8, Age: -time.Hour},
		)
		table.Merge(epoch, "liar", lies)
	}

	view := table.View(epoch, service, ids(6))
	require.InDelta(t, 1, view.Slowness("r0"), 0.01)
	require.InDelta(t, 2.4, view.Slowness("r2"), 0.01)
}

func TestTargetThatStartedAgainIsNew(t *testing.T) {
	table := speeds.New()
	fill(table, epoch, ids(12))
	table.Tick(epoch, func(id entity.TargetID) bool { return id != "r2" })

	list := append(ids(12), "r2@2")
	require.InDelta(t, 1, table.View(epoch, service, list).Slowness("r2"), 0, "its run has ended")
	require.InDelta(t, 1, table.View(epoch, service, list).Slowness("r2@2"), 0)
	require.InDelta(t, 2.4, table.View(epoch, service, list).Slowness("r5"), 0.01)
}

// A lost host's reports end by age; those of hosts that take its place are not crowded out.
func TestNewestHostsAreKept(t *testing.T) {
	table := speeds.New()
	fill(table, epoch, ids(6))

	for i := range 40 {
		at := epoch.Add(time.Duration(i) * time.Second / 2)
		table.Merge(at, entity.HostID(fmt.Sprint("h", i)), []speeds.Observation{{Target: "r0", Pace: slow, Weight: 8}})
	}

	at := epoch.Add(20 * time.Second)
	require.InDelta(t, 2.4, table.View(at, service, ids(6)).Slowness("r0"), 0.01)
	require.InDelta(t, 1, table.View(at.Add(30*time.Second), service, ids(6)).Slowness("r0"), 0)
}

func TestReportIsBounded(t *testing.T) {
	table := speeds.New()
	for i, id := range ids(600) {
		table.Record(epoch.Add(time.Duration(i)*time.Millisecond), service, id, 0, fast)
	}

	list := table.Observations(epoch.Add(time.Second))
	require.Len(t, list, 6)
	require.Equal(t, entity.TargetID("r599"), list[0].Target, "the newest come first")
}

// One stall of a host, or a target that stands still for once, makes no target slow.
func TestStallIsNoSlowTarget(t *testing.T) {
	table := speeds.New()
	fill(table, epoch, ids(6))

	table.Record(epoch, service, "r9", 0, 4*time.Second)
	require.InDelta(t, 1, table.View(epoch, service, append(ids(6), "r9")).Slowness("r9"), 0, "one stretch is too few")

	for range 5 {
		table.Record(epoch, service, "r9", 0, fast)
	}

	require.InDelta(t, 1, table.View(epoch, service, append(ids(6), "r9")).Slowness("r9"), 0.01)
}

// What a caller asks for is a part of the service, for example one software version: what is usual is that of all.
func TestPartOfAServiceIsComparedWithAll(t *testing.T) {
	table := speeds.New()
	fill(table, epoch, ids(6))
	table.View(epoch, service, ids(6))
	require.InDelta(t, 2.4, table.View(epoch, service, []entity.TargetID{"r2", "r5"}).Slowness("r2"), 0.01)
	require.InDelta(t, 2.4, table.View(epoch, service, nil).Slowness("r2"), 0.01)
	require.False(t, table.View(epoch, "other", nil).Uneven())
}

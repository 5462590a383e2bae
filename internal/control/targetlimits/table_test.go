package targetlimits_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/targetlimits"
)

const (
	window   = 4 * time.Second // in which the platform counts the requests to a target
	slack    = 5               // requests allowed in a window beyond 1.5 times the limit
	step     = 20 * time.Millisecond
	duration = time.Minute
)

var epoch = time.Unix(1_000_000, 0)

func limited(perSecond float64) targetlimits.Statement {
	return targetlimits.Statement{Limited: true, PerSecond: perSecond}
}

// fleet is tables of hosts, of which hosts with the same side hear each other.
type fleet struct {
	tables []*targetlimits.Table
	sides  []int
}

func newFleet(hosts int) *fleet {
	f := &fleet{tables: make([]*targetlimits.Table, hosts), sides: make([]int, hosts)}
	for i := range f.tables {
		f.restart(i)
	}

	return f
}

func (f *fleet) restart(i int) {
	f.tables[i] = targetlimits.New(targetlimits.Options{Turn: func(string) (place, hosts int) {
		for other, side := range f.sides {
			if side != f.sides[i] {
				continue
			}

			hosts++

			if other < i {
				place++
			}
		}

		return place, hosts
	}})
}

// run sends as many requests as the tables admit until d has passed, and returns the times of all of them. each is called at
// each step; it may be nil.
func (f *fleet) run(now time.Time, d time.Duration, each func(time.Time)) []time.Time {
	var sent []time.Time

	keep := func(entity.TargetID) bool { return true }

	for end := now.Add(d); now.Before(end); now = now.Add(step) {
		if each != nil {
			each(now)
		}

		for i, t := range f.tables {
			if now.Sub(epoch)%(5*step) == 0 && i%10 == int(now.Sub(epoch)/step/5)%10 {
				t.Tick(now, keep)
			}

			for t.Take(now, "t", 0) {
				sent = append(sent, now)
			}
		}
	}

	return sent
}

func mostInWindow(times []time.Time) int {
	most, first := 0, 0

	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}

		most = max(most, i-first+1)
	}

	return most
}

func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds()) + slack }

func TestSharesOfAllHostsKeepTheLimitAndUseIt(t *testing.T) {
	for _, hosts := range []int{1, 2, 8, 89, 330} {
		for _, perSecond := range []float64{0, 0.2, 1, 2.7, 3.3, 4.9, 20, 200} {
			t.Run(fmt.Sprint(hosts, " hosts, ", perSecond), func(t *testing.T) {
				f := newFleet(hosts)
				for _, table := range f.tables {
					table.Record(epoch, epoch, "t", limited(perSecond))
				}

				sent := f.run(epoch, duration, nil)
				require.LessOrEqual(t, mostInWindow(sent), allowed(perSecond))
				require.Greater(t, float64(len(sent)), 0.75*perSecond*duration.Seconds())
				require.NotEmpty(t, sent, "only an answer shows that the limit has ended")
			})
		}
	}
}

func TestLimitHoldsThroughCutsAndRestarts(t *testing.T) {
	const perSecond = 3.3

	for name, event := range map[string]func(*fleet, time.Time){
		"hosts on two sides": func(f *fleet, at time.Time) {
			for i := range f.sides {
				f.sides[i] = int(at.Sub(epoch)/(10*time.Second)) % 2 * (i % 2)
			}
		},
		"one host alone": func(f *fleet, at time.Time) {
			f.sides[3] = int(at.Sub(epoch)/(5*time.Second)) % 2
		},
		"restarts": func(f *fleet, at time.Time) {
			if at.Sub(epoch)%time.Second == 0 {
				i := int(at.Sub(epoch)/time.Second) % len(f.tables)
				f.restart(i)
				f.tables[i].Record(at, at, "t", limited(perSecond))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(8)
			for _, table := range f.tables {
				table.Record(epoch, epoch, "t", limited(perSecond))
			}

			sent := f.run(epoch, duration, func(at time.Time) { event(f, at) })
			require.LessOrEqual(t, mostInWindow(sent), allowed(perSecond))
		})
	}
}

func TestOlderStatementsDoNotReplaceNewerOnes(t *testing.T) {
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	none := targetlimits.Statement{}
	table := targetlimits.New(targetlimits.Options{})
	limits := func(s float64) bool { return table.Limits(at(s), "t") }

	table.Record(at(0), at(0), "t", none)
	require.False(t, limits(0))

	table.Record(at(1), at(0.5), "t", limited(4))
	table.Record(at(2), at(0.9), "t", none)
	require.True(t, limits(2), "the request was sent before the limit was stated")

	table.Record(at(3), at(1.5), "t", none)
	require.False(t, limits(3))

	table.Merge(at(3), "peer", []targetlimits.Observation{{Target: "t", Statement: limited(4), Age: 2 * time.Second, Number: 1}})
	require.False(t, limits(3), "a peer learned the limit before it ended")

	table.Merge(at(4), "peer", []targetlimits.Observation{{Target: "t", Statement: limited(6), Age: 100 * time.Millisecond, Number: 2}})
	require.True(t, limits(4))

	table.Record(at(6), at(5), "t", none)
	table.Merge(at(7), "peer", []targetlimits.Observation{{Target: "t", Statement: limited(6), Age: 0, Number: 2}})
	require.False(t, limits(7), "the same observation again is no news, whatever its age")

	table.Merge(at(50), "other", []targetlimits.Observation{{Target: "t", Statement: limited(6), Age: 45 * time.Second, Number: 1}})
	require.False(t, limits(50), "an observation from long ago")
}

func TestHostsTellOnlyWhatTheyHaveLearnedThemselves(t *testing.T) {
	a, b := targetlimits.New(targetlimits.Options{}), targetlimits.New(targetlimits.Options{})

	a.Record(epoch, epoch, "t", limited(4))
	b.Merge(epoch, "a", a.Observations(epoch))
	require.True(t, b.Limits(epoch, "t"))
	require.Empty(t, b.Observations(epoch))

	later := epoch.Add(time.Second)
	b.Record(later.Add(time.Second), later, "t", targetlimits.Statement{})
	a.Merge(later.Add(time.Second), "b", b.Observations(later.Add(time.Second)))
	require.False(t, a.Limits(later.Add(time.Second), "t"))
	require.Empty(t, a.Observations(later.Add(time.Second)), "what a peer has refuted is not told on")
}

func TestUrgentRequestsAreSentSooner(t *testing.T) {
	table := targetlimits.New(targetlimits.Options{})
	table.Record(epoch, epoch, "t", limited(1))

	require.Less(t, table.Wait(epoch, "t", 0), table.Wait(epoch, "t", 1))
	require.Less(t, table.Wait(epoch, "t", 1), table.Wait(epoch, "t", 3))

	now := epoch.Add(table.Wait(epoch, "t", 0))
	require.False(t, table.Take(now, "t", 1))
	require.True(t, table.Take(now, "t", 0))
	require.False(t, table.Admits(now, "t", 0))
}

func TestRequestThatIsNotSentIsTakenBack(t *testing.T) {
	table := targetlimits.New(targetlimits.Options{})
	table.Record(epoch, epoch, "t", limited(1))

	now := epoch.Add(2 * time.Second)
	require.True(t, table.Take(now, "t", 1))
	require.False(t, table.Admits(now, "t", 1))
	table.Return(now, now, "t")
	require.True(t, table.Admits(now, "t", 1))

	table.Charge(now, "t")
	require.False(t, table.Admits(now, "t", 1), "a request that cannot be held back counts")

	for range 100 {
		table.Charge(now, "t")
	}

	require.Less(t, table.Wait(now, "t", 1), 4*time.Second, "the target may not have been reached")
}

func TestTargetsThatLeaveAreForgotten(t *testing.T) {
	table := targetlimits.New(targetlimits.Options{})
	table.Record(epoch, epoch, "t", limited(1))
	require.EqualValues(t, 1, table.Stats().Limited)

	table.Tick(epoch, func(entity.TargetID) bool { return false })
	require.Zero(t, table.Stats())
	require.True(t, table.Take(epoch, "t", 1))
	require.Empty(t, table.Observations(epoch))
}

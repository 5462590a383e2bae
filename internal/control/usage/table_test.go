package usage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/usage"
)

// member is a host of a fleet whose hosts exchange messages as heartbeats do: with all of their data centre and two of each other one.
type member struct {
	*usage.Table
	usage.Peer
	partners []*member
	collects bool
	dead     bool
}

// newFleet returns a fleet of perCentre hosts in each data centre, of which the first two collect.
func newFleet(r *rand.Rand, centres, perCentre int) []*member {
	var fleet []*member

	for c := range centres {
		for i := range perCentre {
			m := &member{Peer: usage.Peer{Host: entity.HostID(fmt.Sprintf("front-%d-%d-1a2b3c4d5e6f7", c, i)), DataCentre: entity.DataCentre(fmt.Sprint("dc-", c))}, collects: i < 2}
			m.Table = usage.NewTable(usage.TableOptions{
				Host: m.Host, DataCentre: m.DataCentre, Window: window, Keep: due + window, Collects: func() bool { return m.collects },
			})
			fleet = append(fleet, m)
		}
	}

	for _, m := range fleet {
		far := map[entity.DataCentre]int{}

		for _, i := range r.Perm(len(fleet)) {
			p := fleet[i]
			if p == m || p.DataCentre != m.DataCentre && far[p.DataCentre] >= 2 {
				continue
			}

			far[p.DataCentre]++
			m.partners = append(m.partners, p)
		}
	}

	return fleet
}

// exchange is one heartbeat from a to b with its reply. lost says which of the two messages are lost.
func exchange(now time.Time, a, b *member, lost func() bool) {
	if a.dead || b.dead {
		return
	}

	if m := a.Message(now, b.Host); !lost() {
		b.Merge(now, a.Peer, m)

		if m := b.Message(now, a.Host); !lost() {
			a.Merge(now, b.Peer, m)
		}
	}
}

func never() bool { return false }

// flush exchanges the messages that are due at the end of a window.
func flush(now time.Time, fleet []*member, lost func() bool) {
	byHost := map[entity.HostID]*member{}
	for _, m := range fleet {
		byHost[m.Host] = m
	}

	for _, m := range fleet {
		for _, host := range m.Overdue(now) {
			exchange(now, m, byHost[host], lost)
		}
	}
}

// TestCollectorsOfAllDataCentresHaveAllCounts plays windows of 59 hosts with a message lost in ten. What reaches the collectors is what all
// hosts have counted, no more.
func TestCollectorsOfAllDataCentresHaveAllCounts(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	fleet := newFleet(r, 4, 15)
	want := map[duties.Window]usage.Counts{}
	lost := func() bool { return r.IntN(10) == 0 }

	for round := range 300 {
		now := epoch.Add(time.Duration(round) * tick)

		for range 43 {
			account := entity.AccountID(fmt.Sprint("account-", r.IntN(72)))
			fleet[r.IntN(len(fleet))].Count(now, account)

			w := usage.WindowAt(now, window)
			if want[w] == nil {
				want[w] = usage.Counts{}
			}

			want[w][account]++
		}

		for _, m := range fleet {
			if p := m.partners[round/2%len(m.partners)]; round%2 == 0 {
				exchange(now, m, p, lost)
			}
		}

		flush(now, fleet, lost)

		// Late in a window, the one before has settled.
		if w := usage.WindowAt(now, window); round%50 == 20 && want[w-1] != nil {
			for _, m := range fleet {
				if m.collects {
					sum, hosts := m.Sum(w - 1)
					require.Equal(t, want[w-1], sum, "%s, 2 s after the end", m.Host)
					require.Equal(t, len(fleet), hosts)
				}
			}
		}
	}
}

// TestDeathLosesWhatWasNotTold kills a host: only what it has counted since its last message is missing.
func TestDeathLosesWhatWasNotTold(t *testing.T) {
	fleet := newFleet(rand.New(rand.NewPCG(1, 2)), 1, 3)
	a, b := fleet[2], fleet[0]
	exchange(epoch, a, b, never)

	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		a.Count(now, "x")
		exchange(now, a, b, never)
	}

	a.dead = true
	sum, _ := b.Sum(usage.WindowAt(epoch, window))
	require.GreaterOrEqual(t, sum.Total(), uint64(60), "requests of 0.4 s at most are lost")
}

// TestHostThatStartsAgainAddsToItsCounts guards against counts of a new process that hide behind those of the one before.
func TestHostThatStartsAgainAddsToItsCounts(t *testing.T) {
	fleet := newFleet(rand.New(rand.NewPCG(1, 2)), 1, 4)
	collector := fleet[0]

	for _, m := range fleet[2:] { // two runs of one host
		exchange(epoch, m, collector, never)

		for range 5 {
			m.Count(epoch, "x")
		}

		exchange(epoch.Add(time.Second), m, collector, never)
	}

	sum, _ := collector.Sum(usage.WindowAt(epoch, window))
	require.Equal(t, usage.Counts{"x": 10}, sum)
}

// TestNewHolderIsTold tells the counts to a host that did not collect when they were counted.
func TestNewHolderIsTold(t *testing.T) {
	fleet := newFleet(rand.New(rand.NewPCG(1, 2)), 1, 4)
	a, b := fleet[2], fleet[3]
	a.Count(epoch, "x")
	exchange(epoch, a, b, never)
	exchange(epoch.Add(time.Second), a, b, never)

	sum, _ := b.Sum(usage.WindowAt(epoch, window))
	require.Empty(t, sum, "b does not collect")

	b.collects = true

	exchange(epoch.Add(2*time.Second), a, b, never)
	exchange(epoch.Add(3*time.Second), a, b, never)

	sum, _ = b.Sum(usage.WindowAt(epoch, window))
	require.Equal(t, usage.Counts{"x": 1}, sum)
}

// TestOnlyChangesAreTold looks at what is sent, and at what a host takes that it must not.
func TestOnlyChangesAreTold(t *testing.T) {
	fleet := newFleet(rand.New(rand.NewPCG(1, 2)), 1, 4)
	a, b := fleet[2], fleet[0]
	exchange(epoch, a, b, never)
	a.Count(epoch, "x")
	a.Count(epoch, "y")

	m := a.Message(epoch, b.Host)
	require.Len(t, m.Records, 1)
	require.Equal(t, usage.Counts{"x": 1, "y": 1}, m.Records[0].Counts)
	require.Empty(t, a.Message(epoch.Add(300*time.Millisecond), b.Host).Records, "too soon")

	b.Merge(epoch, a.Peer, m)
	b.Merge(epoch, a.Peer, m)
	a.Merge(epoch, b.Peer, b.Message(epoch, a.Host))
	require.Empty(t, a.Message(epoch.Add(time.Second), b.Host).Records, "confirmed")

	a.Count(epoch.Add(time.Second), "y")
	m = a.Message(epoch.Add(time.Second), b.Host)
	require.Equal(t, usage.Counts{"y": 2}, m.Records[0].Counts)

	a.Merge(epoch, b.Peer, usage.Message{Collects: true, Confirmed: 1 << 40})
	require.NotEmpty(t, a.Message(epoch.Add(2*time.Second), b.Host).Records, "no peer can confirm what it was not told")

	w := usage.WindowAt(epoch, window)
	b.Merge(epoch, a.Peer, usage.Message{Records: []usage.Record{
		{Host: b.Host, Window: w, Counts: usage.Counts{"x": 50}},
		{Host: "old", Window: w - 100, Counts: usage.Counts{"x": 50}},
		{Host: a.Host, Window: w, Counts: usage.Counts{"y": 1}},
	}})

	sum, _ := b.Sum(w)
	require.Equal(t, usage.Counts{"x": 1, "y": 1}, sum, "neither this host's counts nor higher ones change")

	a.Count(epoch.Add(time.Hour), "x")
	sum, _ = a.Sum(w)
	require.Empty(t, sum, "old windows are dropped")
}

// steppingClock is a time of day that steps.
type steppingClock struct {
	*clockwork.FakeClock
	step time.Duration
}

func (c *steppingClock) Now() time.Time { return c.FakeClock.Now().Add(c.step) }

func TestClockFollowsNoStepThatEnds(t *testing.T) {
	steady := clockwork.NewFakeClockAt(time.Unix(500, 0))
	wall := &steppingClock{FakeClock: clockwork.NewFakeClockAt(epoch)}
	c := usage.NewClock(wall, steady)

	advance := func(d time.Duration) time.Time {
		for range d / time.Second {
			steady.Advance(time.Second)
			wall.Advance(time.Second)
			c.Now()
		}

		return c.Now()
	}

	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second} {
		before := advance(time.Second)
		wall.step = step
		require.Equal(t, before, c.Now())
		require.Equal(t, before.Add(30*time.Second), advance(30*time.Second))

		wall.step = 0
		require.Equal(t, before.Add(60*time.Second), advance(30*time.Second))
	}

	before := c.Now()
	wall.step = 50 * time.Millisecond
	require.Equal(t, before.Add(wall.step), c.Now(), "a slew is followed")

	wall.step = 2 * time.Second
	after := advance(62 * time.Second)
	require.Equal(t, wall.Now(), after, "a step that stays is the end of an error")

	wall.step = 0
	before = c.Now()
	after = advance(62 * time.Second)
	require.Equal(t, wall.Now(), after)
	require.True(t, after.After(before))
}

// BenchmarkCollector measures the messages to one collector in a window, by the size of the fleet: each other host counts its part of the
// window's requests.
func BenchmarkCollector(b *testing.B) {
	for _, size := range []struct{ hosts, accounts, requests int }{{59, 72, 2150}, {330, 5600, 30500}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			entries := 0

			for b.Loop() {
				r := rand.New(rand.NewPCG(1, 2))
				fleet := newFleet(r, 1, size.hosts)
				collector := fleet[0]

				for _, m := range fleet[1:] {
					exchange(epoch, m, collector, never)
				}

				for range size.requests {
					fleet[r.IntN(size.hosts)].Count(epoch, entity.AccountID(fmt.Sprint("account-", r.IntN(size.accounts))))
				}

				entries = 0

				for _, m := range fleet[1:] {
					message := m.Message(epoch.Add(time.Second), collector.Host)
					for _, record := range message.Records {
						entries += len(record.Counts)
					}

					collector.Merge(epoch, m.Peer, message)
				}
			}

			b.ReportMetric(float64(entries), "entries/window")
		})
	}
}

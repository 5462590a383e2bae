package members_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
)

const dataCentres = 5

var epoch = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)

func member(i int) members.Member {
	return members.Member{
		Host: entity.HostID(fmt.Sprintf("018bcfe5-6800-7000-8000-%012d", i)), Address: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250),
		DataCentre: entity.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres)), Ready: true, ReceivedAt: epoch,
	}
}

// tableOf returns a table that holds the given number of other hosts.
func tableOf(hosts int) *members.Table {
	t := members.New("self", "dc-0")
	for i := range hosts {
		t.Update(member(i))
	}

	return t
}

var sizes = []int{40, 110, 330}

// Load reports travel with heartbeats and are ignored once they are 5 s old. With 330 hosts, the largest
// fleet of the design, a period must be short enough to leave 1 s for the load poll before the heartbeat.
func TestPeriodAtTheLargestFleet(t *testing.T) {
	const staleLoad, poll = 5 * time.Second, time.Second

	full := tableOf(330)
	require.Less(t, full.Period(), staleLoad-poll)
	require.Len(t, full.HeartbeatPartners(epoch), 66+4*2)

	full.Forget(epoch.Add(time.Hour))
	require.Equal(t, time.Second, full.Period())
}

// Hosts hear from a few hosts of each other data centre only, and have to divide shared limits among all.
func TestHostCountsIncludeHostsThatSendNoHeartbeats(t *testing.T) {
	for _, hosts := range []int{8, 89, 330} {
		table := members.New("self", "dc-0")
		want := 1

		for i := range hosts - 1 {
			m := member(i)
			m.LocalHosts = hosts / dataCentres

			if m.DataCentre != "dc-0" {
				want++

				if i > 2*dataCentres {
					continue // sends no heartbeats here
				}
			} else {
				want++
			}

			table.Update(m)
		}

		total := 0
		for _, n := range table.HostCounts(epoch) {
			total += n
		}

		require.InDelta(t, want, total, dataCentres, "%d hosts", hosts)

		later := 0
		for dc, n := range table.HostCounts(epoch.Add(5 * time.Minute)) {
			if dc != "dc-0" {
				later += n
			}
		}

		require.GreaterOrEqual(t, later, 4*(hosts/dataCentres), "data centres that have fallen silent still count")
	}
}

// BenchmarkHostCounts measures one count of the hosts, as made for each heartbeat.
func BenchmarkHostCounts(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			t := tableOf(hosts)

			for b.Loop() {
				t.HostCounts(epoch)
			}
		})
	}
}

// BenchmarkUpdate measures one report of a member, by the number of members.
func BenchmarkUpdate(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			t := tableOf(hosts)
			b.ReportAllocs()

			for i := 0; b.Loop(); i++ {
				m := member(i % hosts)
				m.Sequence = uint64(i)
				t.Update(m)
			}
		})
	}
}

// BenchmarkHeartbeatPartners measures one choice of heartbeat partners. It also reports the number of partners,
// the heartbeats that this host starts in a second, and the bytes of heap for each member.
func BenchmarkHeartbeatPartners(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var before, after runtime.MemStats

			runtime.GC()
			runtime.ReadMemStats(&before)

			t := tableOf(hosts)

			runtime.GC()
			runtime.ReadMemStats(&after)

			partners := 0

			for b.Loop() {
				partners = len(t.HeartbeatPartners(epoch))
			}

			b.ReportMetric(float64(partners), "partners")
			b.ReportMetric(float64(partners)/t.Period().Seconds(), "heartbeats/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(hosts), "heap-B/member")
		})
	}
}

// BenchmarkResponsible measures the choice of pollers for the 120 targets of a data centre.
func BenchmarkResponsible(b *testing.B) {
	const targets, pollers = 120, 2

	for _, hosts := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			t := tableOf(hosts)

			for b.Loop() {
				for i := range targets {
					t.Responsible(epoch, fmt.Sprintf("engine-%d", i), pollers)
				}
			}
		})
	}
}

// What is derived from all members is computed once for many heartbeats, and follows each change that a heartbeat reports.
func TestDerivedViewsFollowTheMembers(t *testing.T) {
	table := tableOf(10)
	require.Len(t, table.Live(epoch), 10)

	m := member(3)
	m.Sequence, m.Stopping, m.LocalHosts = 1, true, 40
	table.Update(m)
	require.True(t, table.Live(epoch)[3].Stopping)
	require.Equal(t, 40, table.HostCounts(epoch)[m.DataCentre])

	table.Update(member(10))
	require.Equal(t, 11, table.LiveCount(epoch))

	table.Live(epoch)[0].Host = "changed"
	require.NotEqual(t, entity.HostID("changed"), table.Live(epoch)[0].Host, "the result belongs to the caller")

	lost := epoch.Add(members.MissedHeartbeats * table.Period())
	require.Equal(t, 11, table.LiveCount(lost.Add(-time.Second)))
	require.Zero(t, table.LiveCount(lost))
	require.Equal(t, 1, table.HomeHosts(lost))

	m.Sequence, m.ReceivedAt = 2, lost
	table.Update(m)
	require.Equal(t, 1, table.LiveCount(lost), "it is back")
}

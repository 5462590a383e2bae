package members_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const centres = 5

var epoch = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)

func member(i int) members.Member {
	return members.Member{
		Host: table.HostID(fmt.Sprintf("018bcfe5-6800-7000-8000-%012d", i)), Address: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250),
		DataCentre: table.DataCentre(fmt.Sprintf("dc-%d", i%centres)), Ready: true, HeardAt: epoch,
	}
}

func known(hosts int) *members.Table {
	t := members.New("self", "dc-0")
	for i := range hosts {
		t.Note(member(i))
	}

	return t
}

var sizes = []int{40, 110, 330}

// Load reports travel with heartbeats and are ignored after 5 s, so at the size to design for a
// period must leave time for the poll of a second before it.
func TestPeriodAtTheSizeToDesignFor(t *testing.T) {
	const staleLoad, poll = 5 * time.Second, time.Second

	all := known(330)
	require.Less(t, all.Period(), staleLoad-poll)
	require.Len(t, all.Beat(epoch), 66+4*2)

	all.Forget(epoch.Add(time.Hour))
	require.Equal(t, time.Second, all.Period())
}

// BenchmarkNote is what one digest costs the table of members, by the hosts that are known.
func BenchmarkNote(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			t := known(hosts)
			b.ReportAllocs()

			for i := 0; b.Loop(); i++ {
				m := member(i % hosts)
				m.Sequence = uint64(i)
				t.Note(m)
			}
		})
	}
}

// BenchmarkBeat is one choice of heartbeat partners. It also reports the partners, the heartbeats
// that this host begins in a second, and the bytes of memory for each member.
func BenchmarkBeat(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var before, after runtime.MemStats

			runtime.GC()
			runtime.ReadMemStats(&before)

			t := known(hosts)

			runtime.GC()
			runtime.ReadMemStats(&after)

			partners := 0

			for b.Loop() {
				partners = len(t.Beat(epoch))
			}

			b.ReportMetric(float64(partners), "partners")
			b.ReportMetric(float64(partners)/t.Period().Seconds(), "beats/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(hosts), "heap-B/member")
		})
	}
}

// BenchmarkMine is the choice of pollers over the 120 targets of a data centre.
func BenchmarkMine(b *testing.B) {
	const targets, pollers = 120, 2

	for _, hosts := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			t := known(hosts)

			for b.Loop() {
				for i := range targets {
					t.Mine(epoch, fmt.Sprintf("engine-%d", i), pollers)
				}
			}
		})
	}
}

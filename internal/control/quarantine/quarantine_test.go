package quarantine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/quarantine"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// The bound on lost targets holds with any number of entry hosts, whatever digests are lost, late
// or out of order, and with hosts cut off from each other.
func TestAtMostTwoTargetsAreLostToOneRequest(t *testing.T) {
	tests := []struct {
		name string
		o    options
		most int
	}{
		{"callers that wait for their answer", options{parallel: 1, parts: 1}, 2},
		{"two callers at once", options{parallel: 2, parts: 1}, 2},
		{"four callers at once", options{parallel: 4, parts: 1}, 4},
		{"hosts in two parts", options{parallel: 1, parts: 2}, 2},
		{"hosts in three parts", options{parallel: 1, parts: 3}, 3},
		{"a host dies", options{parallel: 1, parts: 1, kills: 1}, 3},
		{"two hosts die", options{parallel: 1, parts: 1, kills: 2}, 4},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lost := map[int]int{}

			rapid.Check(t, func(t *rapid.T) {
				o := tt.o
				o.hosts = rapid.IntRange(max(1, o.parts, o.kills+1), 6).Draw(t, "hosts")
				o.targets = rapid.IntRange(2, 10).Draw(t, "targets")
				o.crashers = rapid.IntRange(1, 2).Draw(t, "crashers")
				o.innocents = rapid.IntRange(0, 10).Draw(t, "innocents")
				o.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
				o.delay = time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond

				if o.parts > 1 {
					// A host that loses most digests would be a part of its own.
					o.loss = min(o.loss, 0.2)
					o.delay = min(o.delay, time.Second)
				}

				w := newWorld(rapid.Int64().Draw(t, "seed"), o)
				for range int(time.Minute / step) {
					w.step()
				}

				for i := range o.crashers {
					lost[w.lost[fingerprint(i)]]++
					require.LessOrEqual(t, w.lost[fingerprint(i)], tt.most)
				}
			})

			t.Logf("requests by targets lost: %v", lost)
		})
	}
}

// One request among twelve crashes its target. The suspicion narrows from all twelve to it, with
// one more target lost, and all others are answered.
func TestSuspicionNarrows(t *testing.T) {
	w := newWorld(7, options{hosts: 3, targets: 6, crashers: 1, parallel: 1, innocents: 11, delay: 100 * time.Millisecond, parts: 1})

	for i, c := range w.callers {
		c.host = i % 3
		require.Equal(t, quarantine.Run, w.hosts[c.host].Begin(w.now, c.f, "t0").Action)
		w.run(c, "t0")
		c.end = w.now.Add(time.Second)
	}

	w.callers[0].end = w.now.Add(500 * time.Millisecond)

	most := 0

	for second := range 30 {
		for range int(time.Second / step) {
			w.step()
		}

		suspects, quarantined := count(w.hosts[0].Entries())
		most = max(most, suspects)
		t.Logf("%2d s: %2d suspects, %d quarantined", second+1, suspects, quarantined)
	}

	require.Equal(t, 12, most)
	require.Equal(t, 2, w.lost[fingerprint(0)])

	for _, h := range w.hosts {
		suspects, quarantined := count(h.Entries())
		require.Zero(t, suspects)
		require.Equal(t, 1, quarantined)
		require.Equal(t, quarantine.Refuse, h.Check(w.now, fingerprint(0)).Action)
		require.Equal(t, "not-run", h.Check(w.now, fingerprint(0)).Error().Verdict.String())
	}

	for _, c := range w.callers[1:] {
		require.Positive(t, c.answered)
	}
}

func count(entries []quarantine.Entry) (suspects, quarantined int) {
	for _, e := range entries {
		switch {
		case e.Quarantined():
			quarantined++
		case !e.Cleared:
			suspects++
		}
	}

	return suspects, quarantined
}

// two returns a table whose fingerprint 1 has lost two targets.
func two() *quarantine.Table {
	q := quarantine.New(quarantine.Options{Self: "h0"})
	view := quarantine.View{Hosts: []table.HostID{"h0"}, Candidates: []quarantine.Candidate{{Target: "t1"}}}

	q.Begin(epoch, fingerprint(1), "t0")
	q.Lost(epoch.Add(time.Second), "t0")
	q.Check(epoch.Add(time.Second), fingerprint(1))
	q.Trials(epoch.Add(time.Second), view)
	q.Lost(epoch.Add(2*time.Second), "t1")

	return q
}

func TestQuarantineEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(q *quarantine.Table) time.Time
		want quarantine.Action
	}{
		{"not before its time", func(*quarantine.Table) time.Time { return epoch.Add(59 * time.Minute) }, quarantine.Refuse},
		{"by time", func(*quarantine.Table) time.Time { return epoch.Add(61 * time.Minute) }, quarantine.Run},
		{"by operator", func(q *quarantine.Table) time.Time {
			at := epoch.Add(time.Minute)
			q.Release(at, fingerprint(1))

			return at
		}, quarantine.Run},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := two()
			now := tt.end(q)
			q.Tick(now)
			require.Equal(t, tt.want, q.Check(now, fingerprint(1)).Action)

			peer := quarantine.New(quarantine.Options{Self: "h1"})
			peer.Merge(epoch.Add(3*time.Second), "h0", two().Export("h1"))
			peer.Merge(now, "h0", q.Export("h1"))
			require.Equal(t, tt.want, peer.Check(now, fingerprint(1)).Action)
		})
	}
}

// A cut run waits until the target's fate is known; a target that was well leaves no suspicion.
func TestCutRunWaitsForTheTargetsFate(t *testing.T) {
	tests := []struct {
		name   string
		settle func(q *quarantine.Table, now time.Time)
		want   quarantine.Action
	}{
		{"unknown", func(*quarantine.Table, time.Time) {}, quarantine.Wait},
		{"alive", func(q *quarantine.Table, _ time.Time) { q.Alive("t0") }, quarantine.Run},
		{"lost", func(q *quarantine.Table, now time.Time) { q.Lost(now, "t0") }, quarantine.Wait},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := quarantine.New(quarantine.Options{Self: "h0"})
			now := epoch.Add(time.Second)
			q.Begin(epoch, fingerprint(1), "t0")
			q.Ended(now, fingerprint(1), "t0", quarantine.Cut)
			tt.settle(q, now)
			require.Equal(t, tt.want, q.Check(now, fingerprint(1)).Action)
		})
	}
}

// BenchmarkRun is what the table adds to one request: Begin and a whole end, with 1,000 entries
// under suspicion and 200 runs open.
func BenchmarkRun(b *testing.B) {
	q := quarantine.New(quarantine.Options{Self: "h0"})

	for i := range 1000 {
		q.Begin(epoch, fingerprint(i), "t0")
	}

	q.Lost(epoch.Add(time.Second), "t0")

	for i := range 200 {
		q.Begin(epoch, fingerprint(10_000+i), "t1")
	}

	f := fingerprint(20_000)

	b.ReportAllocs()
	b.ResetTimer()

	for range b.N {
		q.Begin(epoch, f, "t1")
		q.Ended(epoch, f, "t1", quarantine.Whole)
	}
}

// A host sends what it found itself and leaves the rest to its finder, but for hosts that know
// nothing yet and after the finder has fallen silent.
func TestWhoTellsWhom(t *testing.T) {
	a, b := quarantine.New(quarantine.Options{Self: "a"}), quarantine.New(quarantine.Options{Self: "b"})
	c := quarantine.New(quarantine.Options{Self: "c"})
	now := epoch.Add(time.Second)

	exchange := func(from *quarantine.Table, name table.HostID, to *quarantine.Table, toName table.HostID) int {
		d := from.Export(toName)
		to.Merge(now, name, d)

		return len(d.Entries)
	}

	// All know each other before the loss.
	for range 2 {
		exchange(a, "a", b, "b")
		exchange(b, "b", a, "a")
		exchange(b, "b", c, "c")
		exchange(c, "c", b, "b")
	}

	a.Begin(epoch, fingerprint(1), "t0")
	a.Lost(now, "t0")
	require.Equal(t, 1, exchange(a, "a", b, "b"))
	require.Equal(t, 1, exchange(a, "a", b, "b"), "until confirmed")
	require.Zero(t, exchange(b, "b", a, "a"))
	require.Zero(t, exchange(a, "a", b, "b"))
	require.Zero(t, exchange(b, "b", c, "c"))
	require.Equal(t, 1, exchange(b, "b", quarantine.New(quarantine.Options{Self: "new"}), "new"))

	now = now.Add(10 * time.Second)
	b.Tick(now)
	require.Equal(t, 1, exchange(b, "b", c, "c"))
	require.Equal(t, quarantine.Elsewhere, c.Check(now, fingerprint(1)).Action)
}

// BenchmarkSizes is the digest for a peer that knows all, and reports its bytes and those of the
// first one, which tells all, by the number of suspects.
func BenchmarkSizes(b *testing.B) {
	for _, n := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("suspects=%d", n), func(b *testing.B) {
			q, peer := quarantine.New(quarantine.Options{Self: "h0"}), quarantine.New(quarantine.Options{Self: "h1"})

			for i := range n {
				q.Begin(epoch, fingerprint(i), "t0")
			}

			q.Lost(epoch.Add(time.Second), "t0")

			size := func() int {
				data, err := json.Marshal(q.Export("h1"))
				require.NoError(b, err)

				return len(data)
			}

			first := size()

			peer.Merge(epoch.Add(time.Second), "h0", q.Export("h1"))
			q.Merge(epoch.Add(time.Second), "h1", peer.Export("h0"))

			later := 0

			for b.Loop() {
				later = size()
			}

			b.ReportMetric(float64(first), "first-B")
			b.ReportMetric(float64(later), "later-B")
		})
	}
}

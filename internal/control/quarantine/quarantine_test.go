package quarantine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/quarantine"
)

// TestAtMostTwoTargetsAreLostToOneRequest checks the bound on lost targets with any number of entry hosts, also
// with digests that are lost, late or out of order and with network partitions between the hosts.
func TestAtMostTwoTargetsAreLostToOneRequest(t *testing.T) {
	tests := []struct {
		name    string
		o       options
		maxLost int
	}{
		{"callers that wait for their answer", options{parallel: 1, partitions: 1}, 2},
		{"two callers at once", options{parallel: 2, partitions: 1}, 2},
		{"four callers at once", options{parallel: 4, partitions: 1}, 4},
		{"hosts in two partitions", options{parallel: 1, partitions: 2}, 2},
		{"hosts in three partitions", options{parallel: 1, partitions: 3}, 3},
		{"a host dies", options{parallel: 1, partitions: 1, kills: 1}, 3},
		{"two hosts die", options{parallel: 1, partitions: 1, kills: 2}, 4},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lost := map[int]int{}

			rapid.Check(t, func(t *rapid.T) {
				o := tt.o
				o.hosts = rapid.IntRange(max(1, o.partitions, o.kills+1), 6).Draw(t, "hosts")
				o.targets = rapid.IntRange(2, 10).Draw(t, "targets")
				o.crashers = rapid.IntRange(1, 2).Draw(t, "crashers")
				o.harmless = rapid.IntRange(0, 10).Draw(t, "harmless")
				o.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
				o.delay = time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond

				if o.partitions > 1 {
					// A host that misses most digests would count as one more partition.
					o.loss = min(o.loss, 0.2)
					o.delay = min(o.delay, time.Second)
				}

				w := newWorld(rapid.Int64().Draw(t, "seed"), o)
				for range int(time.Minute / step) {
					w.step()
				}

				for i := range o.crashers {
					lost[w.lost[fingerprint(i)]]++
					require.LessOrEqual(t, w.lost[fingerprint(i)], tt.maxLost)
				}
			})

			t.Logf("requests by targets lost: %v", lost)
		})
	}
}

// TestSuspicionNarrows runs twelve requests on a target, one of which crashes it. All twelve become suspects;
// their trials clear the other eleven, which are answered, and lose one more target to the one that crashes.
func TestSuspicionNarrows(t *testing.T) {
	w := newWorld(7, options{hosts: 3, targets: 6, crashers: 1, parallel: 1, harmless: 11, delay: 100 * time.Millisecond, partitions: 1})

	for i, c := range w.callers {
		c.host = i % 3
		require.Equal(t, quarantine.Run, w.hosts[c.host].Begin(w.now, c.f, "t0").Action)
		w.run(c, "t0")
		c.end = w.now.Add(time.Second)
	}

	w.callers[0].end = w.now.Add(500 * time.Millisecond)

	maxSuspects := 0

	for second := range 30 {
		for range int(time.Second / step) {
			w.step()
		}

		suspects, quarantined := count(w.hosts[0].Entries())
		maxSuspects = max(maxSuspects, suspects)
		t.Logf("%2d s: %2d suspects, %d quarantined", second+1, suspects, quarantined)
	}

	require.Equal(t, 12, maxSuspects)
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

// quarantinedTable returns a table whose fingerprint 1 has lost two targets.
func quarantinedTable() *quarantine.Table {
	q := quarantine.New(quarantine.Options{Self: "h0"})
	view := quarantine.View{Hosts: []entity.HostID{"h0"}, Candidates: []quarantine.Candidate{{Target: "t1"}}}

	q.Begin(epoch, fingerprint(1), "t0")
	q.TargetLost(epoch.Add(time.Second), "t0")
	q.Check(epoch.Add(time.Second), fingerprint(1))
	q.StartTrials(epoch.Add(time.Second), view)
	q.TargetLost(epoch.Add(2*time.Second), "t1")

	return q
}

func TestQuarantineEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(q *quarantine.Table) time.Time
		want quarantine.Action
	}{
		{"not before its term is over", func(*quarantine.Table) time.Time { return epoch.Add(59 * time.Minute) }, quarantine.Refuse},
		{"when its term is over", func(*quarantine.Table) time.Time { return epoch.Add(61 * time.Minute) }, quarantine.Run},
		{"released by an operator", func(q *quarantine.Table) time.Time {
			at := epoch.Add(time.Minute)
			q.Release(at, fingerprint(1))

			return at
		}, quarantine.Run},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := quarantinedTable()
			now := tt.end(q)
			q.Tick(now)
			require.Equal(t, tt.want, q.Check(now, fingerprint(1)).Action)

			peer := quarantine.New(quarantine.Options{Self: "h1"})
			peer.Merge(epoch.Add(3*time.Second), "h0", quarantinedTable().Export("h1"))
			peer.Merge(now, "h0", q.Export("h1"))
			require.Equal(t, tt.want, peer.Check(now, fingerprint(1)).Action)
		})
	}
}

// TestCutRunWaitsForReportOfItsTarget checks that a request waits after its target has broken off its run (a cut
// run) until the target is reported as alive, and then runs. If the target is lost, the request waits for a trial.
func TestCutRunWaitsForReportOfItsTarget(t *testing.T) {
	tests := []struct {
		name   string
		report func(q *quarantine.Table, now time.Time)
		want   quarantine.Action
	}{
		{"unknown", func(*quarantine.Table, time.Time) {}, quarantine.Wait},
		{"alive", func(q *quarantine.Table, _ time.Time) { q.TargetAlive("t0") }, quarantine.Run},
		{"lost", func(q *quarantine.Table, now time.Time) { q.TargetLost(now, "t0") }, quarantine.Wait},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := quarantine.New(quarantine.Options{Self: "h0"})
			now := epoch.Add(time.Second)
			q.Begin(epoch, fingerprint(1), "t0")
			q.RunEnded(now, fingerprint(1), "t0", quarantine.Cut)
			tt.report(q, now)
			require.Equal(t, tt.want, q.Check(now, fingerprint(1)).Action)
		})
	}
}

// BenchmarkRun measures what the table adds to one request that completes, with 1,000 suspects and 200
// other runs in flight.
func BenchmarkRun(b *testing.B) {
	q := quarantine.New(quarantine.Options{Self: "h0"})

	for i := range 1000 {
		q.Begin(epoch, fingerprint(i), "t0")
	}

	q.TargetLost(epoch.Add(time.Second), "t0")

	for i := range 200 {
		q.Begin(epoch, fingerprint(10_000+i), "t1")
	}

	f := fingerprint(20_000)

	b.ReportAllocs()
	b.ResetTimer()

	for range b.N {
		q.Begin(epoch, f, "t1")
		q.RunEnded(epoch, f, "t1", quarantine.Completed)
	}
}

// TestEntriesAreSentByTheHostThatFoundTheLoss checks that a host sends the entries of losses that it detected
// itself. It sends those of others only to hosts that have confirmed nothing yet, and to all once the host that
// detected the loss has fallen silent.
func TestEntriesAreSentByTheHostThatFoundTheLoss(t *testing.T) {
	a, b := quarantine.New(quarantine.Options{Self: "a"}), quarantine.New(quarantine.Options{Self: "b"})
	c := quarantine.New(quarantine.Options{Self: "c"})
	now := epoch.Add(time.Second)

	exchange := func(from *quarantine.Table, name entity.HostID, to *quarantine.Table, toName entity.HostID) int {
		d := from.Export(toName)
		to.Merge(now, name, d)

		return len(d.Entries)
	}

	// Each host has confirmed something to its partners before the loss.
	for range 2 {
		exchange(a, "a", b, "b")
		exchange(b, "b", a, "a")
		exchange(b, "b", c, "c")
		exchange(c, "c", b, "b")
	}

	a.Begin(epoch, fingerprint(1), "t0")
	a.TargetLost(now, "t0")
	require.Equal(t, 1, exchange(a, "a", b, "b"))
	require.Equal(t, 1, exchange(a, "a", b, "b"), "entries are sent until confirmed")
	require.Zero(t, exchange(b, "b", a, "a"))
	require.Zero(t, exchange(a, "a", b, "b"))
	require.Zero(t, exchange(b, "b", c, "c"))
	require.Equal(t, 1, exchange(b, "b", quarantine.New(quarantine.Options{Self: "new"}), "new"))

	now = now.Add(10 * time.Second)
	b.Tick(now)
	require.Equal(t, 1, exchange(b, "b", c, "c"))
	require.Equal(t, quarantine.Elsewhere, c.Check(now, fingerprint(1)).Action)
}

// BenchmarkSizes measures the export of a digest by the number of suspects. It reports the bytes of the
// first digest, which holds entries, and of one sent after the peer has confirmed all entries.
func BenchmarkSizes(b *testing.B) {
	for _, n := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("suspects=%d", n), func(b *testing.B) {
			q, peer := quarantine.New(quarantine.Options{Self: "h0"}), quarantine.New(quarantine.Options{Self: "h1"})

			for i := range n {
				q.Begin(epoch, fingerprint(i), "t0")
			}

			q.TargetLost(epoch.Add(time.Second), "t0")

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

func TestTrialAvoidsTargetThatWasLostWithItsSuspect(t *testing.T) {
	q := quarantine.New(quarantine.Options{Self: "h0"})
	view := quarantine.View{Hosts: []entity.HostID{"h0", "h1"}, Candidates: []quarantine.Candidate{{Target: "t0"}, {Target: "t1"}}}
	peer := quarantine.New(quarantine.Options{Self: "h1"})

	q.Begin(epoch, fingerprint(1), "t0")
	q.RunEnded(epoch, fingerprint(1), "t0", quarantine.Cut)

	now := epoch
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		q.Tick(now)
		require.Equal(t, quarantine.Wait, q.Check(now, fingerprint(1)).Action)

		if started := q.StartTrials(now, view); len(started) > 0 {
			require.Equal(t, []quarantine.Trial{{Fingerprint: fingerprint(1), Target: "t1"}}, started)

			return
		}

		peer.Merge(now, "h0", q.Export("h1"))
		q.Merge(now, "h1", peer.Export("h0"))
	}

	t.Fatal("no trial")
}

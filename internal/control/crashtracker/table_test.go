package crashtracker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

var epoch = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func alive(entity.TargetID) bool { return false }

// share gives the changes of from to to, which is in the same data centre unless remote is set.
func share(now time.Time, from, to *crashtracker.Table, remote bool) {
	var records []crashtracker.Record
	for _, c := range from.TakeChanges(now) {
		records = append(records, c.Record)
	}

	to.Merge(now, records, !remote)
}

func TestRequestIsRefusedEverywhereAfterThreeLostTargets(t *testing.T) {
	hosts := []*crashtracker.Table{crashtracker.New(), crashtracker.New(), crashtracker.New()}
	f := crashtracker.FingerprintOf("h", "/x", []byte("body"))

	require.NotEqual(t, f, crashtracker.FingerprintOf("h", "/x", []byte("other")))
	require.NotEqual(t, f, crashtracker.FingerprintOf("h", "/xbody", nil))

	for i, target := range []entity.TargetID{"a", "b", "c"} {
		for _, h := range hosts {
			_, refused := h.Refuses(epoch, f)
			require.False(t, refused)
		}

		hosts[i].RecordLoss(epoch, crashtracker.Loss{Request: f, Target: target})
		hosts[i].RecordLoss(epoch, crashtracker.Loss{Request: f, Target: target})

		changes := hosts[i].TakeChanges(epoch)
		require.Len(t, changes, 1)
		require.True(t, changes[0].Everywhere)

		for j, h := range hosts {
			if j != i {
				refused := h.Merge(epoch, []crashtracker.Record{changes[0].Record}, true)
				require.Len(t, refused, max(i-1, 0), "refused with the third loss")
				require.Empty(t, h.TakeChanges(epoch), "the peer tells the other hosts itself")
			}
		}
	}

	for _, h := range hosts {
		after, refused := h.Refuses(epoch, f)
		require.True(t, refused)
		require.Positive(t, after)

		later := epoch.Add(time.Hour)
		_, refused = h.Refuses(later, f)
		require.False(t, refused, "the refusal expires")

		h.Tick(later, nil, alive)
		require.Zero(t, h.Sum())
		require.Zero(t, h.Stats())
	}
}

func TestSameTargetCountsOnce(t *testing.T) {
	table := crashtracker.New()

	for range 5 {
		table.RecordLoss(epoch, crashtracker.Loss{Request: 1, Target: "a"})
	}

	require.Equal(t, 1, table.Losses(epoch, 1))
}

func TestSilentRunIsALossOnceItsTargetHasEnded(t *testing.T) {
	table := crashtracker.New()
	table.RecordSilence(epoch, crashtracker.Loss{Request: 1, Target: "ended"})
	table.RecordSilence(epoch, crashtracker.Loss{Request: 1, Target: "alive"})
	table.RecordSilence(epoch, crashtracker.Loss{Request: 1, Target: "ended-late"})

	table.Tick(epoch.Add(4*time.Second), nil, func(id entity.TargetID) bool { return id == "ended" })
	require.Equal(t, 1, table.Losses(epoch, 1))

	table.Tick(epoch.Add(11*time.Second), nil, alive)
	table.Tick(epoch.Add(12*time.Second), nil, func(id entity.TargetID) bool { return id == "ended-late" })
	require.Equal(t, 1, table.Losses(epoch, 1))
}

func TestSilentRunOnATargetThatLeavesIsALoss(t *testing.T) {
	ended := func(entity.TargetID) bool { return true }
	leaving := []entity.TargetID{"a"}

	for name, c := range map[string]struct {
		silentAt, leavingAt, endedAt time.Duration
		losses                       int
	}{
		"leaves after the silence":  {0, time.Second, 4 * time.Second, 0},
		"leaves before the silence": {8 * time.Second, time.Second, 9 * time.Second, 0},
		"ends before the silence":   {8 * time.Second, time.Second, 2 * time.Second, 0},
		"does not leave":            {0, -1, 4 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			table := crashtracker.New()

			for at := time.Duration(0); at < 20*time.Second; at += 500 * time.Millisecond {
				if at == c.silentAt {
					table.RecordSilence(epoch.Add(at), crashtracker.Loss{Request: 1, Target: "a"})
				}

				switch {
				case at >= c.endedAt:
					table.Tick(epoch.Add(at), nil, ended)
				case c.leavingAt >= 0 && at >= c.leavingAt:
					table.Tick(epoch.Add(at), leaving, alive)
				default:
					table.Tick(epoch.Add(at), nil, alive)
				}
			}

			require.Equal(t, c.losses, table.Losses(epoch.Add(20*time.Second), 1))
		})
	}
}

func TestLossFromAnotherDataCentreIsPassedOnWithinThisOne(t *testing.T) {
	remote, relay := crashtracker.New(), crashtracker.New()
	remote.RecordLoss(epoch, crashtracker.Loss{Request: 1, Target: "a"})
	share(epoch, remote, relay, true)

	changes := relay.TakeChanges(epoch)
	require.Len(t, changes, 1)
	require.False(t, changes[0].Everywhere)
	require.Equal(t, []entity.TargetID{"a"}, changes[0].Targets)
}

func TestRequestThatCompletesOnSomeTargetsIsNotRefused(t *testing.T) {
	a, b := crashtracker.New(), crashtracker.New()

	lose := func(table *crashtracker.Table, targets ...entity.TargetID) {
		for _, target := range targets {
			table.RecordLoss(epoch, crashtracker.Loss{Request: 1, Target: target})
		}
	}

	lose(a, "x", "y")
	share(epoch, a, b, false)
	b.RecordCompletion(epoch, 1)
	share(epoch, b, a, false)
	lose(a, "z")
	require.Equal(t, 1, a.Losses(epoch, 1), "the completion has cleared the losses before it")

	lose(a, "u", "v")

	_, refused := a.Refuses(epoch, 1)
	require.True(t, refused)

	share(epoch, a, b, false)

	_, refused = b.Refuses(epoch, 1)
	require.False(t, refused, "a host with a complete answer knows better")

	share(epoch, b, a, false)

	_, refused = a.Refuses(epoch, 1)
	require.False(t, refused)
	require.Equal(t, a.Sum(), b.Sum())
}

// A data centre that is cut off breaks off thousands of requests at once; they must not push out a request that crashes
// its targets.
func TestFullTableKeepsRequestsWithSeveralLosses(t *testing.T) {
	table := crashtracker.New()

	for _, target := range []entity.TargetID{"a", "b"} {
		table.RecordLoss(epoch, crashtracker.Loss{Request: 1, Target: target})
	}

	for i := range 10_000 {
		table.RecordLoss(epoch.Add(time.Duration(i)*time.Millisecond), crashtracker.Loss{Request: crashtracker.Fingerprint(i + 2), Target: "c"})
	}

	now := epoch.Add(10 * time.Second)
	require.Equal(t, 2, table.Losses(now, 1))
	require.Equal(t, 1, table.Losses(now, 10_001), "new requests are tracked")
	require.LessOrEqual(t, table.Stats().Suspects, int64(4096))
}

func TestExpiringRecordsDoNotReturnFromPeers(t *testing.T) {
	a, b := crashtracker.New(), crashtracker.New()
	a.RecordLoss(epoch, crashtracker.Loss{Request: 1, Target: "x"})

	end := epoch.Add(5 * time.Minute)
	b.Merge(epoch.Add(time.Second), a.Records(epoch), true) // b holds the record a second longer
	a.Tick(end, nil, alive)
	require.Zero(t, a.Sum())

	a.Merge(end, b.Records(end), true)
	require.Zero(t, a.Sum())
}

// TestTablesThatExchangeRecordsBecomeEqual lets tables see losses and completions and exchange some records in a random
// order. After each pair has exchanged all records, all have the same checksum and refuse the same requests.
func TestTablesThatExchangeRecordsBecomeEqual(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tables := make([]*crashtracker.Table, rapid.IntRange(2, 5).Draw(rt, "tables"))
		for i := range tables {
			tables[i] = crashtracker.New()
		}

		now := epoch
		table := rapid.IntRange(0, len(tables)-1)
		request := rapid.Uint64Range(1, 3)

		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(10 * time.Millisecond)
			a, b := tables[table.Draw(rt, "a")], tables[table.Draw(rt, "b")]
			f := crashtracker.Fingerprint(request.Draw(rt, "request"))

			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1, 2:
				target := entity.TargetID(fmt.Sprint(rapid.IntRange(1, 6).Draw(rt, "target")))
				a.RecordLoss(now, crashtracker.Loss{Request: f, Target: target})
			case 3:
				a.RecordCompletion(now, f)
			case 4:
				share(now, a, b, rapid.Bool().Draw(rt, "remote"))
			case 5:
				b.Merge(now, a.Records(now), true)
			}
		}

		for range tables { // a host that knows of a completion answers a peer's losses, which takes further rounds
			for _, a := range tables {
				for _, b := range tables {
					missing := b.Missing(now, a.Records(now))
					b.Merge(now, a.Records(now), true)
					a.Merge(now, missing, true)
				}
			}
		}

		for _, other := range tables[1:] {
			require.Equal(rt, tables[0].Sum(), other.Sum())
			require.Empty(rt, other.Missing(now, tables[0].Records(now)))

			for f := range crashtracker.Fingerprint(4) {
				_, want := tables[0].Refuses(now, f)
				_, got := other.Refuses(now, f)
				require.Equal(rt, want, got)
			}
		}
	})
}

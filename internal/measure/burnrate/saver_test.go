package burnrate_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/measure/burnrate"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const dataCentre = entity.DataCentre("dc")

func newSaver(host string, clock clockwork.Clock, store burnrate.Store) (*burnrate.Saver, *burnrate.Ledger) {
	l := &burnrate.Ledger{}
	o := burnrate.SaverOptions{Host: entity.HostID(host), DataCentre: dataCentre, Clock: clock}

	return burnrate.NewSaver(o, store, l), l
}

// countRequests returns the number of requests in the saved counts and in those pending at the given savers.
func countRequests(t *testing.T, now time.Time, store burnrate.Store, pending ...*burnrate.Saver) uint64 {
	t.Helper()

	l, missing := burnrate.LoadSaved(t.Context(), store, 0, []entity.DataCentre{dataCentre})
	require.Empty(t, missing)

	for _, s := range pending {
		l.Merge(s.Pending())
	}

	r := l.Report(now, burnrate.ReportOptions{})

	return r.Good + r.Bad
}

// Each count is saved exactly once, whichever platform fault interrupts the flushes of host a.
func TestSavedCountsArriveOnce(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
	}{
		{"well", standin.Faults{}},
		{"down", standin.Faults{Down: true}},
		{"answers lost after the write", standin.Faults{LoseAnswer: true}},
		{"writes late and answers lost", standin.Faults{LoseAnswer: true, LateWrite: 30 * time.Second}},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(epoch)
			store := standin.NewStore(clock)
			view := store.View()
			a, countsA := newSaver("a", clock, view)
			b, countsB := newSaver("b", clock, store.View())

			var want uint64

			for round := range 6 {
				for i := range 50 {
					k := burnrate.Key{Account: entity.AccountID(fmt.Sprint(i)), Kind: "k"}
					countsA.Record(clock.Now(), k, burnrate.Good)
					countsB.Record(clock.Now(), k, burnrate.Refused)

					want += 2
				}

				view.SetFaults(standin.Faults{})

				if round%2 == 1 {
					view.SetFaults(tt.faults)
				}

				_ = a.Flush(t.Context())

				require.NoError(t, b.Flush(t.Context()))
				clock.Advance(time.Minute)
			}

			view.SetFaults(standin.Faults{})
			require.NoError(t, a.Flush(t.Context()))
			clock.Advance(time.Minute)
			require.NoError(t, a.Flush(t.Context()))
			require.Equal(t, want, countRequests(t, clock.Now(), store.View()))
			require.Zero(t, a.Pending().Len())
		})
	}
}

// A host that is killed loses only the counts since its last flush, and a host that is stopped loses
// none. Each shard costs at most one read and one write of the platform per interval.
func TestRestartLosesAtMostOneInterval(t *testing.T) {
	const (
		interval = 5 * time.Minute
		shards   = 8
	)

	clock := clockwork.NewFakeClockAt(epoch)
	store := standin.NewStore(clock)
	view := store.View()
	s, counts := newSaver("a", clock, view)
	ctx, stop := context.WithCancel(t.Context())

	go s.Run(ctx)

	recorded := uint64(0)
	flushes := 0

	for second := range 1400 {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		counts.Record(clock.Now(), burnrate.Key{Account: entity.AccountID(fmt.Sprint(second % 40)), Kind: "k"}, burnrate.Good)

		recorded++

		clock.Advance(time.Second)

		if (second+1)%int(interval/time.Second) == 0 {
			flushes++
			require.Eventually(t, func() bool { return s.Pending().Len() == 0 }, 5*time.Second, time.Millisecond)
		}
	}

	savedCount := countRequests(t, clock.Now(), store.View())
	require.LessOrEqual(t, recorded-savedCount, uint64(interval/time.Second))
	require.Equal(t, recorded, countRequests(t, clock.Now(), store.View(), s))
	require.LessOrEqual(t, view.Calls().Puts, flushes*shards)
	require.LessOrEqual(t, view.Calls().Gets, flushes*shards)

	stop()
	<-s.Done()
	require.Equal(t, recorded, countRequests(t, clock.Now(), store.View()))
}

// source is a live host. With a nil saver it does not answer.
type source struct {
	host  entity.HostID
	saver *burnrate.Saver
}

func (s source) Host() entity.HostID { return s.host }

func (s source) Pending(context.Context) (*burnrate.Ledger, error) {
	if s.saver == nil {
		return nil, burnrate.Error.New("silent")
	}

	return s.saver.Pending(), nil
}

// A report contains the saved counts and the unsaved counts of the live hosts, and lists the data centres
// and hosts whose counts are missing.
func TestGather(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	store := standin.NewStore(clock)
	a, countsA := newSaver("a", clock, store.View())
	b, countsB := newSaver("b", clock, store.View())

	countsA.Record(epoch, gradeKey, burnrate.Good)
	require.NoError(t, a.Flush(t.Context()))
	countsA.Record(epoch, gradeKey, burnrate.Late)
	countsB.Record(epoch, gradeKey, burnrate.Good)

	view := store.View()
	o := burnrate.GatherOptions{
		Store: view, DataCentres: []entity.DataCentre{dataCentre},
		Sources: []burnrate.Source{source{"a", a}, source{"b", b}, source{"c", nil}},
	}

	tests := []struct {
		name      string
		down      bool
		good, bad uint64
		missing   []entity.DataCentre
	}{
		{"platform well", false, 2, 1, nil},
		{"platform down", true, 1, 1, []entity.DataCentre{dataCentre}},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			view.SetFaults(standin.Faults{Down: tt.down})

			r := burnrate.Gather(t.Context(), epoch, o)
			require.Equal(t, []uint64{tt.good, tt.bad}, []uint64{r.Good, r.Bad})
			require.Equal(t, tt.missing, r.Missing)
			require.Equal(t, []entity.HostID{"c"}, r.Silent)
			require.Equal(t, 2, r.Hosts)
		})
	}
}

// With designAccounts accounts, and counts in every bucket of three days, the objects of a data centre
// stay under half of the platform's limit on values.
func TestObjectSizeAtDesignScale(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	store := standin.NewStore(clock)
	counts := &burnrate.Ledger{}
	s := burnrate.NewSaver(burnrate.SaverOptions{DataCentre: dataCentre, Shards: 1, Clock: clock}, store.View(), counts)

	// One of the default eight shards holds an eighth of the accounts.
	recordRandom(counts, designAccounts/8, timesInAllBuckets(epoch))
	require.NoError(t, s.Flush(t.Context()))

	o, err := store.View().Get(t.Context(), burnrate.ShardKey(dataCentre, 0))
	require.NoError(t, err)
	t.Logf("%d bytes", len(o.Value))
	require.Less(t, len(o.Value), platform.MaxValueBytes/2)
	require.NotEmpty(t, o.Value)
}

// Decode must not panic on any data, and a ledger that it returns must be usable.
func FuzzDecode(f *testing.F) {
	var l burnrate.Ledger

	l.Record(epoch, gradeKey, burnrate.Late)

	data, err := l.Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte("not a ledger"))

	f.Fuzz(func(_ *testing.T, data []byte) {
		l, err := burnrate.Decode(data)
		if err == nil {
			l.Report(epoch, burnrate.ReportOptions{})
		}
	})
}

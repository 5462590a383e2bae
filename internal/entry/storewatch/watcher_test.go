package storewatch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
)

// scriptedSource answers the n-th List or Watch by calling list or watch with n, which starts at 1. A watch without changes
// waits for its whole time.
type scriptedSource struct {
	lists   int
	watches []uint64 // requested revisions
	list    func(n int) ([]storewatch.Entry, uint64, error)
	watch   func(n int, revision uint64) ([]storewatch.Change, uint64, error)
}

func (s *scriptedSource) List(context.Context, string) ([]storewatch.Entry, uint64, error) {
	s.lists++

	return s.list(s.lists)
}

func (s *scriptedSource) Watch(ctx context.Context, _ string, revision uint64, wait time.Duration) ([]storewatch.Change, uint64, error) {
	s.watches = append(s.watches, revision)

	changes, next, err := s.watch(len(s.watches), revision)
	if err == nil && len(changes) == 0 {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(wait):
		}
	}

	return changes, next, err
}

// recordingSink records the calls of its methods.
type recordingSink struct {
	revision  uint64 // result of Revision
	replaced  [][]storewatch.Entry
	changed   []storewatch.Change
	confirmed int             // calls of Confirmed
	lost      int             // calls of Unavailable
	outages   []time.Duration // arguments of Returned
}

func (s *recordingSink) Replaced(_ time.Time, entries []storewatch.Entry, _ uint64) {
	s.replaced = append(s.replaced, entries)
}

func (s *recordingSink) Changed(_ time.Time, changes []storewatch.Change, _ uint64) {
	s.changed = append(s.changed, changes...)
}

func (s *recordingSink) Revision() uint64 { return s.revision }

func (s *recordingSink) Confirmed(time.Time) { s.confirmed++ }

func (s *recordingSink) Returned(_ time.Time, outage time.Duration) {
	s.outages = append(s.outages, outage)
}

func (s *recordingSink) Unavailable(time.Time, error) { s.lost++ }

var (
	errReset = errors.New("connection reset")
	oneEntry = []storewatch.Entry{{Name: "main", Revision: 3, Value: []byte("1")}}
)

// runWatch lists and watches src for d of virtual time and returns the sink.
func runWatch(t *testing.T, src *scriptedSource, d time.Duration) *recordingSink {
	t.Helper()

	out := new(recordingSink)
	runWatchInto(t, src, out, d)

	return out
}

// runWatchInto lists and watches src for d of virtual time.
func runWatchInto(t *testing.T, src *scriptedSource, out *recordingSink, d time.Duration) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := storewatch.Start(ctx, storewatch.Options{Source: src, Sink: out, Kind: "config", Log: &log.Logger{Level: log.PanicLevel}})

		time.Sleep(d)
		cancel()
		<-w.Done()
	})
}

// A watch that starts while the store does not deliver changes may miss some, so the list is read again after the watch
// fails.
func TestListIsReadAgainAfterACutWatch(t *testing.T) {
	src := &scriptedSource{
		list: func(n int) ([]storewatch.Entry, uint64, error) { return oneEntry, uint64(10 * n), nil },
		watch: func(n int, revision uint64) ([]storewatch.Change, uint64, error) {
			if n == 1 {
				return nil, 0, errReset
			}

			return nil, revision, nil
		},
	}
	out := runWatch(t, src, 2*time.Second)

	require.Equal(t, 2, src.lists)
	require.Equal(t, []uint64{10, 20}, src.watches)
	require.Len(t, out.replaced, 2)
	require.Equal(t, 1, out.lost)
}

// An empty answer does not advance the revision. If the store dropped changes that the watch did not deliver, the next
// watch therefore fails and the list is read again.
func TestSilentWatchGoesOnFromTheLastChange(t *testing.T) {
	src := &scriptedSource{
		list: func(int) ([]storewatch.Entry, uint64, error) { return oneEntry, 10, nil },
		watch: func(n int, _ uint64) ([]storewatch.Change, uint64, error) {
			switch n {
			case 1:
				return nil, 50, nil
			case 2:
				return nil, 0, storewatch.ErrCompacted
			default:
				return nil, 10, nil
			}
		},
	}
	runWatch(t, src, 29*time.Second)

	require.Equal(t, []uint64{10, 10, 10}, src.watches)
	require.Equal(t, 2, src.lists)
}

func TestChangesInQuickSuccessionAreBatched(t *testing.T) {
	src := &scriptedSource{
		list: func(int) ([]storewatch.Entry, uint64, error) { return nil, 10, nil },
		watch: func(_ int, revision uint64) ([]storewatch.Change, uint64, error) {
			return []storewatch.Change{{Entry: storewatch.Entry{Name: "a", Revision: revision + 1}}}, revision + 1, nil
		},
	}
	out := runWatch(t, src, 10*time.Second)

	require.LessOrEqual(t, len(src.watches), 26, "at most one call each 400 ms")
	require.Greater(t, len(out.changed), 20)
}

func TestUnavailableStoreIsRetriedAboutOnceASecond(t *testing.T) {
	src := &scriptedSource{
		list:  func(int) ([]storewatch.Entry, uint64, error) { return nil, 0, errReset },
		watch: func(int, uint64) ([]storewatch.Change, uint64, error) { return nil, 0, errReset },
	}
	out := runWatch(t, src, 20*time.Second)

	require.Greater(t, src.lists, 15)
	require.Less(t, src.lists, 50)
	require.Equal(t, src.lists, out.lost)
	require.Empty(t, src.watches)
}

// timeoutError is the error of a call without an answer.
type timeoutError struct{ error }

func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

func TestOnlyAStoreThatFailedACallOfItsOwnWasAway(t *testing.T) {
	for name, tt := range map[string]struct {
		watchError error
		failing    int // lists that fail after the watch
		outages    int
		from, to   time.Duration // bounds on the outage
	}{
		"a cut watch":                        {errReset, 0, 0, 0, 0},
		"a silent watch":                     {timeoutError{errReset}, 0, 0, 0, 0},
		"a cut watch, then failing lists":    {errReset, 3, 1, 750 * time.Millisecond, 1500 * time.Millisecond},
		"a silent watch, then failing lists": {timeoutError{errReset}, 3, 1, 5750 * time.Millisecond, 6500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			src := &scriptedSource{
				list: func(n int) ([]storewatch.Entry, uint64, error) {
					if n > 1 && n <= 1+tt.failing {
						return nil, 0, errReset
					}

					return oneEntry, 10, nil
				},
				watch: func(n int, revision uint64) ([]storewatch.Change, uint64, error) {
					if n == 1 {
						time.Sleep(5 * time.Second)

						return nil, 0, tt.watchError
					}

					return nil, revision, nil
				},
			}
			out := runWatch(t, src, 10*time.Second)

			require.Len(t, out.outages, tt.outages)

			for _, outage := range out.outages {
				require.GreaterOrEqual(t, outage, tt.from)
				require.LessOrEqual(t, outage, tt.to)
			}
		})
	}
}

func TestListOlderThanAPeersCopyIsReadAgain(t *testing.T) {
	out := &recordingSink{revision: 5}
	src := &scriptedSource{
		list: func(n int) ([]storewatch.Entry, uint64, error) {
			if n == 1 {
				out.revision = 12 // a copy was taken from a peer during the call
			}

			return oneEntry, uint64(9 + n), nil
		},
		watch: func(_ int, revision uint64) ([]storewatch.Change, uint64, error) { return nil, revision, nil },
	}
	runWatchInto(t, src, out, time.Second)

	require.Equal(t, 2, src.lists)
	require.Len(t, out.replaced, 1)
	require.Equal(t, []uint64{11}, src.watches, "the second list holds, whatever its revision")
}

func TestRefreshReplacesASilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &scriptedSource{
			list: func(n int) ([]storewatch.Entry, uint64, error) { return oneEntry, uint64(10 * n), nil },
			watch: func(n int, revision uint64) ([]storewatch.Change, uint64, error) {
				return nil, revision, nil
			},
		}
		out := new(recordingSink)
		ctx, cancel := context.WithCancel(t.Context())
		w := storewatch.Start(ctx, storewatch.Options{Source: src, Sink: out, Kind: "config", Log: &log.Logger{Level: log.PanicLevel}})

		time.Sleep(time.Second)
		require.True(t, w.Watching().Active())

		began := time.Now()
		w.Refresh()
		synctest.Wait()
		require.Equal(t, 2, src.lists)
		require.Equal(t, began, w.Watching().Since)
		require.Zero(t, out.lost, "a watch that was ended on purpose is no failure")

		cancel()
		<-w.Done()
		require.False(t, w.Watching().Active())
	})
}

func TestListIsReadInPlaceOfAWatchBeyondTheHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &scriptedSource{
			list:  func(n int) ([]storewatch.Entry, uint64, error) { return oneEntry, uint64(10 * n), nil },
			watch: func(_ int, revision uint64) ([]storewatch.Change, uint64, error) { return nil, revision, nil },
		}
		ctx, cancel := context.WithCancel(t.Context())
		w := storewatch.Start(ctx, storewatch.Options{
			Source: src, Sink: new(recordingSink), Kind: "config", Log: &log.Logger{Level: log.PanicLevel}, History: 20 * time.Second,
		})

		time.Sleep(55 * time.Second)
		cancel()
		<-w.Done()
		require.Equal(t, []uint64{10, 10, 20, 20}, src.watches)
	})
}

// A host that leaves reading the store to others after a call of its own has failed would keep targets that were removed meanwhile.
func TestTimeInWhichOthersReadTheStoreIsNoOutage(t *testing.T) {
	const failed, paused = 2 * time.Second, 50 * time.Second

	var (
		out = new(recordingSink)
		src = &scriptedSource{watch: func(int, uint64) ([]storewatch.Change, uint64, error) { return nil, 0, nil }}
	)

	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		src.list = func(int) ([]storewatch.Entry, uint64, error) {
			if time.Since(began) < failed {
				return nil, 0, errReset
			}

			return oneEntry, 3, nil
		}

		ctx, cancel := context.WithCancel(t.Context())
		w := storewatch.Start(ctx, storewatch.Options{
			Source: src, Sink: out, Kind: "config", Log: &log.Logger{Level: log.PanicLevel},
			Paused: func() bool { return time.Since(began) >= failed/2 && time.Since(began) < paused },
		})

		time.Sleep(paused + failed)
		cancel()
		<-w.Done()
	})

	require.Len(t, out.outages, 1)
	require.Less(t, out.outages[0], time.Second, "the store answered the first call after the pause")
}

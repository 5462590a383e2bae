package follow_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/follow"
)

// source answers calls from a script.
type source struct {
	lists   int
	watches []uint64 // revisions asked for
	list    func(n int) ([]follow.Entry, uint64, error)
	watch   func(n int, revision uint64) ([]follow.Change, uint64, error)
}

func (s *source) List(context.Context, string) ([]follow.Entry, uint64, error) {
	s.lists++

	return s.list(s.lists)
}

func (s *source) Watch(ctx context.Context, _ string, revision uint64, wait time.Duration) ([]follow.Change, uint64, error) {
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

type sink struct {
	replaced [][]follow.Entry
	changed  []follow.Change
	lost     int
}

func (s *sink) Replaced(_ time.Time, entries []follow.Entry, _ uint64) {
	s.replaced = append(s.replaced, entries)
}

func (s *sink) Changed(_ time.Time, changes []follow.Change, _ uint64) {
	s.changed = append(s.changed, changes...)
}

func (s *sink) Lost(time.Time, error) { s.lost++ }

var (
	errCut  = errors.New("connection reset")
	onlyOne = []follow.Entry{{Name: "main", Revision: 3, Value: []byte("1")}}
)

// follows runs a Follower for d of virtual time.
func follows(t *testing.T, src *source, d time.Duration) *sink {
	t.Helper()

	out := new(sink)

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := follow.Start(ctx, follow.Options{Source: src, Sink: out, Kind: "config", Log: &log.Logger{Level: log.PanicLevel}})

		time.Sleep(d)
		cancel()
		<-f.Done()
	})

	return out
}

// A watch that is set up while the store is deaf waits for nothing, so the state is read again after a cut.
func TestListIsReadAgainAfterACutWatch(t *testing.T) {
	src := &source{
		list: func(n int) ([]follow.Entry, uint64, error) { return onlyOne, uint64(10 * n), nil },
		watch: func(n int, revision uint64) ([]follow.Change, uint64, error) {
			if n == 1 {
				return nil, 0, errCut
			}

			return nil, revision, nil
		},
	}
	out := follows(t, src, 2*time.Second)

	require.Equal(t, 2, src.lists)
	require.Equal(t, []uint64{10, 20}, src.watches)
	require.Len(t, out.replaced, 2)
	require.Equal(t, 1, out.lost)
}

// An empty answer does not move the revision on: changes that were not heard before the store dropped them
// show as history that is gone.
func TestSilentWatchGoesOnFromTheLastChange(t *testing.T) {
	src := &source{
		list: func(int) ([]follow.Entry, uint64, error) { return onlyOne, 10, nil },
		watch: func(n int, _ uint64) ([]follow.Change, uint64, error) {
			switch n {
			case 1:
				return nil, 50, nil
			case 2:
				return nil, 0, follow.ErrGone
			default:
				return nil, 10, nil
			}
		},
	}
	follows(t, src, 29*time.Second)

	require.Equal(t, []uint64{10, 10, 10}, src.watches)
	require.Equal(t, 2, src.lists)
}

func TestChangesThatComeInSeriesAreGathered(t *testing.T) {
	src := &source{
		list: func(int) ([]follow.Entry, uint64, error) { return nil, 10, nil },
		watch: func(_ int, revision uint64) ([]follow.Change, uint64, error) {
			return []follow.Change{{Entry: follow.Entry{Name: "a", Revision: revision + 1}}}, revision + 1, nil
		},
	}
	out := follows(t, src, 10*time.Second)

	require.LessOrEqual(t, len(src.watches), 26, "at most one call each 400 ms")
	require.Greater(t, len(out.changed), 20)
}

func TestStoreThatIsAwayIsAskedAboutOnceASecond(t *testing.T) {
	src := &source{
		list:  func(int) ([]follow.Entry, uint64, error) { return nil, 0, errCut },
		watch: func(int, uint64) ([]follow.Change, uint64, error) { return nil, 0, errCut },
	}
	out := follows(t, src, 20*time.Second)

	require.Greater(t, src.lists, 15)
	require.Less(t, src.lists, 50)
	require.Equal(t, src.lists, out.lost)
	require.Empty(t, src.watches)
}

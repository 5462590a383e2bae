package peersync_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/peersync"
)

// fakeState records each import as "peer:copy".
type fakeState struct {
	mu       sync.Mutex
	behind   bool
	imported []string
}

func (s *fakeState) Position() (version, revision uint64) { return 3, 4 }

func (s *fakeState) Behind(uint64, uint64) bool { return s.behind }

func (s *fakeState) copies() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]string(nil), s.imported...)
}

func (s *fakeState) Import(_ time.Time, encoded []byte, from string) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.imported = append(s.imported, from+":"+string(encoded))

	return nil
}

func TestOneFetchAtATimeFromAnAcceptedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeState{behind: true}
		syncer := peersync.New(peersync.Options{
			Log: &log.Logger{Level: log.PanicLevel}, State: s,
			AcceptFrom: func(dc entity.DataCentre) bool { return dc == "x" },
			Fetch: func(_ context.Context, from entity.HostID, version, revision uint64) ([]byte, error) {
				require.Equal(t, [2]uint64{3, 4}, [2]uint64{version, revision})
				time.Sleep(100 * time.Millisecond)

				if from == "bad" {
					return nil, errors.New("gone")
				}

				return []byte("copy"), nil
			},
		})

		syncer.OnHeartbeat("a", "y", 1, 1)
		syncer.OnHeartbeat("a", "x", 1, 1)
		syncer.OnHeartbeat("b", "x", 1, 1)
		time.Sleep(time.Second)
		require.Equal(t, []string{"a:copy"}, s.copies())

		syncer.OnHeartbeat("bad", "x", 1, 1)
		time.Sleep(time.Second)
		syncer.OnHeartbeat("b", "x", 1, 1)
		time.Sleep(time.Second)
		require.Equal(t, []string{"a:copy", "b:copy"}, s.copies())

		s.behind = false

		syncer.OnHeartbeat("b", "x", 1, 1)
		time.Sleep(time.Second)
		require.Len(t, s.copies(), 2)
	})
}

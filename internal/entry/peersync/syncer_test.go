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

func (s *fakeState) Behind(uint64, uint64) peersync.Lag { return peersync.Lag{Targets: s.behind} }

func (s *fakeState) copies() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]string(nil), s.imported...)
}

func (s *fakeState) Import(_ time.Time, encoded []byte, from string) (peersync.Lag, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.imported = append(s.imported, from+":"+string(encoded))

	return peersync.Lag{Targets: true}, nil
}

func TestOneFetchAtATimeFromAnAcceptedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeState{behind: true}
		syncer := peersync.New(peersync.Options{
			Log: &log.Logger{Level: log.PanicLevel}, State: s,
			Accept: func(_ time.Time, c peersync.Claim) bool { return c.DataCentre == "x" },
			Fetch: func(_ context.Context, from entity.HostID, version, revision uint64) ([]byte, error) {
				require.Equal(t, [2]uint64{3, 4}, [2]uint64{version, revision})
				time.Sleep(100 * time.Millisecond)

				if from == "bad" {
					return nil, errors.New("gone")
				}

				return []byte("copy"), nil
			},
		})

		syncer.OnHeartbeat("a", "y", 1, 1, 0)
		syncer.OnHeartbeat("a", "x", 1, 1, 0)
		syncer.OnHeartbeat("b", "x", 1, 1, 0)
		time.Sleep(time.Second)
		require.Equal(t, []string{"a:copy"}, s.copies())

		syncer.OnHeartbeat("bad", "x", 1, 1, 0)
		time.Sleep(time.Second)
		syncer.OnHeartbeat("b", "x", 1, 1, 0)
		time.Sleep(time.Second)
		require.Equal(t, []string{"a:copy", "b:copy"}, s.copies())

		s.behind = false

		syncer.OnHeartbeat("b", "x", 1, 1, 0)
		time.Sleep(time.Second)
		require.Len(t, s.copies(), 2)
	})
}

func TestClaimIsConsideredAgainWhileItHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var accepted, imported []peersync.Claim

		s := &fakeState{behind: true}
		syncer := peersync.New(peersync.Options{
			Log: &log.Logger{Level: log.PanicLevel}, State: s,
			Accept: func(now time.Time, c peersync.Claim) bool {
				if now.Sub(c.Since) < time.Second {
					return false
				}

				accepted = append(accepted, c)

				return true
			},
			Fetch:    func(context.Context, entity.HostID, uint64, uint64) ([]byte, error) { return []byte("copy"), nil },
			OnImport: func(c peersync.Claim, _ peersync.Lag) { imported = append(imported, c) },
		})

		tick := func(d time.Duration) {
			for range d / (100 * time.Millisecond) {
				syncer.Tick(time.Now())
				synctest.Wait()
				time.Sleep(100 * time.Millisecond)
			}
		}

		syncer.OnHeartbeat("a", "x", 1, 1, 0)
		tick(900 * time.Millisecond)
		require.Empty(t, accepted)

		syncer.OnHeartbeat("a", "x", 1, 1, 0)
		tick(200 * time.Millisecond)
		require.Len(t, imported, 1, "counted from the first heartbeat")
		require.Equal(t, peersync.Lag{Targets: true}, imported[0].Lag)

		s.behind = false

		tick(time.Second)
		require.Len(t, imported, 1)

		s.behind = true

		syncer.OnHeartbeat("b", "x", 1, 1, 0)
		tick(10 * time.Second)

		last := accepted[len(accepted)-1]
		require.Equal(t, entity.HostID("b"), last.From)
		require.Less(t, len(accepted), 60, "a peer that is silent is no longer ahead")
	})
}

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
	"github.com/dotterelflow/dotterelflow/internal/entry/copies"
	"github.com/dotterelflow/dotterelflow/internal/entry/peersync"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// fakeState records each import as "peer:copy".
type fakeState struct {
	mu       sync.Mutex
	behind   bool
	version  uint64
	imported []string
}

func (s *fakeState) Position() (version, revision uint64) { return 3, 4 }

func (s *fakeState) Behind(version, _ uint64) peersync.Lag {
	s.mu.Lock()
	defer s.mu.Unlock()

	return peersync.Lag{Configuration: version > max(s.version, 1), Targets: s.behind}
}

func (s *fakeState) setBehind(behind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.behind = behind
}

// Adopt implements peersync.State for configurations that are their versions.
func (s *fakeState) Adopt(value []byte, _ string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.version = uint64(len(value))

	return true
}

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
			FetchPart: func(_ context.Context, from entity.HostID, r *peer.FetchPartRequest) (*peer.Part, error) {
				require.True(t, r.GetTargets())
				require.EqualValues(t, 4, r.GetKnown())
				time.Sleep(100 * time.Millisecond)

				if from == "bad" {
					return nil, errors.New("gone")
				}

				return copies.WholePart([]byte("copy")), nil
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

		s.setBehind(false)

		syncer.OnHeartbeat("b", "x", 1, 1, 0)
		time.Sleep(time.Second)
		require.Len(t, s.copies(), 2)
	})
}

func TestConfigurationIsFetchedFromTheKnownVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked []uint64

		s := &fakeState{}
		syncer := peersync.New(peersync.Options{
			Log: &log.Logger{Level: log.PanicLevel}, State: s, Accept: func(time.Time, peersync.Claim) bool { return true },
			FetchPart: func(_ context.Context, _ entity.HostID, r *peer.FetchPartRequest) (*peer.Part, error) {
				require.False(t, r.GetTargets())

				asked = append(asked, r.GetKnown())

				return copies.WholePart([]byte("five!")), nil
			},
		})

		syncer.OnHeartbeat("a", "x", 5, 4, 0)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []uint64{3}, asked)
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
			FetchPart: func(context.Context, entity.HostID, *peer.FetchPartRequest) (*peer.Part, error) {
				return copies.WholePart([]byte("copy")), nil
			},
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

		s.setBehind(false)

		tick(time.Second)
		require.Len(t, imported, 1)

		s.setBehind(true)

		syncer.OnHeartbeat("b", "x", 1, 1, 0)
		tick(10 * time.Second)

		last := accepted[len(accepted)-1]
		require.Equal(t, entity.HostID("b"), last.From)
		require.Less(t, len(accepted), 60, "a peer that is silent is no longer ahead")
	})
}

func TestTargetsAreFetchedWhileAConfigurationIsOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeState{behind: true}
		syncer := peersync.New(peersync.Options{
			Log: &log.Logger{Level: log.PanicLevel}, State: s, Accept: func(time.Time, peersync.Claim) bool { return true },
			FetchPart: func(ctx context.Context, _ entity.HostID, r *peer.FetchPartRequest) (*peer.Part, error) {
				if r.GetTargets() {
					return copies.WholePart([]byte("targets")), nil
				}

				<-ctx.Done()

				return nil, ctx.Err()
			},
		})

		syncer.OnHeartbeat("a", "x", 5, 1, 0)
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, []string{"a:targets"}, s.copies())
		s.setBehind(false)
		time.Sleep(2 * time.Second)
	})
}

func TestFetchGoesOnAtAnotherPeerAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		configuration := make([]byte, 100)
		whole := copies.WholePart(configuration)
		asked := map[entity.HostID]int{}
		s := &fakeState{}
		syncer := peersync.New(peersync.Options{
			Log: &log.Logger{Level: log.PanicLevel}, State: s, Accept: func(time.Time, peersync.Claim) bool { return true },
			FetchPart: func(ctx context.Context, from entity.HostID, r *peer.FetchPartRequest) (*peer.Part, error) {
				asked[from]++

				if from == "silent" && r.GetOffset() > 0 {
					<-ctx.Done()

					return nil, ctx.Err()
				}

				end := min(r.GetOffset()+40, whole.GetSize())

				return &peer.Part{Copy: whole.GetCopy(), Size: whole.GetSize(), Offset: r.GetOffset(), Data: configuration[r.GetOffset():end]}, nil
			},
		})

		syncer.OnHeartbeat("silent", "x", 100, 0, 0)
		syncer.OnHeartbeat("sound", "x", 100, 0, 0)
		time.Sleep(600 * time.Millisecond)
		syncer.Tick(time.Now())
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, map[entity.HostID]int{"silent": 2, "sound": 2}, asked, "what has arrived is not fetched again")
		require.EqualValues(t, 100, s.version)
	})
}

package roster_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/roster"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

type store struct {
	mu          sync.Mutex
	objects     map[string]platform.Object
	version     platform.Version
	unavailable bool
	calls       int
}

func (s *store) call() error {
	s.calls++

	if s.unavailable {
		return platform.ErrUnavailable
	}

	return nil
}

func (s *store) Get(_ context.Context, key platform.Key) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.objects[string(key)], s.call()
}

func (s *store) Put(_ context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if err := s.call(); err != nil {
		return 0, err
	}

	if s.objects[string(key)].Version != expect {
		return 0, platform.ErrConflict
	}

	s.version++
	s.objects[string(key)] = platform.Object{Key: key, Version: s.version, Value: value}

	return s.version, nil
}

func (s *store) Delete(_ context.Context, key platform.Key, expect platform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.objects[string(key)].Version != expect {
		return platform.ErrConflict
	}

	delete(s.objects, string(key))

	return s.call()
}

func (s *store) List(_ context.Context, kind string) ([]storewatch.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	var entries []storewatch.Entry
	for key, o := range s.objects {
		entries = append(entries, storewatch.Entry{Name: strings.TrimPrefix(key, kind+"/"), Revision: uint64(o.Version), Value: o.Value})
	}

	return entries, 0, s.call()
}

type peers struct {
	mu         sync.Mutex
	alone      bool
	live       map[string]bool // live peers by address
	introduced map[string]bool
}

func (p *peers) Introduce(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, a := range addresses {
		p.introduced[a] = true
	}
}

func (p *peers) Alone() bool { return p.alone }

func (p *peers) IsLive(address string) bool { return p.live[address] }

func newStore(t *testing.T) *store {
	t.Helper()

	s := &store{objects: map[string]platform.Object{}}

	for name, address := range map[string]string{"old": "10.0.0.9:1", "live": "10.0.0.2:1"} {
		value, err := json.Marshal(map[string]string{"address": address})
		require.NoError(t, err)

		_, err = s.Put(t.Context(), platform.Key(roster.Kind+"/"+name), 0, value)
		require.NoError(t, err)
	}

	_, err := s.Put(t.Context(), platform.Key(roster.Kind+"/foreign"), 0, []byte(`[]`))
	require.NoError(t, err)

	return s
}

// runRoster runs a Roster for d of virtual time.
func runRoster(t *testing.T, s *store, p *peers, d time.Duration) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := roster.Start(ctx, roster.Options{
			Log: &log.Logger{Level: log.PanicLevel}, Store: s, Peers: p, Name: "self", Address: "10.0.0.1:1",
		})

		time.Sleep(d)
		cancel()
		<-r.Done()
	})
}

func TestHostPublishesItsAddressOnceAndFindsOthers(t *testing.T) {
	s := newStore(t)
	p := &peers{live: map[string]bool{"10.0.0.2:1": true}, introduced: map[string]bool{}}

	runRoster(t, s, p, 5*time.Minute)
	require.Equal(t, map[string]bool{"10.0.0.2:1": true, "10.0.0.9:1": true}, p.introduced)
	require.Contains(t, string(s.objects[roster.Kind+"/self"].Value), "10.0.0.1:1")

	before := s.calls

	runRoster(t, s, p, time.Minute)
	require.LessOrEqual(t, s.calls-before, 2, "after a restart the host reads its entry and does not write it")
}

func TestEntryOfASilentHostIsRemoved(t *testing.T) {
	s := newStore(t)
	p := &peers{live: map[string]bool{"10.0.0.2:1": true}, introduced: map[string]bool{}}

	runRoster(t, s, p, 9*time.Minute)
	require.Contains(t, s.objects, roster.Kind+"/old")

	runRoster(t, s, p, 25*time.Minute)
	require.NotContains(t, s.objects, roster.Kind+"/old")
	require.Contains(t, s.objects, roster.Kind+"/live")
	require.Contains(t, s.objects, roster.Kind+"/self")
}

func TestHostWithoutPeersRemovesNothingAndListsOften(t *testing.T) {
	s := newStore(t)
	p := &peers{alone: true, introduced: map[string]bool{}}

	runRoster(t, s, p, 30*time.Minute)
	require.Contains(t, s.objects, roster.Kind+"/old")
	require.Greater(t, s.calls, 300)
}

func TestUnavailableStoreIsRetried(t *testing.T) {
	s := newStore(t)
	s.unavailable = true

	runRoster(t, s, &peers{alone: true, introduced: map[string]bool{}}, 10*time.Second)
	require.NotContains(t, s.objects, roster.Kind+"/self")
	require.Greater(t, s.calls, 5)
}

package platform

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// watchBuffer is the number of events that a watch may fall behind before it is closed.
const watchBuffer = 256

// Store keeps objects in memory. It is safe for concurrent use.
type Store struct {
	clock clockwork.Clock

	mu       sync.Mutex
	revision platform.Version
	objects  map[platform.Key]platform.Object
	hosts    map[string]platform.Host
	watches  map[*watch]struct{}
}

type watch struct {
	view   *View
	prefix string
	events chan platform.Object
}

// NewStore returns an empty Store that reads the time from clock.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{
		clock:   clock,
		objects: map[platform.Key]platform.Object{},
		hosts:   map[string]platform.Host{},
		watches: map[*watch]struct{}{},
	}
}

// SetHost puts a host into the host list; views list it once their lag has passed.
func (s *Store) SetHost(address string, state platform.HostState) {
	s.SetHostIn("", address, state)
}

// SetHostIn is SetHost for a host whose data centre is told.
func (s *Store) SetHostIn(dc, address string, state platform.HostState) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.hosts[address] = platform.Host{Address: address, DataCentre: dc, State: state, Since: s.clock.Now()}
}

// announce lists a host as live unless it is listed already.
func (s *Store) announce(dc, address string) {
	s.mu.Lock()
	_, known := s.hosts[address]
	s.mu.Unlock()

	if !known {
		s.SetHostIn(dc, address, platform.HostLive)
	}
}

func (s *Store) get(key platform.Key) platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()

	o, ok := s.objects[key]
	if !ok {
		return platform.Object{Key: key}
	}

	o.Value = slices.Clone(o.Value)

	return o
}

func (s *Store) put(key platform.Key, expect platform.Version, value []byte) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.objects[key].Version != expect {
		return 0, platform.ErrConflict
	}

	s.revision++
	o := platform.Object{Key: key, Version: s.revision, Value: slices.Clone(value)}
	s.objects[key] = o
	s.notify(o)

	return o.Version, nil
}

func (s *Store) remove(key platform.Key, expect platform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.objects[key].Version != expect {
		return platform.ErrConflict
	}

	if expect == 0 {
		return nil
	}

	s.revision++
	delete(s.objects, key)
	s.notify(platform.Object{Key: key})

	return nil
}

// notify passes o to the watches on it; the caller holds mu.
func (s *Store) notify(o platform.Object) {
	for w := range s.watches {
		if !strings.HasPrefix(string(o.Key), w.prefix) || w.view.silent() {
			continue
		}

		select {
		case w.events <- o:
		default:
			s.drop(w)
		}
	}
}

// drop closes w; the caller holds mu.
func (s *Store) drop(w *watch) {
	if _, ok := s.watches[w]; !ok {
		return
	}

	delete(s.watches, w)
	close(w.events)
}

func (s *Store) list(prefix string) []platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()

	var found []platform.Object

	for key, o := range s.objects {
		if strings.HasPrefix(string(key), prefix) {
			o.Value = slices.Clone(o.Value)
			found = append(found, o)
		}
	}

	slices.SortFunc(found, func(a, b platform.Object) int {
		return strings.Compare(string(a.Key), string(b.Key))
	})

	return found
}

func (s *Store) listHosts(lag time.Duration) []platform.Host {
	s.mu.Lock()
	defer s.mu.Unlock()

	var found []platform.Host

	for _, h := range s.hosts {
		if s.clock.Since(h.Since) >= lag {
			found = append(found, h)
		}
	}

	slices.SortFunc(found, func(a, b platform.Host) int {
		return strings.Compare(a.Address, b.Address)
	})

	return found
}

package platform

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// watchBuffer is the number of undelivered events beyond which a watch is closed.
const watchBuffer = 256

// Store keeps objects and a host list in memory. It is safe for concurrent use.
type Store struct {
	clock clockwork.Clock

	mu       sync.Mutex
	revision platform.Version // version of the last write
	objects  map[platform.Key]platform.Object
	hosts    map[string]platform.Host
	watches  map[*watch]struct{}
}

type watch struct {
	view   *View
	prefix string
	events chan platform.Object
}

// NewStore returns an empty Store that uses clock for delays and the age of host entries.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{
		clock:   clock,
		objects: map[platform.Key]platform.Object{},
		hosts:   map[string]platform.Host{},
		watches: map[*watch]struct{}{},
	}
}

// SetHost sets the state of the host at address, without a data centre, in the host list. A View shows the entry
// once it is as old as the View's Faults.HostLag.
func (s *Store) SetHost(address string, state platform.HostState) {
	s.SetHostIn("", address, state)
}

// SetHostIn is SetHost for a host in the data centre dc.
func (s *Store) SetHostIn(dc, address string, state platform.HostState) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.hosts[address] = platform.Host{Address: address, DataCentre: dc, State: state, Since: s.clock.Now()}
}

// addHost adds a host to the host list as live unless it is listed.
func (s *Store) addHost(dc, address string) {
	s.mu.Lock()
	_, listed := s.hosts[address]
	s.mu.Unlock()

	if !listed {
		s.SetHostIn(dc, address, platform.HostLive)
	}
}

// get returns a copy of the object at key, with Version zero if there is none.
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

// put writes value at key. It fails with platform.ErrConflict unless the object's version is expect.
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

// remove deletes the object at key. It fails with platform.ErrConflict unless the object's version is expect.
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

// notify sends o to the watches whose prefix matches and whose view does not withhold events. It closes a watch whose
// buffer is full. The caller holds mu.
func (s *Store) notify(o platform.Object) {
	for w := range s.watches {
		if !strings.HasPrefix(string(o.Key), w.prefix) || w.view.withholdsEvents() {
			continue
		}

		select {
		case w.events <- o:
		default:
			s.closeWatch(w)
		}
	}
}

// closeWatch removes w and closes its channel, unless that has been done. The caller holds mu.
func (s *Store) closeWatch(w *watch) {
	if _, ok := s.watches[w]; !ok {
		return
	}

	delete(s.watches, w)
	close(w.events)
}

// list returns copies of the objects whose keys start with prefix, ordered by key.
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

// listHosts returns the hosts whose entries have not changed for at least lag, ordered by address.
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

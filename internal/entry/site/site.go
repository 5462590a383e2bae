// Package site holds what an entry host believes of its deployment: the configuration in force and the
// targets. It follows the platform's store and publishes immutable snapshots.
package site

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/entry/follow"
)

// Options say how a Site decodes what it reads. The decoders are required.
type Options struct {
	Clock         clockwork.Clock // nil means the real clock
	Log           *log.Logger     // nil means the default logger
	ConfigName    string          // object of the configuration
	DecodeCatalog func(value []byte) (*catalog.Catalog, error)
	DecodeTarget  func(e follow.Entry) (fleet.Target, error)
}

// Site is safe for concurrent use. Make it with New.
type Site struct {
	opts    Options
	catalog atomic.Pointer[catalog.Catalog]
	fleet   atomic.Pointer[fleet.Snapshot]

	mu            sync.Mutex
	view          *fleet.View
	bad           map[string]uint64 // revisions of entries that could not be decoded, logged once
	configuration []byte            // in force, as it was read
	entries       map[string]entry  // of targets, by name
	gone          []ended           // entries that ended lately, in order
	sum           uint64            // of all entries, whatever their order
	whole         bool              // a peer's changes were not enough
	revision      uint64            // of the store, at the last change of a target
	shown         uint64            // revision that peers are told: they must not take an end for true that is not certain here
	lost          bool              // the store does not answer about targets
}

// New returns a Site that knows nothing yet.
func New(opts Options) *Site {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	return &Site{opts: opts, view: fleet.New(), bad: map[string]uint64{}, entries: map[string]entry{}}
}

// Catalog returns the configuration in force, or nil before the first one.
func (s *Site) Catalog() *catalog.Catalog { return s.catalog.Load() }

// Fleet returns the targets, or nil before the first list.
func (s *Site) Fleet() *fleet.Snapshot { return s.fleet.Load() }

// Ready reports whether the host knows enough to serve.
func (s *Site) Ready() bool { return s.Catalog() != nil && s.Fleet() != nil }

// Version returns the version of the configuration in force; zero before the first one.
func (s *Site) Version() catalog.Version {
	if c := s.Catalog(); c != nil {
		return c.Version
	}

	return 0
}

// Limits returns the limits in force; the zero value before the first configuration.
func (s *Site) Limits() catalog.Limits {
	if c := s.Catalog(); c != nil {
		return c.Limits
	}

	return catalog.Limits{}
}

// Adopt takes a configuration if it is newer than the one in force.
func (s *Site) Adopt(value []byte, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	c, err := s.opts.DecodeCatalog(value)
	if err != nil {
		s.opts.Log.Error().Str("from", from).Err(err).Msg("configuration not understood; the one in force stays")

		return
	}

	old := s.catalog.Load()
	if old != nil && c.Version <= old.Version {
		return
	}

	s.catalog.Store(c)
	s.configuration = value
	s.opts.Log.Info().Uint64("configuration", uint64(c.Version)).Str("from", from).Msg("configuration in force")
}

// Tick publishes changes that come with time.
func (s *Site) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.view.Tick(now)
	s.publish()
}

// publish makes a changed view known; the caller holds mu.
func (s *Site) publish() {
	if !s.view.Holding() {
		s.shown = s.revision
	}

	if list, changed := s.view.Take(); changed {
		s.fleet.Store(fleet.NewSnapshot(list))
	}
}

// Configurations returns the sink for the store's configurations.
func (s *Site) Configurations() follow.Sink { return configurations{s} }

// Targets returns the sink for the store's list of replicas.
func (s *Site) Targets() follow.Sink { return targets{s} }

type configurations struct{ *Site }

func (c configurations) Replaced(_ time.Time, entries []follow.Entry, _ uint64) {
	for _, e := range entries {
		c.take(e)
	}
}

func (c configurations) Changed(_ time.Time, changes []follow.Change, _ uint64) {
	for _, ch := range changes {
		if !ch.Deleted {
			c.take(ch.Entry)
		}
	}
}

func (c configurations) take(e follow.Entry) {
	if e.Name == c.opts.ConfigName {
		c.Adopt(e.Value, "store")
	}
}

func (configurations) Lost(time.Time, error) {}

type targets struct{ *Site }

func (t targets) Replaced(now time.Time, entries []follow.Entry, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.lost = false
	list := t.takeAll(entries, revision)
	t.view.Answered(now)
	t.view.Replace(now, list)

	if t.fleet.Load() == nil && len(list) == 0 {
		t.fleet.Store(fleet.NewSnapshot(nil))
	}

	t.publish()
}

func (t targets) Changed(now time.Time, changes []follow.Change, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.lost = false
	t.view.Answered(now)

	for _, ch := range changes {
		if ch.Deleted {
			t.drop(ch.Name, revision)
			t.view.Remove(now, ch.Name)
		} else if target, ok := t.take(ch.Entry, revision); ok {
			t.view.Set(target)
		} else {
			t.view.Remove(now, ch.Name)
		}
	}

	t.publish()
}

func (t targets) Lost(time.Time, error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.lost = true
	t.view.Lost()
}

// decode returns the target of e. An entry that names none is logged once; the caller holds mu.
func (s *Site) decode(e follow.Entry) (fleet.Target, bool) {
	target, err := s.opts.DecodeTarget(e)
	if err == nil {
		delete(s.bad, e.Name)

		return target, true
	}

	if s.bad[e.Name] != e.Revision {
		s.bad[e.Name] = e.Revision
		s.opts.Log.Warn().Str("entry", e.Name).Err(err).Msg("entry names no target")
	}

	return fleet.Target{}, false
}

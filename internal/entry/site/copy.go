package site

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/entry/follow"
)

// Error is the class of this package's errors.
var Error = errs.Class("site")

// Copy is what a host has read from the store, in the store's own form, for peers that cannot reach it.
type Copy struct {
	Configuration []byte            `json:"configuration,omitempty"`
	Revision      uint64            `json:"revision"` // of the store, up to which Targets are known
	Targets       map[string][]byte `json:"targets,omitempty"`
}

// Revision returns the revision of the store up to which this host knows the targets for certain; zero for none.
func (s *Site) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.shown
}

// Behind reports whether a peer that knows version and revision can tell this host more.
func (s *Site) Behind(version, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	known := uint64(0)
	if c := s.catalog.Load(); c != nil {
		known = uint64(c.Version)
	}

	return revision > s.copied.Revision || version > known
}

// Answered reports whether the store answers this host: its last call about targets succeeded.
func (s *Site) Answered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !s.lost && s.fleet.Load() != nil
}

// Export returns the encoded Copy of this host.
func (s *Site) Export() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	c := s.copied
	c.Revision = s.shown
	encoded, err := json.Marshal(c)

	return encoded, Error.Wrap(err)
}

// Import takes the encoded Copy of the peer from, as far as it is newer. Entries that are missing there count
// as gone, since the peer has read their end from the store.
func (s *Site) Import(now time.Time, encoded []byte, from string) error {
	var c Copy

	if err := json.Unmarshal(encoded, &c); err != nil {
		return Error.Wrap(err)
	}

	if len(c.Configuration) > 0 {
		s.Adopt(c.Configuration, from)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if c.Revision <= s.copied.Revision {
		return nil
	}

	list := make([]fleet.Target, 0, len(c.Targets))

	for name, value := range c.Targets {
		if target, ok := (targets{s}).decode(follow.Entry{Name: name, Revision: c.Revision, Value: value}); ok {
			list = append(list, target)
		}
	}

	s.view.Replace(now, list)
	s.copied.Revision, s.copied.Targets = c.Revision, c.Targets

	if s.copied.Targets == nil {
		s.copied.Targets = map[string][]byte{}
	}

	s.publish()

	if s.fleet.Load() == nil {
		s.fleet.Store(fleet.NewSnapshot(nil))
	}

	s.opts.Log.Info().Str("from", from).Uint64("revision", c.Revision).Int("targets", len(list)).Msg("targets taken from a peer")

	return nil
}

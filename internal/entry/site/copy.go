package site

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/entry/follow"
)

// Error is the class of this package's errors.
var Error = errs.Class("site")

// maxGone bounds the ends of targets that are remembered for peers; a peer that has missed more needs a whole copy.
const maxGone = 1024

// Copy is what a host has read from the store, in the store's own form, for peers that leave the store to it or
// cannot reach it.
type Copy struct {
	Configuration []byte            `json:"configuration,omitempty"` // only if newer than the peer's
	Since         uint64            `json:"since,omitempty"`         // Targets and Gone are changes after this revision; zero: Targets are all
	Revision      uint64            `json:"revision"`                // of the store, up to which the targets are known
	Targets       map[string][]byte `json:"targets,omitempty"`
	Gone          []string          `json:"gone,omitempty"`
	Sum           *uint64           `json:"sum,omitempty"` // of all targets at Revision; nil: not known
}

// entry is a target as it was read. An entry that is written again without a change to the target keeps its revision.
type entry struct {
	value    []byte
	target   fleet.Target // the zero value for an entry that names none
	revision uint64       // of the store, at which the target was found changed
	hash     uint64       // of its name and target
}

// ended is an entry that has ended.
type ended struct {
	entry

	name string
}

// take notes an entry of the store that was read at revision; the caller holds mu. It reports whether it names a target.
func (s *Site) take(e follow.Entry, revision uint64) (fleet.Target, bool) {
	target, ok := s.decode(e)
	old, known := s.entries[e.Name]

	if !known || old.target != target {
		s.sum ^= old.hash
		old = entry{target: target, revision: revision, hash: hashOf(e.Name, target)}
		s.sum ^= old.hash
		s.revision = max(s.revision, revision)
	}

	old.value = e.Value
	s.entries[e.Name] = old

	return target, ok
}

// drop notes at revision that an entry has ended; the caller holds mu. The entry need not be known here: a peer may
// have read it between two reads of this host.
func (s *Site) drop(name string, revision uint64) {
	old := s.entries[name]
	s.sum ^= old.hash
	delete(s.entries, name)

	old.revision = revision
	s.gone = append(s.gone, ended{entry: old, name: name})
	s.revision = max(s.revision, revision)

	if over := len(s.gone) - maxGone; over > 0 {
		s.gone = slices.Delete(s.gone, 0, over)
	}
}

// hashOf returns a hash of an entry, as far as it matters to a host.
func hashOf(name string, target fleet.Target) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %+v", name, target))
}

// takeAll notes all entries of the store as they were read at revision, and returns the targets; the caller holds mu.
// Which entries came and went since the last read is not known, so a list is news for peers.
func (s *Site) takeAll(entries []follow.Entry, revision uint64) []fleet.Target {
	list := make([]fleet.Target, 0, len(entries))
	read := make(map[string]bool, len(entries))

	for _, e := range entries {
		read[e.Name] = true

		if target, ok := s.take(e, cmp.Or(e.Revision, revision)); ok {
			list = append(list, target)
		}
	}

	for name := range s.entries {
		if !read[name] {
			s.drop(name, revision)
		}
	}

	s.revision = max(s.revision, revision)

	return list
}

// Revision returns the revision of the store up to which this host knows the targets for certain; zero for none.
// Entries that were written again without a change to their targets do not count.
func (s *Site) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.shown
}

// Known returns what this host knows, for a peer that is asked for the rest.
func (s *Site) Known() (version, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.whole {
		return uint64(s.Version()), 0
	}

	return uint64(s.Version()), s.revision
}

// Behind reports whether a peer that knows version and revision can tell this host more.
func (s *Site) Behind(version, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return revision > s.revision || version > uint64(s.Version())
}

// Answered reports whether the store answers this host: its last call about targets succeeded.
func (s *Site) Answered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !s.lost && s.fleet.Load() != nil
}

// Export returns the encoded Copy for a peer that knows version and revision; zero for nothing.
func (s *Site) Export(version, revision uint64) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	c := Copy{Since: revision, Revision: s.shown, Targets: map[string][]byte{}}
	if uint64(s.Version()) > version {
		c.Configuration = s.configuration
	}

	if s.shown == s.revision {
		sum := s.sum
		c.Sum = &sum
	}

	for name, e := range s.entries {
		if e.revision > c.Since {
			c.Targets[name] = e.value
		}
	}

	for _, e := range s.gone {
		switch _, again := s.entries[e.name]; {
		case again:
		case e.revision > s.shown:
			if len(e.value) > 0 {
				c.Targets[e.name] = e.value // its end is not certain yet
			}
		case c.Since > 0 && e.revision > c.Since:
			c.Gone = append(c.Gone, e.name)
		}
	}

	encoded, err := json.Marshal(c)

	return encoded, Error.Wrap(err)
}

// Import takes the encoded Copy of the peer from, as far as it is newer. Entries that are missing in a whole copy
// count as gone, since the peer has read their end from the store. Changes that do not lead to the targets that the
// peer knows are not taken; the next fetch then asks for a whole copy.
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

	if c.Revision <= s.revision || c.Since > s.revision {
		return nil
	}

	if c.Since > 0 && c.Sum != nil && *c.Sum != s.sumAfter(c) {
		s.whole = true
		s.opts.Log.Info().Str("from", from).Uint64("revision", c.Revision).Msg("changes from a peer are not enough; all targets are fetched")

		return nil
	}

	if c.Since == 0 {
		entries := make([]follow.Entry, 0, len(c.Targets))
		for name, value := range c.Targets {
			entries = append(entries, follow.Entry{Name: name, Revision: c.Revision, Value: value})
		}

		s.view.Replace(now, s.takeAll(entries, c.Revision))
	} else {
		s.change(now, c)
	}

	s.revision = c.Revision
	s.whole = false
	s.publish()

	if s.fleet.Load() == nil {
		s.fleet.Store(fleet.NewSnapshot(nil))
	}

	s.opts.Log.Info().Str("from", from).Uint64("since", c.Since).Uint64("revision", c.Revision).Int("targets", len(c.Targets)).
		Int("gone", len(c.Gone)).Msg("targets taken from a peer")

	return nil
}

// sumAfter returns what the sum would be after the changes that c tells; the caller holds mu.
func (s *Site) sumAfter(c Copy) uint64 {
	sum := s.sum

	for _, name := range c.Gone {
		sum ^= s.entries[name].hash
	}

	for name, value := range c.Targets {
		target, _ := s.decode(follow.Entry{Name: name, Revision: c.Revision, Value: value})
		sum ^= s.entries[name].hash ^ hashOf(name, target)
	}

	return sum
}

// change takes the changes that c tells; the caller holds mu.
func (s *Site) change(now time.Time, c Copy) {
	for _, name := range c.Gone {
		s.drop(name, c.Revision)
		s.view.Remove(now, name)
	}

	for name, value := range c.Targets {
		if target, ok := s.take(follow.Entry{Name: name, Revision: c.Revision, Value: value}, c.Revision); ok {
			s.view.Set(target)
		} else {
			s.view.Remove(now, name)
		}

		// The peer says that it changed, if only to what it was before.
		e := s.entries[name]
		e.revision = c.Revision
		s.entries[name] = e
	}
}

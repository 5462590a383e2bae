package deployment

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/entry/peersync"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
)

// Error is the class of this package's errors.
var Error = errs.Class("site")

// maxRemoved limits the removed entries that are kept for delta copies. A peer that missed more removals needs a full
// copy.
const maxRemoved = 1024

// Copy carries the state that a host has read from the store to a peer that does not read the store itself or cannot
// reach it. Configuration and targets are encoded as in the store. A copy is full or a delta; see Since.
type Copy struct {
	Configuration []byte            `json:"configuration,omitempty"` // encoded; empty unless newer than the receiver's
	Since         uint64            `json:"since,omitempty"`         // store revision after which a delta holds the changes; zero: Targets is the full list
	Revision      uint64            `json:"revision"`                // store revision that the sender's targets reflect
	Targets       map[string][]byte `json:"targets,omitempty"`       // encoded targets by entry name
	Removed       []string          `json:"gone,omitempty"`          // names of removed entries; only in a delta
	Checksum      *uint64           `json:"sum,omitempty"`           // checksum of all targets at Revision; nil: unknown
}

// entry is a target's entry in the store. A write that leaves the decoded target unchanged, such as a renewal, does not
// change revision.
type entry struct {
	value    []byte
	target   fleet.Target // zero value if the entry cannot be decoded
	revision uint64       // store revision at which the target last changed
	hash     uint64       // hash of the name and the target
}

// removedEntry is an entry that was removed from the store. entry.revision is the store revision of the removal.
type removedEntry struct {
	entry

	name string
}

// setEntry records an entry that was read from the store at revision. It returns the decoded target and whether decoding
// succeeded. The caller holds mu.
func (s *State) setEntry(e storewatch.Entry, revision uint64) (fleet.Target, bool) {
	target, ok := s.decodeTarget(e)
	old, known := s.entries[e.Name]

	if !known || old.target != target {
		s.checksum ^= old.hash
		old = entry{target: target, revision: revision, hash: hashEntry(e.Name, target)}
		s.checksum ^= old.hash
		s.revision = max(s.revision, revision)
	}

	old.value = e.Value
	s.entries[e.Name] = old

	return target, ok
}

// removeEntry records that the entry was removed from the store at revision or before. The removal is recorded even
// if this host never saw the entry, since a peer may have read the entry between two reads of this host. The caller
// holds mu.
func (s *State) removeEntry(name string, revision uint64) {
	old := s.entries[name]
	s.checksum ^= old.hash
	delete(s.entries, name)

	old.revision = revision
	s.removed = append(s.removed, removedEntry{entry: old, name: name})
	s.revision = max(s.revision, revision)

	if over := len(s.removed) - maxRemoved; over > 0 {
		s.removed = slices.Delete(s.removed, 0, over)
	}
}

// hashedTarget holds the fields of a target that hashEntry covers. Hosts compare hashes, so a new field of fleet.Target is
// left out here: hosts of the build before do not know it.
type hashedTarget struct {
	ID         entity.TargetID
	Instance   string
	Service    entity.ServiceName
	Address    string
	DataCentre entity.DataCentre
	Slots      int
	Leaving    bool
	Role       entity.Role
}

// hashEntry returns the hash of an entry's name and decoded target. Other parts of the stored value do not count.
func hashEntry(name string, t fleet.Target) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %+v", name, hashedTarget{
		ID: t.ID, Instance: t.Instance, Service: t.Service, Address: t.Address, DataCentre: t.DataCentre, Slots: t.Slots,
		Leaving: t.Leaving, Role: t.Role,
	}))
}

// replaceEntries replaces all entries by a list that was read at revision, and returns the decoded targets. Entries may
// have been added and removed again since the last read, so a list always advances the revision. The caller holds mu.
func (s *State) replaceEntries(entries []storewatch.Entry, revision uint64) []fleet.Target {
	list := make([]fleet.Target, 0, len(entries))
	read := make(map[string]bool, len(entries))

	for _, e := range entries {
		read[e.Name] = true

		if target, ok := s.setEntry(e, cmp.Or(e.Revision, revision)); ok {
			list = append(list, target)
		}
	}

	for name := range s.entries {
		if !read[name] {
			s.removeEntry(name, revision)
		}
	}

	s.revision = revision

	return list
}

// ConfirmedRevision returns the store revision that this host advertises to its peers, or zero before the first list. It
// does not advance while the removal of a target is unconfirmed, nor for a watched write that leaves the target
// unchanged.
func (s *State) ConfirmedRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.confirmedRevision
}

// Position returns the configuration version and the store revision from which a peer should export to this host. The
// revision is zero if a full copy is needed.
func (s *State) Position() (version, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.needFullCopy {
		return uint64(s.Version()), 0
	}

	return uint64(s.Version()), s.revision
}

// Behind reports in what a peer with the given configuration version and store revision is ahead of this host.
func (s *State) Behind(version, revision uint64) peersync.Lag {
	s.mu.Lock()
	defer s.mu.Unlock()

	return peersync.Lag{Configuration: version > uint64(s.Version()), Targets: revision > s.revision}
}

// ConfirmedByPeer records what a peer reported at now: its configuration version and the store revision of its targets, and
// how long ago the peer last knew each of them to be current. Negative ages mean unknown.
func (s *State) ConfirmedByPeer(now time.Time, version, revision uint64, configurationAge, targetsAge time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if version == uint64(s.Version()) {
		s.configurationAsOf = latest(s.configurationAsOf, now, configurationAge)
	}

	if revision == s.revision {
		s.targetsAsOf = latest(s.targetsAsOf, now, targetsAge)
	}
}

// latest returns the later of asOf and the time age before now, or asOf if age is negative.
func latest(asOf, now time.Time, age time.Duration) time.Time {
	if at := now.Add(-age); age >= 0 && at.After(asOf) {
		return at
	}

	return asOf
}

// StoreReachable reports whether this host has a list of targets, from the store or a peer, and its last call to the
// store about targets, if any, did not fail.
func (s *State) StoreReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !s.storeLost && s.fleet.Load() != nil
}

// Export returns the encoded copy for a peer that has the configuration version and the store revision. A zero version
// stands for no configuration; a zero revision requests a full copy.
func (s *State) Export(version, revision uint64) ([]byte, error) {
	encoded, err := json.Marshal(s.copySince(version, revision))

	return encoded, Error.Wrap(err)
}

// Source is a copies.Source: it returns what copies of the targets or of the configuration are made of.
func (s *State) Source(targets bool, known uint64) (number uint64, encode func() ([]byte, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	version, configuration := uint64(s.Version()), s.configuration

	switch {
	case targets && s.confirmedRevision > known:
		return s.confirmedRevision, func() ([]byte, error) { return s.Export(math.MaxUint64, known) }
	case !targets && version > known:
		return version, func() ([]byte, error) { return configuration, nil }
	}

	return 0, nil
}

// copySince returns the copy that Export encodes.
func (s *State) copySince(version, revision uint64) Copy {
	s.mu.Lock()
	defer s.mu.Unlock()

	c := Copy{Since: revision, Revision: s.confirmedRevision, Targets: map[string][]byte{}}
	if uint64(s.Version()) > version {
		c.Configuration = s.configuration
	}

	if s.confirmedRevision == s.revision {
		sum := s.checksum
		c.Checksum = &sum
	}

	for name, e := range s.entries {
		if e.revision > c.Since {
			c.Targets[name] = e.value
		}
	}

	for _, e := range s.removed {
		switch _, readded := s.entries[e.name]; {
		case readded:
		case e.revision > s.confirmedRevision:
			if len(e.value) > 0 {
				c.Targets[e.name] = e.value // the removal is not confirmed yet
			}
		case c.Since > 0 && e.revision > c.Since:
			c.Removed = append(c.Removed, e.name)
		}
	}

	return c
}

// ConfigurationIn returns the encoded configuration in an encoded copy, or nil if it has none.
func ConfigurationIn(encoded []byte) ([]byte, error) {
	var c Copy

	err := json.Unmarshal(encoded, &c)

	return c.Configuration, Error.Wrap(err)
}

// Import applies an encoded copy from the peer named from. The configuration and the targets are each ignored unless newer
// than this host's, and so is a delta from a revision that this host has not reached. Entries that are missing in a full
// copy are removed, since the peer read the list from the store. A delta whose result does not match the peer's checksum is
// discarded, and the next fetch requests a full copy. Import returns what the copy has changed. It fails only if the copy
// cannot be decoded.
func (s *State) Import(now time.Time, encoded []byte, from string) (changed peersync.Lag, err error) {
	var c Copy

	if err := json.Unmarshal(encoded, &c); err != nil {
		return changed, Error.Wrap(err)
	}

	if len(c.Configuration) > 0 {
		changed.Configuration = s.Adopt(c.Configuration, from)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if c.Revision <= s.revision || c.Since > s.revision {
		return changed, nil
	}

	before := s.checksum

	if c.Since > 0 && c.Checksum != nil && *c.Checksum != s.checksumAfter(c) {
		s.needFullCopy = true
		s.opts.Log.Info().Str("from", from).Uint64("revision", c.Revision).Msg("changes from a peer are not enough; all targets are fetched")

		return changed, nil
	}

	if c.Since == 0 {
		entries := make([]storewatch.Entry, 0, len(c.Targets))
		for name, value := range c.Targets {
			entries = append(entries, storewatch.Entry{Name: name, Revision: c.Revision, Value: value})
		}

		s.view.Replace(now, s.replaceEntries(entries, c.Revision))
	} else {
		s.applyChanges(now, c)
	}

	s.revision = c.Revision
	s.needFullCopy = false
	s.publish(now, from)

	if s.fleet.Load() == nil {
		s.fleet.Store(fleet.NewSnapshot(nil))
	}

	s.opts.Log.Info().Str("from", from).Uint64("since", c.Since).Uint64("revision", c.Revision).Int("targets", len(c.Targets)).
		Int("gone", len(c.Removed)).Msg("targets taken from a peer")

	changed.Targets = s.checksum != before

	return changed, nil
}

// checksumAfter returns the checksum of all entries as it would be after the delta c. The caller holds mu.
func (s *State) checksumAfter(c Copy) uint64 {
	sum := s.checksum

	for _, name := range c.Removed {
		sum ^= s.entries[name].hash
	}

	for name, value := range c.Targets {
		target, _ := s.decodeTarget(storewatch.Entry{Name: name, Revision: c.Revision, Value: value})
		sum ^= s.entries[name].hash ^ hashEntry(name, target)
	}

	return sum
}

// applyChanges applies the delta c. The caller holds mu.
func (s *State) applyChanges(now time.Time, c Copy) {
	for _, name := range c.Removed {
		s.removeEntry(name, c.Revision)
		s.view.Remove(now, name)
	}

	for name, value := range c.Targets {
		if target, ok := s.setEntry(storewatch.Entry{Name: name, Revision: c.Revision, Value: value}, c.Revision); ok {
			s.view.Set(target)
		} else {
			s.view.Remove(now, name)
		}

		// The target changed on the peer, even if setEntry found it equal to the one known here.
		e := s.entries[name]
		e.revision = c.Revision
		s.entries[name] = e
	}
}

// Package deployment caches the state that an entry host serves from: the configuration in force and the targets. It takes
// updates from the platform's store or from a peer, and publishes immutable snapshots.
package deployment

import (
	"bytes"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
)

// fromStore is the source that is logged for what this host read from the store itself.
const fromStore = "store"

// maxTickGap is the longest time between two calls of Tick in a process that runs. It is well below the time in which entries lapse.
const maxTickGap = time.Second

// Options configure New. The decoders are required.
type Options struct {
	Clock         clockwork.Clock // nil means the real clock
	Log           *log.Logger     // nil means the default logger
	ConfigName    string          // name of the store's object that holds the configuration
	DecodeCatalog func(value []byte) (*catalog.Catalog, error)
	DecodeTarget  func(e storewatch.Entry) (fleet.Target, error)
	// RenewalInterval is the time between two renewals of a target's entry; zero means unknown.
	RenewalInterval time.Duration
}

// State holds the configuration and the targets of one deployment. It is safe for concurrent use. Make it with New.
type State struct {
	opts    Options
	catalog atomic.Pointer[catalog.Catalog]
	fleet   atomic.Pointer[fleet.Snapshot]

	mu            sync.Mutex
	view          *fleet.View
	undecodable   map[string]uint64 // revision of each entry that cannot be decoded, so that it is logged once
	configuration []byte            // the configuration in force, encoded as in the store
	entries       map[string]entry  // the targets' entries by name, also those that cannot be decoded
	removed       []removedEntry    // the last maxRemoved removals, oldest first
	checksum      uint64            // XOR of the hashes of entries
	needFullCopy  bool              // a delta did not match its checksum; the next fetch requests a full copy
	revision      uint64            // store revision of the last list or change of a target
	// confirmedRevision is the revision that peers see. After an outage of the store, the removal of a target is unconfirmed
	// until a grace period is over, since its replica may be registering again. Until then confirmedRevision stays behind
	// revision, as peers must not apply the removal.
	confirmedRevision uint64
	storeLost         bool   // the last call to the store about targets failed
	changedBy         string // what changed the targets last, as publish logs it
	// tickedAt is when Tick was last called, and resumedAt when the process last went on after a pause; zero before that.
	tickedAt, resumedAt time.Time
	kept                int // targets kept at the last publish although the store no longer lists them
	// configurationAsOf and targetsAsOf are when the configuration and the targets were last known to be current; zero
	// before the first answer.
	configurationAsOf, targetsAsOf time.Time
}

// New returns a State without a configuration or targets.
func New(opts Options) *State {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	return &State{opts: opts, view: fleet.New(fleet.Options{RenewalInterval: opts.RenewalInterval}), undecodable: map[string]uint64{}, entries: map[string]entry{}}
}

// Catalog returns the configuration in force, or nil before the first one.
func (s *State) Catalog() *catalog.Catalog { return s.catalog.Load() }

// Fleet returns the targets, or nil before the first list. A nil snapshot has no targets.
func (s *State) Fleet() *fleet.Snapshot { return s.fleet.Load() }

// Ready reports whether both a configuration and a list of targets are there.
func (s *State) Ready() bool { return s.Catalog() != nil && s.Fleet() != nil }

// Version returns the version of the configuration in force; zero before the first one.
func (s *State) Version() catalog.Version {
	if c := s.Catalog(); c != nil {
		return c.Version
	}

	return 0
}

// Limits returns the limits in force; the zero value before the first configuration.
func (s *State) Limits() catalog.Limits {
	if c := s.Catalog(); c != nil {
		return c.Limits
	}

	return catalog.Limits{}
}

// Adopt puts an encoded configuration in force if it is newer than the present one. One that cannot be decoded is
// logged and ignored. The source from, "store" or a peer's id, is logged. Adopt reports whether the configuration is now in
// force and was not before.
func (s *State) Adopt(value []byte, from string) bool {
	if s.isInForce(value) {
		return false
	}

	// Decoding takes long for many routes, and all other calls of s need the lock.
	began := s.opts.Clock.Now()
	c, err := s.opts.DecodeCatalog(value)
	decoding := s.opts.Clock.Since(began)

	if err != nil {
		s.opts.Log.Error().Str("from", from).Err(err).Msg("cannot decode the configuration; the one in force stays")

		return false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	old := s.catalog.Load()
	if old != nil && c.Version <= old.Version {
		return false
	}

	s.catalog.Store(c)
	s.configuration = value
	s.opts.Log.Info().Uint64("configuration", uint64(c.Version)).Str("from", from).Int("bytes", len(value)).
		Dur("decoding", decoding).Msg("configuration in force")

	return true
}

// isInForce reports whether value is the encoded configuration in force.
func (s *State) isInForce(value []byte) bool {
	s.mu.Lock()
	inForce := s.configuration
	s.mu.Unlock()

	return inForce != nil && bytes.Equal(value, inForce)
}

// Tick publishes changes that depend on time alone, such as the removal of targets whose grace period has ended.
func (s *State) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.pausedAt(now) {
		s.resumedAt = now
	}

	s.tickedAt = now
	s.view.Tick(now)
	s.publish(now, "grace period")
}

// pausedAt reports whether the process was paused just before now. The caller holds mu.
func (s *State) pausedAt(now time.Time) bool {
	return !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > maxTickGap
}

// Ages returns how long ago the configuration and the targets were last known to be current. Each is negative before the
// first answer about it.
func (s *State) Ages(now time.Time) (configuration, targets time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return ageOf(now, s.configurationAsOf), ageOf(now, s.targetsAsOf)
}

func ageOf(now, asOf time.Time) time.Duration {
	if asOf.IsZero() {
		return -1
	}

	return now.Sub(asOf)
}

// StoreAnswered records that this host has read at now the store's answer to a call that began at began. An answer to a call during which
// the process was paused may have waited, and shows nothing of the time at which it was read.
func (s *State) StoreAnswered(began, now time.Time) {
	s.mu.Lock()
	waited := began.Before(s.resumedAt) || s.pausedAt(now)
	s.mu.Unlock()

	if !waited {
		s.storeServed(now, fleet.Span{Since: now, Until: now}, fromStore)
	}
}

// Served returns how long ago the last span began and ended in which the store is known to have served any host. Both are negative
// before the first one.
func (s *State) Served(now time.Time) (since, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	span := s.view.Served()

	return ageOf(now, span.Since), ageOf(now, span.Until)
}

// ServedByPeer records what a peer reported at now: how long ago a span began and ended in which the store served any host. Negative
// ages mean unknown.
func (s *State) ServedByPeer(now time.Time, since, until time.Duration, from string) {
	if until >= 0 && since >= until {
		s.storeServed(now, fleet.Span{Since: now.Add(-since), Until: now.Add(-until)}, from)
	}
}

func (s *State) storeServed(now time.Time, span fleet.Span, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.view.PlatformServed(now, span)
	s.publish(now, from)
}

// Belief returns what this host believes at now of the target with the given id.
func (s *State) Belief(now time.Time, id entity.TargetID) fleet.Belief {
	s.mu.Lock()
	defer s.mu.Unlock()

	t, listed := s.fleet.Load().Target(id)

	return fleet.Belief{
		Listed: listed, Leaving: t.Leaving, Kept: listed && s.view.IsLapsed(t.Instance), Revision: s.revision, Age: ageOf(now, s.targetsAsOf), Source: s.changedBy,
	}
}

// LapsedTargets returns the number of targets that are kept although the store no longer lists them.
func (s *State) LapsedTargets() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.view.Lapsed()
}

// publish stores a new snapshot if the view changed, and advances confirmedRevision if no removal is unconfirmed. The
// cause from is logged: "store", a peer's id or "grace period". The caller holds mu.
func (s *State) publish(now time.Time, from string) {
	kept := s.view.Lapsed()
	if kept == 0 {
		s.confirmedRevision = s.revision
	}

	if kept > s.kept {
		s.opts.Log.Info().Str("from", from).Uint64("revision", s.revision).Int("kept", kept).Dur("age", ageOf(now, s.targetsAsOf)).
			Msg("targets are kept that the store no longer lists")
	}

	s.kept = kept

	if list, changed := s.view.Take(); changed {
		next := fleet.NewSnapshot(list)
		s.logTargets(now, s.fleet.Load(), next, from)
		s.fleet.Store(next)
		s.changedBy = from
	}
}

// logTargets logs the difference between two snapshots of the targets, with the age of the earlier one. The caller holds mu.
func (s *State) logTargets(now time.Time, old, next *fleet.Snapshot, from string) {
	added, leaving, gone := next.Difference(old)
	if len(added)+len(leaving)+len(gone) == 0 {
		return
	}

	s.logReturned(old, added, from)
	s.opts.Log.Info().Str("from", from).Uint64("revision", s.revision).Int("targets", len(next.All)).Int("added", len(added)).
		Strs("leaving", leaving).Strs("gone", gone).Int("kept", s.view.Lapsed()).Dur("age", ageOf(now, s.targetsAsOf)).Msg("targets in force")
}

// logReturned logs the targets in added, accepting work in next, that were leaving in old or have been removed: a replica that registers
// anew is another target. The caller holds mu.
func (s *State) logReturned(old *fleet.Snapshot, added []string, from string) {
	var returned []string

	for _, id := range added {
		before, known := old.Target(entity.TargetID(id))
		if known && before.Leaving || slices.ContainsFunc(s.removed, func(e removedEntry) bool { return string(e.target.ID) == id }) {
			returned = append(returned, id)
		}
	}

	if len(returned) > 0 {
		s.opts.Log.Warn().Str("from", from).Uint64("revision", s.revision).Strs("targets", returned).Msg("targets that were leaving or gone return")
	}
}

// Configurations returns the sink for the store's configuration objects. Objects under other names than
// Options.ConfigName are ignored, and so is the deletion of the configuration.
func (s *State) Configurations() storewatch.Sink { return configurationSink{s} }

// Targets returns the sink for the replicas' entries in the store.
func (s *State) Targets() storewatch.Sink { return targetSink{s} }

type configurationSink struct{ *State }

func (c configurationSink) Replaced(now time.Time, entries []storewatch.Entry, _ uint64) {
	for _, e := range entries {
		c.adoptEntry(e)
	}

	c.Confirmed(now)
}

func (c configurationSink) Changed(now time.Time, changes []storewatch.Change, _ uint64) {
	for _, ch := range changes {
		if !ch.Deleted {
			c.adoptEntry(ch.Entry)
		}
	}

	c.Confirmed(now)
}

// Revision implements storewatch.Sink. Versions order the configurations.
func (c configurationSink) Revision() uint64 { return 0 }

func (c configurationSink) Confirmed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.configurationAsOf = now
}

func (c configurationSink) adoptEntry(e storewatch.Entry) {
	if e.Name == c.opts.ConfigName {
		c.Adopt(e.Value, fromStore)
	}
}

func (configurationSink) Unavailable(time.Time, error) {}

func (configurationSink) Returned(time.Time, time.Duration) {}

type targetSink struct{ *State }

func (t targetSink) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.revision
}

func (t targetSink) Replaced(now time.Time, entries []storewatch.Entry, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.storeLost = false
	list := t.replaceEntries(entries, revision)
	t.view.Replace(now, list)

	if t.fleet.Load() == nil && len(list) == 0 {
		t.fleet.Store(fleet.NewSnapshot(nil))
	}

	t.publish(now, fromStore)
	t.targetsAsOf = now
}

func (t targetSink) Changed(now time.Time, changes []storewatch.Change, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.storeLost = false

	// What was taken from a peer reflects these changes already.
	if revision <= t.revision {
		return
	}

	for _, ch := range changes {
		if ch.Deleted {
			t.removeEntry(ch.Name, revision)
			t.view.Remove(now, ch.Name)
		} else if target, ok := t.setEntry(ch.Entry, revision); ok {
			t.view.Set(target)
		} else {
			t.view.Remove(now, ch.Name)
		}
	}

	t.publish(now, fromStore)
	t.targetsAsOf = now
}

func (t targetSink) Confirmed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.targetsAsOf = now
}

func (t targetSink) Unavailable(time.Time, error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.storeLost = true
}

func (t targetSink) Returned(now time.Time, outage time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.view.PlatformReturned(now, outage)
}

// decodeTarget returns the target of e and whether decoding succeeded. A failure is logged once for each revision of the
// entry. The caller holds mu.
func (s *State) decodeTarget(e storewatch.Entry) (fleet.Target, bool) {
	target, err := s.opts.DecodeTarget(e)
	if err == nil {
		delete(s.undecodable, e.Name)

		return target, true
	}

	if revision, known := s.undecodable[e.Name]; !known || revision != e.Revision {
		s.undecodable[e.Name] = e.Revision
		s.opts.Log.Warn().Str("entry", e.Name).Err(err).Msg("entry names no target")
	}

	return fleet.Target{}, false
}

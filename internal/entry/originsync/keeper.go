package originsync

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/origins"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	// KeptKind is the kind of the objects in the store that hold the versions of streams, one for each data centre.
	KeptKind = "dotterelflow-streams"

	// keepInterval is the least time between two writes of a data centre. What began since the last one is lost with all hosts.
	keepInterval = 500 * time.Millisecond
	// keepBatch is the time for which the first record after a pause waits for others.
	keepBatch = 20 * time.Millisecond
	// keepRetry is the time after a call that failed until the next one.
	keepRetry = time.Second
	// keepTimeout bounds a call to the store, which ends sooner unless its answer goes on arriving.
	keepTimeout = 2 * time.Second
	// loadTime is the time after the start in which a host reads what was kept.
	loadTime = 10 * time.Second
)

// Store is the part of the platform's store that keeping versions needs.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
	List(ctx context.Context, kind string) ([]storewatch.Entry, uint64, error)
}

// kept is the value of an object with the versions of streams. It needs no time and no era: the version of a stream that has begun stays.
type kept struct {
	Versions []entity.SoftwareVersion `json:"versions"`
	// Streams has 8 bytes for the id of each stream, big-endian, and one for the place of its version in Versions.
	Streams []byte `json:"streams"`
}

const keptBytes = 9

// encodeKept returns the value that holds records. Records beyond the 256th version are left out.
func encodeKept(records []origins.Record) kept {
	var k kept

	for _, r := range records {
		i := slices.Index(k.Versions, r.Version)
		if i < 0 {
			i = len(k.Versions)
			if i > 255 {
				continue
			}

			k.Versions = append(k.Versions, r.Version)
		}

		k.Streams = append(binary.BigEndian.AppendUint64(k.Streams, uint64(r.Stream)), byte(i))
	}

	return k
}

// records returns the records that k holds, with their whole lifetime.
func (k kept) records() []origins.Record {
	var list []origins.Record

	for s := k.Streams; len(s) >= keptBytes; s = s[keptBytes:] {
		if i := int(s[keptBytes-1]); i < len(k.Versions) && len(k.Versions[i]) <= maxVersionBytes {
			list = append(list, origins.Record{Stream: origins.StreamID(binary.BigEndian.Uint64(s)), Version: k.Versions[i], Left: origins.Lifetime})
		}
	}

	return list
}

// keeper holds what the host that keeps records writes to the store. It is safe for concurrent use.
type keeper struct {
	mine  *origins.Table // streams that have begun at this host
	begun *origins.Table // streams that this host keeps
	wake  chan struct{}  // receives a value when there is something new

	keeping bool // a service runs several versions; used by the goroutine that calls Tick

	changed atomic.Bool // there is something that was not written
}

func newKeeper() *keeper {
	return &keeper{mine: origins.NewTable(), begun: origins.NewTable(), wake: make(chan struct{}, 1)}
}

// add adds a record of a stream that has begun.
func (k *keeper) add(now time.Time, r origins.Record) {
	k.begun.Merge(now, r)
	k.changed.Store(true)

	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Begun implements relay.Origins. It tells the host that keeps the versions of streams in the store, while the service runs several.
func (s *Syncer) Begun(service entity.ServiceName, began entity.RequestID) {
	if s.opts.Store == nil {
		return
	}

	now := s.opts.Clock.Now()

	o, ok := s.opts.Table.Find(now, origins.StreamIDOf(service, began))
	if !ok {
		return
	}

	s.keep.mine.Merge(now, o.Record)

	if s.opts.Several(service) {
		s.sendBegun(o.Record)
	}
}

// keepMine has the streams kept that began at this host while their services ran one version, once another one comes.
func (s *Syncer) keepMine(now time.Time) {
	if s.opts.Store == nil {
		return
	}

	several := s.anySeveral()
	comes := several && !s.keep.keeping
	s.keep.keeping = several

	if comes {
		s.sendBegun(s.keep.mine.Records(now)...)
	}
}

// sendBegun sends records, of streams that have begun, to the host that keeps them.
func (s *Syncer) sendBegun(records ...origins.Record) {
	ring := s.currentRing()

	s.mu.Lock()
	defer s.mu.Unlock()

	for _, r := range records {
		record := encode(r)
		record.Begun = true
		s.addBegun(ring, record, false)
	}
}

// addBegun puts record, of a stream that has begun, into the outbox for the host that keeps it, which may be this one. The caller holds mu.
func (s *Syncer) addBegun(r *ring, record *peer.OriginRecord, again bool) {
	if h, other := r.keeper(); other {
		s.add(h, record, again)

		return
	}

	if o, ok := decode(record); ok {
		s.keep.add(s.opts.Clock.Now(), o)
	}
}

// runKeeper reads what was kept, if streams of several versions may live, and then writes what this host is to keep, until ctx ends.
func (s *Syncer) runKeeper(ctx context.Context) {
	s.calls.Go(func() { s.load(ctx) })

	var version platform.Version

	for {
		select {
		case <-ctx.Done():
			return
		case <-s.keep.wake:
		}

		pause := keepBatch

		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-s.opts.Clock.After(pause):
			}

			if !s.keep.changed.Swap(false) {
				break
			}

			var err error

			pause = keepInterval
			if version, err = s.write(ctx, version); err != nil {
				s.keep.changed.Store(true)
				s.opts.Log.Info().Err(err).Msg("versions of streams not kept in the store")

				if !errors.Is(err, platform.ErrConflict) {
					pause = keepRetry
				}
			}
		}
	}
}

// write writes what this host keeps over the object with the given version. It reads the object first if that is zero, or after an error,
// for which it returns zero.
func (s *Syncer) write(ctx context.Context, version platform.Version) (platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()

	key := platform.Key(KeptKind + "/" + string(s.opts.DataCentre))

	if version == 0 {
		o, err := s.opts.Store.Get(ctx, key)
		if err != nil {
			return 0, err
		}

		// A host that kept records before this one has written them.
		version = o.Version
		s.merge(s.keep.begun, o.Value)
	}

	now, life := s.opts.Clock.Now(), s.longestLife()
	records := slices.DeleteFunc(s.keep.begun.Records(now), func(r origins.Record) bool { return origins.Lifetime-r.Left >= life })

	value, err := json.Marshal(encodeKept(records))
	if err != nil {
		return 0, err
	}

	version, err = s.opts.Store.Put(ctx, key, version, value)
	if err != nil {
		return 0, err
	}

	return version, nil
}

// longestLife returns for how long the streams of any service live, within the time for which records are held.
func (s *Syncer) longestLife() time.Duration {
	var life time.Duration

	c := s.opts.Catalog()
	for service := range s.opts.Fleet().Versions() {
		life = max(life, c.StreamLife(service))
	}

	return min(life, origins.Lifetime)
}

// merge adds the records that value holds to t, and returns their number.
func (s *Syncer) merge(t *origins.Table, value []byte) int {
	var k kept

	if len(value) == 0 || json.Unmarshal(value, &k) != nil {
		return 0 // of another writer, or none
	}

	now, n := s.opts.Clock.Now(), 0

	for _, r := range k.records() {
		if t.Merge(now, r) {
			n++
		}
	}

	return n
}

// load takes the records that were kept for this host's start, once this host knows that a service runs several versions.
func (s *Syncer) load(ctx context.Context) {
	for end := s.opts.Clock.Now().Add(loadTime); s.opts.Clock.Now().Before(end); {
		if s.anySeveral() {
			callCtx, cancel := context.WithTimeout(ctx, keepTimeout)
			entries, _, err := s.opts.Store.List(callCtx, KeptKind)

			cancel()

			if err == nil {
				n := 0
				for _, e := range entries {
					n += s.merge(s.opts.Table, e.Value)
				}

				s.fetched.Add(int64(n))
				s.opts.Log.Info().Int("streams", n).Msg("versions of streams taken from the store")

				return
			}
		}

		select {
		case <-ctx.Done():
			return
		case <-s.opts.Clock.After(catchUpInterval):
		}
	}
}

// anySeveral reports whether a service runs several versions.
func (s *Syncer) anySeveral() bool {
	for service := range s.opts.Fleet().Versions() {
		if s.opts.Several(service) {
			return true
		}
	}

	return false
}

package burnrate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	defaultInterval  = 5 * time.Minute
	defaultShards    = 8
	maxFlushAttempts = 5
	// callTimeout bounds one attempt to add counts to an object, which reads and writes it, and also the whole
	// flush at shutdown.
	callTimeout = 5 * time.Second
)

// Store is the part of the platform's object API that this package uses.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
}

// SaverOptions configure a Saver. Host and DataCentre are required; other zero fields take defaults.
type SaverOptions struct {
	Host       entity.HostID
	DataCentre entity.DataCentre
	Interval   time.Duration // time between flushes; a host that crashes loses at most the counts of one interval
	Shards     int           // number of objects per data centre; must be the same on all hosts
	Clock      clockwork.Clock
}

func (o SaverOptions) withDefaults() SaverOptions {
	if o.Interval <= 0 {
		o.Interval = defaultInterval
	}

	if o.Shards <= 0 {
		o.Shards = defaultShards
	}

	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}

	return o
}

// Saver moves a host's counts into the objects that the hosts of its data centre share. Each count is
// added exactly once, even if the platform's answer to a write is lost. It is safe for concurrent use.
type Saver struct {
	opts   SaverOptions
	store  Store
	ledger *Ledger

	mu       sync.Mutex
	flushing []*flush // flush in progress of each shard; nil without one

	done chan struct{}
}

// flush holds counts that are to be added to the object of one shard. Retries keep the sequence, so
// that the object's flushMark shows whether it already contains the counts.
type flush struct {
	sequence uint64
	counts   *Ledger
}

// NewSaver returns a Saver that moves the counts of l into store.
func NewSaver(o SaverOptions, store Store, l *Ledger) *Saver {
	o = o.withDefaults()

	return &Saver{
		opts: o, store: store, ledger: l,
		flushing: make([]*flush, o.Shards),
		done:     make(chan struct{}),
	}
}

// ShardKey returns the key of the object of a shard.
func ShardKey(dc entity.DataCentre, shard int) platform.Key {
	return platform.Key(fmt.Sprintf("burn/%s/%d", dc, shard))
}

// Run flushes at each interval until ctx ends, flushes once more and then closes the channel of Done.
// It must be called at most once.
func (s *Saver) Run(ctx context.Context) {
	defer close(s.done)

	ticker := s.opts.Clock.NewTicker(s.opts.Interval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			lastCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()

			_ = s.Flush(lastCtx)

			return
		case <-ticker.Chan():
			// Counts that could not be saved stay pending until the next flush.
			_ = s.Flush(ctx)
		}
	}
}

// Done returns a channel that is closed when Run returns.
func (s *Saver) Done() <-chan struct{} { return s.done }

// Pending returns a copy of the counts that are not known to be saved.
func (s *Saver) Pending() *Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()

	all := &Ledger{}
	all.Merge(s.ledger)

	for _, f := range s.flushing {
		if f != nil {
			all.Merge(f.counts)
		}
	}

	return all
}

// Flush moves all counts into the platform. It tries each shard and returns the joined errors of the
// shards that failed. Their counts stay pending.
func (s *Saver) Flush(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := s.opts.Clock.Now()
	s.assignShards(now)

	var failed []error

	for shard, f := range s.flushing {
		if f == nil {
			continue
		}

		if err := s.flushShard(ctx, now, shard, f); err != nil {
			failed = append(failed, err)

			continue
		}

		s.flushing[shard] = nil
	}

	return errors.Join(failed...)
}

// assignShards moves the ledger's counts into a new flush for each shard. Counts of shards whose
// previous flush is still in progress stay in the ledger.
func (s *Saver) assignShards(now time.Time) {
	taken := s.ledger.Take()
	taken.Trim(now)

	remaining := &Ledger{}
	created := make(map[int]bool)

	for k, counts := range taken.series {
		shard := int(xxhash.Sum64String(string(k.Account)) % uint64(s.opts.Shards))

		if s.flushing[shard] == nil {
			s.flushing[shard] = &flush{sequence: uint64(now.UnixNano()), counts: &Ledger{}}
			created[shard] = true
		}

		if created[shard] {
			*s.flushing[shard].counts.seriesOf(k) = *counts
		} else {
			*remaining.seriesOf(k) = *counts
		}
	}

	s.ledger.Merge(remaining)
}

// flushShard adds f to the object of shard, unless the object already contains it. It tries up to
// maxFlushAttempts times while the outcome is a conflict or unknown.
func (s *Saver) flushShard(ctx context.Context, now time.Time, shard int, f *flush) error {
	key := ShardKey(s.opts.DataCentre, shard)

	var err error

	for range maxFlushAttempts {
		var saved bool

		saved, err = s.attemptShard(ctx, now, key, f)
		if saved {
			return nil
		}

		// After a conflict or a lost answer, reading the object again shows whether it contains f.
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknown) {
			break
		}
	}

	return Error.Wrap(err)
}

// attemptShard reads the object at key and adds f to it. It reports whether the object contains f.
func (s *Saver) attemptShard(ctx context.Context, now time.Time, key platform.Key, f *flush) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	o, err := s.store.Get(ctx, key)
	if err != nil {
		return false, err
	}

	l, flushes, err := decode(o.Value)
	if err != nil {
		// The counts of an unreadable object are lost. It is overwritten, so that f can still be saved.
		l, flushes = &Ledger{}, map[string]flushMark{}
	}

	if flushes[string(s.opts.Host)].Sequence >= f.sequence {
		return true, nil
	}

	l.Merge(f.counts)
	l.Trim(now)
	dropOldFlushes(flushes, now)
	flushes[string(s.opts.Host)] = flushMark{Sequence: f.sequence, At: now.Unix()}

	value, err := encode(l, flushes)
	if err != nil {
		return false, err
	}

	if _, err = s.store.Put(ctx, key, o.Version, value); err != nil {
		return false, err
	}

	return true, nil
}

// LoadSaved returns the merged saved counts of dataCentres. shards is as in SaverOptions. Data centres with
// an object that cannot be read are listed in missing; counts of their other objects may be included.
func LoadSaved(ctx context.Context, store Store, shards int, dataCentres []entity.DataCentre) (l *Ledger, missing []entity.DataCentre) {
	if shards <= 0 {
		shards = defaultShards
	}

	l = &Ledger{}

	for _, dc := range dataCentres {
		if err := loadDataCentre(ctx, store, shards, dc, l); err != nil {
			missing = append(missing, dc)
		}
	}

	return l, missing
}

func loadDataCentre(ctx context.Context, store Store, shards int, dc entity.DataCentre, into *Ledger) error {
	for shard := range shards {
		o, err := store.Get(ctx, ShardKey(dc, shard))
		if err != nil {
			return err
		}

		part, err := Decode(o.Value)
		if err != nil {
			return err
		}

		into.Merge(part)
	}

	return nil
}

package burn

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	defaultEvery  = 5 * time.Minute
	defaultShards = 8
	maxTries      = 5
	// callTimeout bounds one call of the platform.
	callTimeout = 5 * time.Second
)

// Store is what a Saver needs of the platform.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
}

// SaverOptions set up a Saver. Host and DataCentre are required; other zero fields take defaults.
type SaverOptions struct {
	Host       table.HostID
	DataCentre table.DataCentre
	Every      time.Duration // between flushes; a host that dies loses at most this much
	Shards     int           // objects of the data centre; the same on all hosts
	Clock      clockwork.Clock
}

func (o SaverOptions) withDefaults() SaverOptions {
	if o.Every <= 0 {
		o.Every = defaultEvery
	}

	if o.Shards <= 0 {
		o.Shards = defaultShards
	}

	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}

	return o
}

// Saver moves a host's counts into the objects that the hosts of its data centre share, each count
// exactly once, also when the platform's answer is lost. It is safe for concurrent use.
type Saver struct {
	opts   SaverOptions
	store  Store
	ledger *Ledger

	mu       sync.Mutex
	flushing []*flush // one for each shard, nil where nothing is on its way

	done chan struct{}
}

// flush is a part of the ledger on its way into one object. Its sequence stays the same until it
// is known to have arrived.
type flush struct {
	sequence uint64
	counts   *Ledger
}

// NewSaver returns a Saver of what l counts.
func NewSaver(o SaverOptions, store Store, l *Ledger) *Saver {
	o = o.withDefaults()

	return &Saver{
		opts: o, store: store, ledger: l,
		flushing: make([]*flush, o.Shards),
		done:     make(chan struct{}),
	}
}

// ShardKey names the object of a shard.
func ShardKey(dc table.DataCentre, shard int) platform.Key {
	return platform.Key(fmt.Sprintf("burn/%s/%d", dc, shard))
}

// Run flushes on the clock until ctx ends and then once more, and closes Done.
func (s *Saver) Run(ctx context.Context) {
	defer close(s.done)

	ticker := s.opts.Clock.NewTicker(s.opts.Every)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()

			_ = s.Flush(last)

			return
		case <-ticker.Chan():
			// What fails stays for the next flush; Pending shows it until then.
			_ = s.Flush(ctx)
		}
	}
}

// Done is closed when Run has returned.
func (s *Saver) Done() <-chan struct{} { return s.done }

// Pending returns a copy of what the platform is not known to hold.
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

// Flush moves all counts into the platform. It tries each shard and returns the joined errors;
// what failed stays pending.
func (s *Saver) Flush(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := s.opts.Clock.Now()
	s.split(now)

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

// split hands new counts to the shards that have nothing on its way; the rest waits in the ledger.
func (s *Saver) split(now time.Time) {
	taken := s.ledger.Take()
	taken.Trim(now)

	later := &Ledger{}
	fresh := make(map[int]bool)

	for k, counts := range taken.series {
		shard := int(xxhash.Sum64String(string(k.Account)) % uint64(s.opts.Shards))

		if s.flushing[shard] == nil {
			s.flushing[shard] = &flush{sequence: uint64(now.UnixNano()), counts: &Ledger{}}
			fresh[shard] = true
		}

		if fresh[shard] {
			*s.flushing[shard].counts.at(k) = *counts
		} else {
			*later.at(k) = *counts
		}
	}

	s.ledger.Merge(later)
}

// flushShard adds f to its object unless the object already holds it.
func (s *Saver) flushShard(ctx context.Context, now time.Time, shard int, f *flush) error {
	key := ShardKey(s.opts.DataCentre, shard)

	var err error

	for range maxTries {
		var arrived bool

		arrived, err = s.tryShard(ctx, now, key, f)
		if arrived {
			return nil
		}

		// A conflict or a lost answer is settled by reading the object again.
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknown) {
			break
		}
	}

	return Error.Wrap(err)
}

func (s *Saver) tryShard(ctx context.Context, now time.Time, key platform.Key, f *flush) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	o, err := s.store.Get(ctx, key)
	if err != nil {
		return false, err
	}

	l, flushes, err := decode(o.Value)
	if err != nil {
		// Counts that can't be read are lost; those of now are worth more than none.
		l, flushes = &Ledger{}, map[string]flushMark{}
	}

	if flushes[string(s.opts.Host)].Sequence >= f.sequence {
		return true, nil
	}

	l.Merge(f.counts)
	l.Trim(now)
	forgetFlushes(flushes, now)
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

// Load returns the ledgers of data centres from the platform, merged. Data centres whose objects
// can't be read are named in missing.
func Load(ctx context.Context, store Store, shards int, centres []table.DataCentre) (l *Ledger, missing []table.DataCentre) {
	if shards <= 0 {
		shards = defaultShards
	}

	l = &Ledger{}

	for _, dc := range centres {
		if err := loadCentre(ctx, store, shards, dc, l); err != nil {
			missing = append(missing, dc)
		}
	}

	return l, missing
}

func loadCentre(ctx context.Context, store Store, shards int, dc table.DataCentre, into *Ledger) error {
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

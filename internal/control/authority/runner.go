package authority

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/control/ticker"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	tickInterval = 100 * time.Millisecond
	callTimeout  = 2 * time.Second
	maxConfirms  = 8 // tries of Confirm against a racing holder
)

// Store is the part of the platform's object API that a lease needs.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
}

// Surroundings tells a Runner what its host knows. Its methods are called from the Runner's
// goroutine only.
type Surroundings interface {
	// Authority returns the input of the next tick. Quiet must be read after the last Lease was published.
	Authority() Tick
}

// Runner drives a Machine. Lease and Held may be called from any goroutine.
type Runner struct {
	clock   clockwork.Clock
	store   Store
	around  Surroundings
	machine *Machine
	key     platform.Key
	lease   atomic.Pointer[Lease]
	done    chan struct{}
}

// Start runs the lease of opts.DataCentre until ctx ends. seed varies the waits of candidates.
func Start(ctx context.Context, clock clockwork.Clock, store Store, around Surroundings, opts Options, seed uint64) *Runner {
	r := &Runner{
		clock:   clock,
		store:   store,
		around:  around,
		machine: NewMachine(opts, clock.Now(), rand.New(rand.NewPCG(seed, 0))),
		key:     Key(opts.DataCentre),
		done:    make(chan struct{}),
	}
	r.lease.Store(&Lease{})

	go r.run(ctx)

	return r
}

// Done is closed once the Runner has ended.
func (r *Runner) Done() <-chan struct{} {
	return r.done
}

// Lease returns the last published lease; the zero Lease if this host holds none.
func (r *Runner) Lease() Lease {
	return *r.lease.Load()
}

// Held returns the fencing number under which orders may be given at now, and whether any may.
func (r *Runner) Held(now time.Time) (table.Fence, bool) {
	l := r.Lease()

	return l.Fence, l.Held(now)
}

func (r *Runner) run(ctx context.Context) {
	defer close(r.done)
	defer r.lease.Store(&Lease{})

	ticker.Run(ctx, r.clock, tickInterval, r.step)
}

func (r *Runner) step(ctx context.Context) {
	a := r.machine.Tick(r.clock.Now(), r.around.Authority())
	r.publish()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	switch a := a.(type) {
	case Get:
		record, version, err := read(ctx, r.store, r.key)
		r.machine.Read(r.clock.Now(), record, version, err)
	case Put:
		version, err := write(ctx, r.store, r.key, a)
		r.machine.Wrote(r.clock.Now(), a, version, err)
	}

	r.publish()
}

func (r *Runner) publish() {
	l := r.machine.Lease()
	r.lease.Store(&l)
}

func read(ctx context.Context, s Store, key platform.Key) (Record, platform.Version, error) {
	var record Record

	o, err := s.Get(ctx, key)
	if err != nil || o.Version == 0 {
		return record, o.Version, err
	}

	if err := json.Unmarshal(o.Value, &record); err != nil {
		return Record{}, 0, Error.New("lease object %s: %w", key, err)
	}

	return record, o.Version, nil
}

func write(ctx context.Context, s Store, key platform.Key, p Put) (platform.Version, error) {
	value, err := json.Marshal(p.Record)
	if err != nil {
		return 0, Error.Wrap(err)
	}

	return s.Put(ctx, key, p.Expect, value)
}

// Confirm records an operator's word that the process which held fence in dc has ended and that
// nothing it sent can still arrive. It succeeds if that is on record already.
func Confirm(ctx context.Context, s Store, dc table.DataCentre, fence table.Fence) error {
	var err error

	for range maxConfirms {
		var (
			record  Record
			version platform.Version
		)

		record, version, err = read(ctx, s, Key(dc))
		if err != nil {
			return err
		}

		if record.Cleared(fence) {
			return nil
		}

		if fence >= record.Fence {
			return Error.New("fence %d in %s is not that of a former holder", fence, dc)
		}

		without := record.WithoutFormer(func(f Former) bool { return f.Fence == fence })
		_, err = write(ctx, s, Key(dc), Put{Expect: version, Record: without})
	}

	return Error.Wrap(err)
}

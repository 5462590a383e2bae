package authority

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ticker"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	tickInterval       = 100 * time.Millisecond
	callTimeout        = 2 * time.Second
	maxConfirmAttempts = 8 // attempts of ConfirmEnded, whose writes can conflict with renewals
)

// Store is the part of the platform's object API that a lease needs.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
}

// Environment provides the state of the host to a Runner. Its methods are called from the Runner's
// goroutine only.
type Environment interface {
	// AuthorityInput returns the input of the next tick. Whether an order is on its way must be determined
	// after the last Lease was published.
	AuthorityInput() Tick
}

// Runner drives a Machine. Lease and Held may be called from any goroutine.
type Runner struct {
	clock       clockwork.Clock
	store       Store
	environment Environment
	machine     *Machine
	key         platform.Key
	lease       atomic.Pointer[Lease]
	done        chan struct{}
}

// Start starts a Runner for the lease of opts.DataCentre, which runs until ctx ends. seed should differ between
// hosts, so that their random waits before a takeover differ.
func Start(ctx context.Context, clock clockwork.Clock, store Store, env Environment, opts Options, seed uint64) *Runner {
	r := &Runner{
		clock:       clock,
		store:       store,
		environment: env,
		machine:     NewMachine(opts, clock.Now(), rand.New(rand.NewPCG(seed, 0))),
		key:         Key(opts.DataCentre),
		done:        make(chan struct{}),
	}
	r.lease.Store(&Lease{})

	go r.run(ctx)

	return r
}

// Done returns a channel that is closed once the Runner has ended.
func (r *Runner) Done() <-chan struct{} {
	return r.done
}

// Lease returns the last published lease, or the zero Lease if this host holds none.
func (r *Runner) Lease() Lease {
	return *r.lease.Load()
}

// Held returns the fencing number of the lease, and whether orders may be sent under it at now.
func (r *Runner) Held(now time.Time) (entity.Fence, bool) {
	l := r.Lease()

	return l.Fence, l.Held(now)
}

func (r *Runner) run(ctx context.Context) {
	defer close(r.done)
	defer r.lease.Store(&Lease{})

	ticker.Run(ctx, r.clock, tickInterval, r.step)
}

func (r *Runner) step(ctx context.Context) {
	a := r.machine.Tick(r.clock.Now(), r.environment.AuthorityInput())
	r.publish()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	switch a := a.(type) {
	case Get:
		record, version, err := read(ctx, r.store, r.key)
		r.machine.HandleGet(r.clock.Now(), record, version, err)
	case Put:
		version, err := write(ctx, r.store, r.key, a)
		r.machine.HandlePut(r.clock.Now(), a, version, err)
	}

	r.publish()
}

// publish makes the Machine's lease visible to Lease and Held.
func (r *Runner) publish() {
	l := r.machine.Lease()
	r.lease.Store(&l)
}

// read returns the lease record at key, or the zero Record and a version with the revision 0 if there is none.
func read(ctx context.Context, s Store, key platform.Key) (Record, platform.Version, error) {
	var record Record

	o, err := s.Get(ctx, key)
	if err != nil || o.Version.Revision() == 0 {
		return record, o.Version, err
	}

	if err := json.Unmarshal(o.Value, &record); err != nil {
		return Record{}, 0, Error.New("decode lease object %s: %w", key, err)
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

// ConfirmEnded records an operator's confirmation that the process which held the lease of dc under fence
// has ended and that nothing it sent can still arrive. It succeeds if fence is already cleared, and fails
// if fence is that of the present holder or a later one.
func ConfirmEnded(ctx context.Context, s Store, dc entity.DataCentre, fence entity.Fence) error {
	var err error

	for range maxConfirmAttempts {
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
			return Error.New("fence %d in data centre %s does not belong to a former holder", fence, dc)
		}

		cleared := record.WithoutFormer(func(f FormerHolder) bool { return f.Fence == fence })
		_, err = write(ctx, s, Key(dc), Put{Expect: version, Record: cleared})
	}

	return Error.Wrap(err)
}

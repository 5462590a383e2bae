package orders

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ticker"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	tickInterval = 250 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// Store is the part of the platform's object API that is used for intents.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
}

// Runner drives a Machine and executes its actions, at most one at a time per engine. It is safe for
// concurrent use.
type Runner struct {
	clock   clockwork.Clock
	dc      entity.DataCentre
	store   Store
	engines Engines
	lease   func() authority.Lease
	done    chan struct{}

	mu      sync.Mutex
	machine *Machine
	targets map[entity.TargetID]entity.Target
}

// Start runs a Runner for the engines of dc until ctx ends. lease returns this host's lease and must be safe
// for concurrent use. The Runner sends orders only while the lease is held.
func Start(ctx context.Context, clock clockwork.Clock, store Store, engines Engines, lease func() authority.Lease, dc entity.DataCentre, opts Options) *Runner {
	r := &Runner{
		clock:   clock,
		dc:      dc,
		store:   store,
		engines: engines,
		lease:   lease,
		done:    make(chan struct{}),
		machine: NewMachine(opts),
		targets: map[entity.TargetID]entity.Target{},
	}

	go r.run(ctx)

	return r
}

// Done returns a channel that is closed once the Runner and its calls have ended.
func (r *Runner) Done() <-chan struct{} {
	return r.done
}

// SetTargets sets the engines of the data centre.
func (r *Runner) SetTargets(targets []entity.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.machine.SetTargets(r.clock.Now(), targets)

	for _, t := range targets {
		r.targets[t.ID] = t
	}
}

// SetDesired sets the desired setting of the engine id, as Machine.SetDesired does.
func (r *Runner) SetDesired(f entity.Fence, id entity.TargetID, s Setting) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.machine.SetDesired(f, id, s)
}

// NoOrdersInFlight reports whether no order of this process can still reach an engine. Pass the result on in
// authority.Tick.NoOrdersInFlight.
func (r *Runner) NoOrdersInFlight() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.machine.NoOrdersInFlight(r.clock.Now())
}

// Engine returns the view of the engine id under the current fence, or the zero Engine if id is
// unknown.
func (r *Runner) Engine(id entity.TargetID) Engine {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.machine.Engine(id)
}

// BlockedOrders returns the engines whose desired setting is delayed by orders of former holders.
func (r *Runner) BlockedOrders() []BlockedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.machine.BlockedOrders(r.lease().Record)
}

func (r *Runner) run(ctx context.Context) {
	var calls sync.WaitGroup

	defer close(r.done)
	defer calls.Wait()

	ticker.Run(ctx, r.clock, tickInterval, func(ctx context.Context) {
		r.mu.Lock()
		actions := r.machine.Tick(r.clock.Now(), r.lease())
		r.mu.Unlock()

		for _, a := range actions {
			calls.Go(func() { r.execute(ctx, a) })
		}
	})
}

func (r *Runner) execute(ctx context.Context, a Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	r.mu.Lock()
	target := r.targets[a.ID()]
	r.mu.Unlock()

	switch a := a.(type) {
	case ReadIntent:
		i, v, err := r.readIntent(ctx, a.Target)
		r.report(func(now time.Time) { r.machine.Loaded(now, a, i, v, err) })
	case WriteIntent:
		v, err := r.writeIntent(ctx, a)
		r.report(func(now time.Time) { r.machine.Written(now, a, v, err) })
	case QueryState:
		s, err := r.engines.State(ctx, target)
		r.report(func(now time.Time) { r.machine.Answered(now, a, s, err) })
	case SendOrder:
		s, err := r.send(ctx, target, a.Order)
		r.report(func(now time.Time) { r.machine.Sent(now, a, s, err) })
	}
}

func (r *Runner) report(result func(now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()

	result(r.clock.Now())
}

// send sends o if the lease is still held under the fencing number of o, else it fails with
// ErrNotSent. The call ends no later than the lease.
func (r *Runner) send(ctx context.Context, target entity.Target, o Order) (State, error) {
	l := r.lease()
	left := l.Until.Sub(r.clock.Now())

	if l.Fence != o.Fence || left <= 0 {
		return State{}, ErrNotSent
	}

	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()

	return r.engines.Order(ctx, target, o)
}

func (r *Runner) readIntent(ctx context.Context, id entity.TargetID) (Intent, platform.Version, error) {
	var i Intent

	o, err := r.store.Get(ctx, Key(r.dc, id))
	if err != nil || o.Version == 0 {
		return i, o.Version, err
	}

	if err := json.Unmarshal(o.Value, &i); err != nil {
		return Intent{}, 0, Error.New("intent of %s: %w", id, err)
	}

	return i, o.Version, nil
}

func (r *Runner) writeIntent(ctx context.Context, a WriteIntent) (platform.Version, error) {
	value, err := json.Marshal(a.Intent)
	if err != nil {
		return 0, Error.Wrap(err)
	}

	// A process without the lease must not record anything. The conditional write alone would not
	// prevent that until the next holder has adopted the intent.
	if l := r.lease(); l.Fence != a.Intent.Fence || !l.Held(r.clock.Now()) {
		return 0, platform.ErrUnavailable
	}

	return r.store.Put(ctx, Key(r.dc, a.Target), a.Expect, value)
}

package plans

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ticker"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	tickInterval = 250 * time.Millisecond
	readInterval = 5 * time.Second // time between reads by the lease holder; Observe may provide a newer list sooner
	callTimeout  = 2 * time.Second
)

// Site connects a Runner to its host. Its methods are called from the Runner's goroutine only.
type Site interface {
	// Lease returns the current lease.
	Lease() authority.Lease
	// Input returns this host's view of the data centre; the Runner sets Now.
	Input() Input
	// Do executes a, which was decided under the fencing number f. It is called with the same action
	// again as long as the plan requires it.
	Do(f entity.Fence, a Action)
}

// Runner executes the plans of a data centre while its host holds the lease.
type Runner struct {
	clock clockwork.Clock
	store Store
	site  Site
	dc    entity.DataCentre
	list  atomic.Pointer[List]
	done  chan struct{}

	fence        entity.Fence // fencing number of the lease in the last step that held one
	listCurrent  bool         // the list was read under fence
	versionKnown bool         // version is that of the stored list
	version      platform.Version
	readAt       time.Time
}

// Start runs a Runner for the plans of dc until ctx ends.
func Start(ctx context.Context, clock clockwork.Clock, store Store, site Site, dc entity.DataCentre) *Runner {
	r := &Runner{clock: clock, store: store, site: site, dc: dc, done: make(chan struct{})}
	r.list.Store(&List{})

	go r.run(ctx)

	return r
}

// Done returns a channel that is closed once the Runner has ended.
func (r *Runner) Done() <-chan struct{} {
	return r.done
}

// List returns the newest plans that this host has read or got through Observe. The result must not be
// changed. List may be called from any goroutine.
func (r *Runner) List() List {
	return *r.list.Load()
}

// Observe passes in a list that another host has read; the Runner keeps it if it is newer than its own.
// Observe may be called from any goroutine.
func (r *Runner) Observe(l List) {
	for {
		old := r.list.Load()
		if l.Generation <= old.Generation || r.list.CompareAndSwap(old, &l) {
			return
		}
	}
}

func (r *Runner) run(ctx context.Context) {
	defer close(r.done)

	ticker.Run(ctx, r.clock, tickInterval, r.step)
}

func (r *Runner) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	now := r.clock.Now()
	lease := r.site.Lease()

	if !lease.Held(now) {
		return
	}

	if lease.Fence != r.fence {
		r.fence, r.listCurrent, r.versionKnown, r.readAt = lease.Fence, false, false, time.Time{}
	}

	if !now.Before(r.readAt.Add(readInterval)) {
		r.read(ctx, now)
	}

	// A list read before this lease may require actions that another holder has done and undone since.
	if !r.listCurrent {
		return
	}

	in := r.site.Input()
	in.Now = now
	l := *r.list.Load()

	if next, changed := Advance(l, in); changed && r.versionKnown {
		l = r.write(ctx, l, next)
	}

	for _, a := range Actions(l, in) {
		r.site.Do(lease.Fence, a)
	}
}

func (r *Runner) read(ctx context.Context, now time.Time) {
	r.readAt = now

	l, version, err := read(ctx, r.store, r.dc)
	if err != nil {
		return
	}

	r.listCurrent, r.versionKnown, r.version = true, true, version
	r.Observe(l)
}

// write stores next and returns it. If the write fails, it returns l, and the next step reads the stored
// list again.
func (r *Runner) write(ctx context.Context, l, next List) List {
	version, err := write(ctx, r.store, r.dc, r.version, next)
	if err != nil {
		r.versionKnown, r.readAt = false, time.Time{}

		return l
	}

	r.version = version
	r.Observe(next)

	return next
}

package plans

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/control/ticker"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	tickInterval = 250 * time.Millisecond
	readInterval = 5 * time.Second // from one read of the holder to the next; Observe tells it sooner
	callTimeout  = 2 * time.Second
)

// Site is what a Runner acts on. Its methods are called from the Runner's goroutine only.
type Site interface {
	// Lease returns the present authority.
	Lease() authority.Lease
	// Input returns what this host knows; the Runner sets Now.
	Input() Input
	// Do carries a out, which was decided under the fencing number f. It gets the same action again
	// while the plan asks for it.
	Do(f table.Fence, a Action)
}

// Runner carries out the plans of a data centre while its host holds the authority.
type Runner struct {
	clock clockwork.Clock
	store Store
	site  Site
	dc    table.DataCentre
	list  atomic.Pointer[List]
	done  chan struct{}

	fence   table.Fence // under which the list was read
	fresh   bool        // it was
	known   bool        // version is that of the list
	version platform.Version
	readAt  time.Time
}

// Start carries out the plans of dc until ctx ends.
func Start(ctx context.Context, clock clockwork.Clock, store Store, site Site, dc table.DataCentre) *Runner {
	r := &Runner{clock: clock, store: store, site: site, dc: dc, done: make(chan struct{})}
	r.list.Store(&List{})

	go r.run(ctx)

	return r
}

// Done is closed once the Runner has ended.
func (r *Runner) Done() <-chan struct{} {
	return r.done
}

// List returns the newest plans that this host has read or was told of. It must not be changed
// and may be called from any goroutine.
func (r *Runner) List() List {
	return *r.list.Load()
}

// Observe takes in a list that another host has read, and keeps it if it is newer. It may be
// called from any goroutine.
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
		r.fence, r.fresh, r.known, r.readAt = lease.Fence, false, false, time.Time{}
	}

	if !now.Before(r.readAt.Add(readInterval)) {
		r.read(ctx, now)
	}

	// A list from before this authority may ask for what another holder has done and undone.
	if !r.fresh {
		return
	}

	in := r.site.Input()
	in.Now = now
	l := *r.list.Load()

	if next, changed := Advance(l, in); changed && r.known {
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

	r.fresh, r.known, r.version = true, true, version
	r.Observe(l)
}

// write puts next on record and returns what is on record then, as far as is known.
func (r *Runner) write(ctx context.Context, l, next List) List {
	version, err := write(ctx, r.store, r.dc, r.version, next)
	if err != nil {
		r.known, r.readAt = false, time.Time{}

		return l
	}

	r.version = version
	r.Observe(next)

	return next
}

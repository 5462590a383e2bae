package ledger

import (
	"errors"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// errStopping resolves what a closed ledger can't write.
var errStopping = verdict.New(verdict.NotRun, verdict.CodeStopping, "the host is stopping")

// lane is the queue of one shard. The ledger's mutex guards it, but for pages and shared, which only
// the lane's goroutine uses. The goroutine runs while there are operations.
type lane struct {
	queue   []*operation
	running bool
	wake    chan struct{}
	next    time.Time     // earliest next write
	gap     time.Duration // spacing in force, which grows with the number of hosts that write
	since   time.Time     // when the batch under way was taken; zero for none
	down    time.Time     // until when claims that are not patient are refused at once
	pages   *lru.Cache[platform.Key, cached]
	shared  int // for how many more reads other hosts are taken to write, too
}

// cached is a page as last read or written. After a conflict it has no page.
type cached struct {
	page    *claims.Page
	version platform.Version
	writes  int       // of the page when it was cached
	at      time.Time // when it was cached
}

func (l *Ledger) newLane() *lane {
	pages, _ := lru.New[platform.Key, cached](cachedPages) // fails only for a size below one

	return &lane{wake: make(chan struct{}, 1), gap: l.opts.Spacing, pages: pages}
}

// submit queues o, to be written from due on.
func (l *Ledger) submit(o *operation, due time.Time) {
	o.due = due

	l.mu.Lock()
	defer l.mu.Unlock()

	if l.closed {
		o.resolve(claims.Change{Err: errStopping})

		return
	}

	ln := l.lanes[o.place.Shard]
	if ln == nil {
		ln = l.newLane()
		l.lanes[o.place.Shard] = ln
	}

	if o.kind == claim && !o.patient && l.out(ln) {
		o.resolve(claims.Change{Err: platform.ErrUnavailable})

		return
	}

	ln.queue = append(ln.queue, o)

	if !ln.running {
		ln.running = true
		l.active.Add(1)

		go l.run(ln)

		return
	}

	select {
	case ln.wake <- struct{}{}:
	default:
	}
}

// out reports whether the platform has just failed ln, or leaves it without an answer.
func (l *Ledger) out(ln *lane) bool {
	now := l.clock.Now()

	return now.Before(ln.down) || !ln.since.IsZero() && now.Sub(ln.since) > l.opts.Stall
}

// run writes the operations of ln until there are none.
func (l *Ledger) run(ln *lane) {
	defer l.active.Done()

	for {
		batch, wait, ok := l.take(ln)
		if !ok {
			return
		}

		if len(batch) > 0 {
			l.write(ln, batch)

			continue
		}

		select {
		case <-l.clock.After(wait):
		case <-ln.wake:
		case <-l.ctx.Done():
			return
		}
	}
}

// take removes the operations of the page that is due first, or says how long to wait for them.
// It reports false, and the lane's goroutine must end, when there are none.
func (l *Ledger) take(ln *lane) ([]*operation, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := l.clock.Now()
	ln.since = time.Time{}
	ln.queue = deleteOver(ln.queue, now)

	if len(ln.queue) == 0 || l.closed {
		ln.running = false

		return nil, 0, false
	}

	first := ln.queue[0]
	for _, o := range ln.queue {
		if o.due.Before(first.due) {
			first = o
		}
	}

	at := first.due
	if at.Before(ln.next) {
		at = ln.next
	}

	if now.Before(at) {
		return nil, at.Sub(now), true
	}

	var batch, rest []*operation

	for _, o := range ln.queue {
		if o.place == first.place {
			o.inFlight = true
			batch = append(batch, o)
		} else {
			rest = append(rest, o)
		}
	}

	ln.queue = rest
	ln.since = now
	ln.next = now.Add(ln.gap)

	return batch, 0, true
}

func deleteOver(queue []*operation, now time.Time) []*operation {
	var kept []*operation

	for _, o := range queue {
		if !o.over(now) {
			kept = append(kept, o)
		}
	}

	return kept
}

// requeue puts back what is not over, to be tried again from due on.
func (l *Ledger) requeue(ln *lane, batch []*operation, due time.Time) {
	for _, o := range batch {
		o.due = due
		o.inFlight = false
	}

	ln.queue = append(batch, ln.queue...)
}

// failAll resolves what is queued when the ledger has ended.
func (l *Ledger) failAll() {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, ln := range l.lanes {
		for _, o := range ln.queue {
			o.resolve(claims.Change{Err: errStopping})
		}
	}
}

// failed handles a batch of which this try wrote nothing, since the platform refused it.
func (l *Ledger) failed(ln *lane, batch []*operation, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := l.clock.Now()
	ln.down = now.Add(l.opts.Backoff)
	permanent := errors.Is(err, platform.ErrTooLarge)

	var again []*operation

	for _, o := range batch {
		if permanent || o.kind == claim && !o.patient && !o.uncertain {
			o.resolve(claims.Change{Err: err})
		} else {
			again = append(again, o)
		}
	}

	l.requeue(ln, again, ln.down)
}

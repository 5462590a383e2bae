package ledger

import (
	"errors"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// errStopping is the error of operations that a closed ledger drops.
var errStopping = verdict.New(verdict.NotRun, verdict.CodeStopping, "the host is stopping")

// shardQueue holds the operations of one shard that wait to be written. The ledger's mutex guards it,
// except for pages and sharedReadsLeft, which only the queue's goroutine uses. The goroutine runs while
// there are operations.
type shardQueue struct {
	operations       []*operation
	running          bool
	wake             chan struct{}
	nextWrite        time.Time     // earliest time of the next write
	spacing          time.Duration // time between writes, which grows with the number of hosts that write
	inFlightSince    time.Time     // when the current batch was taken; zero for none
	unavailableUntil time.Time     // until then, claims that are not patient are refused at once
	pages            *lru.Cache[platform.Key, cachedPage]
	sharedReadsLeft  int // remaining reads during which the shard counts as written by other hosts
}

// cachedPage is a page as this host last read or wrote it. After a conflict, page is nil.
type cachedPage struct {
	page     *claims.Page
	version  platform.Version
	writes   int       // page.Writes when it was cached
	cachedAt time.Time // when it was cached
}

func (l *Ledger) newShardQueue() *shardQueue {
	pages, _ := lru.New[platform.Key, cachedPage](pageCacheSize) // fails only for a size below one

	return &shardQueue{wake: make(chan struct{}, 1), spacing: l.opts.WriteSpacing, pages: pages}
}

// submit queues o, to be written at due or later.
func (l *Ledger) submit(o *operation, due time.Time) {
	o.due = due

	l.mu.Lock()
	defer l.mu.Unlock()

	if l.closed {
		o.resolve(claims.Change{Err: errStopping})

		return
	}

	q := l.queues[o.place.Shard]
	if q == nil {
		q = l.newShardQueue()
		l.queues[o.place.Shard] = q
	}

	if o.kind == claim && !o.patient && l.platformOut(q) {
		o.resolve(claims.Change{Err: platform.ErrUnavailable})

		return
	}

	q.operations = append(q.operations, o)

	if !q.running {
		q.running = true
		l.active.Add(1)

		go l.run(q)

		return
	}

	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// platformOut reports whether a call for q failed less than Options.Backoff ago, or has had no answer for
// longer than Options.StallTimeout.
func (l *Ledger) platformOut(q *shardQueue) bool {
	now := l.clock.Now()

	return now.Before(q.unavailableUntil) || !q.inFlightSince.IsZero() && now.Sub(q.inFlightSince) > l.opts.StallTimeout
}

// run writes the operations of q until there are none or the ledger is closed.
func (l *Ledger) run(q *shardQueue) {
	defer l.active.Done()

	for {
		batch, wait, ok := l.takeBatch(q)
		if !ok {
			return
		}

		if len(batch) > 0 {
			l.write(q, batch)

			continue
		}

		select {
		case <-l.clock.After(wait):
		case <-q.wake:
		case <-l.ctx.Done():
			return
		}
	}
}

// takeBatch removes from q all operations of the page that is due first, or returns how long to wait
// until it is due. It reports false if there are no operations; the queue's goroutine must end then.
func (l *Ledger) takeBatch(q *shardQueue) ([]*operation, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := l.clock.Now()
	q.inFlightSince = time.Time{}
	q.operations = dropObsolete(q.operations, now)

	if len(q.operations) == 0 || l.closed {
		q.running = false

		return nil, 0, false
	}

	first := q.operations[0]
	for _, o := range q.operations {
		if o.due.Before(first.due) {
			first = o
		}
	}

	at := first.due
	if at.Before(q.nextWrite) {
		at = q.nextWrite
	}

	if now.Before(at) {
		return nil, at.Sub(now), true
	}

	var batch, rest []*operation

	for _, o := range q.operations {
		if o.place == first.place {
			o.inFlight = true
			batch = append(batch, o)
		} else {
			rest = append(rest, o)
		}
	}

	q.operations = rest
	q.inFlightSince = now
	q.nextWrite = now.Add(q.spacing)

	return batch, 0, true
}

// dropObsolete returns the operations that are not obsolete at now.
func dropObsolete(queue []*operation, now time.Time) []*operation {
	var kept []*operation

	for _, o := range queue {
		if !o.obsolete(now) {
			kept = append(kept, o)
		}
	}

	return kept
}

// requeue puts batch back into q, to be tried again at due or later. The ledger's mutex must be held.
func (l *Ledger) requeue(q *shardQueue, batch []*operation, due time.Time) {
	for _, o := range batch {
		o.due = due
		o.inFlight = false
	}

	q.operations = append(batch, q.operations...)
}

// failAll fails all queued operations with errStopping.
func (l *Ledger) failAll() {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, q := range l.queues {
		for _, o := range q.operations {
			o.resolve(claims.Change{Err: errStopping})
		}
	}
}

// retryOrFail handles a batch of which this attempt wrote nothing because of err. If err is permanent, all
// operations fail. Otherwise, claims fail unless they are patient or an earlier write of them had an unknown
// outcome, and the other operations are queued again.
func (l *Ledger) retryOrFail(q *shardQueue, batch []*operation, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := l.clock.Now()
	q.unavailableUntil = now.Add(l.opts.Backoff)
	permanent := errors.Is(err, platform.ErrTooLarge)

	var retry []*operation

	for _, o := range batch {
		if permanent || o.kind == claim && !o.patient && !o.outcomeUnknown {
			o.resolve(claims.Change{Err: err})
		} else {
			retry = append(retry, o)
		}
	}

	l.requeue(q, retry, q.unavailableUntil)
}

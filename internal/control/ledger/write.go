package ledger

import (
	"errors"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// write makes one attempt to store batch, whose operations all belong to one page.
func (l *Ledger) write(q *shardQueue, batch []*operation) {
	if err := l.ensureLayout(); err != nil {
		l.retryOrFail(q, batch, err)

		return
	}

	object := batch[0].place.Object
	cached, found := q.pages.Get(object)

	if cached.page != nil && q.sharedReadsLeft == 0 {
		changes, changed := l.apply(cached.page, batch)
		if changed {
			l.put(q, object, cached, batch, changes)

			return
		}

		if allFinal(batch, changes) {
			l.resolve(batch, changes)

			return
		}
	}

	// The cached page may be out of date.
	fresh, err := l.read(object)
	if err != nil {
		q.pages.Remove(object)
		l.retryOrFail(q, batch, err)

		return
	}

	if found {
		l.adjustSpacing(q, fresh.writes-cached.writes, l.clock.Since(cached.cachedAt))
	}

	cached = fresh

	changes, changed := l.apply(cached.page, batch)
	if changed {
		l.put(q, object, cached, batch, changes)

		return
	}

	q.pages.Add(object, cached)
	l.resolve(batch, changes)
}

// allFinal reports whether a page that may be out of date is enough to answer batch: all operations are claims
// of keys with a final result, which never changes.
func allFinal(batch []*operation, changes []claims.Change) bool {
	for i, o := range batch {
		if o.kind != claim || changes[i].Err != nil || !changes[i].Record.Final() {
			return false
		}
	}

	return true
}

// read returns the page that object stores; a missing object is an empty page.
func (l *Ledger) read(object platform.Key) (cachedPage, error) {
	o, err := l.opts.Store.Get(l.ctx, object)
	if err != nil {
		return cachedPage{}, err
	}

	page, err := claims.DecodePage(o.Value)

	if err != nil {
		return cachedPage{}, err
	}

	return cachedPage{page: page, version: o.Version, writes: page.Writes(), cachedAt: l.clock.Now()}, nil
}

// apply applies batch to page and reports whether the page has to be written.
func (l *Ledger) apply(page *claims.Page, batch []*operation) ([]claims.Change, bool) {
	changes := make([]claims.Change, len(batch))
	changed := false

	for i, o := range batch {
		changes[i] = o.apply(page, l.isSpent)
		changed = changed || changes[i].Changed
	}

	return changes, changed
}

// put writes cached.page, to which batch was applied, and resolves or requeues batch.
func (l *Ledger) put(q *shardQueue, object platform.Key, cached cachedPage, batch []*operation, changes []claims.Change) {
	value, err := cached.page.Encode()
	if err != nil {
		q.pages.Remove(object)
		l.retryOrFail(q, batch, err)

		return
	}

	version, err := l.opts.Store.Put(l.ctx, object, cached.version, value)

	if err == nil {
		q.pages.Add(object, cachedPage{page: cached.page, version: version, writes: cached.page.Writes(), cachedAt: l.clock.Now()})
		l.resolve(batch, changes)

		return
	}

	// The cached page has changes that may not have been stored.
	q.pages.Remove(object)

	switch {
	case errors.Is(err, platform.ErrConflict):
		q.pages.Add(object, cachedPage{writes: cached.writes, cachedAt: cached.cachedAt})
		l.retryAfterConflict(q, batch)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrTooLarge):
		l.retryOrFail(q, batch, err)
	default:
		l.retryUnknownOutcome(q, batch)
	}
}

// resolve sends each operation of batch its change.
func (l *Ledger) resolve(batch []*operation, changes []claims.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for i, o := range batch {
		o.resolve(changes[i])
	}
}

// adjustSpacing sets the spacing of q so that all hosts that write to the shard together stay within
// the write budget of one host. otherWrites is the number of writes to the page by other hosts since
// this host last read or wrote it; since is the time since that read or write. If otherWrites is positive,
// the queue reads each page before it writes it, for the next sharedReads reads.
func (l *Ledger) adjustSpacing(q *shardQueue, otherWrites int, since time.Duration) {
	q.sharedReadsLeft = max(0, q.sharedReadsLeft-1)

	if otherWrites > 0 {
		q.sharedReadsLeft = sharedReads
	}

	spacing := l.opts.WriteSpacing * time.Duration(1+max(0, otherWrites))

	// After an idle period, the rate of the other hosts' writes counts, not their number.
	if free := since - l.opts.WriteSpacing*time.Duration(otherWrites); free > 0 {
		spacing = min(spacing, time.Duration(float64(l.opts.WriteSpacing)*float64(since)/float64(free)))
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	q.spacing = min(spacing, l.opts.WriteSpacing*maxWriters)
}

// retryAfterConflict queues batch again, to be applied to the page that another host has written.
func (l *Ledger) retryAfterConflict(q *shardQueue, batch []*operation) {
	q.sharedReadsLeft = sharedReads

	l.mu.Lock()
	defer l.mu.Unlock()

	l.requeue(q, batch, l.clock.Now())
}

// retryUnknownOutcome queues batch again after Options.Backoff. If the write took effect or still does, the
// next attempt finds the nonces of batch on the page or fails with a conflict.
func (l *Ledger) retryUnknownOutcome(q *shardQueue, batch []*operation) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, o := range batch {
		o.outcomeUnknown = true
	}

	l.requeue(q, batch, l.clock.Now().Add(l.opts.Backoff))
}

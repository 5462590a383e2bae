package ledger

import (
	"errors"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// write tries once to bring batch, whose operations share a page, onto the platform.
func (l *Ledger) write(ln *lane, batch []*operation) {
	if err := l.agree(); err != nil {
		l.failed(ln, batch, err)

		return
	}

	object := batch[0].place.Object
	held, known := ln.pages.Get(object)

	if held.page != nil && ln.shared == 0 {
		changes, changed := l.apply(held.page, batch)
		if changed {
			l.put(ln, object, held, batch, changes)

			return
		}

		if final(batch, changes) {
			l.resolve(batch, changes)

			return
		}
	}

	// What the cached page shows may have moved on since: read it.
	fresh, err := l.read(object)
	if err != nil {
		ln.pages.Remove(object)
		l.failed(ln, batch, err)

		return
	}

	if known {
		l.adjust(ln, fresh.writes-held.writes, l.clock.Since(held.at))
	}

	held = fresh

	changes, changed := l.apply(held.page, batch)
	if changed {
		l.put(ln, object, held, batch, changes)

		return
	}

	ln.pages.Add(object, held)
	l.resolve(batch, changes)
}

// final reports whether a page that is out of date answers batch well, since a definite result stays so.
func final(batch []*operation, changes []claims.Change) bool {
	for i, o := range batch {
		if o.kind != claim || changes[i].Err != nil || !changes[i].Record.Final() {
			return false
		}
	}

	return true
}

func (l *Ledger) read(object platform.Key) (cached, error) {
	o, err := l.opts.Store.Get(l.ctx, object)
	if err != nil {
		return cached{}, err
	}

	page, err := claims.DecodePage(o.Value)

	if err != nil {
		return cached{}, err
	}

	return cached{page: page, version: o.Version, writes: page.Writes(), at: l.clock.Now()}, nil
}

// apply makes the changes of batch on page and reports whether it has to be written.
func (l *Ledger) apply(page *claims.Page, batch []*operation) ([]claims.Change, bool) {
	changes := make([]claims.Change, len(batch))
	changed := false

	for i, o := range batch {
		changes[i] = o.apply(page, l.isSpent)
		changed = changed || changes[i].Changed
	}

	return changes, changed
}

// put writes the page held with the changes of batch.
func (l *Ledger) put(ln *lane, object platform.Key, held cached, batch []*operation, changes []claims.Change) {
	value, err := held.page.Encode()
	if err != nil {
		ln.pages.Remove(object)
		l.failed(ln, batch, err)

		return
	}

	version, err := l.opts.Store.Put(l.ctx, object, held.version, value)

	if err == nil {
		ln.pages.Add(object, cached{page: held.page, version: version, writes: held.page.Writes(), at: l.clock.Now()})
		l.resolve(batch, changes)

		return
	}

	// The page in memory has changes that the platform may not have.
	ln.pages.Remove(object)

	switch {
	case errors.Is(err, platform.ErrConflict):
		ln.pages.Add(object, cached{writes: held.writes, at: held.at})
		l.conflicted(ln, batch)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrTooLarge):
		l.failed(ln, batch, err)
	default:
		l.unknown(ln, batch)
	}
}

func (l *Ledger) resolve(batch []*operation, changes []claims.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for i, o := range batch {
		o.resolve(changes[i])
	}
}

// adjust sets the spacing after others wrote the page so many times since this host last saw it,
// so that all together keep to the budget of one. While there are others, the lane reads before it writes.
func (l *Ledger) adjust(ln *lane, others int, since time.Duration) {
	ln.shared = max(0, ln.shared-1)

	if others > 0 {
		ln.shared = sharedFor
	}

	gap := l.opts.Spacing * time.Duration(1+max(0, others))

	// After an idle time the others' rate counts, not their number of writes.
	if free := since - l.opts.Spacing*time.Duration(others); free > 0 {
		gap = min(gap, time.Duration(float64(l.opts.Spacing)*float64(since)/float64(free)))
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	ln.gap = min(gap, l.opts.Spacing*maxWriters)
}

// conflicted tries batch again on the page as another host left it.
func (l *Ledger) conflicted(ln *lane, batch []*operation) {
	ln.shared = sharedFor

	l.mu.Lock()
	defer l.mu.Unlock()

	l.requeue(ln, batch, l.clock.Now())
}

// unknown tries batch again later. If the write took effect, or does so meanwhile, the next try
// finds its nonces on the page or meets a conflict.
func (l *Ledger) unknown(ln *lane, batch []*operation) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, o := range batch {
		o.uncertain = true
	}

	l.requeue(ln, batch, l.clock.Now().Add(l.opts.Backoff))
}

package ledger

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
)

// kind tells the operations on a page.
type kind uint8

const (
	claim kind = iota
	finish
	abandon
)

// operation is one change that waits to be written. The ledger's mutex guards its mutable fields.
type operation struct {
	kind    kind
	place   claims.Place
	record  claims.Record
	result  claims.Result // of a finish
	patient bool          // waits while the platform is out
	expires time.Time     // when nobody waits for it any more; zero means never

	due       time.Time
	inFlight  bool // taken from the queue, to be written
	uncertain bool // an earlier write of it had an unknown outcome
	left      bool // its caller has gone
	resolved  bool
	done      chan claims.Change // takes one value
}

func newOperation(k kind, place claims.Place, r claims.Record) *operation {
	return &operation{kind: k, place: place, record: r, done: make(chan claims.Change, 1)}
}

// apply makes the change on p.
func (o *operation) apply(p *claims.Page, spent func(claims.Nonce) bool) claims.Change {
	switch o.kind {
	case finish:
		return p.Finish(o.place.Bucket, o.record.Key, o.record.Nonce, o.result)
	case abandon:
		return p.Abandon(o.place.Bucket, o.record)
	default:
		return p.Claim(o.place.Bucket, o.record, spent)
	}
}

// resolve hands c to the caller; the caller of resolve holds the ledger's mutex.
func (o *operation) resolve(c claims.Change) {
	if o.resolved {
		return
	}

	o.resolved = true
	o.inFlight = false
	o.done <- c
}

// over reports whether the operation needs no further work at now.
func (o *operation) over(now time.Time) bool {
	return o.left || o.resolved || !o.expires.IsZero() && now.After(o.expires)
}

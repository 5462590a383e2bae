package ledger

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
)

// kind is the kind of an operation on a page.
type kind uint8

const (
	claim kind = iota
	finish
	abandon
)

// operation is one change of a page that waits to be written. The ledger's mutex guards its mutable fields.
type operation struct {
	kind    kind
	place   claims.Place
	record  claims.Record
	result  claims.Result // result that a finish records
	patient bool          // the claim keeps waiting while the platform is unavailable
	expires time.Time     // when the operation is dropped; zero means never

	due            time.Time          // earliest time of the write
	inFlight       bool               // taken from the queue, to be written
	outcomeUnknown bool               // an earlier write of this operation had an unknown outcome
	callerGone     bool               // the caller no longer waits for the result
	resolved       bool               // a Change was sent to done
	done           chan claims.Change // receives one Change; buffered
}

func newOperation(k kind, place claims.Place, r claims.Record) *operation {
	return &operation{kind: k, place: place, record: r, done: make(chan claims.Change, 1)}
}

// apply applies o to p.
func (o *operation) apply(p *claims.Page, isSpent func(claims.Nonce) bool) claims.Change {
	switch o.kind {
	case finish:
		return p.Finish(o.place.Bucket, o.record.Key, o.record.Nonce, o.result)
	case abandon:
		return p.Abandon(o.place.Bucket, o.record)
	default:
		return p.Claim(o.place.Bucket, o.record, isSpent)
	}
}

// resolve sends c to done, unless o is already resolved. The ledger's mutex must be held.
func (o *operation) resolve(c claims.Change) {
	if o.resolved {
		return
	}

	o.resolved = true
	o.inFlight = false
	o.done <- c
}

// obsolete reports whether the operation needs no further work at now.
func (o *operation) obsolete(now time.Time) bool {
	return o.callerGone || o.resolved || !o.expires.IsZero() && now.After(o.expires)
}

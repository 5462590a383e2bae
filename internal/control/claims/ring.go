package claims

import (
	"cmp"
	"fmt"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	defaultShards = 16
	defaultWindow = 10 * time.Minute
	defaultSpan   = 30 * time.Second
	defaultSkew   = 30 * time.Second
)

// Shard numbers a part of the key space.
type Shard int

// Bucket numbers the span of time in which a key was made.
type Bucket int64

// Place is where the claim of a key is kept. The pages of one object follow each other in time.
type Place struct {
	Shard  Shard
	Bucket Bucket
	Object platform.Key
}

// Ring lays the claims of all keys over a fixed number of objects: for each shard a ring of pages,
// of which each holds the keys made in one span. All hosts must use the same Ring.
// The zero value works.
type Ring struct {
	Shards int           `json:"shards"` // zero means 16
	Window time.Duration `json:"window"` // age at which a key is refused; zero means 10 min
	Span   time.Duration `json:"span"`   // time covered by one page; zero means 30 s
	Skew   time.Duration `json:"skew"`   // how far a key may lie ahead of the host's clock; zero means 30 s
}

// WithDefaults returns r with its zero fields replaced.
func (r Ring) WithDefaults() Ring {
	r.Shards = cmp.Or(r.Shards, defaultShards)
	r.Window = cmp.Or(r.Window, defaultWindow)
	r.Span = cmp.Or(r.Span, defaultSpan)
	r.Skew = cmp.Or(r.Skew, defaultSkew)

	return r
}

// Slots returns the number of pages per shard: enough that a page is taken over by a later span
// only when each of its keys has left the window, by a clock that is ahead by the skew.
func (r Ring) Slots() int {
	r = r.WithDefaults()

	return 1 + int((r.Window+r.Skew+r.Span-1)/r.Span)
}

// Place returns where k is kept.
func (r Ring) Place(k Key) Place {
	r = r.WithDefaults()

	shard := k.hash() % uint64(r.Shards)
	bucket := k.Time().UnixMilli() / r.Span.Milliseconds()
	slot := bucket % int64(r.Slots())

	return Place{
		Shard:  Shard(shard),
		Bucket: Bucket(bucket),
		Object: platform.Key(fmt.Sprintf("claims/%d/%d", shard, slot)),
	}
}

// Check refuses a key that lies outside the window at now. It returns nil or a *verdict.Error.
//
// An old key is refused as MayHaveRun: a request with it may have run before its claim was dropped.
// So is a key slightly ahead, which another host's clock may have admitted.
func (r Ring) Check(k Key, now time.Time) error {
	r = r.WithDefaults()
	age := now.Sub(k.Time())

	if age > r.Window {
		return errExpired
	}

	if age < -2*r.Skew {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "idempotency key lies %s in the future", -age)
	}

	if age < -r.Skew {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBadRequest, "idempotency key lies %s in the future", -age).
			After(-age - r.Skew)
	}

	return nil
}

var errExpired = verdict.New(verdict.MayHaveRun, verdict.CodeKeyExpired,
	"idempotency key is older than the window; whether a request with it ran is no longer known")

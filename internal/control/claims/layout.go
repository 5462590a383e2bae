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

// Shard is the number of a part of the key space.
type Shard int

// Bucket is the number of the time span in which a key was made, counted from the Unix epoch.
type Bucket int64

// Place is where the claim of a key is stored. An object holds the pages of different buckets one after the other.
type Place struct {
	Shard  Shard
	Bucket Bucket
	Object platform.Key
}

// Layout determines in which object the claim of a key is stored. The number of objects is fixed:
// each shard has a ring of pages, each of which holds the keys made in one span. All hosts must use
// equal layouts. The zero value uses the defaults.
type Layout struct {
	Shards int           `json:"shards"` // zero means 16
	Window time.Duration `json:"window"` // age from which a key is refused; zero means 10 min
	Span   time.Duration `json:"span"`   // time covered by one page; zero means 30 s
	Skew   time.Duration `json:"skew"`   // how far a key's time may be ahead of the host's clock; zero means 30 s
}

// WithDefaults returns r with its zero fields replaced.
func (r Layout) WithDefaults() Layout {
	r.Shards = cmp.Or(r.Shards, defaultShards)
	r.Window = cmp.Or(r.Window, defaultWindow)
	r.Span = cmp.Or(r.Span, defaultSpan)
	r.Skew = cmp.Or(r.Skew, defaultSkew)

	return r
}

// Slots returns the number of pages per shard. It is large enough that a page is reused for a later
// span only once all of its keys have left the window, even if the reusing host's clock is ahead by Skew.
func (r Layout) Slots() int {
	r = r.WithDefaults()

	return 1 + int((r.Window+r.Skew+r.Span-1)/r.Span)
}

// Place returns where the claim of k is stored.
func (r Layout) Place(k Key) Place {
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

// Check refuses a key whose time is outside the window at now. It returns nil or a *verdict.Error.
//
// A key that is too old is refused as MayHaveRun, because a request with it may have run before its
// claim was dropped. So is a key that is ahead by at most twice the skew, because a host whose clock is
// ahead may have accepted it.
func (r Layout) Check(k Key, now time.Time) error {
	r = r.WithDefaults()
	age := now.Sub(k.Time())

	if age > r.Window {
		return errKeyExpired
	}

	if age < -2*r.Skew {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "time of the idempotency key is %s in the future", -age)
	}

	if age < -r.Skew {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBadRequest, "time of the idempotency key is %s in the future", -age).
			WithRetryAfter(-age - r.Skew)
	}

	return nil
}

var errKeyExpired = verdict.New(verdict.MayHaveRun, verdict.CodeKeyExpired,
	"idempotency key is older than the window; it is no longer known whether a request with it ran")

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

// WithDefaults returns l with its zero fields replaced.
func (l Layout) WithDefaults() Layout {
	l.Shards = cmp.Or(l.Shards, defaultShards)
	l.Window = cmp.Or(l.Window, defaultWindow)
	l.Span = cmp.Or(l.Span, defaultSpan)
	l.Skew = cmp.Or(l.Skew, defaultSkew)

	return l
}

// Slots returns the number of pages per shard. It is large enough that a page is reused for a later
// span only once all of its keys have left the window, even if the reusing host's clock is ahead by Skew.
func (l Layout) Slots() int {
	l = l.WithDefaults()

	return 1 + int((l.Window+l.Skew+l.Span-1)/l.Span)
}

// Place returns where the claim of k is stored.
func (l Layout) Place(k Key) Place {
	l = l.WithDefaults()

	shard := k.hash() % uint64(l.Shards)
	bucket := k.Time().UnixMilli() / l.Span.Milliseconds()
	slot := bucket % int64(l.Slots())

	return Place{
		Shard:  Shard(shard),
		Bucket: Bucket(bucket),
		Object: platform.Key(fmt.Sprintf("claims/%d/%d", shard, slot)),
	}
}

// Check refuses a key whose time is outside the window at now. It returns nil or a *verdict.Error.
//
// A key that is too old is refused as MayHaveRun, because a request with it may have run before its
// claim was dropped. So is a key that is ahead by more than the skew but at most twice the skew, because a
// host whose clock is ahead may have accepted it. A key that is further ahead is refused as NotRun.
func (l Layout) Check(k Key, now time.Time) error {
	l = l.WithDefaults()
	age := now.Sub(k.Time())

	if age > l.Window {
		return errKeyExpired
	}

	if age < -2*l.Skew {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "time of the idempotency key is %s in the future", -age)
	}

	if age < -l.Skew {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBadRequest, "time of the idempotency key is %s in the future", -age).
			WithRetryAfter(-age - l.Skew)
	}

	return nil
}

var errKeyExpired = verdict.New(verdict.MayHaveRun, verdict.CodeKeyExpired,
	"idempotency key is older than the window; it is no longer known whether a request with it ran")

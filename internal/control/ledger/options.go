package ledger

import (
	"cmp"
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Store is the part of the platform's object API that a Ledger uses. Its calls must have a timeout of
// their own. Its errors are those of package platform; any other error of Put counts as an unknown outcome.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
}

const (
	defaultWriteSpacing   = 64 * time.Millisecond
	defaultFinishDelay    = 250 * time.Millisecond
	defaultClaimTimeout   = 2 * time.Second
	defaultForwardTimeout = 300 * time.Millisecond
	defaultBackoff        = 250 * time.Millisecond
	defaultStallTimeout   = 500 * time.Millisecond
	defaultAbandonTimeout = time.Minute
	maxWriters            = 16      // largest factor by which the spacing grows when several hosts write to a shard
	sharedReads           = 32      // reads without a write by another host after which a shard counts as this host's alone
	spentCacheSize        = 1 << 16 // number of spent nonces that are remembered
	pageCacheSize         = 64      // pages per shard
)

// Options configure a Ledger. Store and Host are required; all other fields may be zero.
type Options struct {
	Store  Store
	Host   entity.HostID
	Clock  clockwork.Clock // nil means the system's clock
	Layout claims.Layout   // must be equal on all hosts

	WriteSpacing   time.Duration // shortest time between writes to one shard; zero means 64 ms
	FinishDelay    time.Duration // delay of results and withdrawals, so that more are written together; zero means 250 ms
	ClaimTimeout   time.Duration // timeout of a claim that is not patient; zero means 2 s
	ForwardTimeout time.Duration // timeout of a claim through another host; zero means 300 ms
	Backoff        time.Duration // pause after the platform failed; zero means 250 ms
	StallTimeout   time.Duration // time without an answer after which a call counts as an outage; zero means 500 ms
	AbandonTimeout time.Duration // how long a withdrawal is retried in the background; zero means 1 min
}

func (o Options) withDefaults() Options {
	o.Layout = o.Layout.WithDefaults()

	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}

	o.WriteSpacing = cmp.Or(o.WriteSpacing, defaultWriteSpacing)
	o.FinishDelay = cmp.Or(o.FinishDelay, defaultFinishDelay)
	o.ClaimTimeout = cmp.Or(o.ClaimTimeout, defaultClaimTimeout)
	o.ForwardTimeout = cmp.Or(o.ForwardTimeout, defaultForwardTimeout)
	o.Backoff = cmp.Or(o.Backoff, defaultBackoff)
	o.StallTimeout = cmp.Or(o.StallTimeout, defaultStallTimeout)
	o.AbandonTimeout = cmp.Or(o.AbandonTimeout, defaultAbandonTimeout)

	return o
}

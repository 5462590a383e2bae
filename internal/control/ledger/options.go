package ledger

import (
	"cmp"
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Store is the part of the platform's object API that a Ledger uses. Its calls must have a timeout of
// their own. Its errors are those of package platform; any other error of Put counts as an unknown outcome.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
}

const (
	defaultSpacing     = 64 * time.Millisecond
	defaultFinishLag   = 250 * time.Millisecond
	defaultWait        = 2 * time.Second
	defaultForwardWait = 300 * time.Millisecond
	defaultBackoff     = 250 * time.Millisecond
	defaultStall       = 500 * time.Millisecond
	defaultAbandonFor  = time.Minute
	maxWriters         = 16      // largest factor by which the spacing grows when several hosts write to a shard
	sharedReads        = 32      // reads without a write by another host after which a shard counts as this host's alone
	spentCacheSize     = 1 << 16 // number of spent nonces that are remembered
	pageCacheSize      = 64      // pages per shard
)

// Options configure a Ledger. Store and Host are required; each other zero value works.
type Options struct {
	Store Store
	Host  table.HostID
	Clock clockwork.Clock // nil means the system's clock
	Ring  claims.Ring     // must be equal on all hosts

	Spacing     time.Duration // shortest time between writes to one shard; zero means 64 ms
	FinishLag   time.Duration // delay of results and withdrawals, so that more are written together; zero means 250 ms
	Wait        time.Duration // timeout of a claim that is not patient; zero means 2 s
	ForwardWait time.Duration // timeout of a claim through another host; zero means 300 ms
	Backoff     time.Duration // pause after the platform failed; zero means 250 ms
	Stall       time.Duration // time without an answer after which a call counts as an outage; zero means 500 ms
	AbandonFor  time.Duration // how long a withdrawal is retried in the background; zero means 1 min
}

func (o Options) withDefaults() Options {
	o.Ring = o.Ring.WithDefaults()

	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}

	o.Spacing = cmp.Or(o.Spacing, defaultSpacing)
	o.FinishLag = cmp.Or(o.FinishLag, defaultFinishLag)
	o.Wait = cmp.Or(o.Wait, defaultWait)
	o.ForwardWait = cmp.Or(o.ForwardWait, defaultForwardWait)
	o.Backoff = cmp.Or(o.Backoff, defaultBackoff)
	o.Stall = cmp.Or(o.Stall, defaultStall)
	o.AbandonFor = cmp.Or(o.AbandonFor, defaultAbandonFor)

	return o
}

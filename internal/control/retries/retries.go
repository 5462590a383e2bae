package retries

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	defaultRatio  = 0.1
	defaultBurst  = 10.0
	defaultRefill = 0.1

	// roundingTolerance is the part of a retry by which rounding errors may exceed a bound.
	roundingTolerance = 1e-9
)

// Options set the budget of each account. A zero field takes its default.
type Options struct {
	Ratio  float64 // retries earned per success
	Burst  float64 // maximum number of retries that an account can save up, and its initial budget
	Refill float64 // retries earned per second even without a success, for accounts with little traffic
}

// Budget holds the retry budgets of all accounts. Accounts whose budget is full take no memory after a
// Tick. It is not safe for concurrent use.
type Budget struct {
	opts    Options
	buckets map[entity.AccountID]bucket
	denied  uint64
}

// bucket is the token bucket of one account: at the time at, its budget was Options.Burst minus deficit.
type bucket struct {
	deficit float64
	at      time.Time
}

// New returns a Budget that is full for all accounts.
func New(o Options) *Budget {
	if o.Ratio <= 0 {
		o.Ratio = defaultRatio
	}

	if o.Burst <= 0 {
		o.Burst = defaultBurst
	}

	if o.Refill <= 0 {
		o.Refill = defaultRefill
	}

	return &Budget{opts: o, buckets: make(map[entity.AccountID]bucket)}
}

// Permits reports whether a verdict allows a retry, regardless of the budget. Work that has not run may
// always be retried, work that may have run only if its kind need not run at most once, and work that ran never.
func Permits(v verdict.Verdict, atMostOnce bool) bool {
	switch v {
	case verdict.NotRun:
		return true
	case verdict.MayHaveRun:
		return !atMostOnce
	default:
		return false
	}
}

// Take reports whether a request of account that failed with v may be retried now, and if so charges the retry
// to the account's budget. A hedged request passes MayHaveRun, as its first run is still in progress.
func (b *Budget) Take(now time.Time, account entity.AccountID, v verdict.Verdict, atMostOnce bool) bool {
	if !Permits(v, atMostOnce) {
		return false
	}

	deficit := b.deficit(now, account)
	if deficit+1 > b.opts.Burst+roundingTolerance {
		b.denied++

		return false
	}

	b.buckets[account] = bucket{deficit: deficit + 1, at: now}

	return true
}

// Succeeded records a complete answer to a request of account.
func (b *Budget) Succeeded(now time.Time, account entity.AccountID) {
	if _, ok := b.buckets[account]; !ok {
		return
	}

	b.set(now, account, b.deficit(now, account)-b.opts.Ratio)
}

// Tick removes the state of accounts whose budget is full again.
func (b *Budget) Tick(now time.Time) {
	for account := range b.buckets {
		b.set(now, account, b.deficit(now, account))
	}
}

// Denied returns the number of retries that the verdict allowed and the budget denied.
func (b *Budget) Denied() uint64 { return b.denied }

// Accounts returns the number of accounts whose budget was not full when it was last computed, by Take, Succeeded or
// Tick.
func (b *Budget) Accounts() int { return len(b.buckets) }

func (b *Budget) deficit(now time.Time, account entity.AccountID) float64 {
	last, ok := b.buckets[account]
	if !ok {
		return 0
	}

	return max(0, last.deficit-max(0, now.Sub(last.at).Seconds())*b.opts.Refill)
}

func (b *Budget) set(now time.Time, account entity.AccountID, deficit float64) {
	if deficit <= roundingTolerance {
		delete(b.buckets, account)

		return
	}

	b.buckets[account] = bucket{deficit: deficit, at: now}
}

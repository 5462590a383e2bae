package retries

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	defaultRatio  = 0.1
	defaultBurst  = 10.0
	defaultRefill = 0.1

	// roundingTolerance is less than any share of a retry that counts.
	roundingTolerance = 1e-9
)

// Options set the budget of each account. A zero field takes its default.
type Options struct {
	Ratio  float64 // retries earned by one success
	Burst  float64 // retries that can be saved up, and that an account starts with
	Refill float64 // retries earned a second without any success, for accounts with little traffic
}

// Budget holds the retry budgets of all accounts. An account with a full budget takes no memory.
// It is not safe for concurrent use.
type Budget struct {
	opts    Options
	buckets map[table.AccountID]bucket
	denied  uint64
}

// bucket is what an account lacks from a full budget.
type bucket struct {
	deficit float64
	at      time.Time
}

// New returns a Budget that is full for each account.
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

	return &Budget{opts: o, buckets: make(map[table.AccountID]bucket)}
}

// Permits reports whether a verdict lets a request be tried again at all. Work that has not run
// may always be tried elsewhere, work that may have run unless its kind runs at most once, and
// work that ran never.
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

// Take reports whether a request of account that failed with v may be tried again now, and if so
// takes the retry from the account's budget. A hedge asks with MayHaveRun, as its first run goes on.
func (b *Budget) Take(now time.Time, account table.AccountID, v verdict.Verdict, atMostOnce bool) bool {
	if !Permits(v, atMostOnce) {
		return false
	}

	lacks := b.deficit(now, account)
	if lacks+1 > b.opts.Burst+roundingTolerance {
		b.denied++

		return false
	}

	b.buckets[account] = bucket{deficit: lacks + 1, at: now}

	return true
}

// Succeeded records an answer that ended whole.
func (b *Budget) Succeeded(now time.Time, account table.AccountID) {
	if _, ok := b.buckets[account]; !ok {
		return
	}

	b.set(now, account, b.deficit(now, account)-b.opts.Ratio)
}

// Tick forgets the accounts whose budget is full again.
func (b *Budget) Tick(now time.Time) {
	for account := range b.buckets {
		b.set(now, account, b.deficit(now, account))
	}
}

// Denied returns the number of retries that the budget, not the verdict, has denied.
func (b *Budget) Denied() uint64 { return b.denied }

// Accounts returns the number of accounts whose budget is not full.
func (b *Budget) Accounts() int { return len(b.buckets) }

func (b *Budget) deficit(now time.Time, account table.AccountID) float64 {
	s, ok := b.buckets[account]
	if !ok {
		return 0
	}

	return max(0, s.deficit-max(0, now.Sub(s.at).Seconds())*b.opts.Refill)
}

func (b *Budget) set(now time.Time, account table.AccountID, lacks float64) {
	if lacks <= roundingTolerance {
		delete(b.buckets, account)

		return
	}

	b.buckets[account] = bucket{deficit: lacks, at: now}
}

package host

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/retries"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const budgetTick = time.Minute

// budget shares the accounts' retry budgets between the goroutines of traffic.
type budget struct {
	clock clockwork.Clock

	mu     sync.Mutex
	table  *retries.Budget
	ticked time.Time
}

func newBudget(clock clockwork.Clock) *budget {
	return &budget{clock: clock, table: retries.New(retries.Options{}), ticked: clock.Now()}
}

// Allow implements dispatch.Retries.
func (b *budget) Allow(req table.Request, failed error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	now := b.clock.Now()

	if now.Sub(b.ticked) > budgetTick {
		b.table.Tick(now)
		b.ticked = now
	}

	return b.table.Take(now, req.Account, verdict.Of(failed), req.Kind.AtMostOnce)
}

func (b *budget) observe(o caller.Outcome) {
	if o.Problem != nil {
		return
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	b.table.Succeeded(b.clock.Now(), o.Request.Account)
}

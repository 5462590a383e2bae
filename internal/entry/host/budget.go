package host

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/retries"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// budgetTickInterval is the least time between two calls of retries.Budget.Tick, which removes the state of full budgets.
const budgetTickInterval = time.Minute

// retryBudget makes the accounts' retry budgets safe for concurrent use.
type retryBudget struct {
	clock clockwork.Clock

	mu       sync.Mutex
	budgets  *retries.Budget
	lastTick time.Time
}

func newRetryBudget(clock clockwork.Clock) *retryBudget {
	return &retryBudget{clock: clock, budgets: retries.New(retries.Options{}), lastTick: clock.Now()}
}

// Allow implements dispatch.Retries. It reports whether req may be retried after err, and if so takes one retry
// from the budget of the account.
func (b *retryBudget) Allow(req entity.Request, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	now := b.clock.Now()

	if now.Sub(b.lastTick) > budgetTickInterval {
		b.budgets.Tick(now)
		b.lastTick = now
	}

	return b.budgets.Take(now, req.Account, verdict.Of(err), req.Kind.AtMostOnce)
}

// observe refills the retry budget of o's account by the share for one successful call. A failed call has no effect.
func (b *retryBudget) observe(o caller.Outcome) {
	if o.Problem != nil {
		return
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	b.budgets.Succeeded(b.clock.Now(), o.Request.Account)
}

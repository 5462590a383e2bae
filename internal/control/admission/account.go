package admission

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// account holds the limits and the current use of one client account, over all urgencies.
type account struct {
	limits entity.Limits
	open   int   // accepted work that has not ended
	meter  meter // tokens of accepted work, drained at the account's own limits
}

func (c *Controller) account(id entity.AccountID) *account {
	a, ok := c.accounts[id]
	if !ok {
		a = &account{}
		c.accounts[id] = a
	}

	return a
}

func (a *account) weight() float64 {
	if a.limits.Weight <= 0 {
		return 1
	}

	return a.limits.Weight
}

func (a *account) rate() amounts {
	return amounts{float64(a.limits.PrefillPerSecond), float64(a.limits.DecodePerSecond)}
}

// checkLimits refuses work while its account is at the limit of open work or of a kind of tokens that w needs.
func (c *Controller) checkLimits(now time.Time, a *account, w *Work) Decision {
	a.meter.drain(now, a.rate(), 1)

	if a.limits.Open > 0 && a.open >= a.limits.Open {
		runTime := time.Duration(c.lanes[w.Urgency].runSeconds.value * float64(time.Second))

		return Decision{Code: verdict.CodeAccountLimit, RetryAfter: spread(w.Request, runTime/time.Duration(a.open))}
	}

	need := amounts{float64(w.Prefill), float64(w.Decode)}
	burst := c.opts.AccountBurst.Seconds()

	if !a.meter.below(need, a.rate(), burst) {
		wait := a.meter.excess(need, a.rate(), burst)

		return Decision{Code: verdict.CodeAccountLimit, RetryAfter: spread(w.Request, time.Duration(wait*float64(time.Second)))}
	}

	return Decision{Accepted: true}
}

package admission

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Work is a request to be admitted. Prefill and Decode are estimates in tokens; both are zero for a plain
// service. Work with a zero Deadline is bound by Options.MaxWait alone.
type Work struct {
	Request  entity.RequestID
	Account  entity.AccountID
	Kind     entity.KindName
	Urgency  entity.Urgency
	Prefill  entity.Tokens
	Decode   entity.Tokens
	Arrived  time.Time
	Deadline time.Time
}

// Decision is the result of an offer. Code is set for a refusal, which always means that the work has not run;
// RetryAfter is set as well, unless the deadline had passed on arrival.
type Decision struct {
	Accepted   bool
	Code       verdict.Code
	RetryAfter time.Duration
}

// Error returns a refusal as a not-run error, or nil for accepted work.
func (d Decision) Error() *verdict.Error {
	if d.Accepted {
		return nil
	}

	return verdict.New(verdict.NotRun, d.Code, "%s", refusalMessages[d.Code]).WithRetryAfter(d.RetryAfter)
}

// refusalMessages are the messages to callers whose work was refused.
var refusalMessages = map[verdict.Code]string{
	verdict.CodeAccountLimit: "the request exceeds the limits of this client account at present",
	verdict.CodeOverloaded:   "the request would not start in time because of the work queued before it",
	verdict.CodeDeadline:     "the request cannot end within its deadline; allow more time or ask for fewer tokens",
	verdict.CodeNoTarget:     "no target can take the request now",
}

// Grant is queued work that may start now.
type Grant struct {
	Work Work
}

// Refusal is queued work that was refused because it can no longer start in time. It has not run.
type Refusal struct {
	Work Work
	Decision
}

// Usage holds the tokens that a request has used.
type Usage struct {
	Prefill entity.Tokens
	Decode  entity.Tokens
}

// Capacity is the part of the targets' capacity that this entry host may use. A zero rate leaves that resource
// unmetered; zero Slots mean that nothing can start.
type Capacity struct {
	PrefillPerSecond entity.Tokens
	DecodePerSecond  entity.Tokens
	Slots            int
}

// Stats are the numbers of queued and running work by urgency at one moment.
type Stats struct {
	Queued   [entity.UrgencyCount]int
	Running  [entity.UrgencyCount]int
	Accounts int // number of accounts with state
}

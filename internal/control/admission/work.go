package admission

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Work is a request that asks to be run. Prefill and Decode are estimates; both are zero for a
// plain service. A zero Deadline leaves the bound to Options.MaxWait.
type Work struct {
	Request  table.RequestID
	Account  table.AccountID
	Kind     table.KindName
	Urgency  table.Urgency
	Prefill  table.Tokens
	Decode   table.Tokens
	Arrived  time.Time
	Deadline time.Time
}

// Decision answers an offer. Code and RetryAfter are set for a refusal, which always means that
// the work has not run.
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

	return verdict.New(verdict.NotRun, d.Code, "%s", reasons[d.Code]).After(d.RetryAfter)
}

// reasons tell a caller why its work was refused.
var reasons = map[verdict.Code]string{
	verdict.CodeLimit:      "the limits of this client account leave no room for the request now",
	verdict.CodeOverloaded: "the request would not start in time behind the work that waits",
	verdict.CodeDeadline:   "the request cannot end within its deadline; allow more time or ask for fewer tokens",
	verdict.CodeNoTarget:   "no target can take the request now",
}

// Grant says that queued work may start now.
type Grant struct {
	Work Work
}

// Refusal ends queued work that can no longer start in time. It has not run.
type Refusal struct {
	Work Work
	Decision
}

// Usage is what a request really used.
type Usage struct {
	Prefill table.Tokens
	Decode  table.Tokens
}

// Capacity is what this entry host may use of its targets. A zero rate leaves that resource
// unmetered; zero Slots mean that nothing can start.
type Capacity struct {
	PrefillPerSecond table.Tokens
	DecodePerSecond  table.Tokens
	Slots            int
}

// Stats describe the controller at one moment.
type Stats struct {
	Queued   [table.UrgencyCount]int
	Running  [table.UrgencyCount]int
	Accounts int // accounts that hold state
}

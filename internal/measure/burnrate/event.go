package burnrate

import (
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Event classifies how a request ended with regard to its objective.
type Event uint8

const (
	// Good requests were answered completely and within their objective, or failed because the caller was at
	// fault or gave them up. Good is the zero value.
	Good Event = iota
	// Refused requests were not run.
	Refused
	// Late answers were complete but exceeded a bound of their objective.
	Late
	// Cut answers were truncated.
	Cut
	// MayHaveRun requests ended without it being known whether they ran.
	MayHaveRun
	// TargetLost requests ended because their target failed.
	TargetLost
	// RoleChange requests were late, were refused or may have run while their targets were changing role.
	RoleChange
	eventCount
)

var eventNames = [eventCount]string{
	"good", "refused", "late", "cut", "may-have-run", "target-lost", "role-change",
}

// String returns the kebab-case name of e.
func (e Event) String() string { return eventNames[e%eventCount] }

// MarshalText encodes e as its name.
func (e Event) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText decodes the name of an event. Any other text is an error.
func (e *Event) UnmarshalText(text []byte) error {
	i := slices.Index(eventNames[:], string(text))
	if i < 0 {
		return Error.New("unknown event %q", text)
	}

	*e = Event(i)

	return nil
}

// EventOf returns the event of a request that ended with err. late reports that a complete answer exceeded
// its objective, changing that the request's targets were changing role. Requests that failed through
// the caller's own fault, or that the caller gave up, count as Good, since no objective promises them
// an answer.
func EventOf(err error, late, changing bool) Event {
	if err == nil {
		return answerEvent(late, changing)
	}

	e := verdict.From(err)

	switch {
	case isCallerFault(e.Code):
		return Good
	case e.Code == verdict.CodeTargetLost:
		return TargetLost
	case e.Code == verdict.CodeTruncated:
		return Cut
	case changing:
		return RoleChange
	case e.Verdict == verdict.NotRun:
		return Refused
	default:
		return MayHaveRun
	}
}

// Timing holds the latencies of a complete answer.
type Timing struct {
	FirstToken    time.Duration // time from arrival to the first output token
	BetweenTokens time.Duration // mean time between output tokens
	Total         time.Duration // time from arrival to the end
}

// Late reports whether t exceeds a bound of o. Zero bounds of o are ignored.
func (t Timing) Late(o entity.Objective) bool {
	return exceeds(t.FirstToken, o.FirstToken) || exceeds(t.BetweenTokens, o.BetweenTokens) || exceeds(t.Total, o.Total)
}

func exceeds(d, bound time.Duration) bool { return bound > 0 && d > bound }

func answerEvent(late, changing bool) Event {
	switch {
	case late && changing:
		return RoleChange
	case late:
		return Late
	default:
		return Good
	}
}

func isCallerFault(code verdict.Code) bool {
	switch code {
	case verdict.CodeBadRequest, verdict.CodeUnauthorized, verdict.CodeNotFound, verdict.CodeTooLarge,
		verdict.CodeKeyExpired, verdict.CodeKeyReused, verdict.CodeKeyRequired, verdict.CodeMethodNotAllowed, verdict.CodeCallerGone:
		return true
	default:
		return false
	}
}

package burn

import (
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Event is how one request ended, as its objective sees it.
type Event uint8

const (
	// Good requests were answered whole and within their objective. It is the zero value.
	Good Event = iota
	// Refused requests were not run.
	Refused
	// Late answers were whole but missed a bound of their objective.
	Late
	// Cut answers broke off on the way.
	Cut
	// MayHaveRun requests ended with nobody knowing whether they ran.
	MayHaveRun
	// TargetLost requests ended because their target failed.
	TargetLost
	// RoleChange requests were refused or late because their targets changed role.
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

// UnmarshalText decodes a name of an event and fails on any other text.
func (e *Event) UnmarshalText(text []byte) error {
	i := slices.Index(eventNames[:], string(text))
	if i < 0 {
		return Error.New("unknown event %q", text)
	}

	*e = Event(i)

	return nil
}

// Of returns the event of a request that ended with err; late says that an answer missed its
// objective, changing that its targets were changing role. A bad request of the caller's own making,
// or one that its caller gave up, counts as Good, as no objective promises it an answer.
func Of(err error, late, changing bool) Event {
	if err == nil {
		return ofAnswer(late, changing)
	}

	e := verdict.From(err)

	switch {
	case callersFault(e.Code):
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

// Timing is how long a whole answer took.
type Timing struct {
	FirstToken    time.Duration // from arrival to the first output token
	BetweenTokens time.Duration // mean between output tokens
	Total         time.Duration // from arrival to the end
}

// Late reports whether t misses a bound of o. A zero bound is none.
func (t Timing) Late(o table.Objective) bool {
	return exceeds(t.FirstToken, o.FirstToken) || exceeds(t.BetweenTokens, o.BetweenTokens) || exceeds(t.Total, o.Total)
}

func exceeds(d, bound time.Duration) bool { return bound > 0 && d > bound }

func ofAnswer(late, changing bool) Event {
	switch {
	case late && changing:
		return RoleChange
	case late:
		return Late
	default:
		return Good
	}
}

func callersFault(code verdict.Code) bool {
	switch code {
	case verdict.CodeBadRequest, verdict.CodeUnauthorized, verdict.CodeNotFound, verdict.CodeTooLarge,
		verdict.CodeKeyExpired, verdict.CodeKeyReused, verdict.CodeKeyRequired, verdict.CodeMethod, verdict.CodeCallerGone:
		return true
	default:
		return false
	}
}

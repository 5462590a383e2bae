package peer

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// FromError converts err to a Problem, without its cause. It returns nil for a nil err.
func FromError(err error) *Problem {
	e := verdict.From(err)
	if e == nil {
		return nil
	}

	return &Problem{
		Verdict: e.Verdict.String(), Code: string(e.Code), Message: e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// ToError converts x back to an Error. It returns nil for a nil x.
func (x *Problem) ToError() *verdict.Error {
	if x == nil {
		return nil
	}

	return &verdict.Error{
		Verdict: verdict.Parse(x.GetVerdict()), Code: verdict.Code(x.GetCode()), Message: x.GetMessage(),
		RetryAfter: time.Duration(x.GetRetryAfterMs()) * time.Millisecond,
	}
}

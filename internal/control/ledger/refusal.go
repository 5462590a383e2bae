package ledger

import (
	"errors"

	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// asRefusal converts an error of a page or of the platform to a *verdict.Error whose verdict is correct for req.
func asRefusal(req Request, err error) error {
	var e *verdict.Error

	switch {
	case errors.Is(err, platform.ErrUnavailable):
		return refusal(req, verdict.CodePlatformUnavailable, "the platform can't be reached").WithCause(err).WithRetryAfter(defaultBackoff)
	case !errors.As(err, &e):
		return refusal(req, verdict.CodeInternal, "the claim failed").WithCause(err)
	case e.Code == verdict.CodeKeyReused:
		return e
	case e.Verdict == verdict.NotRun:
		return refusal(req, e.Code, e.Message).WithCause(e.Err).WithRetryAfter(e.RetryAfter)
	default:
		return e
	}
}

// refusal returns an error with the verdict NotRun, or MayHaveRun if the caller may have sent the key before.
func refusal(req Request, code verdict.Code, message string) *verdict.Error {
	if req.Repeat {
		return verdict.New(verdict.MayHaveRun, code, "%s; it is not known whether an earlier request with this key ran", message)
	}

	return verdict.New(verdict.NotRun, code, "%s", message)
}

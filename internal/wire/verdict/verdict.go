package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have run on a target.
type Verdict uint8

const (
	// MayHaveRun means that a target may have run the request. It is the zero value.
	MayHaveRun Verdict = iota
	// NotRun means that no target has run the request, and that none will run it as a result of this attempt.
	NotRun
	// Ran means that a target ran the request.
	Ran
)

var names = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the kebab-case name of v; an undefined value is named "may-have-run".
func (v Verdict) String() string {
	if int(v) >= len(names) {
		return names[MayHaveRun]
	}

	return names[v]
}

// Parse returns the Verdict named s. An unknown name yields MayHaveRun.
func Parse(s string) Verdict {
	for i, name := range names {
		if s == name {
			return Verdict(i)
		}
	}

	return MayHaveRun
}

// MarshalText encodes v as its kebab-case name.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText decodes a kebab-case name; an unknown name decodes as MayHaveRun.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = Parse(string(text))

	return nil
}

// Code identifies the reason for an Error. It is a stable name in kebab case, for example "overloaded".
type Code string

// Codes of errors. Unless noted, callers can receive them, for example in the "code" member of a problem document.
const (
	CodeBadRequest          Code = "bad-request"
	CodeUnauthorized        Code = "unauthorized"
	CodeNotFound            Code = "not-found"
	CodeTooLarge            Code = "too-large"
	CodeOverloaded          Code = "overloaded"
	CodeAccountLimit        Code = "account-limit"
	CodeNoTarget            Code = "no-target"
	CodeDeadline            Code = "deadline"
	CodeQuarantined         Code = "quarantined"
	CodeUnknownOrigin       Code = "unknown-origin"
	CodePlatformUnavailable Code = "platform-unavailable"
	CodeKeyExpired          Code = "key-expired"
	CodeKeyReused           Code = "key-reused"
	CodeKeyRequired         Code = "key-required"
	CodeTargetLost          Code = "target-lost"
	CodeTargetSilent        Code = "target-silent" // between entry hosts only
	CodePeerLost            Code = "peer-lost"
	CodeKVLost              Code = "kv-cache-lost"
	CodeOtherVersion        Code = "other-version"
	CodeTruncated           Code = "truncated"
	CodeAnswerTooLarge      Code = "answer-too-large"
	CodeStopping            Code = "stopping"
	CodeNotReady            Code = "not-ready"
	CodeMethodNotAllowed    Code = "method-not-allowed"
	CodeCallerGone          Code = "caller-gone" // counted, never sent
	CodeInternal            Code = "internal"
)

// Error describes the failure of a request and carries its Verdict.
//
// RetryAfter is the delay after which a retry is suggested; zero means that no retry is suggested.
// Err is the cause and may be nil.
type Error struct {
	Verdict    Verdict
	Code       Code
	Message    string
	RetryAfter time.Duration
	Err        error
}

// New returns an Error without a cause.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Verdict, e.Message, e.Err)
	}

	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error {
	return e.Err
}

// WithRetryAfter returns a copy of e that suggests a retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d

	return &c
}

// WithCause returns a copy of e whose cause is err.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Err = err

	return &c
}

// Of returns the Verdict of err: Ran if err is nil, the Verdict of the outermost Error in err's chain if there is
// one, else MayHaveRun.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}

	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}

	return MayHaveRun
}

// From returns the outermost Error in err's chain. If there is none, it returns an Error that wraps err, with
// Verdict MayHaveRun and CodeInternal. It returns nil for a nil err.
func From(err error) *Error {
	if err == nil {
		return nil
	}

	var e *Error
	if errors.As(err, &e) {
		return e
	}

	return New(MayHaveRun, CodeInternal, "unexpected failure").WithCause(err)
}

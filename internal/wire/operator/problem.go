package operator

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

// Error is the class of this package's errors.
var Error = errs.Class("operator")

// ErrNotFound is returned by a Backend for an unknown plan or target.
var ErrNotFound = errs.New("operator: not found")

// Code identifies the reason for a problem. The names of the codes are stable.
type Code string

// Codes of problems.
const (
	CodeBadRequest   Code = "bad-request"
	CodeUnauthorized Code = "unauthorized"
	CodeNotFound     Code = "not-found"
	CodeTooLarge     Code = "too-large"
	CodeInvalid      Code = "invalid"      // nothing changed; Problems lists the faults
	CodeConflict     Code = "conflict"     // nothing changed; Conflicts lists the differences
	CodeNotAccepted  Code = "not-accepted" // nothing changed; time or attempts ran out, as when the platform is down
	CodeUnsettled    Code = "unsettled"    // the edit may come into force; send the same request again
	CodeInternal     Code = "internal"     // a fault of the host; a change may come into force
)

// ProblemError is the body of an error response.
type ProblemError struct {
	Title      string                   `json:"title"`
	Status     int                      `json:"status"`
	Code       Code                     `json:"code"`
	Detail     string                   `json:"detail,omitempty"`
	Problems   []yamlfile.Problem       `json:"problems,omitempty"`
	Conflicts  []configuration.Conflict `json:"conflicts,omitempty"`
	Generation entity.Generation        `json:"generation,omitempty"` // generation in force, for a conflict
}

// Error returns the code and the detail.
func (p *ProblemError) Error() string {
	return fmt.Sprintf("%s: %s", p.Code, p.Detail)
}

func newProblem(status int, code Code, format string, args ...any) *ProblemError {
	return &ProblemError{Title: http.StatusText(status), Status: status, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// problemOf returns the error response for err.
func problemOf(err error) *ProblemError {
	var (
		p        *ProblemError
		invalid  *yamlfile.InvalidError
		conflict *configuration.ConflictError
		tooLarge *http.MaxBytesError
	)

	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &invalid):
		p = newProblem(http.StatusUnprocessableEntity, CodeInvalid, "%v", err)
		p.Problems = invalid.Problems
	case errors.As(err, &conflict):
		p = newProblem(http.StatusConflict, CodeConflict, "%v", err)
		p.Conflicts, p.Generation = conflict.Conflicts, conflict.Generation
	case errors.As(err, &tooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body has more than %d bytes", tooLarge.Limit)
	case errors.Is(err, configuration.ErrNotAccepted):
		return newProblem(http.StatusServiceUnavailable, CodeNotAccepted, "%v", err)
	case errors.Is(err, configuration.ErrUnsettled):
		return newProblem(http.StatusGatewayTimeout, CodeUnsettled, "%v", err)
	case errors.Is(err, configuration.ErrEditIDReused):
		return newProblem(http.StatusBadRequest, CodeBadRequest, "%v", err)
	case errors.Is(err, ErrNotFound):
		return newProblem(http.StatusNotFound, CodeNotFound, "%v", err)
	default:
		return newProblem(http.StatusInternalServerError, CodeInternal, "%v", err)
	}

	return p
}

package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Problem is the body of an error response, an application/problem+json document (RFC 9457) with the
// extension members verdict, code and request-id.
type Problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail"`
	Verdict   verdict.Verdict `json:"verdict"`
	Code      verdict.Code    `json:"code"`
	RequestID string          `json:"request-id,omitempty"`
}

// statuses maps each code to its HTTP status. A code that is not listed has 503.
var statuses = map[verdict.Code]int{
	verdict.CodeBadRequest:       http.StatusBadRequest,
	verdict.CodeUnauthorized:     http.StatusUnauthorized,
	verdict.CodeNotFound:         http.StatusNotFound,
	verdict.CodeMethodNotAllowed: http.StatusMethodNotAllowed,
	verdict.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	verdict.CodeKeyRequired:      http.StatusBadRequest,
	verdict.CodeKeyReused:        http.StatusUnprocessableEntity,
	verdict.CodeKeyExpired:       http.StatusUnprocessableEntity,
	verdict.CodeAccountLimit:     http.StatusTooManyRequests,
	verdict.CodeQuarantined:      http.StatusUnprocessableEntity,
	verdict.CodeDeadline:         http.StatusGatewayTimeout,
	verdict.CodeTargetLost:       http.StatusBadGateway,
	verdict.CodeTruncated:        http.StatusBadGateway,
	verdict.CodeAnswerTooLarge:   http.StatusBadGateway,
	verdict.CodeInternal:         http.StatusInternalServerError,
}

func newProblem(e *verdict.Error, requestID string) Problem {
	status, ok := statuses[e.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}

	return Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: e.Message, Verdict: e.Verdict, Code: e.Code, RequestID: requestID,
	}
}

// writeProblem writes e as a problem document. requestID may be empty.
func writeProblem(w http.ResponseWriter, e *verdict.Error, requestID string) {
	p := newProblem(e, requestID)

	w.Header().Set("Content-Type", "application/problem+json")

	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retrySeconds(e.RetryAfter)))
	}

	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// retrySeconds returns d in seconds, rounded up, for a Retry-After header.
func retrySeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

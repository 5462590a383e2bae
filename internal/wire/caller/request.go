package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Header names of a caller's request.
const (
	HeaderKind     = "X-Request-Kind"
	HeaderDeadline = "X-Request-Deadline" // a duration such as "30s"
	HeaderKey      = "Idempotency-Key"
	HeaderID       = "X-Request-Id"
	HeaderResume   = "Last-Event-ID" // last event seen of a keyed stream
)

const (
	defaultDeadline = 2 * time.Minute
	maxDeadline     = 24 * time.Hour
	maxKeyBytes     = 128
	maxOutput       = 1 << 20
	defaultOutput   = 256
	charsPerToken   = 4
	prefixChars     = 1024
)

// completion is what an entry host reads of a completion request; the rest passes through.
type completion struct {
	Model     table.Model  `json:"model"`
	Stream    bool         `json:"stream"`
	N         *int         `json:"n"`
	MaxTokens table.Tokens `json:"max_tokens"`
	MaxNew    table.Tokens `json:"max_completion_tokens"`
}

func refuse(code verdict.Code, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, code, format, args...)
}

// bearer returns the bearer key of r, or "".
func bearer(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}

	return strings.TrimSpace(key)
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *verdict.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))

	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(verdict.CodeTooLarge, "the body exceeds %d bytes", limit)
	}

	if err != nil {
		return nil, refuse(verdict.CodeBadRequest, "the body could not be read").Because(err)
	}

	return body, nil
}

// base builds the part of a request that engines and services share.
func (s *Server) base(r *http.Request, account *table.Account, kind table.Kind, path string, body []byte) (table.Request, *verdict.Error) {
	now := s.opts.Clock.Now()

	deadline, problem := deadlineOf(r, kind)
	if problem != nil {
		return table.Request{}, problem
	}

	key := r.Header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return table.Request{}, refuse(verdict.CodeBadRequest, "%s exceeds %d bytes", HeaderKey, maxKeyBytes)
	}

	id, err := uuid.NewV7()
	if err != nil {
		return table.Request{}, refuse(verdict.CodeInternal, "no request id").Because(err)
	}

	return table.Request{
		ID: table.RequestID(id.String()), Account: account.ID, Kind: kind, Key: key, Path: path,
		ContentType: r.Header.Get("Content-Type"), Body: body,
		Fingerprint: fingerprint(account.ID, kind.Name, path, body),
		Arrived:     now, Deadline: now.Add(deadline),
	}, nil
}

// servicePath returns the path and query below a service's root, escaped as the caller sent them.
func servicePath(r *http.Request) string {
	const parts = 5 // "", "v1", "services", the name, the rest

	path := "/"
	if split := strings.SplitN(r.URL.EscapedPath(), "/", parts); len(split) == parts {
		path += split[parts-1]
	}

	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}

	return path
}

func fingerprint(account table.AccountID, kind table.KindName, path string, body []byte) string {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%q %q %q ", account, kind, path)
	_, _ = d.Write(body)

	return fmt.Sprintf("%016x", d.Sum64())
}

func deadlineOf(r *http.Request, kind table.Kind) (time.Duration, *verdict.Error) {
	deadline := kind.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}

	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return deadline, nil
	}

	asked, err := time.ParseDuration(text)
	if err != nil || asked <= 0 || asked > maxDeadline {
		return 0, refuse(verdict.CodeBadRequest, "%s must be a duration of up to %v such as \"30s\"", HeaderDeadline, maxDeadline)
	}

	return asked, nil
}

// kindOf finds the request kind: the named one, or the only one that fits what is asked for.
func kindOf(account *table.Account, name, asked string, fits func(table.Kind) bool) (table.Kind, *verdict.Error) {
	if name != "" {
		kind, ok := account.Kinds[table.KindName(name)]
		if !ok || !fits(kind) {
			return table.Kind{}, refuse(verdict.CodeNotFound, "this client account has no kind %q for %s", name, asked)
		}

		return kind, nil
	}

	var found []table.Kind

	for _, kind := range account.Kinds {
		if fits(kind) {
			found = append(found, kind)
		}
	}

	switch len(found) {
	case 0:
		return table.Kind{}, refuse(verdict.CodeNotFound, "this client account has no kind for %s", asked)
	case 1:
		return found[0], nil
	default:
		return table.Kind{}, refuse(verdict.CodeBadRequest,
			"%d kinds of this client account are for %s; name one in %s", len(found), asked, HeaderKind)
	}
}

// completionRequest builds the request of a completion call and says whether its caller streams.
func (s *Server) completionRequest(r *http.Request, account *table.Account, body []byte) (table.Request, bool, *verdict.Error) {
	c, problem := parseCompletion(body)
	if problem != nil {
		return table.Request{}, false, problem
	}

	if c.N != nil && *c.N != 1 {
		return table.Request{}, false, refuse(verdict.CodeBadRequest, "only one choice is served: n must be 1")
	}

	if c.MaxTokens < 0 || c.MaxNew < 0 || max(c.MaxTokens, c.MaxNew) > maxOutput {
		return table.Request{}, false, refuse(verdict.CodeBadRequest, "the output limit must be between 0 and %d tokens", maxOutput)
	}

	kind, problem := kindOf(account, r.Header.Get(HeaderKind), fmt.Sprintf("model %q", c.Model), func(k table.Kind) bool {
		return k.Model != "" && k.Model == c.Model
	})
	if problem != nil {
		return table.Request{}, false, problem
	}

	sent, problem := streaming(body)
	if problem != nil {
		return table.Request{}, false, problem
	}

	// The fingerprint is of the body as sent on, so that a repeat may stream or not as it likes.
	req, problem := s.base(r, account, kind, r.URL.Path, sent)
	if problem != nil {
		return req, false, problem
	}

	req.Prefill = table.Tokens(len(body)/charsPerToken + 1)
	req.Decode = outputBound(c, kind)
	req.Prefix = xxhash.Sum64(body[:min(len(body), prefixChars)])

	return req, c.Stream, nil
}

func parseCompletion(body []byte) (completion, *verdict.Error) {
	var (
		c     completion
		wrong *json.UnmarshalTypeError
	)

	err := json.Unmarshal(body, &c)

	switch {
	case err == nil && bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")):
		return c, nil
	case errors.As(err, &wrong) && wrong.Field != "":
		return c, refuse(verdict.CodeBadRequest, "the field %q of the body cannot be a %s", wrong.Field, wrong.Value)
	case err == nil, errors.As(err, &wrong):
		return c, refuse(verdict.CodeBadRequest, "the body must be a JSON object")
	default:
		return c, refuse(verdict.CodeBadRequest, "the body is not JSON: %v", err)
	}
}

// resumeFrom returns the first event that the caller has not seen; a fresh call starts at zero.
// Only a keyed stream can be resumed: any other call would run anew and give other words.
func resumeFrom(r *http.Request, key string, stream bool) (uint64, *verdict.Error) {
	text := r.Header.Get(HeaderResume)
	if text == "" {
		return 0, nil
	}

	if key == "" || !stream {
		return 0, refuse(verdict.CodeBadRequest, "%s is only for a stream with %s", HeaderResume, HeaderKey)
	}

	last, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, refuse(verdict.CodeBadRequest, "%s must be the id of an event of this stream", HeaderResume)
	}

	return last + 1, nil
}

func outputBound(c completion, kind table.Kind) table.Tokens {
	bound := max(c.MaxTokens, c.MaxNew)

	switch {
	case bound > 0:
		return bound
	case kind.MaxOutput > 0:
		return kind.MaxOutput
	default:
		return defaultOutput
	}
}

// streaming returns body with streaming and usage switched on: the entry host always streams from
// engines, so that a broken answer can be resumed.
func streaming(body []byte) ([]byte, *verdict.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, refuse(verdict.CodeBadRequest, "the body must be a JSON object")
	}

	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)

	out, err := json.Marshal(fields)
	if err != nil {
		return nil, refuse(verdict.CodeBadRequest, "the body must be a JSON object").Because(err)
	}

	return out, nil
}

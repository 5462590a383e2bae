package caller

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Header names of a request from a caller and, for HeaderID, of the response.
const (
	HeaderKind     = "X-Request-Kind"     // name of the request kind; optional if only one kind fits
	HeaderDeadline = "X-Request-Deadline" // a duration such as "30s"
	HeaderKey      = "Idempotency-Key"
	HeaderID       = "X-Request-Id"  // id that the entry host gave the request
	HeaderResume   = "Last-Event-ID" // id of the last event received of a stream with an idempotency key
)

// versionMark separates the sequence number from the software version in the id of an event.
const versionMark = "@"

const (
	defaultDeadline     = 2 * time.Minute
	maxDeadline         = 24 * time.Hour
	maxKeyBytes         = 128
	maxOutputTokens     = 1 << 20
	defaultOutputTokens = 256
	bytesPerToken       = 4
	prefixBytes         = 1024
)

// completion holds the fields of a completion request that an entry host reads. All others are passed on unread.
type completion struct {
	Model               entity.Model  `json:"model"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
	MaxTokens           entity.Tokens `json:"max_tokens"`
	MaxCompletionTokens entity.Tokens `json:"max_completion_tokens"`
}

// refuse returns an Error with the verdict NotRun.
func refuse(code verdict.Code, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, code, format, args...)
}

// bearer returns the bearer key of r, or "" if there is none.
func bearer(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}

	return strings.TrimSpace(key)
}

// readBody reads the body of the request of ctx, of at most limit bytes. It must arrive within bodyTimeout.
func readBody(ctx iris.Context, account *entity.Account, limit int64) ([]byte, *verdict.Error) {
	w, r := ctx.ResponseWriter(), ctx.Request()
	rc := http.NewResponseController(w.Naive())
	timeout := bodyTimeout(r, account)

	// Not every ResponseWriter supports this.
	limited := r.ContentLength != 0 && rc.SetReadDeadline(time.Now().Add(timeout)) == nil

	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil && limited {
		err = rc.SetReadDeadline(time.Time{})
	}

	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(verdict.CodeTooLarge, "the body exceeds %d bytes", limit)
	}

	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Without this field, net/http would wait for the rest of the body before it answers.
		w.Header().Set("Connection", "close")

		return nil, refuse(verdict.CodeDeadline, "the body did not arrive within %v", timeout).WithCause(err)
	}

	if err != nil {
		return nil, refuse(verdict.CodeBadRequest, "the body could not be read").WithCause(err)
	}

	return body, nil
}

// bodyTimeout returns the longest time that r may have by deadlineOf, whose kind may be known only by its body.
func bodyTimeout(r *http.Request, account *entity.Account) time.Duration {
	if kind, ok := account.Kinds[entity.KindName(r.Header.Get(HeaderKind))]; ok || r.Header.Get(HeaderDeadline) != "" {
		if timeout, problem := deadlineOf(r, kind); problem == nil {
			return timeout
		}

		return defaultDeadline // the request is refused once its body has arrived
	}

	longest := time.Duration(0)
	for _, kind := range account.Kinds {
		longest = max(longest, cmp.Or(kind.Deadline, defaultDeadline))
	}

	return cmp.Or(longest, defaultDeadline)
}

// baseRequest builds a request with the fields that requests to engines and to services have in common.
func (s *Server) baseRequest(r *http.Request, account *entity.Account, kind entity.Kind, path string, body []byte) (entity.Request, *verdict.Error) {
	now := s.opts.Clock.Now()

	deadline, problem := deadlineOf(r, kind)
	if problem != nil {
		return entity.Request{}, problem
	}

	key := r.Header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return entity.Request{}, refuse(verdict.CodeBadRequest, "%s exceeds %d bytes", HeaderKey, maxKeyBytes)
	}

	id, err := uuid.NewV7()
	if err != nil {
		return entity.Request{}, refuse(verdict.CodeInternal, "cannot create a request id").WithCause(err)
	}

	return entity.Request{
		ID: entity.RequestID(id.String()), Account: account.ID, Kind: kind, Key: key, Path: path,
		ContentType: r.Header.Get("Content-Type"), Body: body,
		Fingerprint: fingerprint(account.ID, kind.Name, path, body),
		Arrived:     now, Deadline: now.Add(deadline),
	}, nil
}

// servicePath returns the path relative to the service's root and the query, escaped as the caller sent them.
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

// fingerprint returns a hash of everything that must be the same when a request is repeated with its key.
func fingerprint(account entity.AccountID, kind entity.KindName, path string, body []byte) string {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%q %q %q ", account, kind, path)
	_, _ = d.Write(body)

	return fmt.Sprintf("%016x", d.Sum64())
}

// deadlineOf returns the time that the caller allows for r: that of the header, else the kind's, else 2 min.
func deadlineOf(r *http.Request, kind entity.Kind) (time.Duration, *verdict.Error) {
	deadline := kind.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}

	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return deadline, nil
	}

	requested, err := time.ParseDuration(text)
	if err != nil || requested <= 0 || requested > maxDeadline {
		return 0, refuse(verdict.CodeBadRequest, "%s must be a duration of up to %v such as \"30s\"", HeaderDeadline, maxDeadline)
	}

	return requested, nil
}

// kindOf returns the request kind of the account that is called name, provided that fits is true for it. If name is
// empty, it returns the only kind for which fits is true, and fails unless there is exactly one. what describes the
// requested model or service, for error messages.
func kindOf(account *entity.Account, name, what string, fits func(entity.Kind) bool) (entity.Kind, *verdict.Error) {
	if name != "" {
		kind, ok := account.Kinds[entity.KindName(name)]
		if !ok || !fits(kind) {
			return entity.Kind{}, refuse(verdict.CodeNotFound, "this client account has no kind %q for %s", name, what)
		}

		return kind, nil
	}

	var matches []entity.Kind

	for _, kind := range account.Kinds {
		if fits(kind) {
			matches = append(matches, kind)
		}
	}

	switch len(matches) {
	case 0:
		return entity.Kind{}, refuse(verdict.CodeNotFound, "this client account has no kind for %s", what)
	case 1:
		return matches[0], nil
	default:
		return entity.Kind{}, refuse(verdict.CodeBadRequest,
			"%d kinds of this client account are for %s; name one in %s", len(matches), what, HeaderKind)
	}
}

// completionRequest builds the request of a completion call. The bool reports whether the caller requested a stream.
func (s *Server) completionRequest(r *http.Request, account *entity.Account, body []byte) (entity.Request, bool, *verdict.Error) {
	c, problem := parseCompletion(body)
	if problem != nil {
		return entity.Request{}, false, problem
	}

	if c.N != nil && *c.N != 1 {
		return entity.Request{}, false, refuse(verdict.CodeBadRequest, "only one choice is served: n must be 1")
	}

	if c.MaxTokens < 0 || c.MaxCompletionTokens < 0 || max(c.MaxTokens, c.MaxCompletionTokens) > maxOutputTokens {
		return entity.Request{}, false, refuse(verdict.CodeBadRequest, "the output limit must be between 0 and %d tokens", maxOutputTokens)
	}

	kind, problem := kindOf(account, r.Header.Get(HeaderKind), fmt.Sprintf("model %q", c.Model), func(k entity.Kind) bool {
		return k.Model != "" && k.Model == c.Model
	})
	if problem != nil {
		return entity.Request{}, false, problem
	}

	engineBody, problem := forceStreaming(body)
	if problem != nil {
		return entity.Request{}, false, problem
	}

	// The fingerprint covers the body that the engine gets, so a repeat may differ in whether it requests a stream.
	req, problem := s.baseRequest(r, account, kind, r.URL.Path, engineBody)
	if problem != nil {
		return req, false, problem
	}

	req.Prefill = entity.Tokens(len(body)/bytesPerToken + 1)
	req.Decode = outputLimit(c, kind)
	req.Prefix = xxhash.Sum64(body[:min(len(body), prefixBytes)])

	return req, c.Stream, nil
}

// parseCompletion decodes body, which must be a JSON object.
func parseCompletion(body []byte) (completion, *verdict.Error) {
	var (
		c       completion
		typeErr *json.UnmarshalTypeError
	)

	err := json.Unmarshal(body, &c)

	switch {
	case err == nil && bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")):
		return c, nil
	case errors.As(err, &typeErr) && typeErr.Field != "":
		return c, refuse(verdict.CodeBadRequest, "the field %q of the body cannot be a %s", typeErr.Field, typeErr.Value)
	case err == nil, errors.As(err, &typeErr):
		return c, refuse(verdict.CodeBadRequest, "the body must be a JSON object")
	default:
		return c, refuse(verdict.CodeBadRequest, "the body is not JSON: %v", err)
	}
}

// resumeFrom returns the sequence number of the first event that the caller has not received, zero for a new call, and the
// software version that the id of the last event names.
// Only a stream with an idempotency key can be resumed. Any other call would run again and could generate other text.
func resumeFrom(r *http.Request, key string, stream bool) (uint64, entity.SoftwareVersion, *verdict.Error) {
	text := r.Header.Get(HeaderResume)
	if text == "" {
		return 0, "", nil
	}

	if key == "" || !stream {
		return 0, "", refuse(verdict.CodeBadRequest, "%s is only for a stream with %s", HeaderResume, HeaderKey)
	}

	number, name, _ := strings.Cut(text, versionMark)
	version, ok := entity.ParseSoftwareVersion(name)

	last, err := strconv.ParseUint(number, 10, 63)
	if err != nil || !ok {
		return 0, "", refuse(verdict.CodeBadRequest, "%s must be the id of an event of this stream", HeaderResume)
	}

	return last + 1, version, nil
}

// eventID returns the id of the event seq of an answer that is generated at a software version.
func eventID(seq uint64, version entity.SoftwareVersion) string {
	id := strconv.FormatUint(seq, 10)
	if version == "" {
		return id
	}

	return id + versionMark + string(version)
}

// outputLimit returns the maximum number of output tokens: the caller's limit, else the kind's, else a default.
func outputLimit(c completion, kind entity.Kind) entity.Tokens {
	limit := max(c.MaxTokens, c.MaxCompletionTokens)

	switch {
	case limit > 0:
		return limit
	case kind.MaxOutput > 0:
		return kind.MaxOutput
	default:
		return defaultOutputTokens
	}
}

// forceStreaming returns body with streaming and usage reports enabled. The entry host always streams from engines, so
// that an interrupted answer can be resumed.
func forceStreaming(body []byte) ([]byte, *verdict.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, refuse(verdict.CodeBadRequest, "the body must be a JSON object")
	}

	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)

	out, err := json.Marshal(fields)
	if err != nil {
		return nil, refuse(verdict.CodeBadRequest, "the body must be a JSON object").WithCause(err)
	}

	return out, nil
}

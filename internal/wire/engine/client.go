package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/tmaxmax/go-sse"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
	"github.com/dotterelflow/dotterelflow/internal/wire/once"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 5 * time.Second
	maxEventBytes      = 1 << 20
	maxReportBytes     = 1 << 20
	maxRefusalBytes    = 4 << 10 // limit on what is read of the body of an error response
)

// Options configures a Client. The zero value selects the defaults.
type Options struct {
	Clock       clockwork.Clock // nil means the real clock
	DialTimeout time.Duration   // limit on establishing a connection; zero means 1 s
	// IdleTimeout is the time without data after which a stream is cancelled, so that its caller resumes it on another
	// connection; zero means 5 s.
	IdleTimeout time.Duration
}

// Client calls engines. It is safe for concurrent use and sends each request at most once.
type Client struct {
	opts  Options
	http  *http.Client
	calls *http.Client // for calls whose answers have no id, each on a connection of its own
}

// NewClient returns a Client.
func NewClient(opts Options) *Client {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}

	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}

	connections := once.Options{DialTimeout: opts.DialTimeout, RequestIDHeader: HeaderRequestID}

	return &Client{opts: opts, http: once.NewClient(connections), calls: once.NewClient(connections)}
}

// Stream runs or resumes req on the engine at t and calls emit for each event, in order, without
// gaps or duplicates. It returns nil only if the answer was complete.
//
// The error is a *verdict.Error. Its verdict is NotRun if the request was not sent, the one that the engine states in an
// error response, else MayHaveRun. CodeTruncated means that the answer started but is incomplete or inconsistent. An
// error from emit ends the call and is returned unchanged.
func (c *Client) Stream(ctx context.Context, t entity.Target, req Request, emit func(Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	r, err := c.newRequest(ctx, t, req)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInternal, "cannot build the engine request").WithCause(err)
	}

	idle := c.watchIdle(cancel)
	defer idle.Stop()

	resp, err := c.http.Do(r)
	if err != nil {
		return verdict.New(verdict.Of(err), verdict.CodeTargetLost, "no answer from %s", t.ID).WithCause(err)
	}

	defer func() { _ = resp.Body.Close() }()

	if once.IsEarlierAnswer(resp, string(req.ID), resp.Header.Get(HeaderRequestID), resp.StatusCode != http.StatusOK) {
		once.CloseConnection(resp) // requests and answers no longer correspond on it

		return verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "the answer of %s may belong to another request", t.ID)
	}

	stated, _ := entity.ParseSoftwareVersion(resp.Header.Get(HeaderVersion))
	if req.Stated != nil {
		req.Stated(stated)
	}

	if resp.StatusCode != http.StatusOK {
		return refusal(t, resp)
	}

	if stated != req.Version && (req.Version != "" || req.ResumeFrom > 0) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeOtherVersion, "%s runs version %q, the answer began at %q", t.ID, stated, req.Version)
	}

	body := &idleReader{r: resp.Body, idle: idle, limit: c.opts.IdleTimeout}

	return readAnswer(t, req, body, emit)
}

func (c *Client) newRequest(ctx context.Context, t entity.Target, req Request) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, Error.Wrap(err)
	}

	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(HeaderRequestID, string(req.ID))
	r.Header.Set(HeaderPriority, req.Urgency.String())

	if req.Resume {
		r.Header.Set(HeaderResumeFrom, strconv.FormatUint(req.ResumeFrom, 10))
	}

	if req.Phase != entity.Mixed {
		r.Header.Set(HeaderPhase, req.Phase.String())
	}

	if req.KVSource != "" {
		r.Header.Set(HeaderKVSource, req.KVSource)
	}

	if req.Version != "" {
		r.Header.Set(HeaderVersion, string(req.Version))
	}

	return r, nil
}

// watchIdle returns a timer that cancels the call after Options.IdleTimeout, unless it is reset. It then also closes the
// client's idle connections: when one connection stops delivering data, others to the same target usually have too.
func (c *Client) watchIdle(cancel context.CancelCauseFunc) clockwork.Timer {
	return c.opts.Clock.AfterFunc(c.opts.IdleTimeout, func() {
		c.http.CloseIdleConnections()
		cancel(Error.New("no data received for %v", c.opts.IdleTimeout))
	})
}

// idleReader resets the timer idle to limit on each read that returns data.
type idleReader struct {
	r     io.Reader
	idle  clockwork.Timer
	limit time.Duration
}

func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.idle.Reset(r.limit)
	}

	return n, err
}

// readAnswer checks the events of one answer and passes them to emit. It returns nil at the final Done event.
func readAnswer(t entity.Target, req Request, body io.Reader, emit func(Event) error) error {
	next := req.ResumeFrom

	for ev, err := range sse.Read(&fieldReader{r: body}, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return truncated(t, next).WithCause(err)
		}

		seq, err := strconv.ParseUint(ev.LastEventID, 10, 64)
		if err != nil || seq < next {
			continue // without a sequence number, or received already
		}

		if seq > next {
			return truncated(t, next).WithCause(Error.New("received event %d, expected event %d", seq, next))
		}

		if ev.Data == Done {
			return nil
		}

		if !hasRequestID(ev.Data, req.ID) {
			return truncated(t, next).WithCause(Error.New("received an event of another request"))
		}

		if err := emit(Event{Sequence: seq, Data: []byte(ev.Data)}); err != nil {
			return err
		}

		next++
	}

	return truncated(t, next)
}

// hasRequestID reports whether data, the JSON data of an event, carries the request id.
func hasRequestID(data string, id entity.RequestID) bool {
	var chunk struct {
		ID entity.RequestID `json:"id"`
	}

	return json.Unmarshal([]byte(data), &chunk) == nil && chunk.ID == id
}

// truncated returns the error for an answer that ends before event next.
func truncated(t entity.Target, next uint64) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeTruncated, "answer of %s broke off before event %d", t.ID, next)
}

// IsRefused reports whether err means that the address of an engine refused the connection, so that nothing listens there.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// refusal converts an error response of an engine to an Error. The verdict is that of the X-Verdict header, or
// MayHaveRun if the header is missing or has an unknown value.
func refusal(t entity.Target, resp *http.Response) *verdict.Error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	v := verdict.Parse(resp.Header.Get(HeaderVerdict))

	code := verdict.CodeOverloaded
	if resp.StatusCode == http.StatusBadRequest {
		code = verdict.CodeBadRequest
	}

	if resp.StatusCode == http.StatusNotFound {
		code = verdict.CodeNotFound
	}

	if resp.StatusCode == http.StatusFailedDependency {
		code = verdict.CodeKVLost
	}

	if resp.StatusCode == http.StatusPreconditionFailed {
		code = verdict.CodeOtherVersion
	}

	return verdict.New(v, code, "%s refused with status %d: %.200s", t.ID, resp.StatusCode, bytes.TrimSpace(text))
}

// Cancel cancels the request id on the engine at t. It ignores the status of the answer, so an unknown id is not an
// error.
func (c *Client) Cancel(ctx context.Context, t entity.Target, id entity.RequestID) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+t.Address+"/requests/"+string(id), http.NoBody)
	if err != nil {
		return Error.Wrap(err)
	}

	r.Close = true

	resp, err := c.calls.Do(r)
	if err != nil {
		return Error.Wrap(err)
	}

	return Error.Wrap(resp.Body.Close())
}

// Load fetches the load report of the engine at t. If ctx's deadline passes, it closes the client's idle
// connections, for the reason that watchIdle gives.
func (c *Client) Load(ctx context.Context, t entity.Target) (Report, error) {
	var report Report

	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+"/load", http.NoBody)
	if err != nil {
		return report, Error.Wrap(err)
	}

	defer func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.http.CloseIdleConnections()
		}
	}()

	resp, err := c.http.Do(r)
	if err != nil {
		return report, Error.Wrap(err)
	}

	defer func() { _ = resp.Body.Close() }()

	if once.IsEarlierAnswer(resp, "", resp.Header.Get(HeaderRequestID), false) {
		once.CloseConnection(resp) // requests and answers no longer correspond on it

		return report, Error.New("the answer of %s belongs to a request", t.ID)
	}

	if resp.StatusCode != http.StatusOK {
		return report, Error.New("load report of %s has status %d", t.ID, resp.StatusCode)
	}

	if err = decodeReport(resp.Body, &report); err != nil {
		return Report{}, err
	}

	if report.At.IsZero() {
		return Report{}, Error.New("load report of %s has no time", t.ID)
	}

	report.Version, _ = entity.ParseSoftwareVersion(string(report.Version))

	return report, nil
}

// decodeReport reads r, which holds at most maxReportBytes, to its end and decodes it into the value that into points to.
func decodeReport(r io.Reader, into any) error {
	content, err := buffers.Read(r, maxReportBytes)
	if err == nil {
		err = json.Unmarshal(content, into)
	}

	return Error.Wrap(once.Brief(err))
}

package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/tmaxmax/go-sse"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/once"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	defaultDial     = time.Second
	defaultLiveness = 5 * time.Second
	maxEventBytes   = 1 << 20
	maxReportBytes  = 1 << 20
)

// Options tune a Client. The zero value works.
type Options struct {
	Clock    clockwork.Clock // nil means the real clock
	Dial     time.Duration   // bound on connecting; zero means 1 s
	Liveness time.Duration   // silence after which a stream counts as lost; zero means 5 s
}

// Client calls engines. It is safe for concurrent use and sends each request at most once.
type Client struct {
	opts Options
	http *http.Client
}

// NewClient returns a Client.
func NewClient(opts Options) *Client {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Dial == 0 {
		opts.Dial = defaultDial
	}

	if opts.Liveness == 0 {
		opts.Liveness = defaultLiveness
	}

	return &Client{opts: opts, http: once.NewClient(once.Options{DialTimeout: opts.Dial})}
}

// Stream runs or resumes req on the engine at t and passes each event to emit, in order, without
// gaps or duplicates. It returns nil only after the whole answer.
//
// The error is a *verdict.Error: NotRun when the engine cannot have taken the request, else
// MayHaveRun; CodeTruncated marks an answer that broke off after its start. An error of emit ends
// the call and is returned as it is.
func (c *Client) Stream(ctx context.Context, t table.Target, req Request, emit func(Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	r, err := c.request(ctx, t, req)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInternal, "cannot form the engine request").Because(err)
	}

	idle := c.watchIdle(cancel)
	defer idle.Stop()

	resp, err := c.http.Do(r)
	if err != nil {
		return verdict.New(verdict.Of(err), verdict.CodeTargetLost, "no answer from %s", t.ID).Because(err)
	}

	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return refusal(t, resp)
	}

	body := &idleReader{r: resp.Body, idle: idle, limit: c.opts.Liveness}

	return readAnswer(t, req, body, emit)
}

func (c *Client) request(ctx context.Context, t table.Target, req Request) (*http.Request, error) {
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

	if req.Phase != table.Mixed {
		r.Header.Set(HeaderPhase, req.Phase.String())
	}

	if req.KVSource != "" {
		r.Header.Set(HeaderKVSource, req.KVSource)
	}

	return r, nil
}

// watchIdle returns a timer that cancels the call after the liveness limit. The idle connections go
// with it, as one that went silent seldom is the only one to its target.
func (c *Client) watchIdle(cancel context.CancelCauseFunc) clockwork.Timer {
	return c.opts.Clock.AfterFunc(c.opts.Liveness, func() {
		c.http.CloseIdleConnections()
		cancel(Error.New("no sign of life for %v", c.opts.Liveness))
	})
}

// idleReader resets idle on each read that brings data.
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

// readAnswer checks and passes on the events of one answer.
func readAnswer(t table.Target, req Request, body io.Reader, emit func(Event) error) error {
	next := req.ResumeFrom

	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return truncated(t, next).Because(err)
		}

		seq, err := strconv.ParseUint(ev.LastEventID, 10, 64)
		if err != nil || seq < next {
			continue // late or duplicated
		}

		if seq > next {
			return truncated(t, next).Because(Error.New("event %d came after %d", seq, next))
		}

		if ev.Data == Done {
			return nil
		}

		if !belongs(ev.Data, req.ID) {
			return truncated(t, next).Because(Error.New("an event of another request arrived"))
		}

		if err := emit(Event{Sequence: seq, Data: []byte(ev.Data)}); err != nil {
			return err
		}

		next++
	}

	return truncated(t, next)
}

// belongs reports whether an event's data names the request id.
func belongs(data string, id table.RequestID) bool {
	var chunk struct {
		ID table.RequestID `json:"id"`
	}

	return json.Unmarshal([]byte(data), &chunk) == nil && chunk.ID == id
}

func truncated(t table.Target, next uint64) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeTruncated, "answer of %s broke off before event %d", t.ID, next)
}

// refusal turns an engine's error status into an Error. Only an explicit verdict makes it NotRun.
func refusal(t table.Target, resp *http.Response) *verdict.Error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
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

	return verdict.New(v, code, "%s refused with status %d: %.200s", t.ID, resp.StatusCode, bytes.TrimSpace(text))
}

// Cancel tells the engine at t to stop work on the request id. An unknown id is no error.
func (c *Client) Cancel(ctx context.Context, t table.Target, id table.RequestID) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+t.Address+"/requests/"+string(id), http.NoBody)
	if err != nil {
		return Error.Wrap(err)
	}

	resp, err := c.http.Do(r)
	if err != nil {
		return Error.Wrap(err)
	}

	return Error.Wrap(resp.Body.Close())
}

// Load fetches the load report of the engine at t.
func (c *Client) Load(ctx context.Context, t table.Target) (Report, error) {
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

	if resp.StatusCode != http.StatusOK {
		return report, Error.New("load report of %s has status %d", t.ID, resp.StatusCode)
	}

	if err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report); err != nil {
		return Report{}, Error.Wrap(err)
	}

	if report.At.IsZero() {
		return Report{}, Error.New("load report of %s states no time", t.ID)
	}

	return report, nil
}

package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
	"github.com/dotterelflow/dotterelflow/internal/wire/once"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Error is the class of this package's errors.
var Error = errs.Class("service")

const (
	defaultDialTimeout    = time.Second
	defaultSilenceTimeout = 10 * time.Second
	maxAnswerBytes        = 4 << 20
	maxRefusalBytes       = 4 << 10 // limit on what is read of the body of a refusal
	// bufferBytes bounds the memory of all answers that are being read, beyond buffers.FreeBytes each.
	bufferBytes = 32 << 20

	headerRequestID = "X-Request-Id"
	headerKey       = "X-Request-Key"
	headerVerdict   = "X-Verdict"
)

// Options configures a Client. The zero value selects the defaults.
type Options struct {
	DialTimeout time.Duration // limit on establishing a connection; zero means 1 s
	// SilenceTimeout is the time after which a call that goes on makes later calls use new connections; zero means 10 s.
	// Idle connections to all targets are closed then, which costs each of them a dial.
	SilenceTimeout time.Duration
	Clock          clockwork.Clock // nil means the real clock
}

// Client calls services. It is safe for concurrent use and sends each request at most once.
type Client struct {
	clock          clockwork.Clock
	silenceTimeout time.Duration
	budget         *buffers.Budget
	http           *http.Client
}

// Request is one call to a service.
type Request struct {
	ID          entity.RequestID
	Key         string // the caller's idempotency key; may be empty
	Path        string // relative to the service's root, with a leading slash; may hold a query
	ContentType string
	Body        []byte
}

// Answer is the complete answer of a service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// NewClient returns a Client.
func NewClient(opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}

	if opts.SilenceTimeout == 0 {
		opts.SilenceTimeout = defaultSilenceTimeout
	}

	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	return &Client{
		clock: opts.Clock, silenceTimeout: opts.SilenceTimeout, budget: buffers.NewBudget(bufferBytes),
		http: once.NewClient(once.Options{DialTimeout: opts.DialTimeout, RequestIDHeader: headerRequestID}),
	}
}

// Call runs req on the service at t. It lasts until ctx ends at most, so ctx needs a deadline.
//
// An error status of the service is an Answer, not an error, unless it is a 5xx status with the verdict not-run.
// The error is a *verdict.Error. Its verdict is NotRun if the request was not sent or the service answered with that
// verdict, Ran if the answer is larger than 4 MiB, else MayHaveRun.
func (c *Client) Call(ctx context.Context, t entity.Target, req Request) (Answer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return Answer{}, verdict.New(verdict.NotRun, verdict.CodeInternal, "cannot build the service request").WithCause(err)
	}

	// When one connection stops delivering data, others to the same target usually have too.
	silent := c.clock.AfterFunc(c.silenceTimeout, c.http.CloseIdleConnections)
	defer silent.Stop()

	defer func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.http.CloseIdleConnections()
		}
	}()

	r.Header.Set("Content-Type", req.ContentType)
	r.Header.Set(headerRequestID, string(req.ID))
	r.Header.Set(headerKey, req.Key)

	resp, err := c.http.Do(r)
	if err != nil {
		return Answer{}, verdict.New(verdict.Of(err), verdict.CodeTargetLost, "no answer from %s", t.ID).WithCause(err)
	}

	defer func() { _ = resp.Body.Close() }()

	refused := resp.StatusCode >= http.StatusInternalServerError && verdict.Parse(resp.Header.Get(headerVerdict)) == verdict.NotRun
	if once.IsEarlierAnswer(resp, string(req.ID), resp.Header.Get(headerRequestID), resp.StatusCode >= http.StatusBadRequest) {
		once.CloseConnection(resp) // requests and answers no longer correspond on it

		return Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "the answer of %s may belong to another request", t.ID)
	}

	if refused {
		// The connection can be reused only if the body has been read.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBytes))

		return Answer{}, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%s refused with status %d", t.ID, resp.StatusCode)
	}

	// The memory is counted until the answer is whole, and an answer that has no end never is.
	buf := buffers.Buffer{Budget: c.budget, Limit: maxAnswerBytes}
	defer buf.Release()

	body, err := buf.ReadAll(resp.Body)
	if errors.Is(err, buffers.ErrTooLong) {
		return Answer{}, verdict.New(verdict.Ran, verdict.CodeAnswerTooLarge, "answer of %s exceeds %d bytes", t.ID, maxAnswerBytes)
	}

	if err != nil {
		return Answer{}, connectionLost(t, err)
	}

	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

func connectionLost(t entity.Target, err error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "connection to %s lost", t.ID).WithCause(err)
}

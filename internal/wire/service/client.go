package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/once"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Error is the class of this package's errors.
var Error = errs.Class("service")

const (
	defaultDial     = time.Second
	defaultTimeout  = 10 * time.Second
	maxAnswerBytes  = 4 << 20
	headerRequestID = "X-Request-Id"
	headerKey       = "X-Request-Key"
	headerVerdict   = "X-Verdict"
)

// Options tune a Client. The zero value works.
type Options struct {
	Dial    time.Duration // bound on connecting; zero means 1 s
	Timeout time.Duration // bound on a whole call; zero means 10 s
}

// Client calls services. It is safe for concurrent use and sends each request at most once.
type Client struct {
	timeout time.Duration
	http    *http.Client
}

// Request is one call of a service.
type Request struct {
	ID          table.RequestID
	Key         string // the caller's idempotency key; may be empty
	Path        string // below the service's root, with its leading slash
	ContentType string
	Body        []byte
}

// Answer is a service's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// NewClient returns a Client.
func NewClient(opts Options) *Client {
	if opts.Dial == 0 {
		opts.Dial = defaultDial
	}

	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}

	return &Client{timeout: opts.Timeout, http: once.NewClient(once.Options{DialTimeout: opts.Dial})}
}

// Call runs req on the service at t. The error is a *verdict.Error: NotRun when the service cannot
// have taken the request, else MayHaveRun. An error status of the service is an answer, not an
// error, unless it carries the verdict not-run.
func (c *Client) Call(ctx context.Context, t table.Target, req Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return Answer{}, verdict.New(verdict.NotRun, verdict.CodeInternal, "cannot form the service request").Because(err)
	}

	// One connection that went silent seldom is the only one to its target.
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
		return Answer{}, verdict.New(verdict.Of(err), verdict.CodeTargetLost, "no answer from %s", t.ID).Because(err)
	}

	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, lost(t, err)
	}

	if len(body) > maxAnswerBytes {
		return Answer{}, verdict.New(verdict.Ran, verdict.CodeAnswerTooLarge, "answer of %s exceeds %d bytes", t.ID, maxAnswerBytes)
	}

	if resp.StatusCode >= http.StatusInternalServerError && verdict.Parse(resp.Header.Get(headerVerdict)) == verdict.NotRun {
		return Answer{}, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%s refused with status %d", t.ID, resp.StatusCode)
	}

	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

func lost(t table.Target, err error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "connection to %s lost", t.ID).Because(err)
}

package once

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Error is the class of this package's errors.
var Error = errs.Class("once")

const (
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultIdleConns   = 64
	keepAlivePeriod    = 15 * time.Second
	maxHeaderBytes     = 64 << 10
)

// Options tune a Transport. The zero value works.
type Options struct {
	DialTimeout   time.Duration // zero means 2 s
	IdleTimeout   time.Duration // age at which an idle connection closes, below that of the targets; zero means 30 s
	IdlePerTarget int           // idle connections kept per target; zero means 64
	HeaderTimeout time.Duration // from the end of the request to the answer's header; zero sets no bound

	// Dial replaces the TCP dialer, for tests. It may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Transport is an http.RoundTripper over HTTP/1.1 that hands a request to a target at most once.
//
// A failure is a *verdict.Error: NotRun where no byte of the request reached a connection, and none
// will, else MayHaveRun. A failure while the answer's body is read is the reader's to judge.
// A Transport is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport with connections of its own.
func NewTransport(opts Options) *Transport {
	opts.DialTimeout = cmp.Or(opts.DialTimeout, defaultDialTimeout)
	opts.IdleTimeout = cmp.Or(opts.IdleTimeout, defaultIdleTimeout)
	opts.IdlePerTarget = cmp.Or(opts.IdlePerTarget, defaultIdleConns)

	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: opts.DialTimeout, KeepAlive: keepAlivePeriod}).DialContext
	}

	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)

	return &Transport{base: &http.Transport{
		DialContext:           sealableDial(opts.Dial),
		Protocols:             protocols,
		MaxIdleConnsPerHost:   opts.IdlePerTarget,
		IdleConnTimeout:       opts.IdleTimeout,
		ResponseHeaderTimeout: opts.HeaderTimeout,
		DisableCompression:    true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// NewClient returns a client over a new Transport that follows no redirect, since following one sends the request again.
// It sets no timeout; bound each request by its context.
func NewClient(opts Options) *http.Client {
	return &http.Client{
		Transport: NewTransport(opts),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}

// RoundTrip sends r at most once. It never calls r.GetBody.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	a := new(attempt)
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: a.gotConn})

	resp, err := t.base.RoundTrip(unrepeatable(r.WithContext(ctx)))
	if err == nil {
		return resp, nil
	}

	if a.seal() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeTargetLost, "request not sent").Because(Error.Wrap(err))
	}

	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").Because(Error.Wrap(err))
}

// unrepeatable gives r, which the caller owns, a body that http.Transport can neither rewind nor
// take for absent; both would let it send r again on another connection.
func unrepeatable(r *http.Request) *http.Request {
	r.GetBody = nil

	if r.Body == nil {
		r.Body = http.NoBody
	}

	r.Body = struct{ io.ReadCloser }{r.Body}

	return r
}

// attempt follows the connection that carries one request.
type attempt struct {
	mu     sync.Mutex
	conn   *conn
	mark   uint64 // writes on conn before this request
	unsure bool   // more than one connection, or one that cannot be sealed
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()

	c, ok := info.Conn.(*conn)
	if !ok || a.conn != nil {
		a.unsure = true

		return
	}

	a.conn = c
	a.mark = c.writes()
}

// seal reports whether nothing of the request was written, and keeps it so.
func (a *attempt) seal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.unsure {
		return false
	}

	return a.conn == nil || a.conn.seal(a.mark)
}

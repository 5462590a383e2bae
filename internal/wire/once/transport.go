package once

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/net/http/httpguts"

	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Error is the class of this package's errors.
var Error = errs.Class("once")

// statusLine matches the begin of a status line.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

const (
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultIdleConns   = 64
	keepAlivePeriod    = 15 * time.Second
	maxHeaderBytes     = 64 << 10
	maxStatus          = 599 // of HTTP
)

// Options configures a Transport. The zero value selects the defaults.
type Options struct {
	DialTimeout   time.Duration // limit on establishing a connection; zero means 2 s
	IdleTimeout   time.Duration // idle time before a connection is closed; must be less than that of the targets; zero means 30 s
	IdlePerTarget int           // idle connections kept per target; zero means 64
	HeaderTimeout time.Duration // limit on the time from the end of the request to the answer's header; zero means none

	// RequestIDHeader names the header field with the id of a request. A connection carries each id once. Empty means that requests
	// have none.
	RequestIDHeader string
	Counts          *Counts // counts the connections, also those of other Transports that use it; nil means that they are not counted

	// Dial replaces the default TCP dialer, and DialTimeout is then not used. It may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Counts counts connections since the start. It is safe for concurrent use.
type Counts struct {
	Opened   atomic.Int64 // connections
	Repeated atomic.Int64 // connections that were replaced, since they had carried a request with the id of the next one, or too many others
	// Cut counts answers that ended with their connection and may be parts, as a write of the request had failed.
	Cut atomic.Int64
}

// Transport is an http.RoundTripper over HTTP/1.1 that sends each request to a target at most once.
//
// Its errors are of type *verdict.Error. The verdict is NotRun if no byte of the request was written to a
// connection and none can be written later, else MayHaveRun. An answer with a status below 200, such as one that switches
// the connection to another protocol, or with a head that HTTP does not have, is an error. Errors from reading the body of an answer carry no
// verdict; the reader of the body has to decide on one. The texts of errors are short, whatever the target has sent. A Transport is safe for concurrent use.
type Transport struct {
	base     *http.Transport
	idHeader string
	counts   *Counts
	// maxAbandoned bounds the abandoned connections that one request is given before its error is returned: as many as may be idle.
	maxAbandoned int
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport with its own connection pool.
func NewTransport(opts Options) *Transport {
	opts.DialTimeout = cmp.Or(opts.DialTimeout, defaultDialTimeout)
	opts.IdleTimeout = cmp.Or(opts.IdleTimeout, defaultIdleTimeout)
	opts.IdlePerTarget = cmp.Or(opts.IdlePerTarget, defaultIdleConns)

	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: opts.DialTimeout, KeepAlive: keepAlivePeriod}).DialContext
	}

	if opts.Counts == nil {
		opts.Counts = new(Counts)
	}

	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)

	return &Transport{idHeader: opts.RequestIDHeader, counts: opts.Counts, maxAbandoned: opts.IdlePerTarget, base: &http.Transport{
		DialContext:           sealableDial(opts.Dial, opts.Counts),
		Protocols:             protocols,
		MaxIdleConnsPerHost:   opts.IdlePerTarget,
		IdleConnTimeout:       opts.IdleTimeout,
		ResponseHeaderTimeout: opts.HeaderTimeout,
		DisableCompression:    true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// NewClient returns a client with its own Transport. It follows no redirects, as that would send the request again,
// and sets no timeout: bound each request by its context.
func NewClient(opts Options) *http.Client {
	return &http.Client{
		Transport: NewTransport(opts),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// CloseIdleConnections closes the connections that carry no request at the moment.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}

// RoundTrip sends r at most once. It calls r.GetBody only if nothing of r was sent, because the connection had been closed by
// CloseConnection, http.Transport may hand it out for a moment after that, or must not carry r, or because an answer came before r.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	for range t.maxAbandoned {
		resp, unsent, err := t.try(r)
		if !unsent || r.Context().Err() != nil {
			return resp, err
		}

		if r.GetBody != nil {
			body, bodyErr := r.GetBody()
			if bodyErr != nil {
				return nil, err
			}

			r = r.WithContext(r.Context()) // the caller's request must not change
			r.Body = body
		} else if r.Body != nil && r.Body != http.NoBody {
			return nil, err
		}
	}

	resp, _, err := t.try(r)

	return resp, err
}

// try sends r at most once. unsent reports that nothing of r was sent since its connection was abandoned or had an answer to another
// request.
func (t *Transport) try(r *http.Request) (_ *http.Response, unsent bool, _ error) {
	a := &attempt{bodyBytes: r.ContentLength, counts: t.counts}
	if t.idHeader != "" {
		a.id = r.Header.Get(t.idHeader)
	}

	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: a.gotConn})

	resp, err := t.base.RoundTrip(disableReplay(r.WithContext(ctx)))
	if err == nil && a.seal() {
		a.abandon()
		_ = resp.Body.Close() // an answer to a request that was not sent is that to another one

		return nil, true, verdict.New(verdict.NotRun, verdict.CodeTargetLost, "request not sent")
	}

	if err == nil {
		resp.Body = a.body(resp)

		problem := headProblem(resp)
		if problem == "" {
			return resp, false, nil
		}

		CloseConnection(resp)
		_ = resp.Body.Close() // nothing of it is used

		return nil, false, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "%s", problem)
	}

	err = Brief(err)

	if a.seal() {
		return nil, a.isAbandoned(), verdict.New(verdict.NotRun, verdict.CodeTargetLost, "request not sent").WithCause(Error.Wrap(err))
	}

	return nil, false, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(Error.Wrap(err))
}

// headProblem returns what makes the head of resp one that is not used, or "". net/http accepts heads that HTTP does not have: statuses above
// 599, which a recipient has to take for a failure of the server, control bytes, and fields whose names are none, which it ignores even
// where they state the length. The status line of another answer is in a head that broke off; its status, its fields and its body are not
// of one answer then.
func headProblem(resp *http.Response) string {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return fmt.Sprintf("answer with status %d", resp.StatusCode)
	}

	if !isSoundText(resp.Status) {
		return "the status line of the answer is broken"
	}

	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return "a field of the answer has a name that is none"
		}

		if !isAll(values, isSoundText) {
			return "a field of the answer is broken"
		}
	}

	return ""
}

// isSoundText reports whether text, of a head, has no control bytes and does not hold the status line of another answer.
func isSoundText(text string) bool {
	return httpguts.ValidHeaderFieldValue(text) && !statusLine.MatchString(text)
}

// isAll reports whether all of list fulfil f.
func isAll(list []string, f func(string) bool) bool {
	return !slices.ContainsFunc(list, func(s string) bool { return !f(s) })
}

// IsEarlierAnswer reports whether resp, an answer that a Transport has returned to the request id, is or may be that to an earlier request
// on the connection, which the target has sent late or once more. echo is the request id in resp, or "". onlyFirst states that an
// answer such as resp counts without an id only as the first one on its connection.
func IsEarlierAnswer(resp *http.Response, id, echo string, onlyFirst bool) bool {
	if echo != "" || !onlyFirst {
		return echo != "" && echo != id
	}

	b, ok := resp.Body.(briefBody)

	return !ok || b.reused
}

// CloseConnection closes the connection of resp, an answer that a Transport has returned and that may not be the one to its request, so
// that no later request gets the answer of another one. Closing the body, which the caller still has to do, keeps the connection if the body
// is empty.
func CloseConnection(resp *http.Response) {
	if b, ok := resp.Body.(briefBody); ok && b.conn != nil {
		b.conn.abandon()
	}
}

// disableReplay changes r so that http.Transport cannot send it again on another connection. The transport resends
// a request whose body it can rewind or that has none, so r gets a body that hides both. The caller must own r.
func disableReplay(r *http.Request) *http.Request {
	r.GetBody = nil

	if r.Body == nil {
		r.Body = http.NoBody
	}

	r.Body = struct{ io.ReadCloser }{r.Body}

	return r
}

// attempt records the connection on which one request is sent.
type attempt struct {
	bodyBytes int64  // length of the body, negative if it is unknown
	id        string // id of the request; empty for none
	counts    *Counts

	mu           sync.Mutex
	conn         *conn
	writesBefore uint64 // writes on conn before this request
	reused       bool   // the request may not be the first one on conn
	unsealable   bool   // there was more than one connection, or one that is not a *conn
}

// gotConn is the GotConn hook of httptrace.ClientTrace.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.reused = a.reused || info.Reused

	c, ok := info.Conn.(*conn)
	if !ok || a.conn != nil {
		a.unsealable = true

		return
	}

	a.conn = c
	a.writesBefore = c.writes()

	// The id of an answer tells which request it is for only if no other one on the connection has had it.
	if a.id != "" && !c.carry(a.id) {
		a.counts.Repeated.Add(1)
		c.abandon()
	}

	if p, ok := c.Conn.(*probingConn); ok {
		_ = p.expect(a.bodyBytes) // fails only on a connection that is closed, on which the request fails too
	}
}

// body returns the body of resp, the answer to the request.
func (a *attempt) body(resp *http.Response) briefBody {
	a.mu.Lock()
	defer a.mu.Unlock()

	open := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0

	return briefBody{ReadCloser: resp.Body, conn: a.conn, reused: a.reused, open: open, counts: a.counts}
}

// isAbandoned reports whether the connection of the request was abandoned.
func (a *attempt) isAbandoned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.conn != nil && a.conn.isAbandoned()
}

// abandon closes the connection of the request, if there is one.
func (a *attempt) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.conn != nil {
		a.conn.abandon()
	}
}

// seal reports whether certainly nothing of the request was written. If so, nothing of it can be written later.
func (a *attempt) seal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.unsealable {
		return false
	}

	return a.conn == nil || a.conn.seal(a.writesBefore)
}

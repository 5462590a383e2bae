package once_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/once"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// closingServer is an HTTP/1.1 server that answers requests for /warm. It reads any other request to its end, then
// closes the connection without an answer.
type closingServer struct {
	url          string
	requestsRead atomic.Int64 // requests read to their end, except those for /warm
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })

	c := &closingServer{url: "http://" + ln.Addr().String()}

	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}

			go c.serve(conn)
		}
	}()

	return c
}

func (c *closingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	br := bufio.NewReader(conn)

	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}

		_, _ = io.Copy(io.Discard, r.Body)

		if r.URL.Path != "/warm" {
			c.requestsRead.Add(1)

			return
		}

		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (c *closingServer) warm(t *testing.T, client *http.Client) {
	t.Helper()

	resp, err := client.Post(c.url+"/warm", "text/plain", http.NoBody)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

func (c *closingServer) request(t *testing.T, method, header, body string) *http.Request {
	t.Helper()

	var rd io.Reader
	if body != "" {
		rd = bytes.NewReader([]byte(body))
	}

	r, err := http.NewRequestWithContext(t.Context(), method, c.url+"/run", rd)
	require.NoError(t, err)

	if header != "" {
		r.Header.Set(header, "0190-key")
	}

	return r
}

// TestClosedAfterReading counts how often a target reads a request if it closes the reused connection instead of
// answering. net/http resends some requests in this case; the client of package once must not.
func TestClosedAfterReading(t *testing.T) {
	tests := []struct {
		name, method, header, body string
		libraryReads               int64 // requests read with the transport of net/http
	}{
		{"post", http.MethodPost, "", "hold", 1},
		{"post with key", http.MethodPost, "Idempotency-Key", "hold", 2},
		{"post with experimental key", http.MethodPost, "X-Idempotency-Key", "hold", 2},
		{"post with key and no body", http.MethodPost, "Idempotency-Key", "", 2},
		{"get", http.MethodGet, "", "", 2},
		{"delete with key", http.MethodDelete, "Idempotency-Key", "", 2},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plain := newClosingServer(t)
			transport := new(http.Transport)
			defer transport.CloseIdleConnections()

			client := &http.Client{Transport: transport}
			plain.warm(t, client)

			_, err := client.Do(plain.request(t, tt.method, tt.header, tt.body)) //nolint:bodyclose // fails
			require.Error(t, err)
			require.Equal(t, tt.libraryReads, plain.requestsRead.Load())

			guarded := newClosingServer(t)
			client = once.NewClient(once.Options{})
			defer client.CloseIdleConnections()

			guarded.warm(t, client)

			_, err = client.Do(guarded.request(t, tt.method, tt.header, tt.body)) //nolint:bodyclose // fails
			require.Error(t, err)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
			require.EqualValues(t, 1, guarded.requestsRead.Load())
		})
	}
}

// TestRequestArrivesWhole checks that requests without a body, a fact that the client hides from net/http, are still read
// to their end and answered.
func TestRequestArrivesWhole(t *testing.T) {
	c := newClosingServer(t)
	client := once.NewClient(once.Options{})
	defer client.CloseIdleConnections()

	for range 3 {
		c.warm(t, client)
	}

	require.Zero(t, c.requestsRead.Load())
}

// TestNotSent checks that the verdict is NotRun if no write of the request was begun, and MayHaveRun if a write failed.
func TestNotSent(t *testing.T) {
	c := newClosingServer(t)
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }

	ended, cancel := context.WithCancel(t.Context())
	cancel()

	tests := []struct {
		name string
		opts once.Options
		ctx  context.Context
	}{
		{"dial fails", once.Options{Dial: refuse}, t.Context()},
		{"caller gone", once.Options{}, ended},
		{"write refused", once.Options{Dial: dialUnwritable}, t.Context()},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := once.NewClient(tt.opts)
			defer client.CloseIdleConnections()

			r := c.request(t, http.MethodPost, "Idempotency-Key", "hold").WithContext(tt.ctx)

			_, err := client.Do(r) //nolint:bodyclose // fails
			require.Error(t, err)

			want := verdict.NotRun
			if tt.name == "write refused" {
				want = verdict.MayHaveRun // a write that failed may still have sent bytes
			}

			require.Equal(t, want, verdict.Of(err))
			require.Zero(t, c.requestsRead.Load())
		})
	}
}

// TestStaleIdleConnection checks the verdict if the idle connection that is reused was closed in the meantime.
func TestStaleIdleConnection(t *testing.T) {
	dialed := make(chan net.Conn, 1)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		dialed <- conn

		return conn, err
	}

	c := newClosingServer(t)
	client := once.NewClient(once.Options{Dial: dial})
	defer client.CloseIdleConnections()

	c.warm(t, client)
	require.NoError(t, (<-dialed).Close())

	resp, err := client.Do(c.request(t, http.MethodPost, "Idempotency-Key", "hold"))
	if err == nil {
		_ = resp.Body.Close()
	}

	require.Error(t, err)
	require.LessOrEqual(t, c.requestsRead.Load(), int64(1))

	if c.requestsRead.Load() > 0 {
		require.NotEqual(t, verdict.NotRun, verdict.Of(err))
	}
}

// writableAfterClose is a connection that can still be written to after its Close.
type writableAfterClose struct{ net.Conn }

func (writableAfterClose) Close() error { return nil }

// TestCancelledBeforeWrite cancels a request while net/http prepares to write it. The verdict must not be NotRun if a
// byte is written, then or later.
func TestCancelledBeforeWrite(t *testing.T) {
	serverEnds := make(chan net.Conn, 1)

	dial := func(context.Context, string, string) (net.Conn, error) {
		conn, server := net.Pipe()
		serverEnds <- server

		return writableAfterClose{conn}, nil
	}

	ctx, cancel := context.WithCancel(t.Context())
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { cancel() }}
	received := make(chan bool, 1)

	go func() {
		server := <-serverEnds
		_ = server.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		n, _ := server.Read(make([]byte, 1))
		_ = server.Close()
		received <- n > 0
	}()

	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://192.0.2.1/", http.NoBody)
	require.NoError(t, err)

	_, err = once.NewTransport(once.Options{Dial: dial}).RoundTrip(r) //nolint:bodyclose // fails
	require.Error(t, err)
	require.Equal(t, <-received, verdict.Of(err) != verdict.NotRun)
}

// unwritable is a connection whose writes fail.
type unwritable struct{ net.Conn }

func (unwritable) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func dialUnwritable(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)

	return unwritable{conn}, err
}

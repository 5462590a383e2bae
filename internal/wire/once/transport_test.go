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

// closer answers the first request of each connection and closes after reading the second one whole.
type closer struct {
	url  string
	seen atomic.Int64 // requests read whole, beside the warming ones
}

func newCloser(t *testing.T) *closer {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })

	c := &closer{url: "http://" + ln.Addr().String()}

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

func (c *closer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	br := bufio.NewReader(conn)

	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}

		_, _ = io.Copy(io.Discard, r.Body)

		if r.URL.Path != "/warm" {
			c.seen.Add(1)

			return
		}

		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (c *closer) warm(t *testing.T, client *http.Client) {
	t.Helper()

	resp, err := client.Post(c.url+"/warm", "text/plain", http.NoBody)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

func (c *closer) request(t *testing.T, method, header, body string) *http.Request {
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

// TestClosedAfterReading counts how often a target reads a request whose reused connection it closes.
func TestClosedAfterReading(t *testing.T) {
	tests := []struct {
		name, method, header, body string
		library                    int64 // requests with the library's own transport
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
			plain := newCloser(t)
			transport := new(http.Transport)
			defer transport.CloseIdleConnections()

			client := &http.Client{Transport: transport}
			plain.warm(t, client)

			_, err := client.Do(plain.request(t, tt.method, tt.header, tt.body)) //nolint:bodyclose // fails
			require.Error(t, err)
			require.Equal(t, tt.library, plain.seen.Load())

			guarded := newCloser(t)
			client = once.NewClient(once.Options{})
			defer client.CloseIdleConnections()

			guarded.warm(t, client)

			_, err = client.Do(guarded.request(t, tt.method, tt.header, tt.body)) //nolint:bodyclose // fails
			require.Error(t, err)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
			require.EqualValues(t, 1, guarded.seen.Load())
		})
	}
}

// TestRequestArrivesWhole checks that the unrepeatable body changes nothing on the wire.
func TestRequestArrivesWhole(t *testing.T) {
	c := newCloser(t)
	client := once.NewClient(once.Options{})
	defer client.CloseIdleConnections()

	for range 3 {
		c.warm(t, client)
	}

	require.Zero(t, c.seen.Load())
}

// TestNotSent checks that a request of which nothing was written is called not-run.
func TestNotSent(t *testing.T) {
	c := newCloser(t)
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
				want = verdict.MayHaveRun // a write that began may have got through
			}

			require.Equal(t, want, verdict.Of(err))
			require.Zero(t, c.seen.Load())
		})
	}
}

// TestStaleIdleConnection checks the verdict when the target has closed an idle connection.
func TestStaleIdleConnection(t *testing.T) {
	dialed := make(chan net.Conn, 1)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		dialed <- conn

		return conn, err
	}

	c := newCloser(t)
	client := once.NewClient(once.Options{Dial: dial})
	defer client.CloseIdleConnections()

	c.warm(t, client)
	require.NoError(t, (<-dialed).Close())

	resp, err := client.Do(c.request(t, http.MethodPost, "Idempotency-Key", "hold"))
	if err == nil {
		_ = resp.Body.Close()
	}

	require.Error(t, err)
	require.LessOrEqual(t, c.seen.Load(), int64(1))

	if c.seen.Load() > 0 {
		require.NotEqual(t, verdict.NotRun, verdict.Of(err))
	}
}

// lingering is a connection that stays writable after its Close.
type lingering struct{ net.Conn }

func (lingering) Close() error { return nil }

// TestCancelledBeforeWrite cancels a request while the library prepares its write: it must not be
// called not-run if a byte gets out, now or later.
func TestCancelledBeforeWrite(t *testing.T) {
	ends := make(chan net.Conn, 1)

	dial := func(context.Context, string, string) (net.Conn, error) {
		conn, server := net.Pipe()
		ends <- server

		return lingering{conn}, nil
	}

	ctx, cancel := context.WithCancel(t.Context())
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { cancel() }}
	got := make(chan bool, 1)

	go func() {
		server := <-ends
		_ = server.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		n, _ := server.Read(make([]byte, 1))
		_ = server.Close()
		got <- n > 0
	}()

	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://192.0.2.1/", http.NoBody)
	require.NoError(t, err)

	_, err = once.NewTransport(once.Options{Dial: dial}).RoundTrip(r) //nolint:bodyclose // fails
	require.Error(t, err)
	require.Equal(t, <-got, verdict.Of(err) != verdict.NotRun)
}

type unwritable struct{ net.Conn }

func (unwritable) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func dialUnwritable(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)

	return unwritable{conn}, err
}

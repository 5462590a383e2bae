package once_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/once"
)

// lateConn is a connection whose end is noticed late: it is closed a while after Close.
type lateConn struct{ net.Conn }

func (c lateConn) Close() error {
	time.AfterFunc(500*time.Millisecond, func() { _ = c.Conn.Close() })

	return nil
}

// TestRequestAfterAClosedConnectionIsSentOnAnother guards against requests that fail because they are given a connection which
// CloseConnection has closed and which http.Transport still takes for idle.
func TestRequestAfterAClosedConnectionIsSentOnAnother(t *testing.T) {
	var requests, connections atomic.Int64

	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) == "body" || r.Method == http.MethodGet {
			requests.Add(1)
		}
	}))
	defer s.Close()

	c := once.NewClient(once.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		connections.Add(1)

		conn, err := new(net.Dialer).DialContext(ctx, network, address)

		return lateConn{conn}, err
	}})

	for n, method := range []string{http.MethodPost, http.MethodPost, http.MethodGet} {
		var body io.Reader
		if method == http.MethodPost {
			body = strings.NewReader("body")
		}

		r, err := http.NewRequestWithContext(t.Context(), method, s.URL, body)
		require.NoError(t, err)

		resp, err := c.Do(r)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		once.CloseConnection(resp)
		require.EqualValues(t, n+1, requests.Load(), "each request is read once")
		require.EqualValues(t, n+1, connections.Load())
	}
}

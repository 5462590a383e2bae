package once_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/once"
)

// repeatingConn is a connection on which the bytes received first are received once more after Close, as soon as begun is closed.
type repeatingConn struct {
	net.Conn

	begun    <-chan struct{}
	received []byte // used by the goroutine that reads
	repeated bool
}

func (c *repeatingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil {
		c.received = slices.Clone(p[:n])

		return n, nil
	}

	if c.repeated {
		return n, err
	}

	<-c.begun

	c.repeated = true

	return copy(p, c.received), nil
}

// TestAnswerToARequestThatWasNotSentIsDiscarded guards against the copy of an earlier answer that is read from a connection which has
// carried the id of the request and on which the request was therefore not sent.
func TestAnswerToARequestThatWasNotSentIsDiscarded(t *testing.T) {
	var requests atomic.Int64

	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, requests.Add(1))
	}))
	defer s.Close()

	begun, answered := make(chan struct{}), make(chan struct{})
	c := once.NewClient(once.Options{RequestIDHeader: "Id", Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)

		return &repeatingConn{Conn: conn, begun: begun}, err
	}})

	send := func(ctx context.Context) string {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL, strings.NewReader("body"))
		require.NoError(t, err)
		r.Header.Set("Id", "q1")

		resp, err := c.Do(r)
		require.NoError(t, err)

		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())

		return string(body)
	}

	require.Equal(t, "1", send(t.Context()))

	// The copy is received before the first write of the request.
	var hold, gotAnswer sync.Once

	require.Equal(t, "2", send(httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) {
			hold.Do(func() {
				close(begun)

				select {
				case <-answered:
					time.Sleep(100 * time.Millisecond) // until the answer was parsed
				case <-time.After(10 * time.Second):
				}
			})
		},
		GotFirstResponseByte: func() { gotAnswer.Do(func() { close(answered) }) },
	})))
	require.EqualValues(t, 2, requests.Load())
}

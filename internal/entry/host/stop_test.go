package host_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
)

// exchange writes text to a connection and returns the status of the next answer.
func exchange(t *testing.T, c net.Conn, r *bufio.Reader, text string) int {
	t.Helper()

	_, err := io.WriteString(c, text)
	require.NoError(t, err)

	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)

	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	return resp.StatusCode
}

func TestStopDropsARequestWhoseHeadIsBeingRead(t *testing.T) {
	const (
		firstHalf  = "GET /healthz HTTP/1.1\r\nHost: h"
		secondHalf = ".example\r\n\r\n"
	)

	d := newDeployment(t, 1, engine.Options{})
	h := d.addHost(t, "a")

	type connection struct {
		net.Conn
		r      *bufio.Reader
		status int
	}

	// A stopping host serves operators until its callers have their answers.
	connections := []connection{{status: http.StatusOK}, {status: http.StatusUnauthorized}}

	for i, address := range []string{h.CallerAddress(), h.OperatorAddress()} {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)

		defer conn.Close()

		c := &connections[i]
		c.Conn, c.r = conn, bufio.NewReader(conn)
		require.Equal(t, c.status, exchange(t, c, c.r, firstHalf+secondHalf))

		_, err = io.WriteString(c, firstHalf)
		require.NoError(t, err)
	}

	stopped := make(chan error, 1)
	go func() { stopped <- h.Stop() }()

	for _, c := range connections {
		require.Eventually(t, func() bool {
			probe, err := net.Dial("tcp", c.RemoteAddr().String())
			if err == nil {
				_ = probe.Close()
			}

			return err != nil
		}, settleTimeout, pollEvery, "the listener is still open")

		time.Sleep(100 * time.Millisecond) // for connections that are closed after the listener
		require.Equal(t, c.status, exchange(t, c, c.r, secondHalf))
	}

	require.NoError(t, <-stopped)
}

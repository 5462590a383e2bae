package host_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/host"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
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

// TestStopAnswersRequestsThatOutlastIt guards against requests in progress that are cut at the end of a stop without an answer.
func TestStopAnswersRequestsThatOutlastIt(t *testing.T) {
	d := newDeployment(t, 1, engine.Options{TokenTime: 30 * time.Millisecond})
	d.tune = func(o *host.Options) { o.StopTimeout = 2 * time.Second }
	h := d.addHost(t, "a")

	type result struct {
		out outcome
		err error
	}

	calls := []call{
		{kind: "note", prompt: "a crack", tokens: 300}, {kind: "note", prompt: "a damp wall", tokens: 300, stream: true},
		{kind: "grade", prompt: "a loose tile", tokens: 300, key: newKey()},
	}
	results := make([]chan result, len(calls))

	for i, c := range calls {
		results[i] = make(chan result, 1)

		go func() {
			out, err := c.do(t.Context(), h)
			results[i] <- result{out, err}
		}()
	}

	require.Eventually(t, func() bool { return d.engines[0].OpenAnswers() == len(calls) }, settleTimeout, pollEvery)
	require.NoError(t, h.Stop())

	for i, c := range calls {
		got := <-results[i]
		require.NoError(t, got.err, "%+v", c)
		require.False(t, got.out.whole, "%+v", c)

		if !c.stream {
			require.Equal(t, string(verdict.CodeStopping), string(got.out.problem.Code), "%+v", got.out)
			require.Equal(t, verdict.MayHaveRun.String(), got.out.problem.Verdict.String(), "%+v", got.out)
		}
	}
}

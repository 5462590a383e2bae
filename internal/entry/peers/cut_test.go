package peers_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// cutter forwards connections to a host and breaks them off once it has passed on a number of bytes to the host.
type cutter struct {
	net.Listener

	host string
	cuts atomic.Int64 // bytes that are passed on to the host; negative for all
}

func newCutter(t *testing.T, host string) *cutter {
	t.Helper()

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	c := &cutter{Listener: l, host: host}

	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}

			go c.forward(conn, c.cuts.Load())
		}
	}()

	return c
}

func (c *cutter) forward(conn net.Conn, cut int64) {
	defer func() { _ = conn.Close() }()

	host, err := net.Dial("tcp4", c.host)
	if err != nil {
		return
	}

	defer func() { _ = host.Close() }()

	go func() {
		_, _ = io.Copy(conn, host)
		_ = conn.Close()
	}()

	var from io.Reader = conn
	if cut >= 0 {
		from = io.LimitReader(conn, cut)
	}

	_, _ = io.Copy(host, from)
}

// TestRequestOfAHostWhoseConnectionBreaksAtAnyByteIsServedOnceAtMost guards against a request that is reported as not run, or sent again,
// though the other host has served it.
func TestRequestOfAHostWhoseConnectionBreaksAtAnyByteIsServedOnceAtMost(t *testing.T) {
	var (
		mu     sync.Mutex
		served = map[string]int{}
	)

	m, _ := serveRequests(t, requestServer(func(_ context.Context, r *peer.ServeRequest, send func(*peer.ServeEvent) error) error {
		mu.Lock()
		served[r.GetRequestId()]++
		mu.Unlock()

		return errors.Join(send(&peer.ServeEvent{Status: 200}), send(&peer.ServeEvent{Last: true}))
	}))

	c := newCutter(t, m.Address)
	verdicts := map[string]verdict.Verdict{}
	counts := map[verdict.Verdict]int{}

	for cut := range int64(400) {
		id := strconv.FormatInt(cut, 10)
		c.cuts.Store(cut)

		v := serveOnce(t, members.Member{Host: m.Host, Address: c.Addr().String(), Ready: true}, id)
		verdicts[id] = v
		counts[v]++
	}

	time.Sleep(100 * time.Millisecond) // a request that has arrived may be served later

	mu.Lock()
	defer mu.Unlock()

	for id, v := range verdicts {
		require.LessOrEqual(t, served[id], 1, id)
		require.False(t, v == verdict.NotRun && served[id] > 0, "request %s is reported as not run and was served", id)
	}

	t.Log(counts)
	require.NotZero(t, counts[verdict.NotRun])
	require.NotZero(t, counts[verdict.MayHaveRun])
	require.NotZero(t, counts[verdict.Ran])
}

// serveOnce lets m serve a request by a Network without connections and returns whether it has run.
func serveOnce(t *testing.T, m members.Member, id string) verdict.Verdict {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()

	n := newServingNetwork()

	end := startAndStop(t, n)
	defer end()

	next, err := n.Serve(ctx, m, &peer.ServeRequest{RequestId: id, Body: make([]byte, 64)})
	if err != nil {
		return verdict.Of(err)
	}

	e, err := next()

	switch {
	case err != nil:
		return verdict.MayHaveRun // as package forwarding takes it
	case e.GetProblem() != nil:
		return e.GetProblem().ToError().Verdict
	}

	return verdict.Ran
}

// startAndStop starts n and returns a function that closes its connections.
func startAndStop(t *testing.T, n *peers.Network) func() {
	t.Helper()

	ctx, cancel := context.WithCancel(t.Context())
	n.Start(ctx)

	return func() {
		cancel()
		<-n.Done()
	}
}

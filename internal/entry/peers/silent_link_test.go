package peers_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/standin/forwarder"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// hangingRunner is a Runner that appends one event to each answer and finishes it only when its context ends.
type hangingRunner struct {
	runs atomic.Int64
}

func (h *hangingRunner) Run(ctx context.Context, _ entity.Request, ans *answers.Answer) {
	h.runs.Add(1)
	ans.Append([]byte("one"))
	<-ctx.Done()
	ans.Finish(verdict.New(verdict.MayHaveRun, verdict.CodeStopping, "cancelled"))
}

// startNetwork starts a network and its server, which peers reach through a forwarder.
func startNetwork(t *testing.T, host entity.HostID, dc entity.DataCentre, runner peers.Runner, seeds ...string) (*peers.Network, *forwarder.Forwarder) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	via, err := forwarder.Listen(listener.Addr().String())
	require.NoError(t, err)

	network := peers.New(peers.Options{Host: host, DataCentre: dc, Address: via.Address(), Seeds: seeds, Digests: readyHandler{}})
	server := peers.NewGRPCServer(network, peers.Services{
		Snapshot: snapshot, Runner: runner, Answers: answers.NewTable(answers.Options{}),
	})
	served := make(chan struct{})

	go func() {
		defer close(served)

		_ = server.Serve(listener)
	}()

	ctx, cancel := context.WithCancel(t.Context())
	network.Start(ctx)

	t.Cleanup(func() {
		cancel()
		<-network.Done()
		server.Stop()
		<-served

		_ = via.Close()
	})

	return network, via
}

// A connection can stop carrying data without being closed. It must be replaced before the peer counts as dead, and
// the streams on it must have ended by then.
func TestSilentPeerLinkIsReplaced(t *testing.T) {
	const watched = 4 * time.Second

	runner := &hangingRunner{}
	_, via := startNetwork(t, "far", "a", runner)
	near, _ := startNetwork(t, "near", "b", runner, via.Address())

	alive := func() bool { _, ok := near.Member("far"); return ok }

	require.Eventually(t, alive, testBound, 10*time.Millisecond)

	ended := make(chan error, 1)

	go func() {
		ended <- near.Forward(t.Context(), "a", "engine-1", forwarded(), answers.New())
	}()

	require.Eventually(t, func() bool { return runner.runs.Load() == 1 }, testBound, 10*time.Millisecond)
	require.Positive(t, via.Silence())

	opened := via.Opened()

	for begun := time.Now(); time.Since(begun) < watched; time.Sleep(10 * time.Millisecond) {
		require.True(t, alive(), "a peer behind a silent link counted as dead")
	}

	require.Greater(t, via.Opened(), opened)

	select {
	case err := <-ended:
		require.Equal(t, verdict.CodePeerLost, verdict.From(err).Code)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	default:
		require.Fail(t, "the forwarded request still waits on the silent link")
	}

	go func() {
		ended <- near.Forward(t.Context(), "a", "engine-1", forwarded(), answers.New())
	}()

	require.Eventually(t, func() bool { return runner.runs.Load() == 2 }, testBound, 10*time.Millisecond)
}

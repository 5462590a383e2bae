package peers_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

func newServingNetwork() *peers.Network {
	return peers.New(peers.Options{Log: &log.Logger{Level: log.PanicLevel}, Host: "a", DataCentre: "x", Address: "127.0.0.1:1", Digests: stubHandler{}})
}

// requestServer serves the requests of other hosts.
type requestServer func(ctx context.Context, r *peer.ServeRequest, send func(*peer.ServeEvent) error) error

func (s requestServer) Serve(ctx context.Context, r *peer.ServeRequest, send func(*peer.ServeEvent) error) error {
	return s(ctx, r, send)
}

// serveRequests starts a host that serves by s, which may be nil, and returns it with its server.
func serveRequests(t *testing.T, s peers.RequestServer) (members.Member, *grpc.Server) {
	t.Helper()

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)

	server := peers.NewGRPCServer(newServingNetwork(), peers.Services{Requests: s})
	t.Cleanup(server.Stop)

	go func() { _ = server.Serve(l) }() // ended by Stop

	return members.Member{Host: "b", Address: l.Addr().String(), Ready: true}, server
}

func TestRequestIsServedByAnotherHost(t *testing.T) {
	m, _ := serveRequests(t, requestServer(func(_ context.Context, r *peer.ServeRequest, send func(*peer.ServeEvent) error) error {
		return errors.Join(send(&peer.ServeEvent{Status: 200}), send(&peer.ServeEvent{Data: r.GetBody()}), send(&peer.ServeEvent{Last: true}))
	}))

	next, err := newServingNetwork().Serve(t.Context(), m, &peer.ServeRequest{Body: []byte("body")})
	require.NoError(t, err)

	for _, check := range []func(*peer.ServeEvent) bool{
		func(e *peer.ServeEvent) bool { return e.GetStatus() == 200 },
		func(e *peer.ServeEvent) bool { return string(e.GetData()) == "body" },
		func(e *peer.ServeEvent) bool { return e.GetLast() },
	} {
		e, err := next()
		require.NoError(t, err)
		require.True(t, check(e), "%v", e)
	}
}

func TestHostThatCannotBeReachedHasNotServed(t *testing.T) {
	m, server := serveRequests(t, nil)
	server.Stop()

	_, err := newServingNetwork().Serve(t.Context(), m, &peer.ServeRequest{})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

func TestHostOfAnOlderBuildHasNotServed(t *testing.T) {
	m, _ := serveRequests(t, nil)

	next, err := newServingNetwork().Serve(t.Context(), m, &peer.ServeRequest{})
	require.NoError(t, err)

	e, err := next()
	require.NoError(t, err)
	require.Equal(t, verdict.NotRun, e.GetProblem().ToError().Verdict)
}

func TestHostThatEndsWhileItServesMayHaveServed(t *testing.T) {
	began := make(chan struct{})

	m, server := serveRequests(t, requestServer(func(ctx context.Context, _ *peer.ServeRequest, _ func(*peer.ServeEvent) error) error {
		close(began)
		<-ctx.Done()

		return ctx.Err()
	}))

	next, err := newServingNetwork().Serve(t.Context(), m, &peer.ServeRequest{})
	require.NoError(t, err)

	<-began
	server.Stop()

	_, err = next()
	require.Error(t, err)
}

package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// aheadBytes are sent to a receiver that grants no further bytes. At a round trip of 40 ms, that is 25 MB/s for each call.
	aheadBytes   = 1 << 20
	requestBytes = 8 << 20
	eventBytes   = 1 << 10
	transferTime = 30 * time.Second // bounds the wait for bytes, far beyond what they take
)

// largeServer takes large requests and sends long answers.
type largeServer struct{ peer.UnimplementedPeerServer }

func (largeServer) Forward(r *peer.ForwardRequest, stream grpc.ServerStreamingServer[peer.AnswerEvent]) error {
	return stream.Send(&peer.AnswerEvent{Sequence: uint64(len(r.GetBody())), Last: true})
}

func (largeServer) Join(_ *peer.JoinRequest, stream grpc.ServerStreamingServer[peer.AnswerEvent]) error {
	for i := range uint64(requestBytes / eventBytes) {
		if err := stream.Send(&peer.AnswerEvent{Sequence: i, Data: make([]byte, eventBytes)}); err != nil {
			return err
		}
	}

	return nil
}

// link carries one connection and counts its bytes.
type link struct {
	held        atomic.Bool // bytes to the client stay on the way
	toServer    atomic.Int64
	toClient    atomic.Int64
	connections atomic.Int64
	closed      atomic.Int64 // directions of connections that have ended
}

// listen returns an address at which connections reach target over l.
func (l *link) listen(t *testing.T, target string) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}

			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()

				return
			}

			l.connections.Add(1)

			go l.carry(client, server, &l.toServer, nil)
			go l.carry(server, client, &l.toClient, &l.held)
		}
	}()

	return listener.Addr().String()
}

// carry sends what from sends to to, unless it is held, until one of them ends.
func (l *link) carry(from, to net.Conn, n *atomic.Int64, held *atomic.Bool) {
	defer func() {
		l.closed.Add(1)

		_ = from.Close()
		_ = to.Close()
	}()

	for data := make([]byte, 32<<10); ; {
		read, err := from.Read(data)
		if err != nil {
			return
		}

		for held != nil && held.Load() {
			time.Sleep(time.Millisecond)
		}

		if _, err := to.Write(data[:read]); err != nil {
			return
		}

		n.Add(int64(read))
	}
}

func TestPeersSendLittleAhead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	server := peer.NewGRPCServer(largeServer{}, panics.Recorder{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)

	var (
		l     link
		links peer.Conns
	)

	client, err := links.Client(l.listen(t, listener.Addr().String()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = links.Close() })

	ctx, cancel := context.WithTimeout(t.Context(), 2*transferTime)
	defer cancel()

	request, err := client.Forward(ctx, &peer.ForwardRequest{}) // after it, both ends know the windows of the connection
	require.NoError(t, err)
	_, err = request.Recv()
	require.NoError(t, err)

	l.held.Store(true)

	before := l.toServer.Load()
	replied := make(chan uint64, 1)

	go func() {
		request, err := client.Forward(ctx, &peer.ForwardRequest{Body: make([]byte, requestBytes)})
		if err != nil {
			return
		}

		if reply, err := request.Recv(); err == nil {
			replied <- reply.GetSequence()
		}
	}()

	require.Eventually(t, func() bool { return l.toServer.Load()-before >= aheadBytes }, transferTime, time.Millisecond, "a request waits for its receiver")
	l.held.Store(false)

	select {
	case n := <-replied:
		require.EqualValues(t, requestBytes, n)
	case <-ctx.Done():
		require.NoError(t, ctx.Err())
	}

	before = l.toClient.Load()
	_, err = client.Join(ctx, &peer.JoinRequest{})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return l.toClient.Load()-before >= aheadBytes }, transferTime, time.Millisecond, "an answer waits for its receiver")
	require.EqualValues(t, 1, l.connections.Load())
}

// A host speaks to many hosts once, and each open connection costs both ends memory, descriptors and probes.
func TestConnectionWithoutCallsCloses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	server := peer.NewGRPCServer(largeServer{}, panics.Recorder{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)

	var l link

	links := peer.Conns{IdleTimeout: 50 * time.Millisecond}
	t.Cleanup(func() { _ = links.Close() })

	client, err := links.Client(l.listen(t, listener.Addr().String()))
	require.NoError(t, err)

	for n := range int64(2) {
		_, err = client.Heartbeat(t.Context(), &peer.Digest{})
		require.Equal(t, codes.Unimplemented, status.Code(err), "the server has answered")
		require.Equal(t, n+1, l.connections.Load())
		require.Eventually(t, func() bool { return l.closed.Load() == 2*(n+1) }, transferTime, time.Millisecond)
	}
}

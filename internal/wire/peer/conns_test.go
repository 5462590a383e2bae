package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	linkDelay    = 20 * time.Millisecond // in each direction
	largeBytes   = 8 << 20
	chunkBytes   = 32 << 10
	eventBytes   = 1 << 10
	maxLargeTime = 2 * time.Second // for a call that carries largeBytes over the long link
)

// largeServer takes large requests and sends long answers.
type largeServer struct{ peer.UnimplementedPeerServer }

func (largeServer) Forward(r *peer.ForwardRequest, stream grpc.ServerStreamingServer[peer.AnswerEvent]) error {
	return stream.Send(&peer.AnswerEvent{Sequence: uint64(len(r.GetBody())), Last: true})
}

func (largeServer) Join(_ *peer.JoinRequest, stream grpc.ServerStreamingServer[peer.AnswerEvent]) error {
	for i := range largeBytes / eventBytes {
		if err := stream.Send(&peer.AnswerEvent{Sequence: uint64(i), Data: make([]byte, eventBytes)}); err != nil {
			return err
		}
	}

	return nil
}

// longLink returns an address at which connections reach target with a delay, at the full rate.
func longLink(t *testing.T, target string) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}

			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()

				return
			}

			go carry(near, far)
			go carry(far, near)
		}
	}()

	return listener.Addr().String()
}

// chunk is a piece of what a connection carries, which arrives at due.
type chunk struct {
	data []byte
	due  time.Time
}

// carry sends what from sends to to, delayed, until one of them ends.
func carry(from, to net.Conn) {
	underWay := make(chan chunk, 2*largeBytes/chunkBytes)

	go func() {
		defer close(underWay)

		for {
			data := make([]byte, chunkBytes)

			n, err := from.Read(data)
			if err != nil {
				return
			}

			underWay <- chunk{data[:n], time.Now().Add(linkDelay)}
		}
	}()

	for c := range underWay {
		time.Sleep(time.Until(c.due))

		if _, err := to.Write(c.data); err != nil {
			break
		}
	}

	_ = from.Close()
	_ = to.Close()

	for range underWay {
		// The reader ends once it has handed over its last chunk.
	}
}

func TestLargeCallsFillALongLink(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	server := peer.NewGRPCServer(largeServer{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)

	var links peer.Conns

	client, err := links.Client(longLink(t, listener.Addr().String()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = links.Close() })

	ctx, cancel := context.WithTimeout(t.Context(), 5*maxLargeTime)
	defer cancel()

	began := time.Now()
	request, err := client.Forward(ctx, &peer.ForwardRequest{Body: make([]byte, largeBytes)})
	require.NoError(t, err)
	reply, err := request.Recv()
	require.NoError(t, err)
	require.EqualValues(t, largeBytes, reply.GetSequence())
	t.Logf("a request of 8 MiB: %v", time.Since(began))
	require.Less(t, time.Since(began), maxLargeTime)

	began = time.Now()
	answer, err := client.Join(ctx, &peer.JoinRequest{})
	require.NoError(t, err)

	for range largeBytes / eventBytes {
		_, err := answer.Recv()
		require.NoError(t, err)
	}

	t.Logf("an answer of 8 MiB: %v", time.Since(began))
	require.Less(t, time.Since(began), maxLargeTime)
}

package originsync_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// controlTraffic is the target for all control traffic of a host, in bytes a second.
	controlTraffic = 23_000
	// warmUp is the number of messages until the header tables of a connection are filled, and counted the number of those whose bytes
	// are counted then.
	warmUp  = 60
	counted = 200
	// messagePause keeps messages from being sent together.
	messagePause = time.Millisecond
)

// countedListener counts the bytes of the connections that it accepts, both ways.
type countedListener struct {
	net.Listener

	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()

	return countedConn{c, l.bytes}, err
}

type countedConn struct {
	net.Conn

	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))

	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))

	return n, err
}

// bytesPerMessage sends the first of messages from one host to another and returns the mean bytes of each in both directions, with
// HTTP/2 framing but without TCP/IP headers.
func bytesPerMessage(t *testing.T, messages []*peer.OriginRecords) float64 {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	var bytes atomic.Int64

	network := peers.New(peers.Options{Host: "a", DataCentre: "dc-0", Address: "10.20.30.40:7000"})
	server := peers.NewGRPCServer(network, peers.Services{})
	served := make(chan error, 1)

	go func() { served <- server.Serve(countedListener{listener, &bytes}) }()

	ctx, cancel := context.WithCancel(t.Context())
	network.Start(ctx)

	for i, m := range messages[:warmUp+counted] {
		if i == warmUp {
			bytes.Store(0)
		}

		require.NoError(t, network.ShareOrigins(ctx, listener.Addr().String(), m))
		time.Sleep(messagePause)
	}

	cancel()
	<-network.Done()
	server.Stop()
	require.NoError(t, <-served)

	return float64(bytes.Load()) / counted
}

func TestStreamVersionsLeaveRoomForOtherControl(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprintf("hosts=%d", size.hosts), func(t *testing.T) {
			rate, messages := playDesignRate(t, size)
			bytes := bytesPerMessage(t, messages)
			traffic := 2 * rate * bytes // each host gets as many messages as it sends
			t.Logf("%.0f bytes a message, %.1f KB/s", bytes, traffic/1000)
			require.Less(t, traffic, float64(controlTraffic))
		})
	}
}

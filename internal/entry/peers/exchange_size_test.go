package peers_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// countedListener counts the bytes of the connections that it accepts, both ways.
type countedListener struct {
	net.Listener

	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()

	return countedConn{Conn: c, bytes: l.bytes}, err
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

// reportingHandler is the DigestHandler of a host that polls a number of targets and reports their loads.
type reportingHandler struct {
	targets int
}

func (r reportingHandler) Fill(_ entity.HostID, d *peer.Digest) {
	d.Generation, d.Ready = 1_000_000, true
	d.Known = []string{"10.20.30.42:7000", "10.20.30.43:7000", "10.20.30.44:7000"}
	d.Suspects = []byte(`{"sequence":100000,"version":100000,"seen":100000}`)

	for i := range r.targets {
		d.Loads = append(d.Loads, &peer.Load{
			Target: fmt.Sprintf("lodz-engine-%d", i), AtUnixMs: time.Now().UnixMilli(), Running: 12, Queued: 3,
			PrefillPending: 40_000, DecodePending: 20_000, Role: uint32(entity.Decode), Boot: "018bcfe5-6800-7000",
		})
	}
}

func (reportingHandler) Receive(*peer.Digest) {}

// BenchmarkExchange measures one heartbeat with its reply over a real connection: the time that both ends take, and
// the bytes in both directions, with HTTP/2 framing but without TCP/IP headers.
func BenchmarkExchange(b *testing.B) {
	for _, targets := range []int{0, 4, 16, 64} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			options := func(id entity.HostID) peers.Options {
				return peers.Options{Host: id, DataCentre: "dc-0", Address: "10.20.30.40:7000", Digests: reportingHandler{targets}}
			}

			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)

			var bytes atomic.Int64

			server := peers.NewGRPCServer(peers.New(options("018bcfe5-6800-7000-8000-000000000001")), peers.Services{})
			go server.Serve(countedListener{Listener: listener, bytes: &bytes})
			b.Cleanup(server.Stop)

			var links peer.Conns

			client, err := links.Client(listener.Addr().String())
			require.NoError(b, err)
			b.Cleanup(func() { _ = links.Close() })

			send := func(n uint64) {
				d := &peer.Digest{
					Host: "018bcfe5-6800-7000-8000-000000000002", Address: "10.20.30.41:7000", DataCentre: "dc-0", Sequence: n,
				}
				reportingHandler{targets}.Fill("", d)

				_, err := client.Heartbeat(b.Context(), d)
				require.NoError(b, err)
			}

			const warmUp = 100 // exchanges until the header tables of the connection are filled

			for n := range uint64(warmUp) {
				send(n)
			}

			bytes.Store(0)

			for n := uint64(warmUp); b.Loop(); n++ {
				send(n)
			}

			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/exchange")
		})
	}
}

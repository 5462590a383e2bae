package peers_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// discardOrigins drops records.
type discardOrigins struct{}

func (discardOrigins) HandleRecords(*peer.OriginRecords) {}

func (discardOrigins) HandleFetch() *peer.OriginRecords { return &peer.OriginRecords{} }

func (discardOrigins) HandleFind(context.Context, *peer.FindOriginRequest) *peer.FindOriginReply {
	return &peer.FindOriginReply{}
}

// BenchmarkShareOrigins measures one message with one record over a real connection: the time that both ends take, and the
// bytes in both directions, with HTTP/2 framing but without TCP/IP headers.
func BenchmarkShareOrigins(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)

	var bytes atomic.Int64

	network := peers.New(peers.Options{Host: "h", DataCentre: "dc-0", Address: "10.20.30.40:7000", Digests: reportingHandler{}})
	server := peers.NewGRPCServer(network, peers.Services{Origins: discardOrigins{}})
	go server.Serve(countedListener{Listener: listener, bytes: &bytes})
	b.Cleanup(server.Stop)

	var links peer.Conns

	client, err := links.Client(listener.Addr().String())
	require.NoError(b, err)
	b.Cleanup(func() { _ = links.Close() })

	m := &peer.OriginRecords{Records: []*peer.OriginRecord{{Stream: 0x9c41d07be2a35f68, Version: "v1.12", LeftMs: 60_000}}}
	for b.Loop() {
		_, err := client.ShareOrigins(b.Context(), m)
		require.NoError(b, err)
	}

	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/message")
}

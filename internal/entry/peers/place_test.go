package peers_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// desk places each prompt on a target with the id of the request, and records the claims that End receives.
type desk struct{ ended []uint64 }

func (*desk) Place(r *peer.PlaceRequest) *peer.PlaceReply {
	return &peer.PlaceReply{Claim: 7, Target: r.GetRequest()}
}

func (d *desk) End(r *peer.EndPlaceRequest) { d.ended = append(d.ended, r.GetClaim()) }

// serveDesk starts a server with the desk d, which may be nil, and returns its address.
func serveDesk(t *testing.T, d peers.PromptPlacer) string {
	t.Helper()

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)

	server := peers.NewGRPCServer(peers.New(peers.Options{Host: "b", DataCentre: "x", Address: l.Addr().String(), Digests: stubLocal{}}), peers.Services{Placer: d})
	t.Cleanup(server.Stop)

	go func() { _ = server.Serve(l) }() // ends with Stop

	return l.Addr().String()
}

func TestPromptsArePlacedByAPeer(t *testing.T) {
	n := peers.New(peers.Options{Host: "a", DataCentre: "x", Address: "127.0.0.1:1", Digests: stubLocal{}})
	d := &desk{}
	address := serveDesk(t, d)

	reply, err := n.Place(t.Context(), address, &peer.PlaceRequest{Request: "r3"})
	require.NoError(t, err)
	require.Equal(t, "r3", reply.GetTarget())
	require.NoError(t, n.EndPlace(t.Context(), address, &peer.EndPlaceRequest{Claim: reply.GetClaim()}))
	require.Equal(t, []uint64{7}, d.ended)

	// A host without a desk places no prompts.
	reply, err = n.Place(t.Context(), serveDesk(t, nil), &peer.PlaceRequest{Request: "r3"})
	require.NoError(t, err)
	require.Zero(t, reply.GetClaim())

	_, err = n.Place(t.Context(), "127.0.0.1:1", &peer.PlaceRequest{Request: "r3"})
	require.Error(t, err)
}

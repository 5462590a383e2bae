package peers_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// recordingPlacer places each prompt on a target with the id of the request, and records the claims that End receives.
type recordingPlacer struct{ ended []uint64 }

func (*recordingPlacer) Place(r *peer.PlaceRequest) *peer.PlaceReply {
	return &peer.PlaceReply{Claim: 7, Target: r.GetRequest()}
}

func (p *recordingPlacer) End(r *peer.EndPlaceRequest) { p.ended = append(p.ended, r.GetClaim()) }

// servePlacer starts a server with the placer p, which may be nil, and returns its address.
func servePlacer(t *testing.T, p peers.PromptPlacer) string {
	t.Helper()

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)

	server := peers.NewGRPCServer(peers.New(peers.Options{Host: "b", DataCentre: "x", Address: l.Addr().String(), Digests: stubHandler{}}), peers.Services{Placer: p})
	t.Cleanup(server.Stop)

	go func() { _ = server.Serve(l) }() // ends with Stop

	return l.Addr().String()
}

func TestPromptsArePlacedByAPeer(t *testing.T) {
	n := peers.New(peers.Options{Host: "a", DataCentre: "x", Address: "127.0.0.1:1", Digests: stubHandler{}})
	p := &recordingPlacer{}
	address := servePlacer(t, p)

	reply, err := n.Place(t.Context(), address, &peer.PlaceRequest{Request: "r3"})
	require.NoError(t, err)
	require.Equal(t, "r3", reply.GetTarget())
	require.NoError(t, n.EndPlace(t.Context(), address, &peer.EndPlaceRequest{Claim: reply.GetClaim()}))
	require.Equal(t, []uint64{7}, p.ended)

	// A host without a placer places no prompts.
	reply, err = n.Place(t.Context(), servePlacer(t, nil), &peer.PlaceRequest{Request: "r3"})
	require.NoError(t, err)
	require.Zero(t, reply.GetClaim())

	_, err = n.Place(t.Context(), "127.0.0.1:1", &peer.PlaceRequest{Request: "r3"})
	require.Error(t, err)
}

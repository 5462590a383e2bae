package peers_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// countingHandler counts the digests that it receives.
type countingHandler struct {
	count atomic.Int64
}

func (*countingHandler) Fill(entity.HostID, *peer.Digest) {}

func (h *countingHandler) Receive(*peer.Digest) {
	h.count.Add(1)
}

// The reply to a heartbeat carries a digest too, so two hosts need one exchange per period, not one started by each.
func TestOneHeartbeatForEachPair(t *testing.T) {
	const (
		rounds = 80
		round  = 250 * time.Millisecond
		period = time.Second
		pause  = 10 * time.Millisecond // time for an exchange over loopback
	)

	clock := clockwork.NewFakeClock()
	handlers := [2]*countingHandler{{}, {}}

	var networks [2]*peers.Network

	seeds := []string(nil)

	for i := range networks {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)

		address := listener.Addr().String()
		networks[i] = peers.New(peers.Options{
			Clock: clock, Host: entity.HostID(rune('a' + i)), DataCentre: "x", Address: address, Seeds: seeds, Processor: 200 * (i + 1), Digests: handlers[i],
		})
		seeds = []string{address}

		server := peers.NewGRPCServer(networks[i], peers.Services{})
		go server.Serve(listener)
		t.Cleanup(server.Stop)
	}

	for _, n := range networks {
		n.Start(t.Context())
	}

	for range rounds {
		time.Sleep(pause)
		clock.Advance(round)
	}

	periods := int64(rounds * round / period)

	for i, n := range networks {
		require.Len(t, n.Live(), 1)
		require.Equal(t, 200*(2-i), n.Live()[0].Processor, "of the other host")
		require.LessOrEqual(t, handlers[i].count.Load(), periods*5/4)
		require.GreaterOrEqual(t, handlers[i].count.Load(), periods/2)
	}
}

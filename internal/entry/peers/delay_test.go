package peers_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/standin/forwarder"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// ageingHandler tells that its state was current at asOf, and keeps what peers tell.
type ageingHandler struct {
	asOf time.Time

	mu       sync.Mutex
	received []time.Duration // true age of the peer's state less the one in its digest
	peer     *ageingHandler
}

func (h *ageingHandler) Fill(_ entity.HostID, d *peer.Digest) {
	d.TargetsAge = uint32(time.Since(h.asOf).Milliseconds()) + 1
}

func (h *ageingHandler) Receive(d *peer.Digest) {
	h.mu.Lock()
	defer h.mu.Unlock()

	told := time.Duration(d.GetTargetsAge()-1) * time.Millisecond
	h.received = append(h.received, time.Since(h.peer.asOf)-told)
}

// clear forgets what was received and returns it.
func (h *ageingHandler) clear() []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()

	received := h.received
	h.received = nil

	return received
}

// TestStateIsNotTakenForYoungerThanItIs guards against ages in heartbeats that were held up, on a link or by a paused host, and that are
// taken as of their arrival.
func TestStateIsNotTakenForYoungerThanItIs(t *testing.T) {
	t.Parallel()

	const (
		delay  = 150 * time.Millisecond
		period = 100 * time.Millisecond
		// rounding is the resolution of ages, and the time between a digest's arrival and the call of Receive.
		rounding = 20 * time.Millisecond
	)

	start := time.Now()
	handlers := [2]*ageingHandler{{asOf: start}, {asOf: start}}
	handlers[0].peer, handlers[1].peer = handlers[1], handlers[0]

	var (
		vias  [2]*forwarder.Forwarder
		seeds []string
	)

	for i, h := range handlers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)

		via, err := forwarder.Listen(listener.Addr().String())
		require.NoError(t, err)

		vias[i] = via
		n := peers.New(peers.Options{
			Host: entity.HostID(rune('a' + i)), DataCentre: "x", Address: via.Address(), Seeds: seeds, Digests: h, Period: period,
		})
		seeds = []string{via.Address()}

		server := peers.NewGRPCServer(n, peers.Services{})

		go func() { _ = server.Serve(listener) }()

		n.Start(t.Context())
		t.Cleanup(func() {
			server.Stop()
			<-n.Done()

			_ = via.Close()
		})
	}

	for _, h := range handlers {
		require.Eventually(t, func() bool { return len(h.clear()) > 0 }, testBound, 10*time.Millisecond)
	}

	for _, via := range vias {
		via.SetDelay(delay)
	}

	time.Sleep(10 * period)

	for _, h := range handlers {
		h.clear()
	}

	time.Sleep(20 * period)

	for i, h := range handlers {
		received := h.clear()
		require.NotEmpty(t, received, "host %d", i)

		for _, younger := range received {
			require.Less(t, younger, rounding, "host %d takes the state of its peer for younger than it is", i)
		}
	}
}

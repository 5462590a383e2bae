package copies_test

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/copies"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

var errLost = errors.New("lost")

// host has one state, or none, and counts the bytes that it sends.
type host struct {
	*copies.Server

	mu     sync.Mutex
	number uint64
	state  []byte
	lost   bool
	sent   int
}

func newHost(number uint64, state []byte) *host {
	h := &host{number: number, state: state}
	h.Server = copies.NewServer(copies.ServerOptions{Log: &log.Logger{Level: log.PanicLevel}, Source: func(_ bool, known uint64) (uint64, func() ([]byte, error)) {
		h.mu.Lock()
		defer h.mu.Unlock()

		if h.number <= known {
			return 0, nil
		}

		state := h.state

		return h.number, func() ([]byte, error) { return state, nil }
	}})

	return h
}

type hosts map[entity.HostID]*host

// receiver returns a Receiver of the host id.
func (hs hosts) receiver(id entity.HostID) *copies.Receiver {
	return copies.NewReceiver(copies.ReceiverOptions{
		Host: id,
		FetchPart: func(_ context.Context, from entity.HostID, r *peer.FetchPartRequest) (*peer.Part, error) {
			time.Sleep(time.Millisecond)

			h, ok := hs[from]
			if !ok || h.lost {
				return nil, errLost
			}

			p := h.Handle(r)

			h.mu.Lock()
			defer h.mu.Unlock()

			h.sent += len(p.GetData())

			return p, nil
		},
	})
}

func always() bool { return true }

// random returns n bytes that cannot be compressed.
func random(n int) []byte {
	state := make([]byte, n)
	r := rand.New(rand.NewPCG(1, 2))

	for i := range state {
		state[i] = byte(r.Uint32())
	}

	return state
}

func TestStatesOfAnySizeArriveWhole(t *testing.T) {
	for _, state := range [][]byte{[]byte("x"), random(16 << 10), random(16<<10 + 1), random(300_000), bytes.Repeat([]byte("route "), 1_000_000)} {
		synctest.Test(t, func(t *testing.T) {
			hs := hosts{"a": newHost(3, state)}
			r := hs.receiver("b")

			c, err := r.Fetch(t.Context(), "a", 2, always)
			require.NoError(t, err)

			got, err := c.State()
			require.NoError(t, err)
			require.True(t, bytes.Equal(state, got))
			require.LessOrEqual(t, hs["a"].sent, len(state)+1000)

			c, err = r.Fetch(t.Context(), "a", 3, always)
			require.NoError(t, err)
			require.Nil(t, c, "nothing is newer")
		})
	}
}

func TestWhatHasArrivedIsNotFetchedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := random(300_000)
		hs := hosts{"a": newHost(3, state), "b": newHost(3, state)}
		r := hs.receiver("c")

		parts := 0
		_, err := r.Fetch(t.Context(), "a", 2, func() bool {
			parts++
			hs["a"].lost = parts > 10

			return true
		})
		require.ErrorIs(t, err, errLost)

		c, err := r.Fetch(t.Context(), "b", 2, always)
		require.NoError(t, err)

		got, err := c.State()
		require.NoError(t, err)
		require.True(t, bytes.Equal(state, got))
		require.Equal(t, hs["b"].sent, c.Size()-hs["a"].sent)
	})
}

func TestSeriesOfChangesDoesNotPutACopyOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hs := hosts{"a": newHost(1, random(300_000))}
		r := hs.receiver("b")

		// The state changes with every fourth part, and a copy has 19.
		parts := 0
		c, err := r.Fetch(t.Context(), "a", 0, func() bool {
			if parts++; parts%4 == 0 {
				hs["a"].number++
			}

			return true
		})
		require.NoError(t, err)
		require.NotNil(t, c)
		require.LessOrEqual(t, parts, 25)
	})
}

func TestSendersMultiply(t *testing.T) {
	const receivers = 60

	synctest.Test(t, func(t *testing.T) {
		hs := hosts{"first": newHost(1, random(100_000))}
		done := make(chan entity.HostID, receivers)

		for i := range receivers {
			hs[entity.HostID(rune('A'+i))] = newHost(0, nil)
		}

		for id, h := range hs {
			if id == "first" {
				continue
			}

			r := hs.receiver(id)

			go func() {
				c, err := r.Fetch(t.Context(), "first", 0, always)
				if err != nil || c == nil {
					t.Errorf("%v", err)

					return
				}

				state, err := c.State()
				if err != nil {
					t.Errorf("%v", err)
				}

				h.mu.Lock()
				h.state, h.number = state, 1
				h.mu.Unlock()

				done <- id
			}()
		}

		for range receivers {
			<-done
		}

		require.Less(t, hs["first"].sent, receivers*100_000/2, "bytes that the first host has sent to %d others", receivers)
	})
}

func TestHostsThatWaitForACopyCostNoEncoding(t *testing.T) {
	for _, targets := range []bool{false, true} {
		encoded := 0
		s := copies.NewServer(copies.ServerOptions{Log: &log.Logger{Level: log.PanicLevel}, Source: func(bool, uint64) (uint64, func() ([]byte, error)) {
			return 7, func() ([]byte, error) {
				encoded++

				return random(300_000), nil
			}
		}})

		for n := range 100 {
			s.Handle(&peer.FetchPartRequest{Host: string(rune('A' + n)), Targets: targets})
		}

		require.Equal(t, 1, encoded)
	}
}

func TestReceiversThatEndGiveUpTheirPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(1, random(300_000))

		for _, id := range []string{"a", "b"} {
			require.NotEmpty(t, h.Handle(&peer.FetchPartRequest{Host: id}).GetData())
		}

		require.Empty(t, h.Handle(&peer.FetchPartRequest{Host: "e"}).GetData())
		time.Sleep(time.Second)
		require.NotEmpty(t, h.Handle(&peer.FetchPartRequest{Host: "e"}).GetData())
	})
}

// FuzzReceiver checks that no sequence of parts makes a Receiver fail in another way than by an error.
func FuzzReceiver(f *testing.F) {
	f.Add(uint64(1), uint64(4), uint64(0), []byte("part"), true)
	f.Add(uint64(1), uint64(1)<<63, uint64(1), []byte("p"), false)
	f.Fuzz(func(t *testing.T, id, size, offset uint64, data []byte, compressed bool) {
		parts := 0
		r := copies.NewReceiver(copies.ReceiverOptions{
			FetchPart: func(context.Context, entity.HostID, *peer.FetchPartRequest) (*peer.Part, error) {
				parts++

				return &peer.Part{Copy: id, Size: size, Offset: offset * uint64(parts-1), Data: data, Compressed: compressed}, nil
			},
		})

		c, err := r.Fetch(t.Context(), "a", 0, func() bool { return parts < 5 })
		if err == nil && c != nil {
			_, _ = c.State()
		}
	})
}

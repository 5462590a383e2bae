package ledger_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
)

// TestForwardedClaim loses the answer of a forwarded claim: the claimant can claim again under the same nonce, and
// the host that received the forwarded claim must not withdraw it.
func TestForwardedClaim(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, s *site) {
		r := s.request(s.key())
		r.Claimant = host(0)

		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()

		s.views[1].SetFaults(standin.Faults{LoseAnswer: true})

		_, err := s.ledgers[1].Claim(ctx, r)
		require.ErrorIs(t, err, ledger.ErrUnsettled)

		o, err := s.ledgers[0].Claim(t.Context(), r)
		require.NoError(t, err)
		require.True(t, o.Mine)

		time.Sleep(5 * time.Second) // the host that claimed for another must not withdraw the claim meanwhile
		require.ErrorIs(t, s.ledgers[1].Abandon(t.Context(), o.Record), ledger.ErrNotClaimant)

		repeat, err := s.ledgers[2].Claim(t.Context(), s.request(r.Key))
		require.NoError(t, err)
		require.False(t, repeat.Mine)
	})
}

// TestClaimThrough claims through a host that answers, does not answer, or returns the answer to another request.
func TestClaimThrough(t *testing.T) {
	tests := []struct {
		name         string
		faults       standin.Faults // platform faults of the other host
		otherRequest bool
		reads        bool // the claimant's own ledger must read from the platform
	}{
		{"no fault", standin.Faults{}, false, false},
		{"cut from the platform", standin.Faults{Down: true}, false, true},
		{"answer late", standin.Faults{Delay: time.Second}, false, true},
		{"answer lost", standin.Faults{LoseAnswer: true, LateWrite: 100 * time.Millisecond}, false, true},
		{"answer to another request", standin.Faults{}, true, true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, s *site) {
				s.views[1].SetFaults(tt.faults)

				var f ledger.Forwarder = directForwarder{s.ledgers[1]}
				if tt.otherRequest {
					f = crossedForwarder{s.ledgers[1], s.request(s.key())}
				}

				r := s.request(s.key())
				o, err := s.ledgers[0].ClaimThrough(t.Context(), f, host(1), r)
				require.NoError(t, err)
				require.True(t, o.Mine)
				require.Equal(t, r.Nonce, o.Record.Nonce)
				require.Equal(t, host(0), o.Record.Claimant)
				require.Equal(t, tt.reads, s.views[0].Calls().Gets > 0)

				time.Sleep(5 * time.Second)

				repeat, err := s.ledgers[2].Claim(t.Context(), s.request(r.Key))
				require.NoError(t, err)
				require.False(t, repeat.Mine)
			})
		})
	}
}

// crossedForwarder returns the outcome of a claim for another request.
type crossedForwarder struct {
	l     *ledger.Ledger
	other ledger.Request
}

func (f crossedForwarder) Claim(ctx context.Context, _ entity.HostID, _ ledger.Request) (ledger.Outcome, error) {
	return f.l.Claim(ctx, f.other)
}

// TestForwardedClaimComesLate delays a forwarded claim until the claimant has received the answer that
// another host holds the key. The claim takes effect, and a repeat must be able to replace it.
func TestForwardedClaimComesLate(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, s *site) {
		first, err := s.ledgers[1].Claim(t.Context(), s.request(s.key()))
		require.NoError(t, err)

		late := s.request(first.Record.Key)
		late.Claimant = host(0)

		o, err := s.ledgers[0].Claim(t.Context(), late)
		require.NoError(t, err)
		require.False(t, o.Mine)

		require.NoError(t, s.ledgers[1].Abandon(t.Context(), first.Record))

		_, err = s.ledgers[1].Claim(t.Context(), late)
		require.NoError(t, err)

		repeat, err := s.ledgers[0].Claim(t.Context(), s.request(late.Key))
		require.NoError(t, err)
		require.True(t, repeat.Mine)
	})
}

// TestPreferredHost checks that the loss of a peer moves only the keys that it was preferred for.
func TestPreferredHost(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, s *site) {
		l := s.ledgers[0]
		peers := []entity.HostID{host(0), host(1), host(2), host(3)}
		moved, seen := 0, map[entity.HostID]int{}

		for range 200 {
			k := s.key()
			p := l.PreferredHost(k, peers)
			seen[p]++

			if q := l.PreferredHost(k, peers[:3]); q != p {
				require.Equal(t, host(3), p)

				moved++
			}
		}

		require.Len(t, seen, 4)
		require.Equal(t, seen[host(3)], moved)
		require.Empty(t, l.PreferredHost(s.key(), nil))
	})
}

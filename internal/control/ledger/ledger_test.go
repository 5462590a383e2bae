package ledger_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

func TestRepeatGetsAnswer(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, s *site) {
		ctx := t.Context()
		k := s.key()

		first, err := s.ledgers[0].Claim(ctx, s.request(k))
		require.NoError(t, err)
		require.True(t, first.Mine)

		repeat, err := s.ledgers[1].Claim(ctx, s.request(k))
		require.NoError(t, err)
		require.False(t, repeat.Mine)
		require.Equal(t, claims.Claimed, repeat.Record.State)
		require.Equal(t, host(0), repeat.Record.Claimant)

		require.NoError(t, s.ledgers[0].Finish(ctx, first.Record, ran("grade 3")))

		repeat, err = s.ledgers[1].Claim(ctx, s.request(k))
		require.NoError(t, err)
		require.False(t, repeat.Mine)
		require.Equal(t, ran("grade 3"), repeat.Record.Result)

		kept, ok, err := s.ledgers[1].Lookup(ctx, k)
		require.NoError(t, err)
		require.True(t, ok)
		require.Equal(t, claims.Done, kept.State)
	})
}

// TestRepeatsCross claims one key on several hosts at the same time; exactly one must hold it.
func TestRepeatsCross(t *testing.T) {
	inBubble(t, 5, func(t *testing.T, s *site) {
		for _, l := range s.ledgers { // each claim makes its ledger check the layout
			_, err := l.Claim(t.Context(), s.request(s.key()))
			require.NoError(t, err)
		}

		time.Sleep(time.Second)

		k := s.key()
		mine := make(chan bool, len(s.ledgers))

		for i, l := range s.ledgers {
			s.views[i].SetFaults(standin.Faults{Delay: time.Duration(1+i%2) * time.Millisecond})

			r := s.request(k)

			go func() {
				o, err := l.Claim(t.Context(), r)
				mine <- err == nil && o.Mine
			}()
		}

		held := 0

		for range s.ledgers {
			if <-mine {
				held++
			}
		}

		require.Equal(t, 1, held)
	})
}

// TestClaimUnderFault claims a key while the platform fails for the claimant. After the platform has
// recovered, a repeat through another host must hold the key if, and only if, the first attempt does not.
func TestClaimUnderFault(t *testing.T) {
	tests := []struct {
		name    string
		faults  standin.Faults
		lasting bool // the fault outlasts the claim
		mine    bool
		verdict verdict.Verdict
		code    verdict.Code
		within  time.Duration // upper bound of the virtual time until Claim returns
	}{
		{"down", standin.Faults{Down: true}, true, false, verdict.NotRun, verdict.CodePlatformUnavailable, time.Millisecond},
		{"answer lost, then recovered", standin.Faults{LoseAnswer: true}, false, true, verdict.Ran, "", time.Second},
		{"answer lost for long", standin.Faults{LoseAnswer: true}, true, true, verdict.Ran, "", time.Second},
		{
			"write late", standin.Faults{LoseAnswer: true, LateWrite: time.Second},
			true, true, verdict.Ran, "", 2 * time.Second,
		},
		{
			"write later than the wait", standin.Faults{LoseAnswer: true, LateWrite: 4 * time.Second},
			true, false, verdict.NotRun, verdict.CodePlatformUnavailable, 2 * time.Second,
		},
		{
			"answer later than the wait", standin.Faults{Delay: 3 * time.Second},
			true, false, verdict.NotRun, verdict.CodePlatformUnavailable, 2 * time.Second,
		},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, 2, func(t *testing.T, s *site) {
				_, err := s.ledgers[0].Claim(t.Context(), s.request(s.key())) // checks the layout
				require.NoError(t, err)

				k := s.key()
				s.views[0].SetFaults(tt.faults)

				if !tt.lasting {
					time.AfterFunc(100*time.Millisecond, func() { s.views[0].SetFaults(standin.Faults{}) })
				}

				begun := time.Now()
				o, err := s.ledgers[0].Claim(t.Context(), s.request(k))

				require.LessOrEqual(t, time.Since(begun), tt.within)
				require.Equal(t, tt.verdict, verdict.Of(err), err)
				require.Equal(t, tt.mine, o.Mine)

				if err != nil {
					require.Equal(t, tt.code, verdict.From(err).Code)
					require.Positive(t, verdict.From(err).RetryAfter)
				}

				time.Sleep(10 * time.Second)
				s.views[0].SetFaults(standin.Faults{})
				time.Sleep(10 * time.Second)

				repeat, err := s.ledgers[1].Claim(t.Context(), s.request(k))
				require.NoError(t, err)
				require.Equal(t, !tt.mine, repeat.Mine)
			})
		})
	}
}

// TestClaimantDies closes the first claimant's ledger at different points of a request and checks what a repeat on
// another host gets.
func TestClaimantDies(t *testing.T) {
	tests := []struct {
		name string
		act  func(ctx context.Context, l *ledger.Ledger, r claims.Record)
		want claims.State
		mine bool
	}{
		{"before dispatch", func(context.Context, *ledger.Ledger, claims.Record) {}, claims.Claimed, false},
		{"after dispatch, result recorded", func(ctx context.Context, l *ledger.Ledger, r claims.Record) {
			_ = l.Finish(ctx, r, ran("held"))
		}, claims.Done, false},
		{"after dispatch, result not recorded", func(ctx context.Context, l *ledger.Ledger, r claims.Record) {
			ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
			defer cancel()

			_ = l.Finish(ctx, r, ran("held"))
		}, claims.Claimed, false},
		{"after giving up", func(ctx context.Context, l *ledger.Ledger, r claims.Record) {
			_ = l.Abandon(ctx, r)
		}, claims.Claimed, true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, 2, func(t *testing.T, s *site) {
				k := s.key()
				first := s.request(k)
				first.Request = "request-1"
				first.Target = "engine-1"

				o, err := s.ledgers[0].Claim(t.Context(), first)
				require.NoError(t, err)

				tt.act(t.Context(), s.ledgers[0], o.Record)
				s.ledgers[0].Close()

				repeat, err := s.ledgers[1].Claim(t.Context(), s.request(k))
				require.NoError(t, err)
				require.Equal(t, tt.mine, repeat.Mine)
				require.Equal(t, tt.want, repeat.Record.State)

				if !tt.mine {
					require.Equal(t, first.Request, repeat.Record.Request)
					require.Equal(t, first.Target, repeat.Record.Target)
				}
			})
		})
	}
}

// TestSpentNonceIsTakenOver leaves the claim of a spent nonce on the platform; a repeat on the same host replaces it.
func TestSpentNonceIsTakenOver(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, s *site) {
		r := s.request(s.key())
		r.Claimant = host(0)

		o, err := s.ledgers[1].Claim(t.Context(), r)
		require.NoError(t, err)
		require.True(t, o.Mine)

		s.views[0].SetFaults(standin.Faults{Down: true})

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()

		require.Error(t, s.ledgers[0].Abandon(ctx, o.Record))
		time.Sleep(2 * time.Minute)
		s.views[0].SetFaults(standin.Faults{})

		_, err = s.ledgers[0].Claim(t.Context(), r)
		require.Equal(t, verdict.NotRun, verdict.Of(err))

		repeat, err := s.ledgers[0].Claim(t.Context(), s.request(r.Key))
		require.NoError(t, err)
		require.True(t, repeat.Mine)
	})
}

// TestPlatformSilent refuses claims at once while a call to the platform gets no answer.
func TestPlatformSilent(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, s *site) {
		k := s.key()
		first := s.request(k)

		s.views[0].SetFaults(standin.Faults{Delay: time.Minute})

		go func() { _, _ = s.ledgers[0].Claim(t.Context(), first) }()

		time.Sleep(time.Second)

		begun := time.Now()
		_, err := s.ledgers[0].Claim(t.Context(), s.request(k))

		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Equal(t, verdict.CodePlatformUnavailable, verdict.From(err).Code)
		require.Zero(t, time.Since(begun))
	})
}

// TestPlatformOutForLong claims during an outage of 5 min: a patient claim waits until the outage ends.
func TestPlatformOutForLong(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, s *site) {
		s.views[0].SetFaults(standin.Faults{Down: true})
		time.AfterFunc(5*time.Minute, func() { s.views[0].SetFaults(standin.Faults{}) })

		patient := s.request(s.key())
		patient.Patient = true

		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()

		_, err := s.ledgers[0].Claim(ctx, patient)
		require.Equal(t, verdict.NotRun, verdict.Of(err))

		repeat := s.request(patient.Key)
		repeat.Repeat = true

		_, err = s.ledgers[0].Claim(t.Context(), repeat)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))

		patient = s.request(patient.Key)
		patient.Patient = true

		o, err := s.ledgers[0].Claim(t.Context(), patient)
		require.NoError(t, err)
		require.True(t, o.Mine)

		time.Sleep(11 * time.Minute)

		_, err = s.ledgers[0].Claim(t.Context(), s.request(patient.Key))
		require.Equal(t, verdict.CodeKeyExpired, verdict.From(err).Code)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	})
}

// TestClockBehind claims a key that has left the window on a host whose clock is far behind.
func TestClockBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())
		layout := claims.Layout{Shards: 1}.WithDefaults()
		ahead := ledger.New(ledger.Options{Store: store.View(), Host: "ahead", Layout: layout})
		behind := ledger.New(ledger.Options{
			Store: store.View(), Host: "behind", Layout: layout, Clock: clockwork.NewFakeClockAt(time.Now()),
		})

		k := claims.KeyAt("dombud", time.Now(), 1)
		o, err := ahead.Claim(t.Context(), ledger.Request{Key: k, Nonce: claims.Nonce{1}})
		require.NoError(t, err)
		require.True(t, o.Mine)

		time.Sleep(time.Duration(layout.Slots()) * layout.Span) // until the page of k is reused

		_, err = ahead.Claim(t.Context(), ledger.Request{Key: claims.KeyAt("dombud", time.Now(), 2), Nonce: claims.Nonce{2}})
		require.NoError(t, err)

		_, err = behind.Claim(t.Context(), ledger.Request{Key: k, Nonce: claims.Nonce{3}})
		require.Equal(t, verdict.CodeKeyExpired, verdict.From(err).Code)
		ahead.Close()
		behind.Close()
	})
}

// TestOtherLayout checks that a host whose layout differs from the stored one refuses claims.
func TestOtherLayout(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, s *site) {
		_, err := s.ledgers[0].Claim(t.Context(), s.request(s.key()))
		require.NoError(t, err)

		other := ledger.New(ledger.Options{Store: s.store.View(), Host: "other", Layout: claims.Layout{Shards: 8}})
		defer other.Close()

		_, err = other.Claim(t.Context(), s.request(s.key()))
		require.Equal(t, verdict.NotRun, verdict.Of(err))
	})
}

func TestClose(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, s *site) {
		s.views[0].SetFaults(standin.Faults{Down: true})

		r := s.request(s.key())
		r.Patient = true

		time.AfterFunc(time.Second, s.ledgers[0].Close)

		_, err := s.ledgers[0].Claim(t.Context(), r)
		require.Equal(t, verdict.CodeStopping, verdict.From(err).Code)
		require.Equal(t, verdict.NotRun, verdict.Of(err))
	})
}

var _ ledger.Store = (*platform.Client)(nil)

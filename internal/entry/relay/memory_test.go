package relay_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// largeBytes is the size of an answer that waits while holdAnswers holds the memory.
const largeBytes = 1 << 20

// holdAnswers takes all memory for answers, also that which one answer may have beyond the bound, until release is called.
func (fx *fixture) holdAnswers() (release func()) {
	held := []*buffers.Buffer{{Budget: fx.answers, Limit: maxAnswer, Done: make(chan struct{})}}

	for len(held) == 1 || held[len(held)-1].Bytes() != nil {
		b := &buffers.Buffer{Budget: fx.answers, Limit: largeBytes}
		if _, err := b.ReadAll(bytes.NewReader(make([]byte, largeBytes))); err != nil {
			b.Release()
		}

		held = append(held, b)
	}

	_, _ = held[0].ReadAll(bytes.NewReader(make([]byte, maxAnswer)))

	return func() {
		for _, b := range held {
			b.Release()
		}
	}
}

// sound returns a run of a sound target whose answer takes more memory than holdAnswers leaves.
func sound(route catalog.Route) runFunc {
	if !route.Streaming {
		return sized(largeBytes, open())
	}

	return func(int, context.Context, relay.Send) (*relay.Answer, error) {
		return answer(200, "id: 1\ndata: "+strings.Repeat("x", largeBytes/2)+"\n\n"), nil
	}
}

// TestWaitForMemoryIsNoSilence lets answers wait for longer than their targets may be silent.
func TestWaitForMemoryIsNoSilence(t *testing.T) {
	for name, route := range map[string]catalog.Route{"repeatable": repeatable, "resumable": resumable} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, route, 100)
				time.AfterFunc(2*time.Second, fx.holdAnswers())

				fx.targets.run = sound(route)
				out := fx.serve(t.Context(), t)
				require.Equal(t, 200, out.status)
				require.Len(t, fx.targets.runs, 1)
				require.Zero(t, fx.outcome.Silences)
				require.Empty(t, fx.board.PausedTargets(time.Now()))
			})
		})
	}
}

func TestTargetIsReplacedThatIsSilentAfterAWaitForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 2 * time.Second

		fx := newFixture(t, repeatable, 100)
		time.AfterFunc(wait, fx.holdAnswers())

		began := time.Now()
		fx.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
			a, err := sound(repeatable)(n, ctx, s)
			if n == 1 {
				a.Body = io.NopCloser(io.MultiReader(io.LimitReader(a.Body, largeBytes/2), silentBody{ctx}))
			}

			return a, err
		}

		out := fx.serve(t.Context(), t)
		require.Equal(t, 200, out.status)
		require.Equal(t, largeBytes, out.body.Len())
		require.Len(t, fx.targets.runs, 2)
		require.Equal(t, 1, fx.outcome.Silences)
		require.Equal(t, wait+4*repeatable.Objective, time.Since(began))
	})
}

// TestOrdinaryRequestsAreServedWhileAnAnswerWaits asks routes with answers of different sizes while answers have waited for long.
func TestOrdinaryRequestsAreServedWhileAnAnswerWaits(t *testing.T) {
	const smallBytes = 20 << 10

	for name, c := range map[string]struct {
		route   catalog.Route
		large   int // of the ten answers before
		waiting int
		refused bool
	}{
		"small answers":              {atMostOnce, 0, 1, false},
		"small answers, many wait":   {atMostOnce, 0, 100, false},
		"few large answers":          {atMostOnce, 2, 1, false},
		"few large, many wait":       {atMostOnce, 2, 100, true},
		"large answers":              {atMostOnce, 10, 1, true},
		"streams":                    {resumable, 0, 1, false},
		"streams, many answers wait": {resumable, 0, 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, c.route, 100)

				for i := range 10 {
					fx.targets.run = sized(smallBytes, open())
					if c.route.Streaming || i < c.large {
						fx.targets.run = sound(c.route)
					}

					require.Equal(t, 200, fx.serve(t.Context(), t).status)
				}

				release := fx.holdAnswers()
				done := make(chan struct{})

				for range c.waiting { // answers of other routes
					go func() {
						b := &buffers.Buffer{Budget: fx.answers, Limit: largeBytes, Done: done}
						_, _ = b.ReadAll(bytes.NewReader(make([]byte, largeBytes)))
						b.Release()
					}()
				}

				time.Sleep(1500 * time.Millisecond)
				require.Equal(t, c.waiting, fx.answers.Waiting())

				runs := len(fx.targets.runs)
				fx.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
					if c.route.Streaming {
						return streamFrom(s), nil
					}

					return sized(smallBytes, open())(n, ctx, s)
				}

				out := fx.serve(t.Context(), t)

				close(done)
				synctest.Wait()
				release()

				if c.refused {
					require.NotNil(t, out.refused)
					require.Equal(t, verdict.NotRun, out.refused.Verdict)
					require.Equal(t, verdict.CodeOverloaded, out.refused.Code)
					require.Len(t, fx.targets.runs, runs)
				} else {
					require.Equal(t, 200, out.status, "%v", out.refused)
				}

				require.Equal(t, 200, fx.serve(t.Context(), t).status)
			})
		})
	}
}

func TestTargetIsNotLostForWantOfMemory(t *testing.T) {
	for name, route := range map[string]catalog.Route{"at most once": atMostOnce, "repeatable": repeatable, "resumable": resumable} {
		for _, leaves := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fx := newFixture(t, route, 0)
					fx.keepOnly("s1", "p1", "d1")
					release := fx.holdAnswers()
					fx.targets.run = sound(route)

					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()

					if leaves {
						time.AfterFunc(100*time.Millisecond, cancel)
					}

					r := request()
					r.Parts = []placing.Part{{ID: 1, Tokens: 100}}
					out := &replyRecorder{}
					fx.relay.Serve(ctx, r, out)
					require.NotNil(t, out.refused)
					require.Equal(t, verdict.MayHaveRun, out.refused.Verdict)

					require.NotEmpty(t, fx.log.lines("answer given up for want of memory"))
					require.Empty(t, fx.log.lines("target did not answer"))
					require.Empty(t, fx.board.PausedTargets(time.Now()))
					require.Zero(t, fx.crashers.Losses(time.Now(), crashtracker.FingerprintOf(r.Host, r.URI, r.Body)))
					require.Zero(t, fx.crashers.Stats().SuspectParts)

					release()
					require.Equal(t, 200, fx.serve(t.Context(), t).status)
				})
			})
		}
	}
}

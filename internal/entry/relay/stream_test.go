package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

var (
	resumable = catalog.Route{
		Streaming: true, Repeat: catalog.Resumable, MaxTargets: 2, Timeout: 8 * time.Second,
		Objective: 800 * time.Millisecond, Gap: 250 * time.Millisecond,
	}
	plainStream = catalog.Route{
		Streaming: true, MaxTargets: 1, Timeout: 8 * time.Second, Objective: 600 * time.Millisecond, Gap: 250 * time.Millisecond,
	}
)

func eventsFrom(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}

	return b.String()
}

func TestPromptIsPrefilledByOneReplicaAndAnsweredByAnother(t *testing.T) {
	fx := newFixture(t, resumable, 0)
	fx.targets.run = func(_ int, _ context.Context, s relay.Send) (*relay.Answer, error) {
		require.Equal(t, entity.Decode, s.Target.Role)
		require.Equal(t, "kv", s.KVCache.Name)
		require.Equal(t, entity.Prefill, s.KVCache.Target.Role)

		return answer(200, eventsFrom(1, 5)), nil
	}

	out := fx.serve(t.Context(), t)
	require.Equal(t, eventsFrom(1, 5), out.body.String())
	require.False(t, out.broken)
	require.Len(t, fx.targets.prefills, 1)
}

func TestBrokenStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	fx := newFixture(t, resumable, 100)
	fx.targets.run = func(n int, _ context.Context, s relay.Send) (*relay.Answer, error) {
		if n == 1 {
			a := answer(200, "first")
			a.Body = cut(eventsFrom(1, 3)+"id: 4\ndata: pie", errReset)

			return a, nil
		}

		require.Equal(t, "3", s.LastEventID)

		return answer(200, eventsFrom(4, 6)), nil
	}

	out := fx.serve(t.Context(), t)
	require.Equal(t, eventsFrom(1, 6), out.body.String(), "each event once, in order")
	require.Equal(t, []string{"first"}, out.header["Signature"], "headers are those of the first replica")
	require.False(t, out.broken)
	require.NotEqual(t, fx.targets.runs[0].Target.ID, fx.targets.runs[1].Target.ID)
}

func TestBrokenStreamIsCutIfNotResumable(t *testing.T) {
	fx := newFixture(t, plainStream, 100)
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		a := answer(200, "")
		a.Body = cut(eventsFrom(1, 2), errReset)

		return a, nil
	}

	out := fx.serve(t.Context(), t)
	require.True(t, out.broken, "the caller must not take it for complete")
	require.Len(t, fx.targets.runs, 1)
}

func TestStreamThatEndsWithinAnEventIsNotComplete(t *testing.T) {
	fx := newFixture(t, plainStream, 100)
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		return answer(200, eventsFrom(1, 2)+"id: 3\nda"), nil
	}

	out := fx.serve(t.Context(), t)
	require.True(t, out.broken)
	require.Equal(t, eventsFrom(1, 2), out.body.String(), "only whole events are forwarded")
}

func TestStreamThatMayHaveRunIsSentAgainOnlyIfResumable(t *testing.T) {
	fx := newFixture(t, plainStream, 100)
	fx.targets.run = failsWith(mayHaveRun())
	out := fx.serve(t.Context(), t)
	require.Len(t, fx.targets.runs, 1)
	require.Equal(t, verdict.MayHaveRun, out.refused.Verdict)

	fx = newFixture(t, resumable, 100)
	fx.targets.run = func(n int, _ context.Context, _ relay.Send) (*relay.Answer, error) {
		if n == 1 {
			return nil, mayHaveRun()
		}

		return answer(200, eventsFrom(1, 2)), nil
	}
	require.Equal(t, 200, fx.serve(t.Context(), t).status)
}

func TestRefusedDecodeReusesTheKVCacheAtAnotherReplica(t *testing.T) {
	fx := newFixture(t, plainStream, 100)
	fx.targets.run = func(n int, _ context.Context, _ relay.Send) (*relay.Answer, error) {
		if n == 1 {
			a := answer(503, "")
			a.NotRun = true

			return a, nil
		}

		return answer(200, eventsFrom(1, 2)), nil
	}

	require.Equal(t, 200, fx.serve(t.Context(), t).status)
	require.Len(t, fx.targets.prefills, 1, "the prompt is prefilled once")
}

func TestUnusedKVCacheIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, plainStream, 100)
		fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
			a := answer(503, "")
			a.NotRun = true

			return a, nil
		}

		out := fx.serve(t.Context(), t)
		require.Equal(t, verdict.NotRun, out.refused.Verdict)
		require.Positive(t, out.refused.RetryAfter)
		synctest.Wait()
		require.Len(t, fx.targets.released, 1)
	})
}

func TestRefusedPromptGoesToAnotherReplica(t *testing.T) {
	fx := newFixture(t, plainStream, 100)
	fx.targets.prefill = func(n int, s relay.Send) (*relay.KVHandle, *relay.Answer, error) {
		if n == 1 {
			a := answer(503, "")
			a.NotRun = true

			return nil, a, nil
		}

		return &relay.KVHandle{Target: s.Target, Name: "kv"}, nil, nil
	}
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		return answer(200, eventsFrom(1, 1)), nil
	}

	require.Equal(t, 200, fx.serve(t.Context(), t).status)
	require.Len(t, fx.targets.prefills, 2)
	require.NotEqual(t, fx.targets.prefills[0].Target.ID, fx.targets.prefills[1].Target.ID)
}

// Each prefill after the first one takes from the retry budget, as each repeated run does. slack is the whole budget.
func TestRepeatedReadingCountsAsARepeat(t *testing.T) {
	for slack := range 4 {
		fx := newFixture(t, resumable, float64(slack))
		fx.targets.run = failsWith(mayHaveRun())
		fx.serve(t.Context(), t)

		arrivals := len(fx.targets.runs) + len(fx.targets.prefills) - 1
		require.LessOrEqual(t, arrivals-1, slack)
	}
}

// Failed prefills take from the retry budget too.
func TestRefusedReadingCountsAsARepeat(t *testing.T) {
	for slack := range 4 {
		fx := newFixture(t, resumable, float64(slack))
		fx.targets.prefill = func(int, relay.Send) (*relay.KVHandle, *relay.Answer, error) { return nil, nil, mayHaveRun() }
		fx.targets.run = failsWith(mayHaveRun())
		fx.serve(t.Context(), t)

		arrivals := len(fx.targets.runs) + len(fx.targets.prefills)
		require.LessOrEqual(t, arrivals-1, slack)
	}
}

// After three targets were lost while they ran a request, it is not sent to any other target, even if it is repeated
// under another id.
func TestRequestThatCrashesItsTargetsIsRefused(t *testing.T) {
	fx := newFixture(t, resumable, 100)
	fx.targets.run = failsWith(mayHaveRun())

	for range 5 {
		fx.serve(t.Context(), t)
	}

	runs := len(fx.targets.runs)
	require.LessOrEqual(t, runs, 4)

	out := fx.serve(t.Context(), t)
	require.Equal(t, verdict.CodeQuarantined, out.refused.Code)
	require.Equal(t, verdict.NotRun, out.refused.Verdict)
	require.Len(t, fx.targets.runs, runs)
}

func TestSilentReplicaIsReplacedBeforeTheCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, resumable, 100)
		fx.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
			if n == 1 {
				a := answer(200, "first")
				a.Body = struct {
					io.Reader
					io.Closer
				}{io.MultiReader(strings.NewReader(eventsFrom(1, 1)), silentBody{ctx}), silentBody{ctx}}

				return a, nil
			}

			require.Equal(t, "1", s.LastEventID)

			return answer(200, eventsFrom(2, 3)), nil
		}

		start := time.Now()
		out := fx.serve(t.Context(), t)
		require.Equal(t, eventsFrom(1, 3), out.body.String())

		abandoned := placing.Pacing{Objective: resumable.Objective, Gap: resumable.Gap}.AbandonAfter()
		require.Less(t, time.Since(start), abandoned)
	})
}

func TestPromptThatCannotBePrefilledInTimeIsRefusedAtOnce(t *testing.T) {
	fx := newFixture(t, resumable, 100)
	fx.board.Merge(time.Now(), "peer", []placing.TargetWork{
		{Target: "p1", PendingPrefill: [4]entity.Tokens{500_000}}, {Target: "p2", PendingPrefill: [4]entity.Tokens{500_000}},
	})

	out := &replyRecorder{}
	fx.relay.Serve(t.Context(), &relay.Request{
		ID: "q", Host: "host", Path: "/p/x", Arrived: time.Now(), Prompt: 1000, Timeout: 10 * time.Second,
	}, out)
	require.Equal(t, verdict.CodeOverloaded, out.refused.Code)
	require.Equal(t, verdict.NotRun, out.refused.Verdict)
	require.Positive(t, out.refused.RetryAfter)
	require.Empty(t, fx.targets.prefills)
	require.Empty(t, fx.targets.runs)
}

func TestCallerThatLeavesStopsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, resumable, 100)
		ctx, disconnect := context.WithCancel(t.Context())

		var stoppedAt time.Time

		fx.targets.run = func(_ int, ctx context.Context, _ relay.Send) (*relay.Answer, error) {
			a := answer(200, "")
			a.Body = silentBody{ctx}

			context.AfterFunc(ctx, func() { stoppedAt = time.Now() })

			return a, nil
		}

		disconnectedAt := time.Now().Add(300 * time.Millisecond)
		time.AfterFunc(300*time.Millisecond, disconnect)
		fx.serve(ctx, t)
		synctest.Wait()
		require.WithinDuration(t, disconnectedAt, stoppedAt, 500*time.Millisecond)
		require.Len(t, fx.targets.runs, 1, "nothing is sent after the caller has disconnected")
	})
}

func TestCallerThatCannotBeWrittenToEndsTheStream(t *testing.T) {
	fx := newFixture(t, resumable, 100)
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		return answer(200, eventsFrom(1, 9)), nil
	}

	out := &replyRecorder{onEvent: func() error { return errors.New("broken pipe") }}
	fx.serveTo(t.Context(), t, out)
	require.Len(t, fx.targets.runs, 1)
	require.True(t, out.broken, "the stream must not be taken for complete")
}

func TestErrorAnswerThatIsTooLargeIsForwardedInPart(t *testing.T) {
	fx := newFixture(t, plainStream, 100)
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		return answer(500, strings.Repeat("x", 9<<20)), nil
	}

	out := fx.serve(t.Context(), t)
	require.Zero(t, out.body.Len())
	require.Equal(t, verdict.MayHaveRun, out.refused.Verdict)
}

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
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
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

func TestPromptIsReadByOneReplicaAndAnsweredByAnother(t *testing.T) {
	w := newWorld(t, resumable, 0)
	w.targets.run = func(_ int, _ context.Context, s relay.Send) (*relay.Answer, error) {
		require.Equal(t, table.Decode, s.Target.Role)
		require.Equal(t, "kv", s.From.Name)
		require.Equal(t, table.Prefill, s.From.Target.Role)

		return answer(200, eventsFrom(1, 5)), nil
	}

	out := w.serve(t.Context(), t)
	require.Equal(t, eventsFrom(1, 5), out.body.String())
	require.False(t, out.broken)
	require.Len(t, w.targets.reads, 1)
}

func TestBrokenStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	w := newWorld(t, resumable, 100)
	w.targets.run = func(n int, _ context.Context, s relay.Send) (*relay.Answer, error) {
		if n == 1 {
			a := answer(200, "first")
			a.Body = cut(eventsFrom(1, 3)+"id: 4\ndata: pie", errReset)

			return a, nil
		}

		require.Equal(t, "3", s.After)

		return answer(200, eventsFrom(4, 6)), nil
	}

	out := w.serve(t.Context(), t)
	require.Equal(t, eventsFrom(1, 6), out.body.String(), "each event once, in order")
	require.Equal(t, []string{"first"}, out.header["Signature"], "headers are those of the first replica")
	require.False(t, out.broken)
	require.NotEqual(t, w.targets.runs[0].Target.ID, w.targets.runs[1].Target.ID)
}

func TestBrokenStreamThatMayNotBeResumedIsCut(t *testing.T) {
	w := newWorld(t, plainStream, 100)
	w.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		a := answer(200, "")
		a.Body = cut(eventsFrom(1, 2), errReset)

		return a, nil
	}

	out := w.serve(t.Context(), t)
	require.True(t, out.broken, "it must not look complete")
	require.Len(t, w.targets.runs, 1)
}

func TestStreamThatEndsWithinAnEventIsNotComplete(t *testing.T) {
	w := newWorld(t, plainStream, 100)
	w.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		return answer(200, eventsFrom(1, 2)+"id: 3\nda"), nil
	}

	out := w.serve(t.Context(), t)
	require.True(t, out.broken)
	require.Equal(t, eventsFrom(1, 2), out.body.String(), "only whole events are passed on")
}

func TestStreamThatMayHaveRunIsNotSentAgainUnlessItMayBeResumed(t *testing.T) {
	w := newWorld(t, plainStream, 100)
	w.targets.run = failsWith(mayHaveRun())
	out := w.serve(t.Context(), t)
	require.Len(t, w.targets.runs, 1)
	require.Equal(t, verdict.MayHaveRun, out.refused.Verdict)

	w = newWorld(t, resumable, 100)
	w.targets.run = func(n int, _ context.Context, _ relay.Send) (*relay.Answer, error) {
		if n == 1 {
			return nil, mayHaveRun()
		}

		return answer(200, eventsFrom(1, 2)), nil
	}
	require.Equal(t, 200, w.serve(t.Context(), t).status)
}

func TestRefusedAnswerTakesTheSameKVCacheElsewhere(t *testing.T) {
	w := newWorld(t, plainStream, 100)
	w.targets.run = func(n int, _ context.Context, _ relay.Send) (*relay.Answer, error) {
		if n == 1 {
			a := answer(503, "")
			a.NotRun = true

			return a, nil
		}

		return answer(200, eventsFrom(1, 2)), nil
	}

	require.Equal(t, 200, w.serve(t.Context(), t).status)
	require.Len(t, w.targets.reads, 1, "the prompt is read once")
}

func TestKVCacheThatNobodyTakesIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, plainStream, 100)
		w.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
			a := answer(503, "")
			a.NotRun = true

			return a, nil
		}

		out := w.serve(t.Context(), t)
		require.Equal(t, verdict.NotRun, out.refused.Verdict)
		require.Positive(t, out.refused.RetryAfter)
		synctest.Wait()
		require.Len(t, w.targets.released, 1)
	})
}

func TestRefusedPromptGoesToAnotherReplica(t *testing.T) {
	w := newWorld(t, plainStream, 100)
	w.targets.read = func(n int, s relay.Send) (*relay.Handle, *relay.Answer, error) {
		if n == 1 {
			a := answer(503, "")
			a.NotRun = true

			return nil, a, nil
		}

		return &relay.Handle{Target: s.Target, Name: "kv"}, nil, nil
	}
	w.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		return answer(200, eventsFrom(1, 1)), nil
	}

	require.Equal(t, 200, w.serve(t.Context(), t).status)
	require.Len(t, w.targets.reads, 2)
	require.NotEqual(t, w.targets.reads[0].Target.ID, w.targets.reads[1].Target.ID)
}

// Reading a prompt again counts against the bound on repeats like a run; only the first reading is free.
func TestRepeatedReadingCountsAsARepeat(t *testing.T) {
	for slack := range 4 {
		w := newWorld(t, resumable, float64(slack))
		w.targets.run = failsWith(mayHaveRun())
		w.serve(t.Context(), t)

		arrivals := len(w.targets.runs) + len(w.targets.reads) - 1
		require.LessOrEqual(t, arrivals-1, slack)
	}
}

// A refused reading is an arrival too.
func TestRefusedReadingCountsAsARepeat(t *testing.T) {
	for slack := range 4 {
		w := newWorld(t, resumable, float64(slack))
		w.targets.read = func(int, relay.Send) (*relay.Handle, *relay.Answer, error) { return nil, nil, mayHaveRun() }
		w.targets.run = failsWith(mayHaveRun())
		w.serve(t.Context(), t)

		arrivals := len(w.targets.runs) + len(w.targets.reads)
		require.LessOrEqual(t, arrivals-1, slack)
	}
}

// Whoever sends it again, under whatever id, a request that has lost three targets reaches no other.
func TestRequestThatCrashesItsTargetsIsRefused(t *testing.T) {
	w := newWorld(t, resumable, 100)
	w.targets.run = failsWith(mayHaveRun())

	for range 5 {
		w.serve(t.Context(), t)
	}

	runs := len(w.targets.runs)
	require.LessOrEqual(t, runs, 4)

	out := w.serve(t.Context(), t)
	require.Equal(t, verdict.CodeQuarantined, out.refused.Code)
	require.Equal(t, verdict.NotRun, out.refused.Verdict)
	require.Len(t, w.targets.runs, runs)
}

func TestSilentReplicaIsReplacedBeforeTheCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, resumable, 100)
		w.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
			if n == 1 {
				a := answer(200, "first")
				a.Body = struct {
					io.Reader
					io.Closer
				}{io.MultiReader(strings.NewReader(eventsFrom(1, 1)), silent{ctx}), silent{ctx}}

				return a, nil
			}

			require.Equal(t, "1", s.After)

			return answer(200, eventsFrom(2, 3)), nil
		}

		start := time.Now()
		out := w.serve(t.Context(), t)
		require.Equal(t, eventsFrom(1, 3), out.body.String())

		abandoned := placing.Pacing{Objective: resumable.Objective, Gap: resumable.Gap}.Abandoned()
		require.Less(t, time.Since(start), abandoned)
	})
}

func TestPromptThatCannotBeReadInTimeIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, resumable, 100)
	w.board.Merge(time.Now(), "peer", []placing.Use{
		{Target: "p1", Reading: [4]table.Tokens{500_000}}, {Target: "p2", Reading: [4]table.Tokens{500_000}},
	})

	out := &reply{}
	w.relay.Serve(t.Context(), &relay.Request{
		ID: "q", Host: "host", Path: "/p/x", Arrived: time.Now(), Prompt: 1000, Limit: 10 * time.Second,
	}, out)
	require.Equal(t, verdict.CodeOverloaded, out.refused.Code)
	require.Equal(t, verdict.NotRun, out.refused.Verdict)
	require.Positive(t, out.refused.RetryAfter)
	require.Empty(t, w.targets.reads)
	require.Empty(t, w.targets.runs)
}

func TestCallerThatLeavesStopsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, resumable, 100)
		ctx, leave := context.WithCancel(t.Context())

		var stopped time.Time

		w.targets.run = func(_ int, ctx context.Context, _ relay.Send) (*relay.Answer, error) {
			a := answer(200, "")
			a.Body = silent{ctx}

			context.AfterFunc(ctx, func() { stopped = time.Now() })

			return a, nil
		}

		left := time.Now().Add(300 * time.Millisecond)
		time.AfterFunc(300*time.Millisecond, leave)
		w.serve(ctx, t)
		synctest.Wait()
		require.WithinDuration(t, left, stopped, 500*time.Millisecond)
		require.Len(t, w.targets.runs, 1, "nothing is sent for a caller that has gone")
	})
}

func TestCallerThatCannotBeWrittenToEndsTheStream(t *testing.T) {
	w := newWorld(t, resumable, 100)
	w.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		return answer(200, eventsFrom(1, 9)), nil
	}

	out := &reply{onEvent: func() error { return errors.New("broken pipe") }}
	w.serveTo(t.Context(), t, out)
	require.Len(t, w.targets.runs, 1)
}

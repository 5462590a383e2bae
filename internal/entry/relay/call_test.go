package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

var (
	atMostOnce = catalog.Route{MaxTargets: 2, Timeout: 5 * time.Second, Objective: 100 * time.Millisecond}
	repeatable = catalog.Route{MaxTargets: 2, Timeout: 5 * time.Second, Objective: 100 * time.Millisecond, Repeat: catalog.Repeatable}
)

type runFunc = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error)

func failsWith(err error) runFunc {
	return func(int, context.Context, relay.Send) (*relay.Answer, error) { return nil, err }
}

func TestRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	w := newWorld(t, atMostOnce, 100)
	w.targets.run = failsWith(mayHaveRun())

	out := w.serve(t.Context(), t)
	require.Len(t, w.targets.runs, 1)
	require.Equal(t, verdict.MayHaveRun, out.refused.Verdict, "the caller must not be told that it has not run")
}

func TestRequestThatWasNotRunGoesToAnotherTarget(t *testing.T) {
	for name, first := range map[string]runFunc{
		"not sent": failsWith(notRun()),
		"refused": func(int, context.Context, relay.Send) (*relay.Answer, error) {
			a := answer(503, "")
			a.NotRun = true

			return a, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, atMostOnce, 100)
			w.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
				if n == 1 {
					return first(n, ctx, s)
				}

				return answer(200, "done"), nil
			}

			out := w.serve(t.Context(), t)
			require.Equal(t, 200, out.status)
			require.Len(t, w.targets.runs, 2)
			require.NotEqual(t, w.targets.runs[0].Target.ID, w.targets.runs[1].Target.ID)
		})
	}
}

func TestRequestThatNobodyRanIsRefusedAtOnceWithATimeToComeBack(t *testing.T) {
	w := newWorld(t, atMostOnce, 100)
	w.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		a := answer(503, "")
		a.NotRun = true

		return a, nil
	}

	out := w.serve(t.Context(), t)
	require.Equal(t, verdict.NotRun, out.refused.Verdict)
	require.Positive(t, out.refused.RetryAfter)
}

func TestRepeatsKeepTheBudget(t *testing.T) {
	w := newWorld(t, repeatable, 0)
	w.targets.run = failsWith(mayHaveRun())

	out := w.serve(t.Context(), t)
	require.Len(t, w.targets.runs, 1, "no repeat is left")
	require.Equal(t, verdict.MayHaveRun, out.refused.Verdict)
}

func TestFailureOfATargetIsRepeatedElsewhereIfTheKindAllows(t *testing.T) {
	script := func(n int, _ context.Context, _ relay.Send) (*relay.Answer, error) {
		if n == 1 {
			return answer(500, "failed"), nil
		}

		return answer(200, "done"), nil
	}

	w := newWorld(t, repeatable, 100)
	w.targets.run = script
	require.Equal(t, 200, w.serve(t.Context(), t).status)

	w = newWorld(t, atMostOnce, 100)
	w.targets.run = script
	out := w.serve(t.Context(), t)
	require.Equal(t, 500, out.status, "the target's own answer is passed on")
	require.Equal(t, "failed", out.body.String())
}

func TestFailureOfAllTargetsIsPassedOnAsItIs(t *testing.T) {
	w := newWorld(t, repeatable, 100)
	w.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) { return answer(500, "failed"), nil }

	out := w.serve(t.Context(), t)
	require.Equal(t, 500, out.status)
	require.Len(t, w.targets.runs, 2)
}

func TestAnswerThatBreaksOffIsNotPassedOn(t *testing.T) {
	w := newWorld(t, atMostOnce, 100)
	w.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		a := answer(200, "")
		a.Body = cut("half", errReset)

		return a, nil
	}

	out := w.serve(t.Context(), t)
	require.Empty(t, out.body.String())
	require.Equal(t, verdict.MayHaveRun, out.refused.Verdict)
}

func TestSilentTargetOfARepeatableRequestIsGivenUpEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, repeatable, 100)
		w.targets.run = func(n int, ctx context.Context, _ relay.Send) (*relay.Answer, error) {
			if n == 1 {
				<-ctx.Done()

				return nil, mayHaveRun()
			}

			return answer(200, "done"), nil
		}

		start := time.Now()
		require.Equal(t, 200, w.serve(t.Context(), t).status)
		require.LessOrEqual(t, time.Since(start), 4*repeatable.Objective)
	})
}

func TestRequestEndsWithItsRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, atMostOnce, 100)
		w.targets.run = func(_ int, ctx context.Context, _ relay.Send) (*relay.Answer, error) {
			<-ctx.Done()

			return nil, mayHaveRun()
		}

		start := time.Now()
		out := w.serve(t.Context(), t)
		require.Equal(t, verdict.CodeDeadline, out.refused.Code)
		require.Less(t, time.Since(start), atMostOnce.Timeout+500*time.Millisecond)
		require.LessOrEqual(t, w.targets.runs[0].Limit, atMostOnce.Timeout, "the target gets no more time than is left")
	})
}

func TestUnknownRouteAndMissingConfiguration(t *testing.T) {
	w := newWorld(t, atMostOnce, 100)
	out := &reply{}
	w.relay.Serve(t.Context(), &relay.Request{ID: "q", Host: "host", Path: "/other/"}, out)
	require.Equal(t, verdict.CodeNotFound, out.refused.Code)

	var observed []relay.Outcome

	none := relay.New(relay.Options{
		Catalog: func() *catalog.Catalog { return nil }, Observe: func(o relay.Outcome) { observed = append(observed, o) },
	})
	out = &reply{}
	none.Serve(t.Context(), &relay.Request{ID: "q", Host: "host", Path: "/p/"}, out)
	require.Len(t, observed, 1, "refusals count as well")
	require.Equal(t, out.refused, observed[0].Problem)
	require.Equal(t, verdict.CodeNotReady, out.refused.Code)
	require.Equal(t, verdict.NotRun, out.refused.Verdict)
}

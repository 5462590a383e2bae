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
	fx := newFixture(t, atMostOnce, 100)
	fx.targets.run = failsWith(mayHaveRun())

	out := fx.serve(t.Context(), t)
	require.Len(t, fx.targets.runs, 1)
	require.Equal(t, verdict.MayHaveRun, out.refused.Verdict, "the caller must not get the verdict not-run")
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
			fx := newFixture(t, atMostOnce, 100)
			fx.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
				if n == 1 {
					return first(n, ctx, s)
				}

				return answer(200, "done"), nil
			}

			out := fx.serve(t.Context(), t)
			require.Equal(t, 200, out.status)
			require.Len(t, fx.targets.runs, 2)
			require.NotEqual(t, fx.targets.runs[0].Target.ID, fx.targets.runs[1].Target.ID)
		})
	}
}

func TestRequestThatNoTargetRanIsRefusedWithRetryAfter(t *testing.T) {
	fx := newFixture(t, atMostOnce, 100)
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		a := answer(503, "")
		a.NotRun = true

		return a, nil
	}

	out := fx.serve(t.Context(), t)
	require.Equal(t, verdict.NotRun, out.refused.Verdict)
	require.Positive(t, out.refused.RetryAfter)
}

func TestRepeatsKeepTheBudget(t *testing.T) {
	fx := newFixture(t, repeatable, 0)
	fx.targets.run = failsWith(mayHaveRun())

	out := fx.serve(t.Context(), t)
	require.Len(t, fx.targets.runs, 1, "the retry budget is empty")
	require.Equal(t, verdict.MayHaveRun, out.refused.Verdict)
}

func TestFailedRequestIsRepeatedAtAnotherTargetIfRepeatable(t *testing.T) {
	failsOnce := func(n int, _ context.Context, _ relay.Send) (*relay.Answer, error) {
		if n == 1 {
			return answer(500, "failed"), nil
		}

		return answer(200, "done"), nil
	}

	fx := newFixture(t, repeatable, 100)
	fx.targets.run = failsOnce
	require.Equal(t, 200, fx.serve(t.Context(), t).status)

	fx = newFixture(t, atMostOnce, 100)
	fx.targets.run = failsOnce
	out := fx.serve(t.Context(), t)
	require.Equal(t, 500, out.status, "the target's own answer is forwarded")
	require.Equal(t, "failed", out.body.String())
}

func TestLastFailureIsForwardedIfAllTargetsFail(t *testing.T) {
	fx := newFixture(t, repeatable, 100)
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) { return answer(500, "failed"), nil }

	out := fx.serve(t.Context(), t)
	require.Equal(t, 500, out.status)
	require.Len(t, fx.targets.runs, 2)
}

func TestTruncatedAnswerIsNotForwarded(t *testing.T) {
	fx := newFixture(t, atMostOnce, 100)
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		a := answer(200, "")
		a.Body = cut("half", errReset)

		return a, nil
	}

	out := fx.serve(t.Context(), t)
	require.Empty(t, out.body.String())
	require.Equal(t, verdict.MayHaveRun, out.refused.Verdict)
}

func TestRepeatableRequestLeavesSilentTargetEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, repeatable, 100)
		fx.targets.run = func(n int, ctx context.Context, _ relay.Send) (*relay.Answer, error) {
			if n == 1 {
				<-ctx.Done()

				return nil, mayHaveRun()
			}

			return answer(200, "done"), nil
		}

		start := time.Now()
		require.Equal(t, 200, fx.serve(t.Context(), t).status)
		require.LessOrEqual(t, time.Since(start), 4*repeatable.Objective)
	})
}

func TestRequestEndsWithItsRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, atMostOnce, 100)
		fx.targets.run = func(_ int, ctx context.Context, _ relay.Send) (*relay.Answer, error) {
			<-ctx.Done()

			return nil, mayHaveRun()
		}

		start := time.Now()
		out := fx.serve(t.Context(), t)
		require.Equal(t, verdict.CodeDeadline, out.refused.Code)
		require.Less(t, time.Since(start), atMostOnce.Timeout+500*time.Millisecond)
		require.LessOrEqual(t, fx.targets.runs[0].Timeout, atMostOnce.Timeout, "the target gets at most the time until the deadline")
	})
}

func TestUnknownRouteAndMissingConfiguration(t *testing.T) {
	fx := newFixture(t, atMostOnce, 100)
	out := &replyRecorder{}
	fx.relay.Serve(t.Context(), &relay.Request{ID: "q", Host: "host", Path: "/other/"}, out)
	require.Equal(t, verdict.CodeNotFound, out.refused.Code)

	var observed []relay.Outcome

	unconfigured := relay.New(relay.Options{
		Catalog: func() *catalog.Catalog { return nil }, Observe: func(o relay.Outcome) { observed = append(observed, o) },
	})
	out = &replyRecorder{}
	unconfigured.Serve(t.Context(), &relay.Request{ID: "q", Host: "host", Path: "/p/"}, out)
	require.Len(t, observed, 1, "refused requests are observed too")
	require.Equal(t, out.refused, observed[0].Problem)
	require.Equal(t, verdict.CodeNotReady, out.refused.Code)
	require.Equal(t, verdict.NotRun, out.refused.Verdict)
}

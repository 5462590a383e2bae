package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/targetlimits"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

var serveAnswer runFunc = func(int, context.Context, relay.Send) (*relay.Answer, error) {
	return answer(200, "id: 1\ndata: x\n\n"), nil
}

// limit makes the targets state a limit of perSecond, of which no request may be sent yet.
func (fx *fixture) limit(perSecond float64, targets ...entity.TargetID) {
	for _, id := range targets {
		fx.limits.Record(time.Now(), time.Now(), id, targetlimits.Statement{Limited: true, PerSecond: perSecond})
	}
}

func TestRequestGoesToTargetsWithoutALimitFirst(t *testing.T) {
	for name, test := range map[string]struct {
		route   catalog.Route
		limited []entity.TargetID
	}{
		"call":    {repeatable, []entity.TargetID{"s1"}},
		"decode":  {resumable, []entity.TargetID{"d1", "d2", "d4"}},
		"prefill": {resumable, []entity.TargetID{"p1"}},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, test.route, 100)
			fx.targets.run = serveAnswer
			fx.limit(1, test.limited...)

			for range 20 {
				require.Equal(t, 200, fx.serve(t.Context(), t).status)
			}

			for _, s := range append(fx.targets.runs, fx.targets.prefills...) {
				require.NotContains(t, test.limited, s.Target.ID)
			}
		})
	}
}

func TestRequestThatOnlyLimitsHoldBackIsRefusedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		route   catalog.Route
		limited []entity.TargetID
	}{
		"call":   {atMostOnce, []entity.TargetID{"s1", "s2"}},
		"decode": {resumable, []entity.TargetID{"d1", "d2", "d3", "d4"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, test.route, 3)
				fx.targets.run = serveAnswer
				fx.limit(2, test.limited...)

				start := time.Now()
				out := fx.serve(t.Context(), t)
				require.Zero(t, time.Since(start))
				require.Empty(t, fx.targets.runs)
				require.Empty(t, fx.targets.prefills, "a prompt is not prefilled for a run that is not admitted")
				require.Equal(t, verdict.NotRun, out.refused.Verdict)
				require.Equal(t, 3, fx.unusedRepeats(), "a request that is held back costs no repeat")

				time.Sleep(out.refused.RetryAfter)
				require.Equal(t, 200, fx.serve(t.Context(), t).status, "it is served when it comes back")
			})
		})
	}
}

func TestRunOfAPrefilledPromptIsCountedBeforehand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, resumable, 100)
		fx.keepOnly("d1", "p1", "p2")
		fx.targets.run = serveAnswer
		fx.targets.pausePrefill = func(ctx context.Context) error { return pause(ctx, time.Now().Add(200*time.Millisecond)) }
		fx.limit(1, "d1")
		time.Sleep(2 * time.Second)

		first := make(chan *replyRecorder, 1)

		go func() {
			out := &replyRecorder{}
			fx.relay.Serve(t.Context(), request(), out)
			first <- out
		}()

		time.Sleep(100 * time.Millisecond)

		out := &replyRecorder{}
		fx.relay.Serve(t.Context(), request(), out)
		require.Equal(t, verdict.NotRun, out.refused.Verdict, "the first request has the next run")
		require.Equal(t, 200, (<-first).status)
		require.Len(t, fx.targets.prefills, 1)
		require.Len(t, fx.targets.runs, 1)
	})
}

func TestReservedRunIsTakenBackIfThePrefillFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, plainStream, 0)
		fx.keepOnly("d1", "p1")
		fx.targets.prefill = func(int, relay.Send) (*relay.KVHandle, *relay.Answer, error) { return nil, nil, mayHaveRun() }
		fx.targets.run = failsWith(notRun())
		fx.limit(1, "d1")
		time.Sleep(2 * time.Second)

		fx.serve(t.Context(), t)
		require.Empty(t, fx.targets.runs, "the retry budget is empty")
		require.True(t, fx.limits.Admits(time.Now(), "d1", 3))
	})
}

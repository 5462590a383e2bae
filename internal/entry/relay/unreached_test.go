package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const dialTimeout = 200 * time.Millisecond

// unreachedUntil returns a run that first answers as silent does. Other targets refuse the request, and attempts to connect to the
// target of the first run fail after dialTime before at. From then on, it answers as sound does.
func unreachedUntil(at time.Time, dialTime time.Duration, silent, sound runFunc) runFunc {
	var first entity.TargetID

	return func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
		switch {
		case n == 1:
			first = s.Target.ID

			return silent(n, ctx, s)
		case s.Target.ID != first:
			return refusal(), nil
		case time.Now().Before(at):
			if err := pause(ctx, time.Now().Add(dialTime)); err != nil {
				return nil, verdict.New(verdict.NotRun, verdict.CodeTargetLost, "request not sent").WithCause(err)
			}

			return nil, notRun()
		}

		return sound(n, ctx, s)
	}
}

func TestStreamIsCutOffWhileItsSilentReplicaAcceptsNoConnection(t *testing.T) {
	forPaces(t, []time.Duration{1500 * time.Millisecond, 1900 * time.Millisecond}, func(t *testing.T, route catalog.Route, silence time.Duration) {
		fx := newFixture(t, route, 4)
		fx.keepOnly("p1", "p2", "d1", "d2")

		resumes := time.Now().Add(silence)
		fx.targets.run = unreachedUntil(
			resumes, dialTimeout,
			func(_ int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
				return streamWithPause(ctx, s, resumes), nil
			},
			func(_ int, _ context.Context, s relay.Send) (*relay.Answer, error) { return streamFrom(s), nil },
		)
		requireWhole(t, fx.serve(t.Context(), t))
		require.Equal(t, 1, fx.unusedRepeats(), "a prefill, a refused run and the last run are repeats")
	})
}

func TestReturnsToAReplicaThatHasEndedAreWithoutEnd(t *testing.T) {
	// mostRuns is about one for each 100 ms until the caller is expected to have left, and some more.
	const mostRuns = 40

	forPaces(t, []time.Duration{time.Hour}, func(t *testing.T, route catalog.Route, silence time.Duration) {
		for _, dialTime := range []time.Duration{0, dialTimeout} {
			fx := newFixture(t, route, 100)
			ends := time.Now().Add(silence)
			run := unreachedUntil(
				ends, dialTime,
				func(_ int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
					return streamWithPause(ctx, s, ends), nil
				}, nil,
			)
			fx.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
				if n > mostRuns {
					return nil, mayHaveRun() // ends the request
				}

				return run(n, ctx, s)
			}

			require.True(t, fx.serve(t.Context(), t).broken)
			require.LessOrEqual(t, len(fx.targets.runs), mostRuns)
		}
	})
}

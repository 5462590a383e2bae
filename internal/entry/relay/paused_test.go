package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// The only other replica was known to be silent too, and for longer than the caller waits.
func TestStreamIsMovedToAReplicaThatIsSilentToo(t *testing.T) {
	forPaces(t, []time.Duration{100 * time.Millisecond, 300 * time.Millisecond}, func(t *testing.T, route catalog.Route, afterPatience time.Duration) {
		fx := newFixture(t, route, 100)
		fx.keepOnly("d1", "d2", "p1", "p2")

		pacing := placing.Pacing{Objective: route.Objective, Gap: route.Gap}
		resumes := time.Now().Add(pacing.ReplaceAfter() + afterPatience)

		var first entity.TargetID

		fx.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
			if n == 1 {
				first = s.Target.ID

				time.AfterFunc(pacing.ReplaceAfter()-100*time.Millisecond, func() {
					for _, id := range []entity.TargetID{"d1", "d2"} {
						if id != first {
							fx.board.RecordOutcome(time.Now(), fleet.Target{ID: id}, placing.Silent)
						}
					}
				})

				return streamWithPause(ctx, s, resumes), nil
			}

			if err := pause(ctx, resumes.Add(3*time.Second)); err != nil {
				return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(err)
			}

			return streamFrom(s), nil
		}

		var (
			last    time.Time
			longest time.Duration
		)

		out := &replyRecorder{}
		out.onEvent = func() error {
			if !last.IsZero() {
				longest = max(longest, time.Since(last))
			}

			last = time.Now()

			return nil
		}
		fx.serveTo(t.Context(), t, out)
		requireWhole(t, out)
		require.Less(t, longest, pacing.AbandonAfter(), "the caller has left, though the first replica went on in time")
	})
}

func TestCallIsMovedToATargetThatIsSilentToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, repeatable, 100)
		resumes := time.Now().Add(4*repeatable.Objective + 100*time.Millisecond)

		fx.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
			at := resumes
			if n > 1 {
				at = resumes.Add(time.Minute)
			}

			for _, id := range []entity.TargetID{"s1", "s2"} {
				if n == 1 && id != s.Target.ID {
					fx.board.RecordOutcome(time.Now().Add(4*repeatable.Objective), fleet.Target{ID: id}, placing.Silent)
				}
			}

			if err := pause(ctx, at); err != nil {
				return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(err)
			}

			return answer(200, "done"), nil
		}

		out := fx.serve(t.Context(), t)
		require.Nil(t, out.refused)
		require.Equal(t, 200, out.status)
	})
}

// The successor of a silent replica refused the stream, and so did the silent one once, as its slot was not free yet.
func TestStreamIsCutOffWhenItsOwnReplicaRefusesItsReturnOnce(t *testing.T) {
	forPaces(t, shortSilences, func(t *testing.T, route catalog.Route, silence time.Duration) {
		for name, failure := range map[string]error{"refuses": nil, "not there": notRun()} {
			fx := newFixture(t, route, 100)
			fx.keepOnly("d1", "d2", "p1", "p2")

			resumes := time.Now().Add(silence)
			returns := 0

			var first entity.TargetID

			fx.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
				if n == 1 {
					first = s.Target.ID

					return streamWithPause(ctx, s, resumes), nil
				}

				if s.Target.ID != first {
					return refusal(), nil
				}

				if returns++; returns > 1 {
					return streamFrom(s), nil
				}

				if failure != nil {
					return nil, failure
				}

				return refusal(), nil
			}
			out := fx.serve(t.Context(), t)
			require.False(t, out.broken, name)
			requireWhole(t, out)
		}
	})
}

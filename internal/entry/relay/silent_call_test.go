package relay_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/retries"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

func TestCallIsGivenUpAtSilentTargetBeforeItsDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		slack      float64
		maxTargets int
		targets    []entity.TargetID
	}{
		"no retry budget":            {0, 2, []entity.TargetID{"s1", "s2"}},
		"no other target":            {100, 2, []entity.TargetID{"s1"}},
		"all targets silent":         {100, 3, []entity.TargetID{"s1", "s2"}},
		"all targets silent, budget": {1, 3, []entity.TargetID{"s1", "s2"}},
	} {
		for _, silence := range []time.Duration{600 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, silent for %v", name, silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					route := repeatable
					route.MaxTargets, route.Timeout = c.maxTargets, 1500*time.Millisecond
					fx := newFixture(t, route, c.slack)
					fx.keepOnly(c.targets...)
					resumes := time.Now().Add(silence)
					fx.targets.run = func(_ int, ctx context.Context, _ relay.Send) (*relay.Answer, error) {
						if err := pause(ctx, resumes); err != nil {
							return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(err)
						}

						return answer(200, "done"), nil
					}

					out := fx.serve(t.Context(), t)
					require.Nil(t, out.refused)
					require.Equal(t, 200, out.status)
				})
			})
		}
	}
}

func TestCallIsGivenUpWhenTheSuccessorOfASilentTargetFails(t *testing.T) {
	for name, failure := range map[string]runFunc{
		"refuses":   func(int, context.Context, relay.Send) (*relay.Answer, error) { return refusal(), nil },
		"resets":    failsWith(mayHaveRun()),
		"not there": failsWith(notRun()),
	} {
		for slack := range 4 {
			t.Run(fmt.Sprintf("%s, budget %d", name, slack), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fx := newFixture(t, repeatable, float64(slack))
					resumes := time.Now().Add(1200 * time.Millisecond)
					first := entity.TargetID("")
					fx.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
						if n == 1 {
							first = s.Target.ID
						}

						if s.Target.ID != first {
							return failure(n, ctx, s)
						}

						if err := pause(ctx, resumes); err != nil {
							return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(err)
						}

						return answer(200, "done"), nil
					}

					time.AfterFunc(3*time.Second, func() { fx.retries.SetOptions(moreRepeats) })

					out := fx.serve(t.Context(), t)
					require.Nil(t, out.refused)
					require.Equal(t, 200, out.status)
				})
			})
		}
	}
}

// moreRepeats are the options of a retry budget that has recovered.
var moreRepeats = retries.LimiterOptions{Slack: 100, Span: 10 * time.Second, Margin: 1}

package relay_test

import (
	"context"
	"io"
	"strings"
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

// pausedIDs returns those of targets that the board does not choose while it can choose another one.
func (fx *fixture) pausedIDs(t *testing.T, ids ...entity.TargetID) []entity.TargetID {
	t.Helper()

	var (
		targets []fleet.Target
		paused  []entity.TargetID
	)

	for _, id := range ids {
		targets = append(targets, fleet.Target{ID: id, Slots: 1})
	}

	for _, target := range targets {
		spare := fleet.Target{ID: "spare", Slots: 1}
		fx.board.Merge(time.Now(), "peer", []placing.TargetWork{{Target: "spare", Running: 50}})

		p, ok := fx.board.PlaceCall(time.Now(), []fleet.Target{target, spare}, placing.Job{})
		require.True(t, ok)
		p.Claim.Release()

		if p.Target.ID == "spare" {
			paused = append(paused, target.ID)
		}
	}

	return paused
}

func TestReplicaThatSendsEventsUntilTheDeadlineCountsAsLost(t *testing.T) {
	for name, route := range map[string]catalog.Route{"resumable": resumable, "not resumable": plainStream} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, route, 0)
				fx.targets.run = func(_ int, ctx context.Context, _ relay.Send) (*relay.Answer, error) {
					var body []io.Reader

					for i := range 100 {
						at := time.Now().Add(time.Duration(i) * 100 * time.Millisecond)
						body = append(body, pausedReader{strings.NewReader(eventsFrom(i+1, i+1)), ctx, at})
					}

					a := answer(200, "")
					a.Body = io.NopCloser(io.MultiReader(body...))

					return a, nil
				}
				require.True(t, fx.serve(t.Context(), t).broken)
				require.Empty(t, fx.pausedIDs(t, "d1", "d2", "d3", "d4", "p1", "p2"))
			})
		})
	}
}

func TestTargetThatIsSilentUntilTheDeadlineIsChosenAgain(t *testing.T) {
	for name, route := range map[string]catalog.Route{"call": atMostOnce, "stream": plainStream, "resumable stream": resumable} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, route, 0)
				fx.targets.run = func(_ int, ctx context.Context, _ relay.Send) (*relay.Answer, error) {
					<-ctx.Done()

					return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(ctx.Err())
				}
				fx.serve(t.Context(), t)
				require.Equal(t, 1, fx.outcome.Silences)

				if route.Repeat != catalog.Resumable { // its pause has begun earlier, and has ended
					require.Equal(t, []entity.TargetID{fx.targets.runs[0].Target.ID}, fx.pausedIDs(t, fx.targets.runs[0].Target.ID))
				}
			})
		})
	}
}

func TestLogDoesNotSayWhatASuccessorLacked(t *testing.T) {
	for lack, c := range map[string]struct {
		slack      float64
		maxTargets int
		kept       []entity.TargetID
	}{
		"no-budget":     {0, 2, []entity.TargetID{"d1", "d2", "p1", "p2"}},
		"no-target":     {100, 2, []entity.TargetID{"d1", "p1", "p2"}},
		"attempts-used": {100, 1, []entity.TargetID{"d1", "d2", "p1", "p2"}},
		"":              {100, 2, []entity.TargetID{"d1", "d2", "p1", "p2"}},
	} {
		t.Run(lack, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := resumable
				route.MaxTargets = c.maxTargets
				fx := newFixture(t, route, c.slack)
				fx.keepOnly(c.kept...)
				requireWhole(t, fx.serveSilence(t, 3*time.Second, nil))

				target := string(fx.targets.runs[0].Target.ID)
				require.Len(t, fx.log.lines("target silent", `"target":"`+target, "last-heard"), 1, "once per silence")

				if lack == "" {
					require.Len(t, fx.log.lines("silent target replaced", `"target":"`+target, `"replacement":"`), 1)
				} else {
					require.Len(t, fx.log.lines("silent target kept", `"target":"`+target, `"lack":"`+lack), 1, "once per silence")
				}
			})
		})
	}
}

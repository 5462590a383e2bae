package relay_test

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/retries"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// lastEvent is the id of the last event of the streams in these tests, and silentAfter that of the last one before a
// replica falls silent.
const (
	lastEvent   = 6
	silentAfter = 2
)

// paces are resumable routes with a short and a long time after which a silent replica is replaced.
var paces = map[string]catalog.Route{
	"objective 300 ms": {
		Streaming: true, Repeat: catalog.Resumable, MaxTargets: 2, Timeout: 8 * time.Second,
		Objective: 300 * time.Millisecond, Gap: 100 * time.Millisecond,
	},
	"objective 800 ms": resumable,
}

// streamFrom returns an answer with the events that follow the last one that the caller of s has.
func streamFrom(s relay.Send) *relay.Answer {
	last, _ := strconv.Atoi(s.LastEventID)

	return answer(200, eventsFrom(last+1, lastEvent))
}

// streamWithPause returns an answer that is silent until the time at after the event silentAfter.
func streamWithPause(ctx context.Context, s relay.Send, at time.Time) *relay.Answer {
	last, _ := strconv.Atoi(s.LastEventID)
	next := max(last, silentAfter) + 1
	a := answer(200, "")
	a.Body = io.NopCloser(io.MultiReader(
		strings.NewReader(eventsFrom(last+1, next-1)),
		pausedReader{strings.NewReader(eventsFrom(next, lastEvent)), ctx, at},
	))

	return a
}

// refusal returns an answer which states that the request has not run.
func refusal() *relay.Answer {
	a := answer(503, "")
	a.NotRun = true

	return a
}

func requireWhole(t *testing.T, out *replyRecorder) {
	t.Helper()

	require.Nil(t, out.refused)
	require.False(t, out.broken, "the stream was cut off")
	require.Equal(t, eventsFrom(1, lastEvent), out.body.String(), "each event once, in order")
}

// forPaces runs test on virtual time for each of paces and each silence.
func forPaces(t *testing.T, silences []time.Duration, test func(t *testing.T, route catalog.Route, silence time.Duration)) {
	t.Helper()

	for pace, route := range paces {
		for _, silence := range silences {
			t.Run(fmt.Sprintf("%s, silent for %v", pace, silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { test(t, route, silence) })
			})
		}
	}
}

var shortSilences = []time.Duration{900 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond}

// serveSilence serves a stream whose first replica is silent for a time and then goes on. Runs at other replicas are
// answered by run, or with the rest of the stream if run is nil.
func (fx *fixture) serveSilence(t *testing.T, silence time.Duration, run runFunc) *replyRecorder {
	t.Helper()

	var (
		first   entity.TargetID
		running context.Context // of the last run
	)

	resumes := time.Now().Add(silence)
	fx.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
		require.True(t, running == nil || running.Err() != nil, "two replicas run the request at a time")

		running = ctx

		if n == 1 {
			first = s.Target.ID

			return streamWithPause(ctx, s, resumes), nil
		}

		if s.Target.ID == first {
			if err := pause(ctx, resumes); err != nil {
				return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(err)
			}
		}

		if s.Target.ID == first || run == nil {
			return streamFrom(s), nil
		}

		return run(n, ctx, s)
	}

	return fx.serve(t.Context(), t)
}

func TestStreamIsCutOffAtSilentReplicaWithoutRetryBudget(t *testing.T) {
	forPaces(t, shortSilences, func(t *testing.T, route catalog.Route, silence time.Duration) {
		for slack := range 2 {
			fx := newFixture(t, route, float64(slack))
			requireWhole(t, fx.serveSilence(t, silence, nil))
			require.Len(t, fx.targets.runs, 1)
		}
	})
}

func TestStreamIsCutOffAtSilentReplicaWithoutAnotherReplica(t *testing.T) {
	forPaces(t, shortSilences, func(t *testing.T, route catalog.Route, silence time.Duration) {
		fx := newFixture(t, route, 100)
		fx.keepOnly("d1", "p1", "p2")
		requireWhole(t, fx.serveSilence(t, silence, nil))
		require.Len(t, fx.targets.runs, 1)
	})
}

func TestStreamIsCutOffAtSilentReplicaWhenNoMoreTargetsArePermitted(t *testing.T) {
	forPaces(t, shortSilences, func(t *testing.T, route catalog.Route, silence time.Duration) {
		route.MaxTargets = 1
		fx := newFixture(t, route, 100)
		requireWhole(t, fx.serveSilence(t, silence, nil))
		require.Len(t, fx.targets.runs, 1)
	})
}

func TestStreamIsCutOffWhenPromptCannotBePrefilledForReplacement(t *testing.T) {
	forPaces(t, shortSilences, func(t *testing.T, route catalog.Route, silence time.Duration) {
		for _, slack := range []float64{1, 2, 3, 100} {
			for _, err := range []error{nil, mayHaveRun(), notRun()} {
				fx := newFixture(t, route, slack)
				fx.targets.prefill = func(n int, s relay.Send) (*relay.KVHandle, *relay.Answer, error) {
					switch {
					case n == 1:
						return &relay.KVHandle{Target: s.Target, Name: "kv"}, nil, nil
					case err != nil:
						return nil, nil, err
					default:
						return nil, refusal(), nil
					}
				}
				requireWhole(t, fx.serveSilence(t, silence, nil))
			}
		}
	})
}

func TestStreamIsCutOffWhenReplacementRefusesIt(t *testing.T) {
	forPaces(t, shortSilences, func(t *testing.T, route catalog.Route, silence time.Duration) {
		for name, run := range map[string]runFunc{
			"handle gone": func(_ int, _ context.Context, s relay.Send) (*relay.Answer, error) {
				if s.KVCache != nil {
					return refusal(), nil
				}

				return streamFrom(s), nil
			},
			"full":    func(int, context.Context, relay.Send) (*relay.Answer, error) { return refusal(), nil },
			"failing": func(int, context.Context, relay.Send) (*relay.Answer, error) { return answer(500, "failed"), nil },
			"resets":  failsWith(mayHaveRun()),
		} {
			fx := newFixture(t, route, 100)
			out := fx.serveSilence(t, silence, run)
			require.False(t, out.broken, name)
			requireWhole(t, out)
		}
	})
}

func TestStreamIsCutOffAtSilentReplicaWhenItsRequestIsQuarantined(t *testing.T) {
	forPaces(t, shortSilences, func(t *testing.T, route catalog.Route, silence time.Duration) {
		fx := newFixture(t, route, 100)
		time.AfterFunc(100*time.Millisecond, func() {
			for _, id := range []entity.TargetID{"x1", "x2", "x3"} {
				fx.crashers.RecordLoss(time.Now(), crashtracker.Loss{Request: crashtracker.FingerprintOf("host", "/p/x", nil), Target: id})
			}
		})
		requireWhole(t, fx.serveSilence(t, silence, nil))
		require.Len(t, fx.targets.runs, 1)
	})
}

func TestStreamIsCutOffWhenAllReplicasAreSilentAtOnce(t *testing.T) {
	forPaces(t, []time.Duration{3 * time.Second, 5 * time.Second}, func(t *testing.T, route catalog.Route, silence time.Duration) {
		for _, maxTargets := range []int{1, 2, 4} {
			route.MaxTargets = maxTargets
			fx := newFixture(t, route, 100)
			resumes := time.Now().Add(silence)
			fx.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
				if n > 1 {
					if err := pause(ctx, resumes); err != nil {
						return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(err)
					}
				}

				return streamWithPause(ctx, s, resumes), nil
			}
			requireWhole(t, fx.serve(t.Context(), t))
		}
	})
}

func TestPromptIsRefusedWhilePrefillReplicaIsSilent(t *testing.T) {
	forPaces(t, append(shortSilences, 3*time.Second), func(t *testing.T, route catalog.Route, silence time.Duration) {
		for _, kept := range [][]entity.TargetID{{"p1", "p2", "d1", "d2"}, {"p1", "d1", "d2"}} {
			fx := newFixture(t, route, 0)
			fx.keepOnly(kept...)
			resumes := time.Now().Add(silence)
			fx.targets.pausePrefill = func(ctx context.Context) error { return pause(ctx, resumes) }
			fx.targets.run = func(_ int, _ context.Context, s relay.Send) (*relay.Answer, error) { return streamFrom(s), nil }
			requireWhole(t, fx.serve(t.Context(), t))
			require.Len(t, fx.targets.prefills, 1)
		}
	})
}

func TestStreamIsRefusedWhileReplicaIsSilentBeforeItsFirstEvent(t *testing.T) {
	forPaces(t, append(shortSilences, 3*time.Second), func(t *testing.T, route catalog.Route, silence time.Duration) {
		fx := newFixture(t, route, 0)
		resumes := time.Now().Add(silence)
		fx.targets.run = func(_ int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
			if err := pause(ctx, resumes); err != nil {
				return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(err)
			}

			return streamFrom(s), nil
		}
		requireWhole(t, fx.serve(t.Context(), t))
		require.Len(t, fx.targets.runs, 1)
	})
}

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

func TestDeadlineIsTakenForACallerThatHasLeft(t *testing.T) {
	for name, route := range map[string]catalog.Route{"call": atMostOnce, "stream": plainStream, "resumable stream": resumable} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, route, 0)
				fx.clockLag = time.Millisecond
				fx.targets.run = func(_ int, ctx context.Context, _ relay.Send) (*relay.Answer, error) {
					<-ctx.Done()

					return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(ctx.Err())
				}

				start := time.Now()
				out := fx.serve(t.Context(), t)
				require.Equal(t, verdict.CodeDeadline, out.refused.Code)
				require.Equal(t, route.Timeout, time.Since(start))
			})
		})
	}
}

func TestStreamThatMayNotBeResumedRunsTwice(t *testing.T) {
	route := plainStream
	route.MaxTargets = 3

	for name, run := range map[string]runFunc{
		"reset": failsWith(mayHaveRun()),
		"broken": func(int, context.Context, relay.Send) (*relay.Answer, error) {
			a := answer(200, "")
			a.Body = cut(eventsFrom(1, 2), errReset)

			return a, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, route, 100)
			fx.targets.run = run
			fx.serve(t.Context(), t)
			require.Len(t, fx.targets.runs, 1)
		})
	}
}

func TestSilencesAndReplacementsAreNotCounted(t *testing.T) {
	forPaces(t, []time.Duration{1500 * time.Millisecond}, func(t *testing.T, route catalog.Route, silence time.Duration) {
		for slack, replaced := range map[float64]int{0: 0, 100: 1} {
			fx := newFixture(t, route, slack)
			fx.serveSilence(t, silence, nil)
			require.Equal(t, 1, fx.outcome.Silences)
			require.Equal(t, replaced, fx.outcome.Replaced)
		}
	})
}

// The prompt is being prefilled for a successor when the silent replica goes on.
func TestSuccessorThatIsNotNeededHoldsItsPlace(t *testing.T) {
	const slack = 5

	forPaces(t, []time.Duration{50 * time.Millisecond, 200 * time.Millisecond}, func(t *testing.T, route catalog.Route, afterPatience time.Duration) {
		for _, ignoresEnd := range []bool{false, true} {
			fx := newFixture(t, route, slack)
			prefills := 0
			fx.targets.pausePrefill = func(ctx context.Context) error {
				if prefills++; prefills == 1 {
					return nil
				}

				if ignoresEnd {
					ctx = context.WithoutCancel(ctx)
				}

				return pause(ctx, time.Now().Add(300*time.Millisecond))
			}

			patience := placing.Pacing{Objective: route.Objective, Gap: route.Gap}.ReplaceAfter()
			requireWhole(t, fx.serveSilence(t, patience+afterPatience, nil))
			synctest.Wait()
			require.Len(t, fx.targets.runs, 1)
			require.Len(t, fx.targets.prefills, 2)
			require.Equal(t, slack-1, fx.unusedRepeats(), "the second prefill is a repeat, the run is not sent")

			if ignoresEnd {
				require.Len(t, fx.targets.released, 1)
			}

			require.Equal(t, 0, fx.outcome.Replaced)
		}
	})
}

func TestSilencesExceedTheRetryBudget(t *testing.T) {
	for slack := range 7 {
		forPaces(t, []time.Duration{time.Second, 2 * time.Second, time.Minute}, func(t *testing.T, route catalog.Route, silence time.Duration) {
			for _, prefillSilence := range []time.Duration{0, 500 * time.Millisecond, time.Second, time.Minute} {
				route.MaxTargets = 4
				fx := newFixture(t, route, float64(slack))
				resumes := time.Now().Add(silence)
				free := 1 // the first send
				prefills := 0
				fx.targets.pausePrefill = func(ctx context.Context) error {
					prefills++
					first := prefills == 1

					err := pause(ctx, time.Now().Add(prefillSilence))
					if first && err == nil {
						free++ // the prefill is not a repeat, nor is the run after it
					}

					return err
				}
				fx.targets.run = func(_ int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
					return streamWithPause(ctx, s, resumes), nil
				}
				fx.serve(t.Context(), t)
				synctest.Wait()

				arrivals := len(fx.targets.runs) + len(fx.targets.prefills)
				require.LessOrEqual(t, arrivals-free, slack)
				require.Equal(t, slack-max(arrivals-free, 0), fx.unusedRepeats(), "repeats that were not sent are returned")
			}
		})
	}
}

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

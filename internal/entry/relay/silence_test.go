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
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
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

func TestDeadlineIsTakenForACallerThatHasLeft(t *testing.T) {
	for name, route := range map[string]catalog.Route{"call": atMostOnce, "stream": plainStream, "resumable stream": resumable} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, route, 0)
				fx.clockLag.Store(int64(time.Millisecond))
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

// A process that is stalled finds its timers due before it has read what came meanwhile.
func TestReplicaCountsAsSilentAfterThisProcessWasStalled(t *testing.T) {
	forPaces(t, []time.Duration{time.Second, 3 * time.Second}, func(t *testing.T, route catalog.Route, stall time.Duration) {
		fx := newFixture(t, route, 100)
		patience := placing.Pacing{Objective: route.Objective, Gap: route.Gap}.ReplaceAfter()

		// The clock is ahead of the timer by the length of the stall, and the event is read a little after the timer has fired.
		time.AfterFunc(patience-time.Millisecond, func() { fx.clockLag.Store(-int64(stall)) })
		requireWhole(t, fx.serveSilence(t, patience+20*time.Millisecond, nil))
		require.Len(t, fx.targets.runs, 1)
		require.Len(t, fx.targets.prefills, 1)
		require.Zero(t, fx.outcome.Silences)
	})
}

func TestErrorStatusOfASuccessorEndsAStreamThatASilentReplicaCanServe(t *testing.T) {
	forPaces(t, shortSilences, func(t *testing.T, route catalog.Route, silence time.Duration) {
		var first entity.TargetID

		fx := newFixture(t, route, 100)
		resumes := time.Now().Add(silence)
		fx.targets.run = func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error) {
			if n == 1 {
				first = s.Target.ID
			}

			if s.Target.ID != first {
				return answer(500, "failed"), nil
			}

			if err := pause(ctx, resumes); err != nil {
				return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(err)
			}

			return streamFrom(s), nil
		}
		requireWhole(t, fx.serve(t.Context(), t))
	})
}

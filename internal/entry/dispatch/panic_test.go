package dispatch_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/dispatch"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// panickyTargets panics on each call of a target.
type panickyTargets struct{ fakeTargets }

func (*panickyTargets) Stream(context.Context, entity.Target, engine.Request, func(engine.Event) error) error {
	panic("fault")
}

func (*panickyTargets) Call(context.Context, entity.Target, service.Request) (service.Answer, error) {
	panic("fault")
}

// panicPhases makes e1 run prefills only.
type panicPhases struct{ *panickyTargets }

func (panicPhases) Role(id entity.TargetID) entity.Role {
	if id == "e1" {
		return entity.Prefill
	}

	return entity.Decode
}

func (panicPhases) PickDecode(entity.Request, entity.DataCentre, []entity.TargetID) (entity.Target, bool) {
	return target("e2", entity.Engine), true
}

// countingGuard counts the runs in progress.
type countingGuard struct {
	mu      sync.Mutex
	running int
	ends    []error
}

func (g *countingGuard) Begin(_ context.Context, _ entity.Request, t entity.TargetID) (entity.TargetID, error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.running++

	return t, nil
}

func (g *countingGuard) Ended(_ context.Context, _ entity.Request, _ entity.TargetID, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.running--
	g.ends = append(g.ends, err)
}

func TestRunThatPanicsCountsForEver(t *testing.T) {
	for name, split := range map[string]bool{"one phase": false, "two phases": true} {
		t.Run(name, func(t *testing.T) {
			f := &panickyTargets{fakeTargets{replies: map[entity.TargetID][]reply{"e1": nil}}}
			guard := &countingGuard{}
			opts := dispatch.Options{Home: "a", Engines: f, Services: f, Router: f, Guard: guard}

			if split {
				opts.Phases = panicPhases{f}
			}

			r := dispatch.New(opts)
			req := entity.Request{Kind: entity.Kind{Model: "m"}, Deadline: time.Now().Add(testBound)}

			require.PanicsWithValue(t, "fault", func() { r.Run(t.Context(), req, answers.New()) })
			require.Zero(t, f.running)
			require.Zero(t, guard.running)
			require.Zero(t, r.InFlight())

			// A nil error would mean that the request is harmless, and another verdict that it may crash engines.
			require.Len(t, guard.ends, 1)
			require.Error(t, guard.ends[0])
			require.Equal(t, verdict.NotRun, verdict.Of(guard.ends[0]))
		})
	}
}

func TestCallOfAServiceThatPanicsEndsTheProcess(t *testing.T) {
	f := &panickyTargets{fakeTargets{replies: map[entity.TargetID][]reply{"e1": nil}}}
	count := metrics.NewCounter()
	r := dispatch.New(dispatch.Options{
		Home: "a", Engines: f, Services: f, Router: f,
		Panics: panics.Recorder{Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Count: count},
	})
	ans := answers.New()

	r.Run(t.Context(), entity.Request{Kind: entity.Kind{Service: "s", AtMostOnce: true}, Deadline: time.Now().Add(testBound)}, ans)

	_, problem := ans.Ended()
	require.Equal(t, verdict.MayHaveRun, problem.Verdict)
	require.Equal(t, verdict.CodeInternal, problem.Code)
	require.Zero(t, f.running)
	require.Equal(t, int64(1), count.Count())
}

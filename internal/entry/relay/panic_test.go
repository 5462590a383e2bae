package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
)

func TestRequestThatPanicsKeepsItsPlace(t *testing.T) {
	for name, prepare := range map[string]func(f *fakeTargets){
		"prefill": func(f *fakeTargets) {
			f.pausePrefill = func(context.Context) error { panic("fault") }
		},
		"run": func(f *fakeTargets) {
			f.run = func(int, context.Context, relay.Send) (*relay.Answer, error) { panic("fault") }
		},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, resumable, 100)
			prepare(fx.targets)
			require.Panics(t, func() { fx.relay.Serve(t.Context(), request(), &replyRecorder{}) })
			require.Empty(t, fx.board.Export(), "work of an ended request must not stay counted")
		})
	}
}

func TestSearchForASuccessorThatPanicsEndsTheProcess(t *testing.T) {
	const silence = 1500 * time.Millisecond // longer than the patience of each pace

	forPaces(t, []time.Duration{silence}, func(t *testing.T, route catalog.Route, silence time.Duration) {
		fx := newFixture(t, route, 100)
		fx.targets.prefill = func(n int, s relay.Send) (*relay.KVHandle, *relay.Answer, error) {
			if n > 1 {
				panic("fault")
			}

			return &relay.KVHandle{Target: s.Target, Name: "kv"}, nil, nil
		}

		requireWhole(t, fx.serveSilence(t, silence, nil))
		require.Len(t, fx.targets.runs, 1)
		require.Len(t, fx.log.lines("request panicked", `"request":"q"`, "panic_test.go"), 1)
		require.Equal(t, int64(1), fx.panics.Count())
	})
}

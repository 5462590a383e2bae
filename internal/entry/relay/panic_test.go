package relay_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

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

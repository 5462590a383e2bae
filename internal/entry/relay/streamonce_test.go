package relay_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// TestUnresumableStreamRunsOnce checks streams that may not be resumed on a route that allows several targets.
func TestUnresumableStreamRunsOnce(t *testing.T) {
	route := plainStream
	route.MaxTargets = 3

	for name, run := range map[string]runFunc{
		"no answer": failsWith(mayHaveRun()),
		"cut": func(int, context.Context, relay.Send) (*relay.Answer, error) {
			a := answer(200, "")
			a.Body = cut("id: 1\nda", errReset)

			return a, nil
		},
		"error status that is cut": func(int, context.Context, relay.Send) (*relay.Answer, error) {
			a := answer(500, "")
			a.Body = cut("bro", errReset)

			return a, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, route, 100)
			fx.targets.run = run

			out := fx.serve(t.Context(), t)
			require.Len(t, fx.targets.runs, 1)
			require.Equal(t, verdict.MayHaveRun, out.refused.Verdict)
		})
	}
}

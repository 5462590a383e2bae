package relay_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
)

func TestOneRequestThatMeetsManyLostTargetsIsNotRefusedWhenRetried(t *testing.T) {
	fx := newFixture(t, resumable, 100)
	fx.targets.run = failsWith(mayHaveRun())
	fx.targets.prefill = func(int, relay.Send) (*relay.KVHandle, *relay.Answer, error) { return nil, nil, mayHaveRun() }

	fx.serve(t.Context(), t)
	require.GreaterOrEqual(t, len(fx.targets.prefills)+len(fx.targets.runs), 3)

	fx.targets.prefill = nil

	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		return answer(200, "id: 1\ndata: x\n\n"), nil
	}
	require.Equal(t, 200, fx.serve(t.Context(), t).status)
}

func TestLossesOfARequestThatWasAnsweredDoNotRefuseIt(t *testing.T) {
	fx := newFixture(t, resumable, 100)
	serves := func(int, context.Context, relay.Send) (*relay.Answer, error) {
		return answer(200, "id: 1\ndata: x\n\n"), nil
	}

	fx.targets.run = serves
	require.Equal(t, 200, fx.serve(t.Context(), t).status)

	fx.targets.run = failsWith(mayHaveRun())

	for range 4 {
		fx.serve(t.Context(), t)
	}

	fx.targets.run = serves
	require.Equal(t, 200, fx.serve(t.Context(), t).status, "many callers may send the same body")
}

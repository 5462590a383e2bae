package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	maxAnswer = 8 << 20 // limit on one answer, in bytes
)

// sized returns a run whose answer has a body of n bytes, which is read after gate is closed.
func sized(n int, gate <-chan struct{}) runFunc {
	return func(int, context.Context, relay.Send) (*relay.Answer, error) {
		a := answer(200, "")
		a.Body = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", n)), gateReader{gate}))

		return a, nil
	}
}

// gateReader returns io.EOF once the gate is closed.
type gateReader struct{ gate <-chan struct{} }

func (g gateReader) Read([]byte) (int, error) {
	<-g.gate

	return 0, io.EOF
}

func open() <-chan struct{} {
	gate := make(chan struct{})
	close(gate)

	return gate
}

func TestAnswersUpToTheLimitAreForwarded(t *testing.T) {
	for _, n := range []int{0, 1, 4 << 10, 32 << 10, 32<<10 + 1, 5 << 20, maxAnswer - 1, maxAnswer} {
		fx := newFixture(t, atMostOnce, 100)
		fx.targets.run = sized(n, open())

		for range 5 { // the memory is given back
			out := fx.serve(t.Context(), t)
			require.Equal(t, 200, out.status)
			require.Equal(t, n, out.body.Len())
		}
	}

	fx := newFixture(t, atMostOnce, 100)
	fx.targets.run = sized(maxAnswer+1, open())
	require.Equal(t, verdict.MayHaveRun, fx.serve(t.Context(), t).refused.Verdict)
}

// TestLargeAnswersLeaveMemoryForSmallOnes keeps the memory in use for many large answers that do not end.
func TestLargeAnswersLeaveMemoryForSmallOnes(t *testing.T) {
	const (
		sizes       = 6
		hogsPerSize = 8
		smallBytes  = 60 << 10
	)

	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, atMostOnce, 100)
		gate := make(chan struct{})
		served := make(chan *replyRecorder, sizes*hogsPerSize)

		for _, size := range [sizes]int{4 << 20, 2 << 20, 1 << 20, 512 << 10, 256 << 10, 128 << 10} {
			fx.targets.run = sized(size-1, gate)

			for range hogsPerSize {
				go func() {
					out := &replyRecorder{}
					fx.relay.Serve(t.Context(), request(), out)
					served <- out
				}()
			}

			synctest.Wait()
		}

		require.Positive(t, fx.answers.Waiting(), "the memory is in use")
		require.Empty(t, served, "no answer that has run is given up")
		require.LessOrEqual(t, fx.answers.Used(), fixtureBufferBytes+maxAnswer)

		fx.targets.run = sized(smallBytes, open())
		out := &replyRecorder{}
		fx.relay.Serve(t.Context(), request(), out)
		require.Equal(t, 200, out.status)
		require.Equal(t, smallBytes, out.body.Len())

		close(gate)
		synctest.Wait()
		close(served)

		delivered := 0

		for out := range served {
			require.Equal(t, 200, out.status, "%v", out.refused)

			delivered++
		}

		require.Equal(t, sizes*hogsPerSize, delivered)
		require.Zero(t, fx.answers.Used())

		fx.targets.run = sized(maxAnswer, open())
		out = &replyRecorder{}
		fx.relay.Serve(t.Context(), request(), out)
		require.Equal(t, 200, out.status, "all memory is given back")
	})
}

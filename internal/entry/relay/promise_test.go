package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// failingWorld has targets and another host whose answers, failures and silences are random. It counts the runs of one request.
type failingWorld struct {
	mu   sync.Mutex
	rng  *rand.Rand
	runs int // at targets and at the other host
}

func (w *failingWorld) n(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.rng.IntN(n)
}

func (w *failingWorld) ran() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.runs++
}

// silence waits for a random time and reports false if ctx ends before.
func (w *failingWorld) silence(ctx context.Context) bool {
	longest := []int{20, 300, 3000, 12000}[w.n(4)]

	return pause(ctx, time.Now().Add(time.Duration(w.n(longest))*time.Millisecond)) == nil
}

func lost(v verdict.Verdict, err error) error {
	return verdict.New(v, verdict.CodeTargetLost, "lost").WithCause(err)
}

func (w *failingWorld) run(ctx context.Context, streaming bool) (*relay.Answer, error) {
	sent := w.n(3) > 0
	if sent && !w.silence(ctx) || ctx.Err() != nil {
		if w.n(2) == 0 {
			return nil, lost(verdict.NotRun, context.Cause(ctx))
		}

		w.ran()

		return nil, lost(verdict.MayHaveRun, context.Cause(ctx))
	}

	switch w.n(6) {
	case 0:
		return nil, lost(verdict.NotRun, errReset)
	case 1, 2:
		return refusal(), nil
	}

	w.ran()

	switch w.n(5) {
	case 0:
		return nil, lost(verdict.MayHaveRun, errReset)
	case 1:
		return answer([]int{404, 500, 503}[w.n(3)], "failed"), nil
	case 2:
		a := answer(200, "")
		a.Body = cut("data: 1", errReset)

		return a, nil
	case 3:
		a := answer(200, "")
		a.Body = silentBody{ctx}

		return a, nil
	}

	if streaming {
		return answer(200, "id: 1\ndata: 1\n\n"), nil
	}

	return answer(200, "done"), nil
}

func (w *failingWorld) prefill(ctx context.Context, s relay.Send) (*relay.KVHandle, *relay.Answer, error) {
	if !w.silence(ctx) {
		return nil, nil, lost(verdict.MayHaveRun, context.Cause(ctx))
	}

	switch w.n(4) {
	case 0:
		return nil, nil, lost(verdict.NotRun, errReset)
	case 1:
		return nil, refusal(), nil
	}

	return &relay.KVHandle{Target: s.Target, Name: "kv"}, nil, nil
}

// Forward implements relay.Forwarder.
func (w *failingWorld) Forward(ctx context.Context, _ entity.ServiceName, _ *relay.Request, _ relay.Handover, reply relay.Reply) bool {
	_ = w.silence(ctx)

	switch w.n(4) {
	case 0:
		return false
	case 1:
		reply.Refuse(verdict.New(verdict.NotRun, verdict.CodeNoTarget, "none"))

		return true
	}

	w.ran()

	if w.n(2) == 0 {
		reply.Refuse(verdict.New(verdict.MayHaveRun, verdict.CodePeerLost, "lost"))
	} else {
		reply.Respond(200, http.Header{}, []byte("done"))
	}

	return true
}

// end ends the request at a random moment: its caller leaves, or the host stops.
func (w *failingWorld) end(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if w.n(3) > 0 {
		return ctx, func() { cancel(nil) }
	}

	var cause error
	if w.n(2) == 0 {
		cause = verdict.New(verdict.MayHaveRun, verdict.CodeStopping, "the host stops").WithCause(context.Canceled)
	}

	timer := time.AfterFunc(time.Duration(w.n(5000))*time.Millisecond, func() { cancel(cause) })

	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// TestRefusalThatSaysNotRunIsTrueUnderRandomFailures guards against a refusal with the verdict not-run of a request that has run, and
// against a second run of a request that may run once.
func TestRefusalThatSaysNotRunIsTrueUnderRandomFailures(t *testing.T) {
	const seeds = 3000

	var notRun, cutOff int

	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			w := &failingWorld{rng: rand.New(rand.NewPCG(seed, 2))}
			route := []catalog.Route{atMostOnce, repeatable, resumable, plainStream}[w.n(4)]
			fx := newFixture(t, route, float64(w.n(8)))
			fx.targets.run = func(_ int, ctx context.Context, _ relay.Send) (*relay.Answer, error) {
				return w.run(ctx, route.Streaming)
			}
			fx.targets.prefillContext = w.prefill
			fx.forwarder.next = w

			if w.n(4) == 0 {
				service := entity.ServiceName("plain")
				if route.Streaming {
					service = "model"
				}

				fx.cutOff(service)

				cutOff++
			}

			ctx, cancel := w.end(t.Context())
			defer cancel()

			out := fx.serve(ctx, t)
			synctest.Wait()

			if out.refused != nil && out.refused.Verdict == verdict.NotRun {
				notRun++

				require.Zero(t, w.runs, "seed %d, %v", seed, out.refused)
			}

			if route.Repeat == catalog.AtMostOnce {
				require.LessOrEqual(t, w.runs, 1, "seed %d", seed)
			}
		})
	}

	t.Log(fmt.Sprint(notRun, " of ", seeds, " refused as not run, ", cutOff, " at a host that is cut off"))
	require.NotZero(t, notRun)
}

package relay_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
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

// randomReplicas are replicas whose faults and silences are random.
type randomReplicas struct {
	*testing.T

	mu         sync.Mutex
	rng        *rand.Rand
	faults     bool // whether they also refuse, fail and break off, apart from falling silent
	silences   int  // how many more times one of them falls silent
	running    context.Context
	handles    map[string]bool // KV caches by name, and whether they were fetched
	ran        map[entity.TargetID]bool
	arrivals   int // sends that reached a replica
	prefills   int
	firstTaken bool // the first prefill was accepted
}

// silence returns how long a replica is silent now.
func (r *randomReplicas) silence() time.Duration {
	if r.silences == 0 || r.rng.IntN(3) > 0 {
		return time.Duration(r.rng.IntN(50)) * time.Millisecond
	}

	r.silences--

	return time.Duration(r.rng.IntN(1500)) * time.Millisecond
}

// pause waits while a replica is silent, without mu, and returns the error of ctx if that ends before.
func (r *randomReplicas) pause(ctx context.Context) error {
	silence := r.silence()

	r.mu.Unlock()
	defer r.mu.Lock()

	return pause(ctx, time.Now().Add(silence))
}

// fault returns a fault of a send, if there is one.
func (r *randomReplicas) fault() (*relay.Answer, error) {
	if !r.faults {
		return nil, nil
	}

	switch r.rng.IntN(8) {
	case 0:
		return nil, mayHaveRun()
	case 1:
		return nil, notRun()
	case 2:
		return refusal(), nil
	case 3:
		return answer(500, "failed"), nil
	default:
		return nil, nil
	}
}

func (r *randomReplicas) prefill(ctx context.Context, s relay.Send) (*relay.KVHandle, *relay.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.prefills++
	n := r.prefills

	if err := r.pause(ctx); err != nil {
		r.arrivals++

		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(err)
	}

	a, err := r.fault()
	if verdict.Of(err) != verdict.NotRun {
		r.arrivals++
	}

	if a != nil || err != nil {
		return nil, a, err
	}

	r.firstTaken = r.firstTaken || n == 1
	h := &relay.KVHandle{Target: s.Target, Name: fmt.Sprint("kv", n)}
	r.handles[h.Name] = false

	return h, nil, nil
}

func (r *randomReplicas) run(ctx context.Context, s relay.Send) (*relay.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	require.True(r, r.running == nil || r.running.Err() != nil, "two replicas run the request at a time")

	r.running = ctx

	if s.KVCache != nil {
		r.handles[s.KVCache.Name] = true
	}

	r.ran[s.Target.ID] = true

	if err := r.pause(ctx); err != nil {
		r.arrivals++

		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(err)
	}

	a, err := r.fault()
	if verdict.Of(err) != verdict.NotRun {
		r.arrivals++
	}

	if verdict.Of(err) == verdict.NotRun || a != nil && a.NotRun {
		delete(r.ran, s.Target.ID)
	}

	if a != nil || err != nil {
		return a, err
	}

	var (
		next int
		body []io.Reader
		at   = time.Now()
	)

	_, _ = fmt.Sscan(s.LastEventID, &next)

	for next++; next <= lastEvent; next++ {
		at = at.Add(r.silence())
		body = append(body, pausedReader{strings.NewReader(eventsFrom(next, next)), ctx, at})

		if r.faults && r.rng.IntN(10) == 0 {
			body = append(body, strings.NewReader("id: 9\nda"), errReader{errReset})
		}
	}

	a = answer(200, "")
	a.Body = io.NopCloser(io.MultiReader(body...))

	return a, nil
}

// Streams and their replicas are random. Their events stay in order, one replica runs a request at a time, and nothing
// that a request holds is left. Without faults other than silences, each stream is whole.
func TestStreamBreaksOrLeaksUnderRandomSilences(t *testing.T) {
	for seed := range uint64(400) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 0))
				slack := rng.IntN(8)
				route := []catalog.Route{paces["objective 300 ms"], paces["objective 800 ms"], plainStream}[rng.IntN(3)]
				route.MaxTargets = 1 + rng.IntN(4)

				fx := newFixture(t, route, float64(slack))
				r := &randomReplicas{
					T: t, rng: rng, faults: rng.IntN(2) == 0, silences: rng.IntN(4), handles: map[string]bool{}, ran: map[entity.TargetID]bool{},
				}
				fx.targets.run = func(_ int, ctx context.Context, s relay.Send) (*relay.Answer, error) { return r.run(ctx, s) }
				fx.targets.prefillContext = r.prefill

				out := fx.serve(t.Context(), t)
				synctest.Wait()

				if !r.faults {
					requireWhole(t, out)
				}

				if out.status == 200 {
					require.True(t, strings.HasPrefix(eventsFrom(1, lastEvent), out.body.String()), out.body.String())
				}

				require.LessOrEqual(t, len(r.ran), max(route.MaxTargets, 1))

				free := 1
				if r.firstTaken {
					free++
				}

				require.LessOrEqual(t, r.arrivals-free, slack)
				require.LessOrEqual(t, fx.unusedRepeats(), slack-max(r.arrivals-free, 0))

				for _, h := range fx.targets.released {
					r.handles[h.Name] = true
				}

				for name, freed := range r.handles {
					require.True(t, freed, "KV cache %s was neither fetched nor freed", name)
				}
			})
		})
	}
}

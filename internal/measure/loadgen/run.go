package loadgen

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/semaphore"

	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

const defaultGrace = 5 * time.Second

// Run sends the requests of o and returns their results, or an error for options outside the limits. It returns when
// all requests have ended, at the latest o.Grace after the last deadline. When ctx ends, it sends no more requests and
// cancels those in flight.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}

	if o.Grace == 0 {
		o.Grace = defaultGrace
	}

	transport := &http.Transport{MaxIdleConnsPerHost: MaxInFlight}
	defer transport.CloseIdleConnections()

	r := run{
		opts: o, id: uuid.NewString(), client: &http.Client{Transport: transport},
		inFlight: semaphore.NewWeighted(MaxInFlight), tally: newTally(o.Kinds),
	}

	r.send(ctx)

	return r.tally.report(), nil
}

// run is a run in progress.
type run struct {
	opts     Options
	id       string // part of each prompt, so that the prompts of two runs differ
	client   *http.Client
	inFlight *semaphore.Weighted

	mu    sync.Mutex
	tally *tally
}

// send sends each scheduled request at its time and waits for all to end. It skips requests while MaxInFlight are
// in flight.
func (r *run) send(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	start := time.Now()

	for n, a := range r.opts.scheduled() {
		timer := time.NewTimer(time.Until(start.Add(a.At)))

		select {
		case <-ctx.Done():
			timer.Stop()

			return
		case <-timer.C:
		}

		if !r.inFlight.TryAcquire(1) {
			r.count(a, outcome{problem: "not sent, too many requests in flight"})

			continue
		}

		wg.Go(func() {
			defer r.inFlight.Release(1)

			r.sendOne(ctx, n, a)
		})
	}
}

// sendOne sends the nth request and counts its outcome.
func (r *run) sendOne(ctx context.Context, n int, a trace.Arrival) {
	kind := r.opts.Kinds[a.Kind]

	if kind.Service != "" && r.opts.Service != "" {
		kind.Service = r.opts.Service
	}

	if kind.Model != "" && r.opts.Model != "" {
		kind.Model = r.opts.Model
	}

	ctx, cancel := context.WithTimeout(ctx, kind.Deadline+r.opts.Grace)
	defer cancel()

	c := call{
		address: r.opts.Addresses[n%len(r.opts.Addresses)], bearer: r.opts.keyOf(kind.Name, n),
		kind: kind, prompt: promptOf(r.id, a), tokens: int(a.Decode),
	}

	r.count(a, c.send(ctx, r.client))
}

// count counts the outcome of the request of a. It is safe for concurrent use.
func (r *run) count(a trace.Arrival, out outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.tally.add(a.Kind, out)
}

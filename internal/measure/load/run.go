package load

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

// Run sends the requests of o and returns what came of them. It ends by itself, at the latest a
// grace after the last deadline; when ctx ends, it sends no more and gives up what is open.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}

	if o.Grace == 0 {
		o.Grace = defaultGrace
	}

	transport := &http.Transport{MaxIdleConnsPerHost: MaxOpen}
	defer transport.CloseIdleConnections()

	r := run{
		opts: o, id: uuid.NewString(), client: &http.Client{Transport: transport},
		open: semaphore.NewWeighted(MaxOpen), tally: newTally(o.Kinds),
	}

	r.send(ctx)

	return r.tally.report(), nil
}

type run struct {
	opts   Options
	id     string // tells the prompts of two runs apart
	client *http.Client
	open   *semaphore.Weighted

	mu    sync.Mutex
	tally *tally
}

func (r *run) send(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	start := time.Now()

	for n, a := range r.opts.due() {
		timer := time.NewTimer(time.Until(start.Add(a.At)))

		select {
		case <-ctx.Done():
			timer.Stop()

			return
		case <-timer.C:
		}

		if !r.open.TryAcquire(1) {
			r.count(a, outcome{problem: "not sent, too many are open"})

			continue
		}

		wg.Go(func() {
			defer r.open.Release(1)

			r.one(ctx, n, a)
		})
	}
}

// one sends the nth request.
func (r *run) one(ctx context.Context, n int, a trace.Arrival) {
	kind := r.opts.Kinds[a.Kind]

	if kind.Service != "" && r.opts.Service != "" {
		kind.Service = r.opts.Service
	}

	if kind.Model != "" && r.opts.Model != "" {
		kind.Model = r.opts.Model
	}

	ctx, cancel := context.WithTimeout(ctx, kind.Deadline+r.opts.Grace)
	defer cancel()

	w := work{
		address: r.opts.Addresses[n%len(r.opts.Addresses)], bearer: r.opts.keyOf(kind.Name, n),
		kind: kind, prompt: promptOf(r.id, a), tokens: int(a.Decode),
	}

	r.count(a, w.send(ctx, r.client))
}

func (r *run) count(a trace.Arrival, out outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.tally.add(a.Kind, out)
}

package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	tickInterval = 100 * time.Millisecond
	callTimeout  = 3 * time.Second // timeout of one platform read
	eventBuffer  = 64
)

// Source is the part of the platform's API that a Runner uses.
type Source interface {
	Getter
	Watch(ctx context.Context, prefix string) (<-chan platform.Object, error)
}

// Peers fetches the configuration from other entry hosts.
type Peers interface {
	// Fetch returns the result of Runner.Export on host. It must end if no more of it arrives.
	Fetch(ctx context.Context, host entity.HostID) ([]byte, error)
}

// Runner runs a Follower on its own goroutine and carries out its actions. It is safe for concurrent use.
type Runner struct {
	source Source
	peers  Peers
	clock  clockwork.Clock

	events   chan Event
	stopping chan struct{} // closed before done, so that no call blocks in send
	done     chan struct{}
	contents atomic.Pointer[Contents]
	ready    atomic.Bool

	mu      sync.Mutex
	changed chan struct{}

	follower  *Follower
	stopWatch context.CancelFunc
	calls     sync.WaitGroup
}

// Start returns a running Runner, which stops when ctx ends. The seed sets the jitter of periodic reads;
// it should differ between hosts.
func Start(ctx context.Context, source Source, peers Peers, clock clockwork.Clock, seed uint64) *Runner {
	r := &Runner{
		source:   source,
		peers:    peers,
		clock:    clock,
		events:   make(chan Event, eventBuffer),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
		changed:  make(chan struct{}),
		follower: NewFollower(clock.Now(), rand.New(rand.NewPCG(seed, 0))),
	}

	go r.run(ctx)

	return r
}

// Done returns a channel that is closed when r has stopped and all of its calls have returned.
func (r *Runner) Done() <-chan struct{} {
	return r.done
}

// Contents returns the contents in force, or nil before the first.
func (r *Runner) Contents() *Contents {
	return r.contents.Load()
}

// Current returns the configuration in force, or nil before the first.
func (r *Runner) Current() *entity.Snapshot {
	return r.Contents().Snapshot()
}

// Generation returns the generation in force; the host's heartbeats carry it.
func (r *Runner) Generation() entity.Generation {
	return r.Contents().Generation()
}

// Ready reports whether the configuration allows the host to serve; see Follower.Ready.
func (r *Runner) Ready() bool {
	return r.ready.Load()
}

// Changed returns a channel that is closed at the next change of Current.
func (r *Runner) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.changed
}

// Export returns the contents in force, encoded for Import on a peer, or nil before the first.
func (r *Runner) Export() []byte {
	c := r.Contents()
	if c == nil {
		return nil
	}

	return c.Export()
}

// ReportPeerGeneration passes the generation of a peer's heartbeat to the Follower.
func (r *Runner) ReportPeerGeneration(host entity.HostID, g entity.Generation) {
	r.send(PeerHeartbeat{Host: host, Generation: g})
}

func (r *Runner) send(e Event) {
	select {
	case r.events <- e:
	case <-r.stopping:
	}
}

func (r *Runner) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)

	defer func() {
		cancel()
		close(r.stopping)
		r.calls.Wait()
		close(r.done)
	}()

	ticker := r.clock.NewTicker(tickInterval)
	defer ticker.Stop()

	r.perform(ctx, r.follower.Tick(r.clock.Now()))

	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.events:
			r.perform(ctx, r.follower.Handle(r.clock.Now(), e))
		case <-ticker.Chan():
			r.perform(ctx, r.follower.Tick(r.clock.Now()))
		}

		r.ready.Store(r.follower.Ready())
	}
}

func (r *Runner) perform(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Publish:
			r.publish(a.Contents)
		case ReadPlatform:
			r.calls.Go(func() { r.send(r.readPlatform(ctx, a)) })
		case FetchPeer:
			r.calls.Go(func() { r.send(PeerFetched{Host: a.Host, Contents: r.fetchPeer(ctx, a.Host)}) })
		case OpenWatch:
			r.openWatch(ctx)
		}
	}
}

func (r *Runner) publish(c *Contents) {
	r.contents.Store(c)

	r.mu.Lock()
	defer r.mu.Unlock()

	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Runner) readPlatform(ctx context.Context, a ReadPlatform) PlatformRead {
	ctx, cancel := r.withCallTimeout(ctx)
	defer cancel()

	if a.Encoded != nil {
		if c, err := readShards(ctx, r.source, a.Encoded, r.Contents()); err == nil {
			return PlatformRead{Contents: c}
		}
	}

	c, _, err := read(ctx, r.source, r.Contents())
	if err != nil {
		return PlatformRead{}
	}

	return PlatformRead{Contents: c}
}

func (r *Runner) fetchPeer(ctx context.Context, host entity.HostID) *Contents {
	data, err := r.peers.Fetch(ctx, host)
	if err != nil {
		return nil
	}

	c, err := Import(data)
	if err != nil {
		return nil
	}

	return c
}

// withCallTimeout returns a context that ends after callTimeout by the clock of r.
func (r *Runner) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := r.clock.AfterFunc(callTimeout, cancel)

	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// openWatch closes the open watch, if any, and opens a new one. Only the goroutine of run calls it.
func (r *Runner) openWatch(ctx context.Context) {
	if r.stopWatch != nil {
		r.stopWatch()
	}

	ctx, r.stopWatch = context.WithCancel(ctx)

	r.calls.Go(func() {
		events, err := r.source.Watch(ctx, string(HeadKey))
		if err == nil {
			r.forwardHeads(ctx, events)
		}

		// A watch that openWatch has replaced, or that ends as r stops, must not be reported as ended.
		if ctx.Err() == nil {
			r.send(WatchEnded{})
		}
	})
}

// forwardHeads sends the heads that a watch delivers to the Follower until the watch or ctx ends. It skips
// other keys, deletions and values that do not decode.
func (r *Runner) forwardHeads(ctx context.Context, events <-chan platform.Object) {
	for {
		select {
		case <-ctx.Done():
			return
		case o, ok := <-events:
			if !ok {
				return
			}

			head, err := decodeHead(o.Value)
			if err == nil && o.Key == HeadKey && o.Version != 0 {
				r.send(HeadSeen{Generation: head.Generation, Encoded: o.Value})
			}
		}
	}
}

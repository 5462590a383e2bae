package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/admit"
	"github.com/dotterelflow/dotterelflow/internal/entry/dispatch"
	"github.com/dotterelflow/dotterelflow/internal/entry/govern"
	"github.com/dotterelflow/dotterelflow/internal/entry/loads"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/entry/routes"
	"github.com/dotterelflow/dotterelflow/internal/entry/suspects"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("host")

const (
	refreshEvery      = 200 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	defaultStopBound  = 2 * time.Minute
	stopNotice        = 300 * time.Millisecond // between not ready and the end of listening
)

// Platform is the platform's object API as an entry host uses it.
type Platform interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
	Delete(ctx context.Context, key platform.Key, expect platform.Version) error
	List(ctx context.Context, prefix string) ([]platform.Object, error)
	Watch(ctx context.Context, prefix string) (<-chan platform.Object, error)
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Options say what a Host is and works with. DataCentre, ID, Platform and the addresses, each an
// ip:port whose port may be 0, are required.
type Options struct {
	Clock           clockwork.Clock // nil means the real clock
	Log             *log.Logger     // nil means the default logger
	ID              table.HostID    // new for each run of a process
	DataCentre      table.DataCentre
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	MetricsAddress  string // empty: metrics are not served
	OperatorKeyHash string // as table.HashKey returns it
	Peers           []string
	Platform        Platform
	Liveness        time.Duration // silence after which an engine's stream counts as lost; zero means 5 s
	StopBound       time.Duration // longest wait for streams on a stop; zero means 2 min
}

// Host is one running entry host.
type Host struct {
	opts     Options
	registry metrics.Registry

	engines *engine.Client
	router  *routes.Router
	loads   *loads.Table
	admit   *admit.Loop
	claims  *ledger.Ledger
	config  *configuration.Runner
	network *peers.Network
	burn    *burnCounts
	budget  *budget
	guard   *suspects.Guard
	runner  *dispatch.Runner

	governor *govern.Governor

	listeners

	routed   atomic.Bool // a configuration has reached routing and admission
	stopping atomic.Bool
	stopOnce sync.Once
	stopErr  error
	askOnce  sync.Once
	asked    chan struct{} // closed when a plan asks this host to stop
	cancel   context.CancelFunc
	done     chan struct{}
}

// Start runs a Host until Stop is called.
func Start(opts Options) (*Host, error) {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	if opts.StopBound == 0 {
		opts.StopBound = defaultStopBound
	}

	h := &Host{opts: opts, registry: metrics.NewRegistry(), asked: make(chan struct{}), done: make(chan struct{})}

	if err := h.listen(); err != nil {
		h.closeSockets()

		return nil, err
	}

	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel

	if err := h.build(ctx); err != nil {
		cancel()
		h.closeSockets()

		return nil, err
	}

	h.serve()

	go h.run(ctx)

	return h, nil
}

// Ready returns nil when the host can serve, else an error that says what is missing.
func (h *Host) Ready() error {
	if h.stopping.Load() {
		return Error.New("stopping")
	}

	if !h.config.Ready() || !h.routed.Load() {
		return Error.New("no configuration yet, from neither the platform nor a peer")
	}

	return nil
}

// Generation returns the configuration generation in force here, or zero before the first.
func (h *Host) Generation() table.Generation {
	return h.config.Generation()
}

// Peers returns the number of live peers that have said that they are ready.
func (h *Host) Peers() int {
	ready := 0

	for _, m := range h.network.Live() {
		if m.Ready {
			ready++
		}
	}

	return ready
}

// Done is closed once the host has stopped.
func (h *Host) Done() <-chan struct{} {
	return h.done
}

// run is the control goroutine.
func (h *Host) run(ctx context.Context) {
	defer close(h.done)

	tick := h.opts.Clock.NewTicker(refreshEvery)
	defer tick.Stop()

	for {
		changed := h.config.Changed()
		h.refresh()

		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
		case <-changed:
		}
	}
}

// Stop makes the host not ready, waits until its callers' requests have ended, and ends it. Further
// calls return the result of the first one.
func (h *Host) Stop() error {
	h.stopOnce.Do(func() { h.stopErr = h.stop() })

	return h.stopErr
}

func (h *Host) stop() error {
	h.stopping.Store(true)
	h.governor.Stop()

	// Balancers and peers see the change before connections are refused.
	h.opts.Clock.Sleep(stopNotice)

	ctx, cancel := context.WithTimeout(context.Background(), h.opts.StopBound)
	defer cancel()

	err := h.shutdown(ctx)

	h.admit.Stop()
	h.claims.Close()
	h.cancel()

	for _, done := range []<-chan struct{}{h.done, h.loads.Done(), h.network.Done(), h.config.Done(), h.claims.Done(), h.burn.saver.Done(), h.governor.Done()} {
		<-done
	}

	return Error.Wrap(err)
}

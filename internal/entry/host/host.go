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
	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/entry/admissionloop"
	"github.com/dotterelflow/dotterelflow/internal/entry/crashguard"
	"github.com/dotterelflow/dotterelflow/internal/entry/crashsync"
	"github.com/dotterelflow/dotterelflow/internal/entry/dispatch"
	"github.com/dotterelflow/dotterelflow/internal/entry/fleetcontrol"
	"github.com/dotterelflow/dotterelflow/internal/entry/loadreports"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/entry/rolebalance"
	"github.com/dotterelflow/dotterelflow/internal/entry/router"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("host")

const (
	// admissionHorizon bounds the started work that the engines have not absorbed yet, in time at this host's share
	// of their rate. It is long so that a host with a small share can admit a long prompt; engines schedule their
	// work by themselves.
	admissionHorizon = 3 * time.Second
	refreshInterval  = 200 * time.Millisecond
	// discoveryTime is how long a host looks for ready hosts of a data centre before requests for its targets are refused. It covers the
	// introduction through a seed, and a heartbeat that says that the other host is ready.
	discoveryTime        = 5 * time.Second
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultStopTimeout   = 2 * time.Minute
	stopNotice           = 300 * time.Millisecond // time between reporting not ready and closing the listeners
)

// Platform is the part of the platform's API that an entry host uses.
type Platform interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
	Delete(ctx context.Context, key platform.Key, expect platform.Version) error
	List(ctx context.Context, prefix string) ([]platform.Object, error)
	Watch(ctx context.Context, prefix string) (<-chan platform.Object, error)
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Options configure a Host. DataCentre, ID, Platform, OperatorKeyHash and the addresses except MetricsAddress are
// required. Each address is an ip:port whose port may be 0.
type Options struct {
	Clock           clockwork.Clock // nil means the real clock
	Log             *log.Logger     // nil means the default logger
	ID              entity.HostID   // new for each run of a process
	DataCentre      entity.DataCentre
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	MetricsAddress  string   // empty: metrics are not served
	OperatorKeyHash string   // hash of the operators' key, as entity.HashKey returns it
	Seeds           []string // ip:port of the peers to contact first; may be empty
	Platform        Platform
	Liveness        time.Duration       // time without data after which an engine's stream counts as lost; zero means 5 s
	Roles           roles.Options       // options of decisions on role changes; the zero value works
	Demand          roles.DemandOptions // options of averaging the demand; the zero value works
	StopTimeout     time.Duration       // longest time that Stop waits for open requests; zero means 2 min
	HeaderTimeout   time.Duration       // limit on the arrival of a request's head, from its first byte; zero means 10 s
	IdleTimeout     time.Duration       // limit on the wait of a connection for its next request; zero means 2 min
}

// Host is one running entry host.
type Host struct {
	opts     Options
	registry metrics.Registry
	panics   panics.Recorder

	engines       *engine.Client
	router        *router.Router
	loads         *loadreports.Table
	admissionLoop *admissionloop.Loop
	claims        *ledger.Ledger
	config        *configuration.Runner
	network       *peers.Network
	burn          *burnCounts
	budget        *retryBudget
	guard         *crashguard.Guard
	crashers      *crashtracker.Table // requests that crash engines, in all data centres
	crashSyncer   *crashsync.Syncer
	runner        *dispatch.Runner

	fleetControl *fleetcontrol.Controller
	meter        *rolebalance.Meter
	roleState    *roleState
	balancer     *rolebalance.Balancer

	listeners

	configApplied   atomic.Bool                     // routing and admission use a configuration
	lookingSince    map[entity.DataCentre]time.Time // since when ready hosts of a data centre are looked for; zero once one was found
	stopping        atomic.Bool
	stopOnce        sync.Once
	stopErr         error
	stopRequestOnce sync.Once
	stopRequested   chan struct{} // closed when a plan lets this host stop; see StopRequested
	cancel          context.CancelFunc
	done            chan struct{}
}

// Start opens the listeners and runs a Host until Stop is called.
func Start(opts Options) (*Host, error) {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	if opts.StopTimeout == 0 {
		opts.StopTimeout = defaultStopTimeout
	}

	if opts.HeaderTimeout == 0 {
		opts.HeaderTimeout = defaultHeaderTimeout
	}

	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}

	h := &Host{opts: opts, registry: metrics.NewRegistry(), stopRequested: make(chan struct{}), done: make(chan struct{}),
		roleState: newRoleState(), lookingSince: map[entity.DataCentre]time.Time{},
	}
	h.panics = panics.New(opts.Log, h.registry)

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

// Ready returns nil if the host can serve, else an error with the reason.
func (h *Host) Ready() error {
	if h.stopping.Load() {
		return Error.New("stopping")
	}

	if !h.config.Ready() || !h.configApplied.Load() {
		return Error.New("no configuration yet, from neither the platform nor a peer")
	}

	return nil
}

// Generation returns the generation of the configuration in force on this host, or zero before the first one.
func (h *Host) Generation() entity.Generation {
	return h.config.Generation()
}

// ReadyPeers returns the number of live peers that report themselves ready.
func (h *Host) ReadyPeers() int {
	ready := 0

	for _, m := range h.network.Live() {
		if m.Ready {
			ready++
		}
	}

	return ready
}

// Done returns a channel that is closed near the end of Stop, after the wait for open requests.
func (h *Host) Done() <-chan struct{} {
	return h.done
}

// run calls refresh every refreshInterval and on each change of the configuration, until ctx ends.
func (h *Host) run(ctx context.Context) {
	defer close(h.done)

	tick := h.opts.Clock.NewTicker(refreshInterval)
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

// Stop marks the host as not ready, waits up to Options.StopTimeout for open requests to end, and stops all
// components. It returns an error if an HTTP server did not shut down cleanly or in time. Further calls return the
// result of the first one.
func (h *Host) Stop() error {
	h.stopOnce.Do(func() { h.stopErr = h.stop() })

	return h.stopErr
}

func (h *Host) stop() error {
	h.stopping.Store(true)
	h.fleetControl.Stop()

	// Load balancers and peers have to see that the host is not ready before it refuses connections.
	h.opts.Clock.Sleep(stopNotice)

	ctx, cancel := context.WithTimeout(context.Background(), h.opts.StopTimeout)
	defer cancel()

	err := h.shutdown(ctx)

	h.admissionLoop.Stop()
	h.claims.Close()
	h.cancel()

	for _, done := range []<-chan struct{}{h.done, h.loads.Done(), h.crashSyncer.Done(), h.network.Done(), h.config.Done(), h.claims.Done(), h.burn.saver.Done(), h.fleetControl.Done(), h.balancer.Done()} {
		<-done
	}

	return Error.Wrap(err)
}

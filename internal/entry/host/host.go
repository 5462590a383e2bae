package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/admit"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/balance"
	"github.com/dotterelflow/dotterelflow/internal/entry/dispatch"
	"github.com/dotterelflow/dotterelflow/internal/entry/govern"
	"github.com/dotterelflow/dotterelflow/internal/entry/loads"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/entry/requests"
	"github.com/dotterelflow/dotterelflow/internal/entry/routes"
	"github.com/dotterelflow/dotterelflow/internal/entry/suspects"
	meters "github.com/dotterelflow/dotterelflow/internal/measure/metrics"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
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
	OperatorKeyHash string // as table.HashKey returns it
	Peers           []string
	Platform        Platform
	Liveness        time.Duration       // silence after which an engine's stream counts as lost; zero means 5 s
	Roles           roles.Options       // how role changes are decided; the zero value works
	Demand          roles.DemandOptions // how demand is averaged; the zero value works
	StopBound       time.Duration       // longest wait for streams on a stop; zero means 2 min
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
	meter    *balance.Meter
	changes  *changes
	balancer *balance.Balancer

	callers  *http.Server
	operator *http.Server
	peers    *grpc.Server
	sockets  sockets

	routed   atomic.Bool // a configuration has reached routing and admission
	stopping atomic.Bool
	stopOnce sync.Once
	stopErr  error
	askOnce  sync.Once
	asked    chan struct{} // closed when a plan asks this host to stop
	cancel   context.CancelFunc
	done     chan struct{}
}

// sockets are the listeners of a host.
type sockets struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
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

	h := &Host{opts: opts, registry: metrics.NewRegistry(), asked: make(chan struct{}), done: make(chan struct{}),
		changes: newChanges(),
	}

	if err := h.listen(); err != nil {
		h.sockets.close()

		return nil, err
	}

	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel

	if err := h.build(ctx); err != nil {
		cancel()
		h.sockets.close()

		return nil, err
	}

	h.serve()

	go h.run(ctx)

	return h, nil
}

func (h *Host) listen() error {
	for _, s := range []struct {
		address string
		into    *net.Listener
	}{
		{h.opts.CallerAddress, &h.sockets.caller},
		{h.opts.OperatorAddress, &h.sockets.operator},
		{h.opts.PeerAddress, &h.sockets.peer},
	} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return Error.Wrap(err)
		}

		*s.into = listener
	}

	return nil
}

func (s *sockets) close() {
	for _, listener := range []net.Listener{s.caller, s.operator, s.peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// CallerAddress returns the ip:port on which callers are served.
func (h *Host) CallerAddress() string {
	return h.sockets.caller.Addr().String()
}

// PeerAddress returns the ip:port on which peers are served.
func (h *Host) PeerAddress() string {
	return h.sockets.peer.Addr().String()
}

// OperatorAddress returns the ip:port on which operators are served.
func (h *Host) OperatorAddress() string {
	return h.sockets.operator.Addr().String()
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

// build makes the parts and connects them.
func (h *Host) build(ctx context.Context) error {
	clock := h.opts.Clock
	seed := clock.Now().UnixNano()

	h.engines = engine.NewClient(engine.Options{Clock: clock, Liveness: h.opts.Liveness})
	h.router = routes.New(routes.Options{Clock: clock, Home: h.opts.DataCentre, Seed: seed})
	h.admit = admit.Start(admit.Options{Clock: clock})
	h.meter = balance.NewMeter(clock, h.opts.DataCentre, h.admit, h.opts.Demand)
	h.claims = ledger.New(ledger.Options{Store: h.opts.Platform, Host: h.opts.ID, Clock: clock})
	h.guard = suspects.New(suspects.Options{
		Clock: clock, Self: h.opts.ID, OnLoss: func(table.TargetID) { h.network.BeatNow() },
	})
	h.network = peers.New(peers.Options{
		Clock: clock, Log: h.opts.Log, Host: h.opts.ID, DataCentre: h.opts.DataCentre,
		Address: h.PeerAddress(), Seeds: h.opts.Peers, Local: h,
	})
	h.config = configuration.Start(ctx, h.opts.Platform, h.network, clock, uint64(seed))
	h.loads = loads.Start(ctx, loads.Options{
		Clock: clock, Engines: h.engines, Targets: h.targets, Mine: h.polls, OnReport: h.reported,
	})

	h.burn = newBurnCounts(h)

	go h.burn.saver.Run(ctx)

	h.budget = newBudget(clock)
	held := answers.NewTable(answers.Options{Clock: clock})
	h.runner = dispatch.New(dispatch.Options{
		Clock: clock, Home: h.opts.DataCentre, Engines: h.engines, Services: service.NewClient(service.Options{}),
		Peers: h.network, Router: h.router, Phases: h.router, Retries: h.budget, Guard: h.guard, Log: h.opts.Log,
	})
	h.governor = govern.Start(ctx, govern.Options{
		Clock: clock, Log: h.opts.Log, Host: h.opts.ID, Address: h.PeerAddress(), DataCentre: h.opts.DataCentre,
		Platform: h.opts.Platform, Engines: h.engines.Orders(), Local: local{h}, Seed: uint64(seed),
	})
	h.balancer = balance.Start(ctx, balance.Options{
		Clock: clock, Log: h.opts.Log, Registry: h.registry, DataCentre: h.opts.DataCentre, Platform: h.opts.Platform,
		Site: local{h}, Roles: h.opts.Roles,
	})
	h.network.Start(ctx)

	taken := requests.New(requests.Options{
		Clock: clock, Host: h.opts.ID, Home: h.opts.DataCentre, Runner: h.runner, Router: h.router, Phases: h.router,
		Claims: h.claims, Answers: held, Peers: h.network, Admission: h.meter, Quarantine: h.guard, Log: h.opts.Log,
	})

	h.peers = peers.NewGRPCServer(h.network, peers.Services{
		Snapshot: h.config.Current, Runner: h.runner, Held: held, Configuration: h.exported, Burn: h.burn.encoded,
	})

	if err := h.buildCallers(taken); err != nil {
		return err
	}

	return h.buildOperator()
}

func (h *Host) buildOperator() error {
	handler, err := operator.Handler(
		backend{host: h, editor: configuration.NewEditor(h.opts.Platform, h.opts.Clock, h.config.Contents)},
		operator.Options{KeyHash: h.opts.OperatorKeyHash, Clock: h.opts.Clock})
	if err != nil {
		return Error.Wrap(err)
	}

	h.operator = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}

	return nil
}

func (h *Host) buildCallers(taken *requests.Service) error {
	calls := meters.NewCalls(h.registry)

	api, err := caller.NewServer(caller.Options{
		Clock: h.opts.Clock, Requests: taken, Configuration: h.config, Ready: h.Ready, Log: h.opts.Log,
		Metrics: meters.Handler(h.registry),
		Observe: func(o caller.Outcome) {
			calls.Ended(o.Request.Kind.Urgency, o.Problem, o.FirstToken, o.Total)
			h.burn.observe(o)
			h.budget.observe(o)
		},
	})
	if err != nil {
		return Error.Wrap(err)
	}

	h.callers = &http.Server{Handler: api, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}

	return nil
}

// serve begins to accept connections.
func (h *Host) serve() {
	for _, s := range []struct {
		name  string
		serve func() error
	}{
		{"caller", func() error { return h.callers.Serve(h.sockets.caller) }},
		{"operator", func() error { return h.operator.Serve(h.sockets.operator) }},
		{"peer", func() error { return h.peers.Serve(h.sockets.peer) }},
	} {
		go func() {
			if err := s.serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				h.opts.Log.Error().Str("listener", s.name).Err(err).Msg("listener ended")
			}
		}()
	}
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

	h.callers.SetKeepAlivesEnabled(false)

	var group errs.Group

	group.Add(h.callers.Shutdown(ctx))
	group.Add(h.operator.Shutdown(ctx))
	h.stopPeers(ctx)
	h.admit.Stop()
	h.claims.Close()
	h.cancel()

	for _, done := range []<-chan struct{}{h.done, h.loads.Done(), h.network.Done(), h.config.Done(), h.claims.Done(), h.burn.saver.Done(), h.governor.Done(), h.balancer.Done()} {
		<-done
	}

	return Error.Wrap(group.Err())
}

// stopPeers waits for forwarded requests and joins, until ctx ends.
func (h *Host) stopPeers(ctx context.Context) {
	stopped := make(chan struct{})

	go func() {
		defer close(stopped)

		h.peers.GracefulStop()
	}()

	select {
	case <-stopped:
	case <-ctx.Done():
		h.peers.Stop()
		<-stopped
	}
}

package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/admit"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/dispatch"
	"github.com/dotterelflow/dotterelflow/internal/entry/loads"
	"github.com/dotterelflow/dotterelflow/internal/entry/requests"
	"github.com/dotterelflow/dotterelflow/internal/entry/routes"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
)

// Error is the class of this package's errors.
var Error = errs.Class("host")

const (
	refreshEvery      = 200 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	defaultStopBound  = 2 * time.Minute
)

// Configuration gives the configuration in force, or nil when there is none yet.
type Configuration interface {
	Current() *table.Snapshot
}

// Options say what a Host is and works with. Configuration and DataCentre are required.
type Options struct {
	Clock         clockwork.Clock // nil means the real clock
	Log           *log.Logger     // nil means the default logger
	ID            table.HostID
	DataCentre    table.DataCentre
	CallerAddress string // ip:port of the callers' API
	Configuration Configuration
	StopBound     time.Duration // longest wait for streams on a stop; zero means 2 min
}

// Host is one running entry host.
type Host struct {
	opts     Options
	engines  *engine.Client
	router   *routes.Router
	loads    *loads.Table
	admit    *admit.Loop
	api      *caller.Server
	server   *http.Server
	listener net.Listener
	stopping atomic.Bool
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

	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{opts: opts, cancel: cancel, done: make(chan struct{})}

	if err := h.build(ctx); err != nil {
		cancel()

		return nil, err
	}

	go h.run(ctx)

	return h, nil
}

func (h *Host) build(ctx context.Context) error {
	h.engines = engine.NewClient(engine.Options{Clock: h.opts.Clock})
	h.router = routes.New(routes.Options{Clock: h.opts.Clock, Home: h.opts.DataCentre, Seed: h.opts.Clock.Now().UnixNano()})
	h.admit = admit.Start(admit.Options{Clock: h.opts.Clock})
	h.loads = loads.Start(ctx, loads.Options{
		Clock: h.opts.Clock, Engines: h.engines, Targets: h.targets,
		Mine: func(t table.Target) bool { return t.DataCentre == h.opts.DataCentre },
	})

	runner := dispatch.New(dispatch.Options{
		Clock: h.opts.Clock, Home: h.opts.DataCentre, Engines: h.engines,
		Services: service.NewClient(service.Options{}), Router: h.router, Log: h.opts.Log,
	})
	taken := requests.New(requests.Options{
		Clock: h.opts.Clock, Runner: runner, Answers: answers.NewTable(answers.Options{Clock: h.opts.Clock}),
		Admission: h.admit, Log: h.opts.Log,
	})

	api, err := caller.NewServer(caller.Options{
		Clock: h.opts.Clock, Requests: taken, Configuration: h.opts.Configuration, Ready: h.Ready, Log: h.opts.Log,
	})
	if err != nil {
		return Error.Wrap(err)
	}

	h.api = api
	h.server = &http.Server{Handler: api, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	h.listener, err = net.Listen("tcp", h.opts.CallerAddress)

	return Error.Wrap(err)
}

func (h *Host) targets() []table.Target {
	snapshot := h.opts.Configuration.Current()
	if snapshot == nil {
		return nil
	}

	return snapshot.Targets
}

// CallerAddress returns the ip:port on which callers are served.
func (h *Host) CallerAddress() string {
	return h.listener.Addr().String()
}

// Ready returns nil when the host can serve, else an error that says what is missing.
func (h *Host) Ready() error {
	if h.stopping.Load() {
		return Error.New("stopping")
	}

	if h.opts.Configuration.Current() == nil {
		return Error.New("no configuration yet, from neither the platform nor a peer")
	}

	return nil
}

// Done is closed once the host has stopped.
func (h *Host) Done() <-chan struct{} {
	return h.done
}

func (h *Host) run(ctx context.Context) {
	defer close(h.done)

	go func() {
		if err := h.server.Serve(h.listener); !errors.Is(err, http.ErrServerClosed) {
			h.opts.Log.Error().Err(err).Msg("callers' listener ended")
		}
	}()

	tick := h.opts.Clock.NewTicker(refreshEvery)
	defer tick.Stop()

	for {
		h.refresh()

		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
		}
	}
}

// refresh publishes what routing and admission need of the configuration and the loads.
func (h *Host) refresh() {
	snapshot := h.opts.Configuration.Current()
	if snapshot == nil {
		return
	}

	h.router.Refresh(snapshot, routes.State{Hosts: 1, Loads: h.loads.All()})
	h.admit.SetConfig(snapshot, 1, func(table.Target) bool { return true })
}

// Stop makes the host not ready, waits until its callers' requests have ended, and ends it.
func (h *Host) Stop() error {
	h.stopping.Store(true)

	ctx, cancel := context.WithTimeout(context.Background(), h.opts.StopBound)
	defer cancel()

	h.server.SetKeepAlivesEnabled(false)
	err := h.server.Shutdown(ctx)

	h.admit.Stop()
	h.cancel()
	<-h.done
	<-h.loads.Done()

	return Error.Wrap(err)
}

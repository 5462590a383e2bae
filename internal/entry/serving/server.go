// Package serving runs the HTTP servers of an entry host of package platform/host: for callers, for the readiness checks
// of the load balancer, and for metrics. It stops them gracefully, so that no request is lost.
package serving

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

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
)

// Error is the class of this package's errors.
var Error = errs.Class("serving")

const (
	// notReadyNotice is how long a stopping host still accepts connections after it has become not ready. The load
	// balancer checks readiness each second and stops sending callers after two failed checks.
	notReadyNotice = 2500 * time.Millisecond
	// stopMargin is the time before the bound of Stop at which the requests still in progress are cut.
	stopMargin = 250 * time.Millisecond

	// internalHeaderTimeout bounds the time for the head of a request for readiness or metrics.
	internalHeaderTimeout = 3 * time.Second
	// maxHeaderBytes bounds the head of a request, whatever the configuration says.
	maxHeaderBytes = 128 << 10
)

// Options configure a Server. All fields but Clock, Log, Limits, MetricsAddress and MetricsHandler are required. Addresses
// are ip:port.
type Options struct {
	Clock          clockwork.Clock // nil means the real clock
	Log            *log.Logger     // nil means the default logger
	CallerAddress  string          // address for callers
	ReadyAddress   string          // address for readiness checks
	MetricsAddress string          // address for metrics; empty if metrics are not served
	Handler        http.Handler    // serves callers
	MetricsHandler http.Handler    // serves metrics; required with a MetricsAddress
	IsReady        func() bool     // whether the host can serve callers; called for each readiness check
	// Limits returns the limits of the configuration, and false while none is known. Nil means that none will be known.
	Limits func() (catalog.Limits, bool)
}

// Server runs the HTTP servers of one entry host. Start makes it.
type Server struct {
	opts            Options
	connections     *connections // of callers
	callers         *http.Server
	internalServers []*http.Server // for readiness and metrics
	callersAddress  string
	readyAddress    string
	stopping        atomic.Bool // Stop was called
	failures        chan error  // has room for one error of each server
}

// Start opens all listeners and serves them in the background. If one cannot be opened, it closes the others and
// returns an error of class Error.
func Start(opts Options) (*Server, error) {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	if opts.Limits == nil {
		opts.Limits = func() (catalog.Limits, bool) { return catalog.Limits{}, false }
	}

	s := &Server{opts: opts, connections: newConnections(opts), failures: make(chan error, 3)}

	s.Tick()

	// The time limits are those of connections: net/http would hold an open connection to the limits that it began with.
	s.callers = &http.Server{Handler: opts.Handler, MaxHeaderBytes: maxHeaderBytes, ConnState: onState}

	var err error

	if s.callersAddress, err = s.listen(s.callers, opts.CallerAddress); err != nil {
		return nil, err
	}

	ready := &http.Server{Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: internalHeaderTimeout}
	s.internalServers = append(s.internalServers, ready)

	if s.readyAddress, err = s.listen(ready, opts.ReadyAddress); err != nil {
		s.close()

		return nil, err
	}

	if opts.MetricsAddress == "" {
		return s, nil
	}

	metrics := &http.Server{Handler: opts.MetricsHandler, ReadHeaderTimeout: internalHeaderTimeout}
	s.internalServers = append(s.internalServers, metrics)

	if _, err := s.listen(metrics, opts.MetricsAddress); err != nil {
		s.close()

		return nil, err
	}

	return s, nil
}

// listen serves server at address in the background. It returns the address with the actual port, which the system
// chooses for port 0.
func (s *Server) listen(server *http.Server, address string) (string, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return "", Error.Wrap(err)
	}

	if tcp, ok := l.(*net.TCPListener); ok && server == s.callers {
		l = listener{tcp, s.connections}
	}

	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.failures <- Error.Wrap(err)
		}
	}()

	return l.Addr().String(), nil
}

// Addresses returns the addresses for callers and for readiness checks, with their actual ports.
func (s *Server) Addresses() (callers, ready string) { return s.callersAddress, s.readyAddress }

// Failed returns a channel that receives the error of each server that has ended without Stop.
func (s *Server) Failed() <-chan error { return s.failures }

// Stats returns counts of the connections of callers.
func (s *Server) Stats() Stats { return s.connections.stats() }

// Tick puts the limits of the configuration in force, also for open connections, each of which keeps the largest limit that
// was in force while it waited. Call it several times a second.
func (s *Server) Tick() { s.connections.refresh() }

// Closing reports whether Stop was called. Callers should then be asked to use other connections.
func (s *Server) Closing() bool { return s.stopping.Load() }

// serveReady answers a readiness check of the load balancer: 200 if the host is ready and not stopping, else 503.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.opts.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	w.WriteHeader(http.StatusOK)
}

// Stop makes the host not ready, serves callers until the load balancer has noticed that, but not for more than half of
// bound, then waits for the requests in progress and closes all servers. It takes at most bound. If requests are still
// in progress near its end, it cuts them and returns an error.
func (s *Server) Stop(bound time.Duration) error {
	s.stopping.Store(true)

	deadline := s.opts.Clock.Now().Add(bound - stopMargin)
	s.opts.Clock.Sleep(min(notReadyNotice, bound/2))

	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(s.opts.Clock.Now()))
	defer cancel()

	err := s.callers.Shutdown(ctx)
	s.close()

	return Error.Wrap(err)
}

// close closes all servers and their connections at once.
func (s *Server) close() {
	for _, server := range append(s.internalServers, s.callers) {
		if err := server.Close(); err != nil {
			s.opts.Log.Debug().Err(err).Msg("closing an HTTP server")
		}
	}
}

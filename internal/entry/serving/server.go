// Package serving runs the HTTP servers of an entry host of package platform/host: for callers, for the readiness checks
// of the load balancer, and for metrics. It stops them gracefully, so that no request is lost. An HTTPServer does the same
// for one listener of package entry/host.
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
	"github.com/dotterelflow/dotterelflow/internal/control/intake"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Error is the class of this package's errors.
var Error = errs.Class("serving")

const (
	// notReadyNotice is how long a stopping host still accepts connections after it has become not ready. The load
	// balancer checks readiness each second and stops sending callers after two failed checks.
	notReadyNotice = 2500 * time.Millisecond
	// stopNotice is how long after the begin of Stop a request is served whatever its time limit is, since callers may not
	// have noticed yet that the host stops.
	stopNotice = 3 * time.Second
	// stopMargin is the time before the bound of Stop at which the requests still in progress are cut.
	stopMargin = 250 * time.Millisecond
	// answerMargin is the time before that at which these requests are ended, so that the answers that say so reach their callers.
	answerMargin = 250 * time.Millisecond
	// stopPollInterval is the time between two looks of a stopping host for open connections.
	stopPollInterval = 10 * time.Millisecond

	// internalHeaderTimeout bounds the time for the head of a request for readiness or metrics.
	internalHeaderTimeout = 3 * time.Second
	// internalIdleTimeout is many times the second between two readiness checks.
	internalIdleTimeout = time.Minute
	// internalTimeout bounds the time from the head of such a request to the end of its answer.
	internalTimeout = 10 * time.Second
	// internalConnections bounds the connections of each listener for readiness or metrics; a load balancer and a few readers of metrics
	// need one each.
	internalConnections = 48
	// internalHeaderBytes bounds the head of a request there, to which net/http adds 4 KiB.
	internalHeaderBytes = 8 << 10
	// maxHeaderBytes bounds the head of a request, whatever the configuration says.
	maxHeaderBytes = 128 << 10
)

// Options configure a Server. All fields but Clock, Log, Limits, MetricsAddress, MetricsHandler, MaxConnections and Room are required.
// Addresses are ip:port.
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
	Limits         func() (catalog.Limits, bool)
	MaxConnections int          // limit on open connections of callers; zero means none
	Room           *intake.Room // memory for the heads of callers' requests; nil means no bound on their sum
}

// Server runs the HTTP servers of one entry host. Start makes it.
type Server struct {
	opts            Options
	connections     *connections // of callers
	callers         *http.Server
	internalServers []*http.Server // for readiness and metrics
	callersListener net.Listener
	callersDone     chan struct{} // closed when no more connections of callers are accepted
	callersAddress  string
	readyAddress    string
	stopping        atomic.Bool               // Stop was called
	times           atomic.Pointer[stopTimes] // nil before Stop was called
	failures        chan error                // has room for one error of each server
	requests        context.Context           // parent of the contexts of callers' requests
	endRequests     context.CancelCauseFunc   // ends them
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

	s := &Server{opts: opts, connections: newConnections(opts), callersDone: make(chan struct{}), failures: make(chan error, 3)}
	s.requests, s.endRequests = context.WithCancelCause(context.Background())

	s.Tick()

	// The time limits are those of connections: net/http would hold an open connection to the limits that it began with.
	s.callers = &http.Server{
		Handler: opts.Handler, MaxHeaderBytes: maxHeaderBytes, ConnState: onState, BaseContext: func(net.Listener) context.Context { return s.requests },
	}

	if err := s.listenForCallers(); err != nil {
		return nil, err
	}

	ready := newInternalServer(http.HandlerFunc(s.serveReady))
	s.internalServers = append(s.internalServers, ready)

	var err error

	if s.readyAddress, err = s.listen(ready, opts.ReadyAddress); err != nil {
		s.close()

		return nil, err
	}

	if opts.MetricsAddress == "" {
		return s, nil
	}

	metrics := newInternalServer(opts.MetricsHandler)
	s.internalServers = append(s.internalServers, metrics)

	if _, err := s.listen(metrics, opts.MetricsAddress); err != nil {
		s.close()

		return nil, err
	}

	return s, nil
}

// newInternalServer returns a server of requests for readiness or metrics, which have no body of interest.
func newInternalServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 {
				w.Header().Set("Connection", "close") // without this field, net/http would wait for the body
			}

			handler.ServeHTTP(w, r)
		}),
		MaxHeaderBytes: internalHeaderBytes, WriteTimeout: internalTimeout, ConnState: onState,
	}
}

// listen serves server at address in the background. It returns the address with the actual port, which the system
// chooses for port 0.
func (s *Server) listen(server *http.Server, address string) (string, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return "", Error.Wrap(err)
	}

	limits := catalog.Limits{HeaderTimeout: internalHeaderTimeout, IdleTimeout: internalIdleTimeout}
	connections := newConnections(Options{
		Clock: s.opts.Clock, Log: s.opts.Log, Limits: func() (catalog.Limits, bool) { return limits, true }, MaxConnections: internalConnections,
	})
	connections.limits = limits // they never change, so there is no change to log
	connections.refresh()

	go s.serve(server, listener{l.(*net.TCPListener), connections})

	return l.Addr().String(), nil
}

// listenForCallers does the same for callers. Their connections are those of s.connections.
func (s *Server) listenForCallers() error {
	l, err := net.Listen("tcp4", s.opts.CallerAddress)
	if err != nil {
		return Error.Wrap(err)
	}

	s.callersAddress, s.callersListener = l.Addr().String(), l

	go func() {
		defer close(s.callersDone)

		s.serve(s.callers, listener{l.(*net.TCPListener), s.connections})
	}()

	return nil
}

// serve serves server at l until one of them is closed.
func (s *Server) serve(server *http.Server, l net.Listener) {
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) && s.stopping.Load() {
		return
	}

	s.failures <- Error.Wrap(err)
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

// errStopped is the cause with which the contexts of requests end that outlast a stop.
var errStopped = verdict.New(verdict.MayHaveRun, verdict.CodeStopping, "the host stops").WithCause(context.Canceled)

// stopTimes are the times at which a request is late for a host that stops, and at which requests are ended.
type stopTimes struct{ lateFrom, endAt time.Time }

// TimeLeft returns how long a request that has arrived now can be served, and false if it is served whatever its time
// limit is.
func (s *Server) TimeLeft() (time.Duration, bool) {
	now, times := s.opts.Clock.Now(), s.times.Load()
	if times == nil || now.Before(times.lateFrom) {
		return 0, false
	}

	return times.endAt.Sub(now), true
}

// serveReady answers a readiness check of the load balancer: 200 if the host is ready and not stopping, else 503.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.opts.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	w.WriteHeader(http.StatusOK)
}

// Stop makes the host not ready, serves callers until the load balancer has noticed that, but not for more than half of
// bound, then waits for the requests that have begun to arrive and closes all servers. It takes at most bound. The contexts of requests
// that are still in progress near its end are cancelled, with an error of code stopping as their cause, so that their handlers can answer.
// Stop cuts those that do not end then, and returns an error.
func (s *Server) Stop(bound time.Duration) error {
	now := s.opts.Clock.Now()
	deadline := now.Add(bound - stopMargin)
	endAt := deadline.Add(-answerMargin)
	s.times.Store(&stopTimes{lateFrom: now.Add(stopNotice), endAt: endAt})
	s.stopping.Store(true)

	s.opts.Clock.Sleep(min(notReadyNotice, bound/2))

	// http.Server.Shutdown would close connections whose next request is arriving, and drop requests that arrive later.
	if err := s.callersListener.Close(); err != nil {
		s.opts.Log.Debug().Err(err).Msg("closing the listener for callers")
	}

	<-s.callersDone
	s.connections.stop()

	s.waitForCallers(endAt)
	s.endRequests(errStopped)
	s.waitForCallers(deadline)

	cut := s.connections.requests()
	s.close()

	if cut > 0 {
		return Error.New("%d requests were cut", cut)
	}

	return nil
}

// waitForCallers waits until no caller has an open connection, but not beyond deadline.
func (s *Server) waitForCallers(deadline time.Time) {
	for s.connections.stats().Open > 0 && s.opts.Clock.Now().Before(deadline) {
		s.opts.Clock.Sleep(stopPollInterval)
	}
}

// close closes all servers and their connections at once.
func (s *Server) close() {
	for _, server := range append(s.internalServers, s.callers) {
		if err := server.Close(); err != nil {
			s.opts.Log.Debug().Err(err).Msg("closing an HTTP server")
		}
	}
}

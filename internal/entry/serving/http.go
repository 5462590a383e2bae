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

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
)

// HTTPOptions configure an HTTPServer. Listener and Handler are required.
type HTTPOptions struct {
	Clock         clockwork.Clock // nil means the real clock
	Log           *log.Logger     // nil means the default logger
	Listener      *net.TCPListener
	Handler       http.Handler
	HeaderTimeout time.Duration // time for the head of a request, from its first byte; zero means no limit
	IdleTimeout   time.Duration // time for the first byte of the next request; zero means no limit
}

// HTTPServer serves HTTP on one listener. Unlike http.Server, it answers the requests that have begun to arrive before it
// stops.
type HTTPServer struct {
	opts        HTTPOptions
	connections *connections
	server      *http.Server
	stopping    atomic.Bool
	done        chan struct{}           // closed when Serve has ended
	endRequests context.CancelCauseFunc // ends the contexts of requests
}

// NewHTTPServer returns an HTTPServer that Serve starts.
func NewHTTPServer(opts HTTPOptions) *HTTPServer {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	limits := catalog.Limits{HeaderTimeout: opts.HeaderTimeout, IdleTimeout: opts.IdleTimeout}

	s := &HTTPServer{opts: opts, done: make(chan struct{}), connections: newConnections(Options{
		Clock: opts.Clock, Log: opts.Log, Limits: func() (catalog.Limits, bool) { return limits, true },
	})}

	s.connections.limits = limits // they never change, so there is no change to log
	s.connections.refresh()

	requests, endRequests := context.WithCancelCause(context.Background())
	s.endRequests = endRequests
	s.server = &http.Server{
		Handler: http.HandlerFunc(s.handle), ConnState: onState, BaseContext: func(net.Listener) context.Context { return requests },
	}

	return s
}

// handle asks callers to use other connections once the server stops.
func (s *HTTPServer) handle(w http.ResponseWriter, r *http.Request) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}

	s.opts.Handler.ServeHTTP(w, r)
}

// Serve accepts connections until Stop is called. It is called once, and returns nil after Stop.
func (s *HTTPServer) Serve() error {
	defer close(s.done)

	err := s.server.Serve(listener{s.opts.Listener, s.connections})
	if s.stopping.Load() && (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) {
		return nil
	}

	return Error.Wrap(err)
}

// Stop closes the listener, serves the requests that have arrived or begun to arrive, and closes each connection after its
// last one. Shortly before the deadline of ctx, if it has one, it ends the contexts of the requests in progress, with an error of code
// stopping as their cause. If ctx ends before all have ended, it cuts the others and returns an error. Serve must have been called.
func (s *HTTPServer) Stop(ctx context.Context) error {
	s.stopping.Store(true)

	if err := s.opts.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.opts.Log.Debug().Err(err).Msg("closing a listener")
	}

	<-s.done
	s.connections.stop()

	if deadline, ok := ctx.Deadline(); ok {
		ending := time.AfterFunc(time.Until(deadline)-answerMargin, func() { s.endRequests(errStopped) })
		defer ending.Stop()
	}

	for s.connections.stats().Open > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.opts.Clock.After(stopPollInterval):
		}
	}

	cut := s.connections.requests()

	if err := s.server.Close(); err != nil {
		s.opts.Log.Debug().Err(err).Msg("closing an HTTP server")
	}

	if cut > 0 {
		return Error.New("%d requests were cut", cut)
	}

	return nil
}

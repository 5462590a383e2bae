// Package serving runs the HTTP listeners of an entry host: it opens them, answers whether the host is
// ready, and closes them so that no request is lost.
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
)

// Error is the class of this package's errors.
var Error = errs.Class("serving")

const (
	// notReadyNotice is how long a stopping host still takes new connections: the balancer asks each second and
	// looks away after two misses.
	notReadyNotice = 2500 * time.Millisecond
	// stopMargin is kept between the last answer and the end of the time for a stop.
	stopMargin = 250 * time.Millisecond

	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 32 << 10
)

// Options are the parts of a Server. Addresses are ip:port; Callers, Ready, Handler and IsReady are required.
type Options struct {
	Clock       clockwork.Clock // nil means the real clock
	Log         *log.Logger     // nil means the default logger
	Callers     string
	Ready       string
	Metrics     string // empty: metrics are not served
	Handler     http.Handler
	MetricsPage http.Handler
	IsReady     func() bool
}

// Server is a set of open listeners.
type Server struct {
	opts            Options
	callers         *http.Server
	internalServers []*http.Server
	callersAddress  string // of callers
	readyAddress    string
	stopping        atomic.Bool
	failures        chan error
}

// Start opens the listeners.
func Start(opts Options) (*Server, error) {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	s := &Server{opts: opts, failures: make(chan error, 3)}

	s.callers = &http.Server{
		Handler: opts.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}

	var err error

	if s.callersAddress, err = s.listen(s.callers, opts.Callers); err != nil {
		return nil, err
	}

	ready := &http.Server{Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: headerTimeout}
	s.internalServers = append(s.internalServers, ready)

	if s.readyAddress, err = s.listen(ready, opts.Ready); err != nil {
		s.close()

		return nil, err
	}

	if opts.Metrics == "" {
		return s, nil
	}

	page := &http.Server{Handler: opts.MetricsPage, ReadHeaderTimeout: headerTimeout}
	s.internalServers = append(s.internalServers, page)

	if _, err := s.listen(page, opts.Metrics); err != nil {
		s.close()

		return nil, err
	}

	return s, nil
}

// listen serves at address and returns it with the port that was taken where it states none.
func (s *Server) listen(server *http.Server, address string) (string, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return "", Error.Wrap(err)
	}

	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.failures <- Error.Wrap(err)
		}
	}()

	return l.Addr().String(), nil
}

// Addresses returns where callers connect and where readiness is asked.
func (s *Server) Addresses() (callers, ready string) { return s.callersAddress, s.readyAddress }

// Failed receives the error of a listener that ended by itself.
func (s *Server) Failed() <-chan error { return s.failures }

// Closing reports whether callers are asked to use other connections.
func (s *Server) Closing() bool { return s.stopping.Load() }

// serveReady tells the balancer whether to send callers here.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.opts.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	w.WriteHeader(http.StatusOK)
}

// Stop makes the host not ready, serves until the balancer has looked away, then lets requests end, within
// bound in all. It returns an error if requests were cut.
func (s *Server) Stop(bound time.Duration) error {
	s.stopping.Store(true)

	end := s.opts.Clock.Now().Add(bound - stopMargin)
	s.opts.Clock.Sleep(min(notReadyNotice, bound/2))

	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(s.opts.Clock.Now()))
	defer cancel()

	err := s.callers.Shutdown(ctx)
	s.close()

	return Error.Wrap(err)
}

// close ends all listeners at once.
func (s *Server) close() {
	for _, server := range append(s.internalServers, s.callers) {
		if err := server.Close(); err != nil {
			s.opts.Log.Debug().Err(err).Msg("closing a listener")
		}
	}
}

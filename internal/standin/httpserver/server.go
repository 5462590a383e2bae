package httpserver

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("fleet")

const readHeaderTimeout = 10 * time.Second

// Server is the running HTTP server of one stand-in.
type Server struct {
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// Serve runs handler in the background at address, an ip:port. Port 0 chooses a free one.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}

	s := &Server{
		listener: listener,
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
		done:     make(chan struct{}),
	}

	go func() {
		defer close(s.done)

		// If serving ends without Close, the closed listener makes clients see a lost target.
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = listener.Close()
		}
	}()

	return s, nil
}

// Address returns the ip:port that s listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close closes the listener and all connections and waits until s has stopped.
func (s *Server) Close() error {
	err := s.server.Close()
	<-s.done

	return Error.Wrap(err)
}

// Done returns a channel that is closed once s has stopped.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

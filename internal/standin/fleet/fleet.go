package fleet

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

// Server is one stand-in on a listener.
type Server struct {
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// Serve runs handler at address, an ip:port whose port may be 0.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}

	s := &Server{
		listener: listener,
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
		done:     make(chan struct{}),
	}

	go func() {
		defer close(s.done)

		// A stand-in ends by Close; any other end shows to its clients as a lost target.
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = listener.Close()
		}
	}()

	return s, nil
}

// Address returns the ip:port that the stand-in listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close cuts all connections and ends the stand-in.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.done

	return Error.Wrap(err)
}

// Done is closed once the stand-in has ended.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

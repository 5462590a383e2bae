package host

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"github.com/dotterelflow/dotterelflow/internal/entry/serving"
	meters "github.com/dotterelflow/dotterelflow/internal/measure/metrics"
)

// listeners holds the sockets of a host and their servers.
type listeners struct {
	callerSocket   *net.TCPListener
	operatorSocket *net.TCPListener
	peerSocket     *net.TCPListener
	metricsSocket  *net.TCPListener // nil if metrics are not served

	callers  *serving.HTTPServer
	operator *serving.HTTPServer
	metrics  *http.Server
	peers    *grpc.Server
}

// listen opens the sockets. It runs before the components are built, as they need the addresses.
func (h *Host) listen() error {
	for _, s := range []struct {
		address string
		socket  **net.TCPListener
	}{
		{h.opts.CallerAddress, &h.callerSocket},
		{h.opts.OperatorAddress, &h.operatorSocket},
		{h.opts.PeerAddress, &h.peerSocket},
		{h.opts.MetricsAddress, &h.metricsSocket},
	} {
		if s.address == "" && s.socket == &h.metricsSocket {
			continue
		}

		address, err := net.ResolveTCPAddr("tcp", s.address)
		if err != nil {
			return Error.Wrap(err)
		}

		if *s.socket, err = net.ListenTCP("tcp", address); err != nil {
			return Error.Wrap(err)
		}
	}

	return nil
}

// closeSockets closes the sockets of a host that failed to start.
func (l *listeners) closeSockets() {
	for _, listener := range []*net.TCPListener{l.callerSocket, l.operatorSocket, l.peerSocket, l.metricsSocket} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// newHTTPServer returns a server of callers or operators.
func (h *Host) newHTTPServer(socket *net.TCPListener, handler http.Handler) *serving.HTTPServer {
	return serving.NewHTTPServer(serving.HTTPOptions{
		Clock: h.opts.Clock, Log: h.opts.Log, Listener: socket, Handler: handler,
		HeaderTimeout: h.opts.HeaderTimeout, IdleTimeout: h.opts.IdleTimeout,
	})
}

// serve accepts connections on all sockets in the background. A server that ends with an error is logged.
func (h *Host) serve() {
	h.metrics = &http.Server{Handler: meters.Handler(h.registry), ReadHeaderTimeout: h.opts.HeaderTimeout, IdleTimeout: h.opts.IdleTimeout}

	servers := map[string]func() error{
		"caller":   h.callers.Serve,
		"operator": h.operator.Serve,
		"peer":     func() error { return h.peers.Serve(h.peerSocket) },
	}

	if h.metricsSocket != nil {
		servers["metrics"] = func() error { return h.metrics.Serve(h.metricsSocket) }
	}

	for name, serve := range servers {
		go func() {
			if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				h.opts.Log.Error().Str("listener", name).Err(err).Msg("listener ended")
			}
		}()
	}
}

// shutdown stops accepting connections and waits until the open requests have ended or ctx ends.
func (l *listeners) shutdown(ctx context.Context) error {
	var group errs.Group

	group.Add(l.callers.Stop(ctx))
	group.Add(l.operator.Stop(ctx))
	group.Add(l.metrics.Shutdown(ctx))
	l.shutdownPeers(ctx)

	return group.Err()
}

// shutdownPeers stops the peer server. It waits for the open calls of peers until ctx ends, and then cancels them.
func (l *listeners) shutdownPeers(ctx context.Context) {
	stopped := make(chan struct{})

	go func() {
		defer close(stopped)

		l.peers.GracefulStop()
	}()

	select {
	case <-stopped:
	case <-ctx.Done():
		l.peers.Stop()
		<-stopped
	}
}

// CallerAddress returns the ip:port on which callers are served.
func (h *Host) CallerAddress() string {
	return h.callerSocket.Addr().String()
}

// PeerAddress returns the ip:port on which peers are served.
func (h *Host) PeerAddress() string {
	return h.peerSocket.Addr().String()
}

// OperatorAddress returns the ip:port on which operators are served.
func (h *Host) OperatorAddress() string {
	return h.operatorSocket.Addr().String()
}

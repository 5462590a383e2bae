package serving

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// Stats counts connections of callers.
type Stats struct {
	Open          int64 // connections at present
	ClosedIdle    int64 // connections that this host has closed because no request arrived in time
	ClosedReading int64 // connections that this host has closed because the head of a request did not arrive in time
}

// connections are the open connections of callers.
type connections struct {
	clock         clockwork.Clock
	log           *log.Logger
	closedIdle    atomic.Int64
	closedReading atomic.Int64

	mu   sync.Mutex
	open map[*connection]struct{}
}

func newConnections(opts Options) *connections {
	return &connections{clock: opts.Clock, log: opts.Log, open: map[*connection]struct{}{}}
}

func (s *connections) stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()

	return Stats{Open: int64(len(s.open)), ClosedIdle: s.closedIdle.Load(), ClosedReading: s.closedReading.Load()}
}

// listener accepts connections of callers.
type listener struct {
	*net.TCPListener
	connections *connections
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	tcp, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}

	c := &connection{TCPConn: tcp, connections: l.connections, since: l.connections.clock.Now()}

	l.connections.mu.Lock()
	defer l.connections.mu.Unlock()

	l.connections.open[c] = struct{}{}

	return c, nil
}

// phase is what a connection is doing.
type phase uint8

const (
	idle    phase = iota // no byte of the next request has arrived
	reading              // the head of a request is arriving
	serving              // a request with a complete head is being served
)

// connection is a connection of a caller. It keeps *net.TCPConn, of which net/http uses more than the methods of net.Conn.
type connection struct {
	*net.TCPConn
	connections *connections

	mu    sync.Mutex
	phase phase
	since time.Time // start of the phase
}

// onState records the state of a connection. It is the ConnState function of the server for callers.
func onState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*connection)
	if !ok {
		return
	}

	switch state {
	case http.StateActive:
		c.enter(serving)
	case http.StateIdle:
		c.enter(idle)
	}
}

func (c *connection) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.phase, c.since = p, c.connections.clock.Now()
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)

	switch {
	case n > 0:
		c.arrived()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.expired()
	}

	return n, err
}

// arrived records that bytes have arrived.
func (c *connection) arrived() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.phase == idle {
		c.phase, c.since = reading, c.connections.clock.Now()
	}
}

// expired records that the time for the next bytes is over, after which net/http closes the connection unless it serves
// a request.
func (c *connection) expired() {
	c.mu.Lock()
	phase, since := c.phase, c.since
	c.mu.Unlock()

	s := c.connections

	switch phase {
	case serving:
		return
	case idle:
		s.closedIdle.Add(1)
	case reading:
		s.closedReading.Add(1)
	}

	s.log.Debug().Stringer("caller", c.RemoteAddr()).Bool("idle", phase == idle).Dur("after", s.clock.Since(since)).
		Msg("connection closed because no bytes arrived in time")
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.connections.mu.Lock()
	delete(c.connections.open, c)
	c.connections.mu.Unlock()

	return c.TCPConn.Close()
}

package serving

import (
	"bytes"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/intake"
)

const (
	// lastLookTime bounds the last call of Read before a connection closes itself.
	lastLookTime = 50 * time.Millisecond
	// firstRequestTime and nextRequestTime are how long a connection waits for its first and its next request once the
	// server stops. Callers send the first one as soon as they know that the connection is established.
	firstRequestTime = time.Second
	nextRequestTime  = 250 * time.Millisecond
	// crowdDivisor sets how many connections may be open beyond the limit while those that give way are closing.
	crowdDivisor = 8

	// A parsed head takes headByteCost for each of its bytes, as its fields are copied once, and fieldCost for each line, in bytes.
	headByteCost = 2
	fieldCost    = 300
	// freeHeadBytes is the memory of a head that is not taken from the room; the limit on connections bounds it.
	freeHeadBytes = 16 << 10
)

// Stats counts connections of callers.
type Stats struct {
	Open          int64 // connections at present
	ClosedIdle    int64 // connections that this host has closed because no request arrived in time
	ClosedReading int64 // connections that this host has closed because the head of a request did not arrive in time
	ClosedCrowded int64 // connections that this host has closed because too many were open, or no memory was left for the head of a request
}

// connections are the open connections of callers.
type connections struct {
	clock         clockwork.Clock
	log           *log.Logger
	configured    func() (catalog.Limits, bool)
	history       *limitHistory
	closedIdle    atomic.Int64
	closedReading atomic.Int64
	closedCrowded atomic.Int64
	room          *intake.Room // memory for heads; nil means no bound on their sum
	most          int          // limit on open connections; zero means none

	stopping atomic.Bool // stop was called

	mu     sync.Mutex
	open   map[*connection]struct{}
	limits catalog.Limits // last known limits of the configuration
}

func newConnections(opts Options) *connections {
	return &connections{
		clock: opts.Clock, log: opts.Log, configured: opts.Limits, history: newLimitHistory(opts.Clock.Now()),
		open: map[*connection]struct{}{}, room: opts.Room, most: opts.MaxConnections,
	}
}

// refresh puts the limits of the configuration in force, also for the connections that are open.
func (s *connections) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()

	limits, known := s.configured()
	if !known {
		return
	}

	s.history.record(s.clock.Now(), timeLimitsOf(limits))

	if limits != s.limits {
		s.limits = limits
		s.log.Info().Int("header-bytes", limits.HeaderBytes).Int64("body-bytes", limits.BodyBytes).
			Dur("header-timeout", limits.HeaderTimeout).Dur("idle-timeout", limits.IdleTimeout).Msg("limits of callers changed")
	}
}

func (s *connections) stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()

	return Stats{Open: int64(len(s.open)), ClosedIdle: s.closedIdle.Load(), ClosedReading: s.closedReading.Load(), ClosedCrowded: s.closedCrowded.Load()}
}

// stop lets each connection that waits for a request wait no longer than firstRequestTime or nextRequestTime. Requests that
// have arrived are served.
func (s *connections) stop() {
	s.stopping.Store(true)

	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()

	for _, c := range open {
		c.mu.Lock()
		if c.phase != serving { // the deadline of a request that is served is net/http's or the handler's
			c.setDeadline()
		}
		c.mu.Unlock()
	}
}

// requests returns the number of requests that are arriving or being served. Those that wait only for their caller to read the answer
// do not count.
func (s *connections) requests() int {
	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()

	n := 0

	for _, c := range open {
		c.mu.Lock()
		if c.phase != idle && !c.answered {
			n++
		}
		c.mu.Unlock()
	}

	return n
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

	for !l.connections.admit() {
		if err := tcp.Close(); err != nil {
			l.connections.log.Debug().Err(err).Msg("closing a connection beyond the limit")
		}

		if tcp, err = l.AcceptTCP(); err != nil {
			return nil, err
		}
	}

	l.connections.refresh()

	c := &connection{TCPConn: tcp, connections: l.connections}

	l.connections.mu.Lock()
	l.connections.open[c] = struct{}{}
	l.connections.mu.Unlock()

	c.enter(idle)

	return c, nil
}

// admit reports whether one more connection may be open. If there are as many as allowed, one that waits for its caller gives way: first
// those without a request so far, then those between two requests, then those in the middle of a head, then those in a body that has
// stalled.
func (s *connections) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.most == 0 || len(s.open) < s.most {
		return true
	}

	var victim *connection

	now, victimClass, victimSince := s.clock.Now(), 0, time.Time{}

	for c := range s.open {
		class, since := c.waiting()
		if class == 0 || victim != nil && (class > victimClass || class == victimClass && !since.Before(victimSince)) {
			continue
		}

		victim, victimClass, victimSince = c, class, since
	}

	if victim != nil {
		victim.giveWay()
	} else {
		s.room.EvictStalled(now)
	}

	s.closedCrowded.Add(1)

	return len(s.open) < s.most+s.most/crowdDivisor
}

// phase is what a connection is doing.
type phase uint8

const (
	idle    phase = iota // no byte of the next request has arrived
	reading              // the head of a request is arriving
	serving              // a request with a complete head is being served
)

// connection is a connection of a caller. It closes itself, by an error of Read, when it has waited for bytes for longer than the
// largest limit that was in force since the start of its phase. It keeps *net.TCPConn, of which net/http uses more than the methods
// of net.Conn.
type connection struct {
	*net.TCPConn
	connections *connections

	mu    sync.Mutex
	phase phase
	since time.Time // start of the phase
	// limitsSince is the time from which on limits count for the phase. For an idle connection, it is the start of its last
	// request, since the caller has the answer before the connection is idle here.
	limitsSince time.Time
	used        bool // a request has arrived
	answered    bool // the last answer has been written, and the connection stays open only until the caller has read it
	lastLook    bool // the limit has passed, and Read looks for bytes that have arrived meanwhile
	crowded     bool // the connection gives way to others once no bytes are there

	head *intake.Claim // memory for the head; nil while it needs none. Only the goroutine that reads heads changes it.

	// The fields below belong to that goroutine.
	headTaken int64 // bytes of that memory
	headBytes int64
	headLines int64
}

// waiting returns how soon the connection gives way to another one, 1 for the first, and since when it waits for its caller. It returns 0 if
// it does not wait, or gives way already.
func (c *connection) waiting() (class int, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	switch {
	case c.crowded || c.phase == serving:
		return 0, time.Time{}
	case c.phase == reading:
		return 3, c.since
	case c.used:
		return 2, c.since
	}

	return 1, c.since
}

// giveWay closes the connection unless a head has arrived whole, or bytes arrive that complete it.
func (c *connection) giveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.phase == serving {
		return
	}

	c.crowded = true
	c.setDeadline()
}

// takeHead takes the memory for a part p of a head, and reports whether it fits.
func (c *connection) takeHead(p []byte) bool {
	if end := bytes.Index(p, []byte("\n\r\n")); end >= 0 {
		p = p[:end+1] // what follows is not of the head
	}

	c.headBytes += int64(len(p))
	c.headLines += int64(bytes.Count(p, []byte("\n")))

	cost := headByteCost*c.headBytes + fieldCost*c.headLines - freeHeadBytes
	if cost <= c.headTaken {
		return true
	}

	now := time.Now()

	if c.head == nil {
		caller, _, _ := net.SplitHostPort(c.RemoteAddr().String()) // the address of a TCP connection has a port
		c.setHead(c.connections.room.Enter(now, caller, c.giveWay))
	}

	c.head.Received(now, len(p))

	if !c.head.Take(now, cost-c.headTaken) {
		c.connections.closedCrowded.Add(1)

		return false
	}

	c.headTaken = cost

	return true
}

// leaveHead gives the memory for the head back.
func (c *connection) leaveHead() {
	c.head.Leave()
	c.setHead(nil)
	c.headTaken, c.headBytes, c.headLines = 0, 0, 0
}

func (c *connection) setHead(head *intake.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.head = head
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
	if p == serving {
		c.connections.refresh() // the limits that are in force for the wait that follows
		c.head.Arrived()
	} else {
		c.leaveHead()
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	now := c.connections.clock.Now()

	c.limitsSince = now
	if p == idle && c.used {
		c.limitsSince = c.since
	}

	c.phase, c.since = p, now
	if p == serving {
		// A request that arrived in time is served like any other, and so is the next one, as its caller is not told to use another connection.
		c.used, c.crowded = true, false
	}

	c.setDeadline()
}

// setDeadline sets the deadline of Read for the present phase. c.mu is held.
func (c *connection) setDeadline() {
	c.lastLook = false

	if wait := c.remaining(); wait == noLimit {
		c.setReadDeadline(time.Time{})
	} else {
		c.setReadDeadline(time.Now().Add(wait))
	}
}

func (c *connection) setReadDeadline(t time.Time) {
	if err := c.TCPConn.SetReadDeadline(t); err != nil {
		c.connections.log.Debug().Err(err).Msg("setting the read deadline of a caller's connection")
	}
}

// remaining returns how long the connection may still wait for bytes in its phase. c.mu is held.
func (c *connection) remaining() time.Duration {
	if c.phase == serving {
		return noLimit
	}

	if c.crowded {
		return 0
	}

	limits := c.connections.history.largestSince(c.limitsSince)

	limit := limits.idle

	switch {
	case c.phase == reading:
		limit = limits.header
	case c.connections.stopping.Load() && c.used:
		limit = min(limit, nextRequestTime)
	case c.connections.stopping.Load():
		limit = min(limit, firstRequestTime)
	}

	if limit == noLimit {
		return noLimit
	}

	return limit - c.connections.clock.Since(c.since)
}

// SetReadDeadline implements net.Conn. It has no effect while the connection waits for a request, since its limits hold then.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.phase != serving {
		return nil
	}

	return c.TCPConn.SetReadDeadline(t)
}

// Read implements net.Conn. Bytes that have arrived are always returned, so that no request is read and then dropped.
func (c *connection) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 && c.arrived() && !c.takeHead(p[:n]) {
			return 0, os.ErrDeadlineExceeded // an error for which net/http closes the connection without an answer
		}

		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.mayReadOn() {
			return n, err
		}
	}
}

// arrived records that bytes have arrived, and reports whether they are of a head.
func (c *connection) arrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	switch c.phase {
	case idle:
		now := c.connections.clock.Now()
		c.phase, c.since, c.limitsSince = reading, now, now
		c.setDeadline()
	case reading:
		// Bytes do not lengthen the last look, or a caller that sends one now and then would never meet the limit.
		if !c.lastLook || c.remaining() > 0 {
			c.setDeadline()
		}
	}

	return c.phase == reading
}

// mayReadOn reports, after a deadline of Read has passed, whether Read may be called again. The limit may have been raised
// meanwhile. Once it has passed, Read is called a last time, since it returns no bytes after its deadline.
func (c *connection) mayReadOn() bool {
	c.connections.refresh()

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.phase == serving {
		return false
	}

	if c.remaining() > 0 {
		c.setDeadline()

		return true
	}

	if !c.lastLook {
		c.lastLook = true
		c.setReadDeadline(time.Now().Add(lastLookTime))

		return true
	}

	c.countClose()

	return false
}

// countClose counts and logs that the limit of the present phase has passed. c.mu is held.
func (c *connection) countClose() {
	s := c.connections

	if c.crowded {
		return
	}

	if c.phase == idle {
		s.closedIdle.Add(1)
	} else {
		s.closedReading.Add(1)
	}

	s.log.Debug().Stringer("caller", c.RemoteAddr()).Bool("idle", c.phase == idle).Dur("after", s.clock.Since(c.since)).
		Msg("connection closed because no bytes arrived in time")
}

// CloseWrite is called by net/http after the last answer of a connection whose caller may still be sending.
func (c *connection) CloseWrite() error {
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()

	return c.TCPConn.CloseWrite()
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.connections.mu.Lock()
	delete(c.connections.open, c)
	c.connections.mu.Unlock()

	c.mu.Lock()
	head := c.head
	c.mu.Unlock()

	head.Leave()

	return c.TCPConn.Close()
}

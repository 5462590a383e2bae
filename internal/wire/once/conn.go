package once

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// maxCarried bounds the request ids that a connection carries.
	maxCarried = 256
	// writeEndTimeout bounds the time in which a write that was under way at the end of an answer returns, if it does.
	writeEndTimeout = 100 * time.Millisecond
)

// idSeed is the seed of the hashes of request ids.
var idSeed = maphash.MakeSeed()

// conn is a connection that counts its writes and can be sealed, after which writes fail. Once a conn is
// sealed, a request of which nothing was sent stays unsent, although http.Transport may still try to write it.
type conn struct {
	net.Conn

	mu         sync.Mutex
	writeCount uint64        // writes begun
	writing    int           // writes under way
	written    chan struct{} // closed once no write is under way; nil while there is none
	failed     bool          // a write has failed other than by the end of c at this side
	sealed     bool
	abandoned  bool     // abandon was called
	carried    []uint64 // hashes of the ids of its requests
}

// sealableDial returns a dial function that wraps the connections of dial in conns, which it counts.
func sealableDial(
	dial func(context.Context, string, string) (net.Conn, error), counts *Counts,
) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}

		counts.Opened.Add(1)

		return &conn{Conn: c}, nil
	}
}

// Write counts the write before it starts, so that seal also sees a write in progress.
func (c *conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}

	n, err := c.Conn.Write(p)
	c.endWrite(err)

	return n, err
}

// beginWrite counts a write and reports whether c accepts it; a sealed c accepts none and counts none.
func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.sealed {
		return false
	}

	c.writeCount++

	if c.writing++; c.writing == 1 {
		c.written = make(chan struct{})
	}

	return true
}

// endWrite records the result of a write.
func (c *conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	// http.Transport closes c as soon as the answer has ended. A report of the system is another error.
	c.failed = c.failed || err != nil && !errors.Is(err, net.ErrClosed)

	if c.writing--; c.writing == 0 {
		close(c.written)
		c.written = nil
	}
}

// endedByClose reports whether the other end has closed its side, after a read has returned the end of the stream. The system reports a reset
// to a single call, whichever comes first, and to later ones as the end. So a read was told the truth if no write can have got the report: none
// has failed, and one that is under way ends soon without an error.
func (c *conn) endedByClose() bool {
	c.mu.Lock()
	written := c.written
	c.mu.Unlock()

	if written != nil {
		timer := time.NewTimer(writeEndTimeout)
		defer timer.Stop()

		select {
		case <-written:
		case <-timer.C:
			return false
		}
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	return !c.failed
}

// writes returns the number of writes begun.
func (c *conn) writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.writeCount
}

// carry records that c is to carry the request id. It reports false if c has carried that id before, or maxCarried others.
func (c *conn) carry(id string) bool {
	hash := maphash.String(idSeed, id)

	c.mu.Lock()
	defer c.mu.Unlock()

	if len(c.carried) >= maxCarried || slices.Contains(c.carried, hash) {
		return false
	}

	c.carried = append(c.carried, hash)

	return true
}

// Close closes c. What the other end's system has not acknowledged is discarded, as a request that was given up would otherwise still arrive
// after a partition.
func (c *conn) Close() error {
	resetUnlessDelivered(c.Conn)

	return c.Conn.Close()
}

// seal reports whether the number of writes begun still equals writesBefore. If so, it closes c, which then accepts no
// more writes.
func (c *conn) seal(writesBefore uint64) bool {
	c.mu.Lock()
	unwritten := c.writeCount == writesBefore
	c.sealed = c.sealed || unwritten
	c.mu.Unlock()

	if unwritten {
		_ = c.Close()
	}

	return unwritten
}

// abandon closes c, which then accepts no more writes.
func (c *conn) abandon() {
	c.mu.Lock()
	c.sealed, c.abandoned = true, true
	c.mu.Unlock()

	_ = c.Close()
}

// isAbandoned reports whether abandon was called.
func (c *conn) isAbandoned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.abandoned
}

package once

import (
	"context"
	"hash/maphash"
	"net"
	"slices"
	"sync"
)

// maxCarried bounds the request ids that a connection carries.
const maxCarried = 256

// idSeed is the seed of the hashes of request ids.
var idSeed = maphash.MakeSeed()

// conn is a connection that counts its writes and can be sealed, after which writes fail. Once a conn is
// sealed, a request of which nothing was sent stays unsent, although http.Transport may still try to write it.
type conn struct {
	net.Conn

	mu         sync.Mutex
	writeCount uint64 // writes begun
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

	return c.Conn.Write(p)
}

// beginWrite counts a write and reports whether c accepts it; a sealed c accepts none and counts none.
func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.sealed {
		return false
	}

	c.writeCount++

	return true
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

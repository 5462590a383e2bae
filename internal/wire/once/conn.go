package once

import (
	"context"
	"net"
	"sync"
)

// conn is a connection that counts its writes and can be sealed against further ones, so that
// "nothing was sent" stays true while http.Transport still holds the request.
type conn struct {
	net.Conn

	mu     sync.Mutex
	count  uint64 // writes begun
	sealed bool
}

func sealableDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return &conn{Conn: c}, nil
	}
}

// Write counts before it writes, so that a write under way is never taken for none.
func (c *conn) Write(p []byte) (int, error) {
	if !c.begin() {
		return 0, net.ErrClosed
	}

	return c.Conn.Write(p)
}

func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.sealed {
		return false
	}

	c.count++

	return true
}

func (c *conn) writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.count
}

// seal reports whether no write has begun since mark; if so, none can begin later and c is closed.
func (c *conn) seal(mark uint64) bool {
	c.mu.Lock()
	untouched := c.count == mark
	c.sealed = c.sealed || untouched
	c.mu.Unlock()

	if untouched {
		_ = c.Close()
	}

	return untouched
}

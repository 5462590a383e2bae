package serving

import (
	"net"
	"sync"
	"sync/atomic"
)

// BoundedListener bounds the open connections of another listener. One more lets the oldest that has sent nothing give way; if there is none, it
// is closed itself.
type BoundedListener struct {
	net.Listener
	most    int
	crowded atomic.Int64

	mu   sync.Mutex
	open int
	mute []*boundedConn // those that have sent nothing, the oldest first
}

// NewBoundedListener returns a BoundedListener for most connections of l.
func NewBoundedListener(l net.Listener, most int) *BoundedListener {
	return &BoundedListener{Listener: l, most: most}
}

// Crowded returns the number of connections that were closed because too many were open.
func (l *BoundedListener) Crowded() int64 { return l.crowded.Load() }

// Accept implements net.Listener.
func (l *BoundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}

		c := &boundedConn{Conn: conn, listener: l}
		victim := l.add(c)

		if victim == nil {
			return c, nil
		}

		l.crowded.Add(1)

		_ = victim.Close() // its caller has sent nothing, or waits for nothing yet

		if victim != c {
			return c, nil
		}
	}
}

// add adds c and returns the connection that is to be closed, nil if there is none.
func (l *BoundedListener) add(c *boundedConn) *boundedConn {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.open++
	l.mute = append(l.mute, c)

	if l.open <= l.most {
		return nil
	}

	return l.mute[0]
}

// boundedConn is a connection of a BoundedListener.
type boundedConn struct {
	net.Conn
	listener *BoundedListener
	heard    bool // only the goroutine that reads uses it
	closed   sync.Once
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.heard {
		c.heard = true
		c.listener.unmute(c)
	}

	return n, err
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.closed.Do(func() {
		c.listener.unmute(c)

		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()

		c.listener.open--
	})

	return c.Conn.Close()
}

// unmute removes c from those that have sent nothing.
func (l *BoundedListener) unmute(c *boundedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for i, other := range l.mute {
		if other == c {
			l.mute = append(l.mute[:i], l.mute[i+1:]...)

			return
		}
	}
}

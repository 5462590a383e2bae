package once

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// With probeIdle, probeInterval and probeCount, TCP keepalive detects an unreachable peer on an idle
	// connection within about 3 s.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout is TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged before the connection fails.
	userTimeout = 3 * time.Second
	// bufferedBytes is the length of a request that the other end acknowledges even if its program does not read.
	bufferedBytes = 32 << 10
)

// ProbingDial returns a dial function for connections that fail within seconds after the other end has become
// unreachable, whether they are idle or have unacknowledged bytes. While a request of more than bufferedBytes is in progress, a
// Transport allows its bytes to stay unacknowledged. timeout bounds the dial itself.
func ProbingDial(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, userTimeout) },
	}

	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}

		if tcp, ok := c.(*net.TCPConn); ok {
			return &probingConn{TCPConn: tcp}, nil
		}

		return c, nil
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT. Zero stands for the default of the system.
func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var setErr error

	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})

	return errors.Join(err, setErr)
}

// probingConn is a connection of ProbingDial.
type probingConn struct {
	*net.TCPConn

	unbounded bool // userTimeout does not hold
}

// expect prepares c for a request with a body of n bytes, or of unknown length if n is negative. It is called by one goroutine at a time.
//
// TCP_USER_TIMEOUT also counts the time for which the other end is reachable and has no room for more bytes.
func (c *probingConn) expect(n int64) error {
	unbounded := n < 0 || n > bufferedBytes
	if unbounded == c.unbounded {
		return nil
	}

	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}

	timeout := userTimeout
	if unbounded {
		timeout = 0
	}

	c.unbounded = unbounded

	return setUserTimeout(raw, timeout)
}

// resetUnlessDelivered makes Close reset c if sent bytes are unacknowledged. It has no effect on other connections than those of TCP.
func resetUnlessDelivered(c net.Conn) {
	tcp, ok := c.(interface {
		syscall.Conn
		SetLinger(seconds int) error
	})
	if !ok {
		return
	}

	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}

	delivered := false

	err = raw.Control(func(fd uintptr) {
		unacknowledged, queueErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		delivered = queueErr == nil && unacknowledged == 0
	})
	if err == nil && !delivered {
		_ = tcp.SetLinger(0)
	}
}

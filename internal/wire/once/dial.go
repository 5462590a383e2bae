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
)

// ProbingDial returns a dial function for connections that fail within seconds after the other end has become
// unreachable, whether they are idle or have unacknowledged bytes. timeout bounds the dial itself.
func ProbingDial(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var setErr error

			err := c.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})

			return errors.Join(err, setErr)
		},
	}

	return d.DialContext
}

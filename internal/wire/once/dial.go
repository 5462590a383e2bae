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
	// probeIdle, probeInterval and probeCount find a connection that has gone silent within about 3 s.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unacknowledged bounds the time for which sent bytes may stay without acknowledgement.
	unacknowledged = 3 * time.Second
)

// ProbingDial returns a dialer whose connections fail soon after the other end has become unreachable,
// whether or not bytes are under way.
func ProbingDial(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var set error

			err := c.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})

			return errors.Join(err, set)
		},
	}

	return d.DialContext
}

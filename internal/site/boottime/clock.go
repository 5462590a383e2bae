// Package boottime provides a clock that also counts the time for which the machine was suspended.
//
// The monotonic clock stops during a suspension. A lease measured by it would still appear valid after another
// host has acquired it.
package boottime

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a clockwork.Clock whose Now counts from the boot of the machine. Its times can only be compared with
// each other and are not affected by changes of the time of day. They have no monotonic part, except without
// CLOCK_BOOTTIME; see Now. Its timers and tickers use the monotonic clock.
type Clock struct {
	clockwork.Clock
}

// New returns a Clock.
func New() Clock {
	return Clock{clockwork.NewRealClock()}
}

// Now returns the Unix epoch plus the time since the machine was booted. If the kernel has no CLOCK_BOOTTIME, it
// returns time.Now, whose differences are measured by the monotonic clock.
func (c Clock) Now() time.Time {
	var ts unix.Timespec

	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return c.Clock.Now()
	}

	return time.Unix(ts.Unix())
}

// Since returns the time elapsed since t.
func (c Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

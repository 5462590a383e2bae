// Package boottime is a clock that also counts the time for which the machine was suspended.
//
// The monotonic clock stands still during a suspension, so a lease measured by it would seem to hold after
// others have taken it.
package boottime

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a clockwork.Clock whose Now counts from the start of the machine. Its times compare with each
// other only, have no monotonic part, and are not affected by changes of the time of day. Timers and tickers
// run on the monotonic clock.
type Clock struct {
	clockwork.Clock
}

// New returns a Clock.
func New() Clock {
	return Clock{clockwork.NewRealClock()}
}

// Now returns the time since the machine started as a time after the Unix epoch. Where the kernel has no such
// clock, it falls back on the monotonic one.
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

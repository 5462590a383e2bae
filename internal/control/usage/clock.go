package usage

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// slewTolerance is the difference to the time of day that is followed at once. Clocks that are slewed differ by less.
	slewTolerance = 100 * time.Millisecond
	// stepPatience is how long a step of the time of day must last until it counts as the end of an error.
	stepPatience = time.Minute
)

// Clock tells the time of day without its steps: the time of day at its start, carried on by a clock that does not step. It is
// safe for concurrent use. Make it with NewClock.
type Clock struct {
	wall, steady clockwork.Clock

	mu        sync.Mutex
	offset    time.Duration // from the steady clock to the time that is told
	step      time.Duration // difference of a step that is not followed yet; zero for none
	stepSince time.Time     // by the steady clock
	latest    time.Time     // latest time that was told
}

// NewClock returns a Clock. steady must not step and must advance while the machine is suspended.
func NewClock(wall, steady clockwork.Clock) *Clock {
	return &Clock{wall: wall, steady: steady, offset: untilWall(wall, steady.Now())}
}

// untilWall returns the difference from steady to the time of day.
func untilWall(wall clockwork.Clock, steady time.Time) time.Duration {
	return time.Duration(wall.Now().UnixNano() - steady.UnixNano())
}

// Now returns the time. It never goes back.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()

	steady := c.steady.Now()
	c.follow(steady)

	if now := time.Unix(0, steady.UnixNano()).Add(c.offset); now.After(c.latest) {
		c.latest = now
	}

	return c.latest
}

// follow adopts the time of day if it is close or has been another for stepPatience.
func (c *Clock) follow(steady time.Time) {
	step := untilWall(c.wall, steady) - c.offset

	switch {
	case step.Abs() <= slewTolerance:
		c.offset += step
		c.step = 0
	case (step-c.step).Abs() > slewTolerance || c.step == 0:
		c.step, c.stepSince = step, steady
	case steady.Sub(c.stepSince) >= stepPatience:
		c.offset += step
		c.step = 0
	}
}

package fleet

import "time"

// Belief is what a host believes of a target, and why.
type Belief struct {
	Listed   bool // the target is in the view
	Leaving  bool
	Kept     bool // the platform no longer lists the target
	Revision uint64
	Age      time.Duration // since the view was last known to be current; negative for unknown
	Source   string        // of the last change of the view: "store", a peer's id or what else has changed it
}

// maxCalmAge is an age of the view that a host in touch with others does not reach.
const maxCalmAge = 5 * time.Second

// Odd reports whether a request should hardly be sent on the strength of b.
func (b Belief) Odd() bool {
	return !b.Listed || b.Leaving || b.Kept || b.Age < 0 || b.Age > maxCalmAge
}

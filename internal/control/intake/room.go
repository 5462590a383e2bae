// Package intake decides which bytes of callers' requests a host takes into its memory. It does no I/O.
package intake

import (
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a claim may use the part of the room that large ones leave free.
	SmallBytes = 64 << 10
	// stallTime is how long a request may send nothing before another one that lacks room may take its place.
	stallTime = time.Second
	// minRate is the mean rate, in bytes a second, below which a request counts as stalled too, from stallTime after its start.
	minRate = 8 << 10
)

// Stats are counts of a Room.
type Stats struct {
	Used    int64 // bytes that are taken at present
	Refused int64 // claims that did not fit
	Evicted int64 // claims that gave way because they made no progress
}

// Room is the memory of a host for requests. It is safe for concurrent use. A nil Room has no bound.
type Room struct {
	bytes int64

	mu       sync.Mutex
	used     int64
	byCaller map[string]int64
	arriving map[*Claim]struct{}
	refused  int64
	evicted  int64
}

// NewRoom returns a Room of the given number of bytes.
func NewRoom(bytes int64) *Room {
	return &Room{bytes: bytes, byCaller: map[string]int64{}, arriving: map[*Claim]struct{}{}}
}

// Claim is what one request holds of a Room. Its methods are safe for concurrent use, and have no effect on a nil Claim.
type Claim struct {
	room   *Room
	caller string
	evict  func()

	// The fields below are guarded by room.mu.
	began    time.Time
	last     time.Time // when bytes last arrived
	received int64
	taken    int64
}

// Enter returns a Claim, which holds nothing yet, of a request that begins to arrive from the address caller. Until Arrived or Leave, evict
// may be called once, in any goroutine. It must not block or call methods of the Room; the request then has to leave.
func (r *Room) Enter(now time.Time, caller string, evict func()) *Claim {
	if r == nil {
		return nil
	}

	c := &Claim{room: r, caller: caller, evict: evict, began: now, last: now}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.arriving[c] = struct{}{}

	return c
}

// Take takes n more bytes. If they do not fit, it reports false, and a request that makes no progress has to give way, so that a later
// claim may fit: one from the same address if only the share of that is used up.
func (c *Claim) Take(now time.Time, n int64) bool {
	if c == nil || n <= 0 {
		return true
	}

	r := c.room

	r.mu.Lock()
	defer r.mu.Unlock()

	small := c.taken+n <= SmallBytes

	switch {
	case !r.fits(n, small):
		r.refused++
		r.evictStalled(now, func(other *Claim) bool { return other != c })

		return false
	case !small && r.byCaller[c.caller]+n > r.bytes/2:
		r.refused++
		r.evictStalled(now, func(other *Claim) bool { return other != c && other.caller == c.caller })

		return false
	}

	c.taken += n
	r.used += n
	r.byCaller[c.caller] += n

	return true
}

// fits reports whether n more bytes of a small or a large claim fit: large ones leave a quarter of the room free for small ones. Those of one
// caller also leave half of it for those of others. r.mu is held.
func (r *Room) fits(n int64, small bool) bool {
	if small {
		return r.used+n <= r.bytes
	}

	return r.used+n <= r.bytes/4*3
}

// Received records that n bytes of the request have arrived.
func (c *Claim) Received(now time.Time, n int) {
	if c == nil || n == 0 {
		return
	}

	c.room.mu.Lock()
	defer c.room.mu.Unlock()

	c.last = now
	c.received += int64(n)
}

// Arrived records that the request has arrived whole. It keeps what it holds until Leave and is not evicted.
func (c *Claim) Arrived() {
	if c == nil {
		return
	}

	c.room.mu.Lock()
	defer c.room.mu.Unlock()

	delete(c.room.arriving, c)
}

// Leave gives back all that c holds. A second call has no effect.
func (c *Claim) Leave() {
	if c == nil {
		return
	}

	r := c.room

	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.arriving, c)

	r.used -= c.taken
	if r.byCaller[c.caller] -= c.taken; r.byCaller[c.caller] <= 0 {
		delete(r.byCaller, c.caller)
	}

	c.taken = 0
}

// EvictStalled lets the request that has made no progress for the longest time give way, and reports whether there was one.
func (r *Room) EvictStalled(now time.Time) bool {
	if r == nil {
		return false
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	return r.evictStalled(now, func(*Claim) bool { return true })
}

// evictStalled does the same among the claims that may give way. One that holds nothing frees nothing, so it stays. r.mu is held.
func (r *Room) evictStalled(now time.Time, may func(*Claim) bool) bool {
	var victim *Claim

	for c := range r.arriving {
		if c.taken > 0 && may(c) && c.stalled(now) && (victim == nil || c.last.Before(victim.last)) {
			victim = c
		}
	}

	if victim == nil {
		return false
	}

	delete(r.arriving, victim)
	r.evicted++
	victim.evict()

	return true
}

func (c *Claim) stalled(now time.Time) bool {
	slow := c.received < int64(minRate*(now.Sub(c.began)-stallTime).Seconds())

	return slow || now.Sub(c.last) >= stallTime
}

// Stats returns the counts of r.
func (r *Room) Stats() Stats {
	if r == nil {
		return Stats{}
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	return Stats{Used: r.used, Refused: r.refused, Evicted: r.evicted}
}

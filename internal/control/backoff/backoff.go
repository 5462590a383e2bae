// Package backoff implements an exponential backoff for targets, data centres and hosts that fail.
package backoff

import "time"

// Backoff is a time in which a failed party gets no work. Its length doubles with each further failure. The zero
// value is no pause. It is not safe for concurrent use.
type Backoff struct {
	length time.Duration
	until  time.Time
}

// Fail starts a pause twice as long as the last one, at least first and at most longest. It has no effect during
// a pause: such a failure belongs to work that was started before the pause. Assigning the zero value resets the
// length.
func (p *Backoff) Fail(now time.Time, first, longest time.Duration) {
	if p.Active(now) {
		return
	}

	p.length = min(max(2*p.length, first), longest)
	p.until = now.Add(p.length)
}

// Extend makes the pause last until end at least. It does not affect the length of the next pause.
func (p *Backoff) Extend(end time.Time) {
	if end.After(p.until) {
		p.until = end
	}
}

// Active reports whether the pause is in effect at now.
func (p *Backoff) Active(now time.Time) bool { return now.Before(p.until) }

// End returns the time when the pause ends or ended; zero if there was none.
func (p *Backoff) End() time.Time { return p.until }

// Package backoff implements an exponential backoff for targets, data centres and hosts that fail.
package backoff

import "time"

// Backoff is a pause during which a failed target, data centre or host gets no work. Its length doubles with each
// further failure. The zero value is no pause. It is not safe for concurrent use.
type Backoff struct {
	length time.Duration
	until  time.Time
}

// Fail starts a pause twice as long as the last one, at least first and at most longest. It has no effect during
// a pause: such a failure belongs to work that was started before the pause. Assigning the zero value resets the
// length.
func (b *Backoff) Fail(now time.Time, first, longest time.Duration) {
	if b.Active(now) {
		return
	}

	b.length = min(max(2*b.length, first), longest)
	b.until = now.Add(b.length)
}

// Extend makes the pause last until end at least. It does not affect the length of the next pause.
func (b *Backoff) Extend(end time.Time) {
	if end.After(b.until) {
		b.until = end
	}
}

// Active reports whether the pause is in effect at now.
func (b *Backoff) Active(now time.Time) bool { return now.Before(b.until) }

// End returns the time when the pause ends or ended; zero if there was none.
func (b *Backoff) End() time.Time { return b.until }

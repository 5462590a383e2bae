// Package pauses keeps what fails away from work for a while.
package pauses

import "time"

// Pause is a time without work that doubles with each failure in a row. The zero value is none.
// It is not safe for concurrent use.
type Pause struct {
	length time.Duration
	until  time.Time
}

// Fail begins a pause twice as long as the last one, at least first and at most longest. Failures while a pause
// lasts were under way together with the one that began it, and have no effect.
func (p *Pause) Fail(now time.Time, first, longest time.Duration) {
	if p.Lasts(now) {
		return
	}

	p.length = min(max(2*p.length, first), longest)
	p.until = now.Add(p.length)
}

// Extend makes the pause last until at least end. The length of the next one stays.
func (p *Pause) Extend(end time.Time) {
	if end.After(p.until) {
		p.until = end
	}
}

// Lasts reports whether there is no work at now.
func (p *Pause) Lasts(now time.Time) bool { return now.Before(p.until) }

// End returns when the pause ends or has ended; zero for none.
func (p *Pause) End() time.Time { return p.until }

package placing

import "time"

// Pacing holds the latency objectives of a stream, from which the patience of its caller is estimated.
type Pacing struct {
	Objective time.Duration // target time from arrival to the first event
	Gap       time.Duration // target for the longest pause between two events
}

const (
	// A caller is expected to abandon a stream after the longest of these without an event.
	minAbandonTime    = 2 * time.Second
	abandonObjectives = 4 // multiple of Pacing.Objective
	abandonGaps       = 8 // multiple of Pacing.Gap

	// replaceFraction is the fraction of the abandon time after which a silent target is replaced. The rest is
	// needed to prefill the prompt again elsewhere.
	replaceFraction = 0.4
	// worthwhileFraction is the fraction of the abandon time, counted from arrival, within which the first event must
	// be expected. Otherwise a stream that has not begun is refused (see Worthwhile).
	worthwhileFraction = 0.7
)

// AbandonAfter returns the time without events after which the caller is expected to abandon the stream.
func (p Pacing) AbandonAfter() time.Duration {
	return max(minAbandonTime, abandonObjectives*p.Objective, abandonGaps*p.Gap)
}

// ReplaceAfter returns the time without events after which another target continues the stream.
func (p Pacing) ReplaceAfter() time.Duration {
	return time.Duration(replaceFraction * float64(p.AbandonAfter()))
}

// Worthwhile reports whether a first event expected after wait is early enough for a caller that has already waited
// for the duration waited. It lets hosts shed load that exceeds the prefill capacity.
func (p Pacing) Worthwhile(wait, waited time.Duration) bool {
	return waited+wait <= time.Duration(worthwhileFraction*float64(p.AbandonAfter()))
}

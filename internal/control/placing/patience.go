package placing

import "time"

// Pacing is what a caller expects of a stream.
type Pacing struct {
	Objective time.Duration // from arrival to the first event
	Gap       time.Duration // longest pause between events that is on time
}

const (
	// A caller abandons a stream that is silent for the longest of these.
	abandonLeast      = 2 * time.Second
	abandonObjectives = 4
	abandonGaps       = 8

	// resumePart is the part of the caller's patience after which a silent target is replaced. The rest is
	// needed to read the prompt again elsewhere.
	resumePart = 0.4
	// worthwhilePart is the part of the caller's patience within which a first event must be expected.
	worthwhilePart = 0.7
)

// Abandoned returns the silence after which the caller of a stream gives it up.
func (p Pacing) Abandoned() time.Duration {
	return max(abandonLeast, abandonObjectives*p.Objective, abandonGaps*p.Gap)
}

// Silent returns the silence after which another target is asked for the rest of a stream.
func (p Pacing) Silent() time.Duration {
	return time.Duration(resumePart * float64(p.Abandoned()))
}

// Worthwhile reports whether a stream whose first event is expected after wait is still of use to a caller
// that has already waited for waited. It answers a load above what the replicas can read.
func (p Pacing) Worthwhile(wait, waited time.Duration) bool {
	return waited+wait <= time.Duration(worthwhilePart*float64(p.Abandoned()))
}

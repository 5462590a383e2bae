package placing

import (
	"cmp"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	// initialPace is the reading speed, in tokens per second, assumed before any prompt was read.
	initialPace = 50_000
	// paceWeight and ownPaceWeight are the weights of the newest reading in the mean of all replicas and of one.
	paceWeight    = 0.02
	ownPaceWeight = 0.15
	// paceTokens is the least reading from which a speed is learned; shorter ones are mostly fixed cost.
	paceTokens = 2_000
	// maxSlowness bounds how slow a replica is thought to be against the mean, so that it is tried again.
	maxSlowness = 10

	// faultWeight is the weight of the newest outcome in a target's share of failures.
	faultWeight = 0.2
	// firstPause and longestPause bound the time for which a target that was lost gets no work.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// cutOffAfter is the number of targets lost in a row after which their data centre counts as cut off: more
	// than crash together as a rule.
	cutOffAfter = 4
	// refusedPause and longestRefused do so for a target that refused work: it is back when work of others ends,
	// or its change of role.
	refusedPause   = 250 * time.Millisecond
	longestRefused = 2 * time.Second
)

// record is what was learned of one target.
type record struct {
	pace   float64 // prompt tokens per second; zero: none learned
	faults float64 // recent share of failures
	pause  time.Duration
	until  time.Time // no work until then
}

func (r *record) slowness(mean float64) float64 {
	if r.pace == 0 {
		return 1
	}

	return min(max(mean/r.pace, 1), maxSlowness)
}

// Outcome says how work on a target ended.
type Outcome uint8

const (
	// Served means a whole answer.
	Served Outcome = iota
	// Failed means an answer that reports a failure, or one that broke off.
	Failed
	// Lost means that the target could not be reached or did not answer in time.
	Lost
	// Refused means that the target did not take the work: it is full, or is changing its role.
	Refused
)

// Note learns from how work on t ended at now.
func (b *Board) Note(now time.Time, t fleet.Target, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.noteCentre(now, t.DataCentre, o)

	r := b.record(t.ID)

	switch o {
	case Served:
		r.faults -= faultWeight * r.faults
		r.pause, r.until = 0, time.Time{}
	case Failed:
		r.faults += faultWeight * (1 - r.faults)
	case Lost:
		r.faults += faultWeight * (1 - r.faults)
		r.rest(now, firstPause, longestPause)
	case Refused:
		r.rest(now, refusedPause, longestRefused)
	}
}

// centre is what was learned of the way to one data centre.
type centre struct {
	record
	lost int // targets lost there since one answered
}

// noteCentre learns whether a data centre can be reached: one that is cut off loses one target after the
// other, and each costs a request the time of a connection that is not made. The caller holds mu.
func (b *Board) noteCentre(now time.Time, dc table.DataCentre, o Outcome) {
	c, ok := b.centres[dc]
	if !ok {
		c = &centre{}
		b.centres[dc] = c
	}

	if o != Lost {
		*c = centre{}

		return
	}

	if c.lost++; c.lost >= cutOffAfter {
		c.rest(now, firstPause, longestPause)
	}
}

// rest gives the target no work for a time that doubles with each such end in a row.
func (r *record) rest(now time.Time, first, longest time.Duration) {
	if now.Before(r.until) {
		return
	}

	r.pause = min(max(2*r.pause, first), longest)
	r.until = now.Add(r.pause)
}

// Rest gives target no work until until, since it is known to take none.
func (b *Board) Rest(target table.TargetID, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if r := b.record(target); until.After(r.until) {
		r.until = until
	}
}

// Read learns that target read the prompt of p in took.
func (b *Board) Read(p Placement, parts []Part, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.cache.add(p.Target.ID, parts)

	tokens := float64(p.Work)
	if tokens < paceTokens || took <= 0 {
		return
	}

	pace := tokens / took.Seconds()
	if p.Alone {
		b.alone += paceWeight * (pace - b.alone)
	}

	r := b.record(p.Target.ID)
	r.pace = cmp.Or(r.pace, b.pace)
	r.pace += ownPaceWeight * (pace - r.pace)
	b.pace += paceWeight * (pace - b.pace)
}

// End takes back the claim of a prompt that was placed here for another host, and learns how it ended.
func (b *Board) End(now time.Time, p Placement, parts []Part, e Ending) {
	p.Claim.Release()

	switch {
	case !e.Sent:
	case e.Outcome == Served:
		b.Read(p, parts, e.Took)
	default:
		b.Note(now, p.Target, e.Outcome)
	}
}

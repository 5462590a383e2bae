package placing

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/pauses"
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
	// changingLife is how long word of a changing replica counts: several heartbeats of few hosts.
	changingLife = time.Second
	// maxResting bounds the resting targets that hosts tell each other; a handful rest at a time.
	maxResting = 32
)

// record is what was learned of one target.
type record struct {
	pace   float64 // prompt tokens per second; zero: none learned
	faults float64 // recent share of failures
	pause  pauses.Pause
	said   time.Time // end of the pause by the target's own word, or by that of the host that gave it an order
	words  uint32    // such words so far, of which hosts tell each other only new ones
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
		r.pause, r.said = pauses.Pause{}, time.Time{}
	case Failed:
		r.faults += faultWeight * (1 - r.faults)
	case Lost:
		r.faults += faultWeight * (1 - r.faults)
		r.pause.Fail(now, firstPause, longestPause)
	case Refused:
		r.pause.Fail(now, refusedPause, longestRefused)
		r.said = r.pause.End()
		r.words++
	}
}

// centre is what was learned of the way to one data centre.
type centre struct {
	pause pauses.Pause
	lost  int // targets lost there since one answered
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
		c.pause.Fail(now, firstPause, longestPause)
	}
}

// Changing gives target no work for a while, since it is carrying out an order and takes none.
func (b *Board) Changing(now time.Time, target table.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()

	until := now.Add(changingLife)
	if r := b.record(target); until.After(r.said) {
		r.said = until
		r.pause.Extend(until)
		r.words++
	}
}

// Resting is a target that takes no work for now.
type Resting struct {
	Target table.TargetID
	Left   time.Duration
	Words  uint32 // refusals and orders so far; hosts take a higher number only, so that word of mouth ends
}

// Resting returns the targets that take no work, by their own word or that of the host that gave them an order.
// Targets that this host alone cannot reach are not among them.
func (b *Board) Resting(now time.Time) []Resting {
	b.mu.Lock()
	defer b.mu.Unlock()

	var resting []Resting

	for id, r := range b.targets {
		if left := r.said.Sub(now); left > 0 && len(resting) < maxResting {
			resting = append(resting, Resting{Target: id, Left: left, Words: r.words})
		}
	}

	return resting
}

// HearResting takes what another host knows of resting targets. Each host comes back to them at another time, since
// a target that still refuses would refuse all. Few hosts find out with few refusals, and lose more by staying away
// from a target that was full for a moment, so they take nothing.
func (b *Board) HearResting(now time.Time, resting []Resting) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if len(b.peers) < fewPeers {
		return
	}

	for _, t := range resting[:min(len(resting), maxResting)] {
		r := b.record(t.Target)
		if t.Words <= r.words {
			continue
		}

		r.words = t.Words
		r.said = now.Add(min(t.Left, longestRefused))
		r.pause.Extend(r.said.Add(rand.N(longestRefused)))
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

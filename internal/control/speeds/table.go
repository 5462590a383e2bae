// Package speeds holds how fast targets generate, as learned by this host from its own streams and as other hosts report it.
//
// A Table keeps, for each run of a target, the time between two events of one stream, without what the load on the target adds to
// it. The estimate is a median, so that a short spell in which a target is slow does not make it a slow target. Hosts send each
// other what they have learned themselves, as state with its age, so that a lost message costs nothing.
package speeds

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// memory is the age at which an observation ends: a target that was slow is tried again after it.
	memory = 30 * time.Second
	// reportAge is the age up to which own observations are reported: the newest ones reach a peer several times, so that lost
	// messages cost nothing, and the report stays small.
	reportAge = 3 * time.Second
	// maxReported bounds the targets in a report; the newest observations count.
	maxReported = 32
	// maxAccepted bounds the targets that are read from a report of one host.
	maxAccepted = 2 * maxReported
	// maxHeard is the number of hosts whose observations of one target are kept, the newest ones.
	maxHeard = 12
	// maxTargets bounds the targets that are known, of which peers might report any number.
	maxTargets = 4096
	// maxWeight bounds the weight of one host's observations of a target, so that no single host decides.
	maxWeight = 8
	// newestWeight is the least weight of the newest stretch in the mean of this host.
	newestWeight = 0.2
	// maxStep bounds the change of the logarithm of an estimate by one stretch, so that one in a slow spell does not decide.
	maxStep = 0.5
	// minPace and maxPace bound the time between two events that is believed.
	minPace = 100 * time.Microsecond
	maxPace = 10 * time.Second
	// loadCost is the time that a full target needs for an event beyond that of an idle one, as a fraction of the latter.
	loadCost = 0.25

	// tailFraction is the fraction of the stretches that are faster, relative to the median of their target, than the tail.
	tailFraction = 0.92
	// tailStep is the step of the estimate of the tail for each stretch.
	tailStep = 0.02
	// maxTail bounds the tail.
	maxTail = 6
	// initialTail is the tail until it is learned.
	initialTail = 2
)

// Observation is what one host has learned of a target.
type Observation struct {
	Target entity.TargetID
	Pace   time.Duration // time between two events of one stream on the target without other load
	Weight int           // number of stretches of streams that it rests on, at most 8
	Age    time.Duration // time since the last one
}

// heard is what a peer has reported of a target.
type heard struct {
	host   entity.HostID
	log    float64 // logarithm of the pace in seconds
	weight float64
	at     time.Time
}

// target is what is known of one run of a target.
type target struct {
	log    float64 // mean logarithm of the pace as seen by this host, in seconds
	weight float64 // stretches that it rests on; zero for none
	at     time.Time
	heard  []heard
}

// Table holds the speeds of targets. It is safe for concurrent use. Make it with New.
type Table struct {
	mu      sync.Mutex
	targets map[entity.TargetID]*target
	tail    float64 // logarithm of the ratio of slow stretches to the median of their target
}

// New returns an empty Table.
func New() *Table { return &Table{targets: map[entity.TargetID]*target{}, tail: math.Log(initialTail)} }

// Record records that a stream on id had pace between two events over a stretch of time that ended at now. load is the used
// fraction of the target's slots.
func (t *Table) Record(now time.Time, id entity.TargetID, load float64, pace time.Duration) {
	if pace < minPace || pace > maxPace {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.entry(id)
	if e == nil {
		return
	}

	sample := math.Log(pace.Seconds() / loadFactor(load))

	if median, ok := e.median(now); ok {
		t.recordTail(sample - median)
	}

	if now.Sub(e.at) >= memory {
		e.weight = 0
	}

	e.weight = min(e.weight+1, maxWeight)
	e.at = now

	if e.weight == 1 {
		e.log = sample

		return
	}

	e.log += max(1/e.weight, newestWeight) * min(max(sample-e.log, -maxStep), maxStep)
}

// recordTail moves the estimate of the tail by the logarithm of the ratio of one stretch to the median of its target.
func (t *Table) recordTail(ratio float64) {
	step := tailStep * tailFraction
	if ratio < t.tail {
		step = -tailStep * (1 - tailFraction)
	}

	t.tail = min(max(t.tail+step, 0), math.Log(maxTail))
}

// loadFactor returns the time between two events at load as a multiple of that without load.
func loadFactor(load float64) float64 { return 1 + loadCost*min(max(load, 0), 1) }

// entry returns the entry of id, or nil if there are too many. The caller holds mu.
func (t *Table) entry(id entity.TargetID) *target {
	e, ok := t.targets[id]
	if !ok && len(t.targets) < maxTargets {
		e = &target{}
		t.targets[id] = e
	}

	return e
}

// Observations returns the newest observations of this host, at most 32.
func (t *Table) Observations(now time.Time) []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()

	var list []Observation

	for id, e := range t.targets {
		if age := now.Sub(e.at); e.weight > 0 && age <= reportAge {
			list = append(list, Observation{Target: id, Pace: seconds(math.Exp(e.log)), Weight: int(e.weight), Age: max(age, 0)})
		}
	}

	slices.SortFunc(list, func(a, b Observation) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Target, b.Target)) })

	return list[:min(len(list), maxReported)]
}

// Merge adds the observations that host has made itself. They replace its earlier ones of the same targets.
func (t *Table) Merge(now time.Time, host entity.HostID, observations []Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, o := range observations[:min(len(observations), maxAccepted)] {
		if o.Age < 0 || o.Age >= memory || o.Weight <= 0 || o.Pace < minPace || o.Pace > maxPace {
			continue
		}

		if e := t.entry(o.Target); e != nil {
			e.merge(heard{host: host, log: math.Log(o.Pace.Seconds()), weight: float64(min(o.Weight, maxWeight)), at: now.Add(-o.Age)})
		}
	}
}

// merge adds h and drops the oldest report beyond maxHeard.
func (e *target) merge(h heard) {
	i := slices.IndexFunc(e.heard, func(other heard) bool { return other.host == h.host })

	switch {
	case i >= 0:
	case len(e.heard) < maxHeard:
		e.heard = append(e.heard, h)

		return
	default:
		i = 0

		for k := range e.heard {
			if e.heard[k].at.Before(e.heard[i].at) {
				i = k
			}
		}
	}

	if !h.at.Before(e.heard[i].at) {
		e.heard[i] = h
	}
}

// median returns the weighted median of what the hosts have seen, as the logarithm of seconds. It reports false if nothing is
// known.
func (e *target) median(now time.Time) (float64, bool) {
	var (
		list [maxHeard + 1]heard
		n    int
		sum  float64
	)

	if e.weight > 0 && now.Sub(e.at) < memory {
		list[0] = heard{log: e.log, weight: e.weight}
		n, sum = 1, e.weight
	}

	for _, h := range e.heard {
		if now.Sub(h.at) < memory {
			list[n] = h
			n++
			sum += h.weight
		}
	}

	if n == 0 {
		return 0, false
	}

	slices.SortFunc(list[:n], func(a, b heard) int { return cmp.Compare(a.log, b.log) })

	below := 0.0
	for _, h := range list[:n] {
		if below += h.weight; 2*below >= sum {
			return h.log, true
		}
	}

	return list[n-1].log, true
}

// Tick forgets targets for which keep returns false, and those of which nothing is known any more. The id of a target differs
// from one run to the next, so nothing is known of a target that has started again.
func (t *Table) Tick(now time.Time, keep func(entity.TargetID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for id, e := range t.targets {
		e.heard = slices.DeleteFunc(e.heard, func(h heard) bool { return now.Sub(h.at) >= memory })

		if !keep(id) || len(e.heard) == 0 && now.Sub(e.at) >= memory {
			delete(t.targets, id)
		}
	}
}

// seconds returns s seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

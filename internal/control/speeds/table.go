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
	// maxReported bounds the targets in a report; the newest observations count. A host gets dozens of reports a second, so that
	// it hears of each target in use every second or so, and a report stays below 250 bytes.
	maxReported = 6
	// maxAccepted bounds the targets that are read from a report of one host.
	maxAccepted = 32
	// maxHeard is the number of hosts whose observations of one target are kept, the newest ones.
	maxHeard = 12
	// maxTargets bounds the targets that are known, of which peers might report any number.
	maxTargets = 4096
	// maxWeight bounds the weight of one host's observations of a target, so that no single host decides.
	maxWeight = kept
	// kept is the number of own stretches of a target that are kept, the newest ones. Their median counts, so that neither a spell nor
	// a single stall decides.
	kept = 7
	// minWeight is the number of stretches, of all hosts, from which the speed of a target counts as known.
	minWeight = 6
	// observationsAge is the age up to which the same report is sent to several peers.
	observationsAge = 100 * time.Millisecond
	// minPace and maxPace bound the time between two events that is believed.
	minPace = 100 * time.Microsecond
	maxPace = 10 * time.Second
	// initialLoadCost is the logarithm of the time that a full target needs for an event, as a multiple of that of an idle one, until
	// it is learned; priorWeight is the weight of that, in squares of load differences; maxLoadCost bounds what is learned.
	initialLoadCost = 0.22
	priorWeight     = 0.1
	maxLoadCost     = 2
	// costMemory is the factor by which what was learned of the cost of load fades with each stretch.
	costMemory = 0.995

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
	Weight int           // number of stretches of streams that it rests on, at most 7
	Age    time.Duration // time since the last one
}

// heard is what a peer has reported of a target.
type heard struct {
	host   entity.HostID
	log    float64 // logarithm of the pace in seconds
	weight float64
	at     time.Time
}

// stretch is a stretch of a stream on a target.
type stretch struct {
	log  float64 // logarithm of the time between two events, in seconds, with the load on the target
	load float64
}

// service is what is known of all targets of one service.
type service struct {
	tail float64 // logarithm of the ratio of slow stretches to the median of their target

	// xx and xy are sums over pairs of stretches on the same target, of squares of the difference in load and of that times the
	// difference in the logarithm of the pace.
	xx, xy float64
}

// loadCost returns the logarithm of the time that a full target needs for an event, as a multiple of that of an idle one. It is
// learned within targets, so that slow targets with little load do not hide it.
func (s *service) loadCost() float64 {
	return min(max((s.xy+priorWeight*initialLoadCost)/(s.xx+priorWeight), 0), maxLoadCost)
}

// learnLoadCost adds two stretches on one target.
func (s *service) learnLoadCost(before, now stretch) {
	x := now.load - before.load
	s.xx = costMemory*s.xx + x*x
	s.xy = costMemory*s.xy + x*(now.log-before.log)
}

// target is what is known of one run of a target.
type target struct {
	service entity.ServiceName // empty until it is known
	own     []stretch          // what this host has seen, the newest kept ones
	next    int                // element of own that the next one replaces
	at      time.Time          // end of the newest of own
	heard   []heard
}

// Table holds the speeds of targets. It is safe for concurrent use. Make it with New.
type Table struct {
	mu       sync.Mutex
	targets  map[entity.TargetID]*target
	services map[entity.ServiceName]*service

	reportedAt time.Time     // time of reported
	reported   []Observation // last result of Observations
}

// New returns an empty Table.
func New() *Table {
	return &Table{targets: map[entity.TargetID]*target{}, services: map[entity.ServiceName]*service{}}
}

// Record records that a stream on id, a target of the service name, had pace between two events over a stretch of time that ended at now.
// load is the used fraction of the target's slots.
func (t *Table) Record(now time.Time, name entity.ServiceName, id entity.TargetID, load float64, pace time.Duration) {
	if pace < minPace || pace > maxPace {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.entry(id)
	if e == nil {
		return
	}

	all := t.serviceOf(name)
	e.service = name
	sample := stretch{log: math.Log(pace.Seconds()), load: min(max(load, 0), 1)}

	if median, ok := e.median(now, all); ok {
		all.learnTail(sample.log - all.loadCost()*sample.load - median)
	}

	if len(e.own) > 0 {
		all.learnLoadCost(e.newest(), sample)
	}

	if now.Sub(e.at) >= memory {
		e.own, e.next = e.own[:0], 0
	}

	e.at = now

	if len(e.own) < kept {
		e.own = append(e.own, sample)

		return
	}

	e.own[e.next] = sample
	e.next = (e.next + 1) % kept
}

// serviceOf returns the element for name and creates it if there is none. The caller holds mu.
func (t *Table) serviceOf(name entity.ServiceName) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{tail: math.Log(initialTail)}
		t.services[name] = s
	}

	return s
}

// learnTail moves the estimate of the tail by the logarithm of the ratio of one stretch to the median of its target.
func (s *service) learnTail(ratio float64) {
	step := tailStep * tailFraction
	if ratio < s.tail {
		step = -tailStep * (1 - tailFraction)
	}

	s.tail = min(max(s.tail+step, 0), math.Log(maxTail))
}

// newest returns the last of own, of which there must be some.
func (e *target) newest() stretch { return e.own[(e.next+len(e.own)-1)%len(e.own)] }

// ownMedian returns the median of own, of which there must be some, without the cost of load in s.
func (e *target) ownMedian(s *service) float64 {
	var logs [kept]float64

	for i, o := range e.own {
		logs[i] = o.log - s.loadCost()*o.load
	}

	sorted := logs[:len(e.own)]
	slices.Sort(sorted)

	return sorted[len(sorted)/2]
}

// entry returns the entry of id, or nil if there are too many. The caller holds mu.
func (t *Table) entry(id entity.TargetID) *target {
	e, ok := t.targets[id]
	if !ok && len(t.targets) < maxTargets {
		e = &target{}
		t.targets[id] = e
	}

	return e
}

// Observations returns the newest observations of this host, at most 6. The result must not be changed.
func (t *Table) Observations(now time.Time) []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()

	if age := now.Sub(t.reportedAt); age >= 0 && age < observationsAge {
		return t.reported
	}

	var list []Observation

	for id, e := range t.targets {
		if age := now.Sub(e.at); len(e.own) > 0 && age <= reportAge {
			list = append(list, Observation{Target: id, Weight: len(e.own), Age: max(age, 0)})
		}
	}

	slices.SortFunc(list, func(a, b Observation) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Target, b.Target)) })
	list = list[:min(len(list), maxReported)]

	for i := range list {
		list[i].Pace = seconds(math.Exp(t.ownMedian(list[i].Target)))
	}

	t.reported, t.reportedAt = list, now

	return list
}

// ownMedian returns what this host has seen of the target id, as the logarithm of seconds. The caller holds mu.
func (t *Table) ownMedian(id entity.TargetID) float64 {
	e := t.targets[id]

	return e.ownMedian(t.serviceOf(e.service))
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

// median returns the weighted median of what the hosts have seen, as the logarithm of seconds, for a target of s. It reports false if too
// little is known.
func (e *target) median(now time.Time, s *service) (float64, bool) {
	var (
		list [maxHeard + 1]heard
		n    int
		sum  float64
	)

	if len(e.own) > 0 && now.Sub(e.at) < memory {
		list[0] = heard{log: e.ownMedian(s), weight: float64(len(e.own))}
		n, sum = 1, list[0].weight
	}

	for _, h := range e.heard {
		if now.Sub(h.at) < memory {
			list[n] = h
			n++
			sum += h.weight
		}
	}

	if sum < minWeight {
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

	t.reportedAt = time.Time{} // reported may have targets that are forgotten
}

// seconds returns s seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

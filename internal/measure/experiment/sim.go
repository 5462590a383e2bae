package experiment

import (
	"container/heap"
	"math"
	"math/rand"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/routing"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
	"github.com/dotterelflow/dotterelflow/internal/standin/enginemodel"
)

const (
	hostInterval  = time.Second            // time between two ticks of an entry host
	rolesInterval = 2 * time.Second        // time between two decisions on roles in a data centre
	maxTail       = 11 * time.Minute       // time after the end of the trace in which open requests may end
	retryInterval = 100 * time.Millisecond // time between attempts to dispatch while no target is usable

	transferSetup = 20 * time.Millisecond // fixed part of a KV cache transfer between engines
	transferRate  = 100_000               // KV cache transfer, in tokens per second

	serviceSlots      = 16
	serviceStreamRate = 50 // calls per second of one slot
)

// epoch is the virtual time at which each run starts.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// never is later than the end of any run. The times of events are durations since epoch, as these are fast to compare.
const never = time.Duration(math.MaxInt64)

// timer is a function to call at a point in time.
type timer struct {
	at   time.Duration
	seq  int
	call func()
}

// timers is a container/heap, ordered by time and then by order of creation.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}

	return t[i].seq < t[j].seq
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	n := len(*t) - 1
	x := (*t)[n]
	(*t)[n] = timer{}
	*t = (*t)[:n]

	return x
}

// simTarget is a target and the engine that models it.
type simTarget struct {
	entity.Target
	engine            *enginemodel.Engine
	nextEvent         time.Duration // time of the engine's next event; never if there is none
	roleChanged       time.Time     // time at which the last role change ended
	roleChangeOrdered time.Time     // time at which the last role change was ordered
	role              entity.Role   // present role, or the new one during a role change; Target.Role is the initial one
}

// sim is the state of one run.
type sim struct {
	deployment trace.Deployment
	trace      *trace.Trace
	variant    variant
	fifo       bool // baseline admission
	now        time.Time
	timers     timers
	timerSeq   int
	arrived    int // number of arrivals taken from the trace

	targets  []*simTarget
	indexOf  map[entity.TargetID]int
	hosts    []*host
	byCentre map[entity.DataCentre][]*host
	cut      entity.DataCentre // the data centre that is cut off from the others; empty means none

	requests     []*request
	byID         map[entity.RequestID]*request // open requests, by the id of the current attempt
	openRequests int
	balancer     *rand.Rand // chooses the host of each arrival
	tally        tally
}

func newSim(d trace.Deployment, t *trace.Trace, v variant, fifo bool) *sim {
	s := &sim{
		deployment: d,
		trace:      t,
		variant:    v,
		fifo:       fifo || v.fifo,
		now:        epoch,
		indexOf:    make(map[entity.TargetID]int),
		byCentre:   make(map[entity.DataCentre][]*host),
		byID:       make(map[entity.RequestID]*request),
		balancer:   rand.New(rand.NewSource(t.Seed)),
	}

	prefill := d.PrefillEngines
	if v.prefill > 0 {
		prefill = v.prefill
	}

	s.addTargets(prefill)
	s.addHosts()
	s.schedule()

	return s
}

// addTargets creates the targets of all data centres and spreads the prefill engines evenly over the data centres.
func (s *sim) addTargets(prefill int) {
	total, prefillAssigned := 0, 0

	for _, c := range s.deployment.Centres {
		total += c.Engines
	}

	enginesSeen := 0

	for _, c := range s.deployment.Centres {
		for n := range c.Engines {
			enginesSeen++

			role := entity.Decode
			if prefillAssigned*total < prefill*enginesSeen && prefillAssigned < prefill {
				role = entity.Prefill
				prefillAssigned++
			}

			s.addTarget(entity.Target{
				ID: trace.EngineID(c.Name, n), Type: entity.Engine, DataCentre: c.Name, Model: trace.ModelName,
				Role: role, Slots: trace.Slots, PrefillRate: trace.PrefillRate, DecodeRate: trace.DecodeRate,
			}, trace.StreamRate)
		}

		for n := range c.Services {
			s.addTarget(entity.Target{
				ID: trace.ServiceID(c.Name, n), Type: entity.Service, DataCentre: c.Name, Service: trace.ServiceName,
				Slots: serviceSlots, PrefillRate: 1, DecodeRate: serviceSlots * serviceStreamRate,
			}, serviceStreamRate)
		}
	}
}

// addTarget adds a target. A service replica is modelled as a decode engine whose calls are streams of one token.
func (s *sim) addTarget(t entity.Target, stream entity.Tokens) {
	role := t.Role
	if t.Type == entity.Service {
		role = entity.Decode
	}

	s.indexOf[t.ID] = len(s.targets)
	s.targets = append(s.targets, &simTarget{
		Target:    t,
		role:      role,
		nextEvent: never,
		engine: enginemodel.New(s.now, enginemodel.Options{
			Target: t.ID, Role: role, PrefillRate: t.PrefillRate, DecodeRate: t.DecodeRate, StreamRate: stream,
			Slots: t.Slots, CacheEventLoss: 0.1, ReportInterval: time.Second, CacheTokens: 20_000, Seed: int64(len(s.targets)) + s.trace.Seed,
		}),
	})
}

// schedule sets the timers for the ticks, the decisions on roles and the operations of the trace.
func (s *sim) schedule() {
	for i, c := range s.deployment.Centres {
		n := time.Duration(len(s.deployment.Centres))
		s.every(time.Duration(i)*hostInterval/n, hostInterval, func() { s.tick(c.Name) })
		s.every(time.Duration(i)*rolesInterval/n, rolesInterval, func() { s.decideRoles(c.Name) })
	}

	for _, op := range s.trace.Operations {
		s.after(op.At, func() { s.applyOperation(op) })
	}
}

// after calls call at the time d from now.
func (s *sim) after(d time.Duration, call func()) {
	s.timerSeq++
	heap.Push(&s.timers, timer{at: s.now.Sub(epoch) + d, seq: s.timerSeq, call: call})
}

// every calls call after the time first and then once per period until the run ends.
func (s *sim) every(first, period time.Duration, call func()) {
	s.after(first, func() {
		call()

		if !s.over() {
			s.every(period, period, call)
		}
	})
}

// over reports whether the run has ended: all arrivals have been taken, and either no request is open or more than
// maxTail has passed since the end of the trace.
func (s *sim) over() bool {
	return s.arrived == len(s.trace.Arrivals) && (s.openRequests == 0 || s.now.Sub(epoch) > s.trace.Length+maxTail)
}

// run processes all events until the run ends.
func (s *sim) run() {
	for s.step() {
	}
}

// step moves time to the next event, of an engine, a timer or an arrival, and handles it. It returns false at the end
// of the run.
func (s *sim) step() bool {
	if s.over() {
		return false
	}

	nextTarget, engineAt := 0, never

	for i, target := range s.targets {
		if target.nextEvent < engineAt {
			nextTarget, engineAt = i, target.nextEvent
		}
	}

	arrivalAt := never
	if s.arrived < len(s.trace.Arrivals) {
		arrivalAt = s.trace.Arrivals[s.arrived].At
	}

	timerAt := never
	if len(s.timers) > 0 {
		timerAt = s.timers[0].at
	}

	switch {
	case timerAt == never && engineAt == never && arrivalAt == never:
		return false
	case engineAt <= timerAt && engineAt <= arrivalAt:
		// Engine events come first, so that timers and arrivals at the same time see their effects.
		s.now = epoch.Add(engineAt)
		s.advanceTarget(nextTarget)
	case timerAt <= arrivalAt:
		t := heap.Pop(&s.timers).(timer)
		s.now = epoch.Add(t.at)
		t.call()
	default:
		s.now = epoch.Add(arrivalAt)
		s.arrive(&s.trace.Arrivals[s.arrived])
	}

	return true
}

// reachable reports whether two data centres can communicate.
func (s *sim) reachable(a, b entity.DataCentre) bool {
	return a == b || a != s.cut && b != s.cut
}

// delay returns the one-way delay between two data centres.
func (s *sim) delay(a, b entity.DataCentre) time.Duration {
	if a == b {
		return 0
	}

	return s.deployment.CentreDelay
}

// targetsSeenFrom returns all targets as the hosts of the data centre from see them. Targets that can't be reached
// are in state Unknown, and a load report from before the last role change is left out.
func (s *sim) targetsSeenFrom(from entity.DataCentre) []routing.Target {
	all := make([]routing.Target, 0, len(s.targets))

	for _, target := range s.targets {
		t := routing.Target{Target: target.Target}
		t.Role = target.role

		if load, ok := target.engine.Load(s.now); ok {
			t.Load = load
		}

		switch {
		case !s.reachable(from, target.DataCentre):
			t.State = routing.Unknown
		case target.engine.Changing():
			t.State = routing.Changing
		case t.Load.Role != target.role:
			t.Load = entity.Load{} // reported before the last role change
		}

		all = append(all, t)
	}

	return all
}

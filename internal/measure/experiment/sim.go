package experiment

import (
	"container/heap"
	"math"
	"math/rand"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/routing"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
	"github.com/dotterelflow/dotterelflow/internal/standin/batch"
)

const (
	hostEvery  = time.Second            // tick of each entry host
	rolesEvery = 2 * time.Second        // tick of each authority
	tail       = 11 * time.Minute       // after the last arrival, for what is still in flight
	retryEvery = 100 * time.Millisecond // between attempts while no target is usable

	transferSetup = 20 * time.Millisecond // of a KV cache from engine to engine
	transferRate  = 100_000               // tokens of KV cache per second

	serviceSlots      = 16
	serviceStreamRate = 50 // calls per second of one slot
)

// epoch is the start of all runs.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// never is after all runs. Times of events are kept as durations from epoch, which compare fast.
const never = time.Duration(math.MaxInt64)

// timer is a function to call at a time.
type timer struct {
	at    time.Duration
	order int
	call  func()
}

// timers is a container/heap by time, then by order of making.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}

	return t[i].order < t[j].order
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

// unit is one target of the run.
type unit struct {
	table.Target
	engine  *batch.Engine
	next    time.Duration // of the engine's next event
	changed time.Time
	ordered time.Time // when the open order was given
	role    table.Role
}

// sim is one run.
type sim struct {
	deployment trace.Deployment
	trace      *trace.Trace
	variant    variant
	fifo       bool
	now        time.Time
	timers     timers
	order      int
	arrived    int // arrivals taken from the trace

	units    []*unit
	index    map[table.TargetID]int
	hosts    []*host
	byCentre map[table.DataCentre][]*host
	cut      table.DataCentre // cut off from the others; empty: none

	requests []*request
	byID     map[table.RequestID]*request // by the id of the current attempt
	open     int
	balancer *rand.Rand
	tally    tally
}

func newSim(d trace.Deployment, t *trace.Trace, v variant, fifo bool) *sim {
	s := &sim{
		deployment: d,
		trace:      t,
		variant:    v,
		fifo:       fifo || v.fifo,
		now:        epoch,
		index:      make(map[table.TargetID]int),
		byCentre:   make(map[table.DataCentre][]*host),
		byID:       make(map[table.RequestID]*request),
		balancer:   rand.New(rand.NewSource(t.Seed)),
	}

	prefill := d.Prefill
	if v.prefill > 0 {
		prefill = v.prefill
	}

	s.addUnits(prefill)
	s.addHosts()
	s.schedule()

	return s
}

// addUnits makes the targets, with the prefill engines spread over the data centres.
func (s *sim) addUnits(prefill int) {
	total, given := 0, 0

	for _, c := range s.deployment.Centres {
		total += c.Engines
	}

	seen := 0

	for _, c := range s.deployment.Centres {
		for n := range c.Engines {
			seen++

			role := table.Decode
			if given*total < prefill*seen && given < prefill {
				role = table.Prefill
				given++
			}

			s.addUnit(table.Target{
				ID: trace.EngineID(c.Name, n), Type: table.Engine, DataCentre: c.Name, Model: trace.ModelName,
				Role: role, Slots: trace.Slots, PrefillRate: trace.PrefillRate, DecodeRate: trace.DecodeRate,
			}, trace.StreamRate)
		}

		for n := range c.Services {
			s.addUnit(table.Target{
				ID: trace.ServiceID(c.Name, n), Type: table.Service, DataCentre: c.Name, Service: trace.ServiceName,
				Slots: serviceSlots, PrefillRate: 1, DecodeRate: serviceSlots * serviceStreamRate,
			}, serviceStreamRate)
		}
	}
}

// addUnit adds a target. A service is an engine whose calls are streams of one token.
func (s *sim) addUnit(t table.Target, stream table.Tokens) {
	role := t.Role
	if t.Type == table.Service {
		role = table.Decode
	}

	s.index[t.ID] = len(s.units)
	s.units = append(s.units, &unit{
		Target: t,
		role:   role,
		next:   never,
		engine: batch.New(s.now, batch.Options{
			Target: t.ID, Role: role, PrefillRate: t.PrefillRate, DecodeRate: t.DecodeRate, StreamRate: stream,
			Slots: t.Slots, CacheGap: 0.1, ReportEvery: time.Second, CacheTokens: 20_000, Seed: int64(len(s.units)) + s.trace.Seed,
		}),
	})
}

// schedule sets the ticks and the operations of the trace.
func (s *sim) schedule() {
	for i, c := range s.deployment.Centres {
		n := time.Duration(len(s.deployment.Centres))
		s.every(time.Duration(i)*hostEvery/n, hostEvery, func() { s.tick(c.Name) })
		s.every(time.Duration(i)*rolesEvery/n, rolesEvery, func() { s.decide(c.Name) })
	}

	for _, op := range s.trace.Operations {
		s.after(op.At, func() { s.operate(op) })
	}
}

func (s *sim) after(d time.Duration, call func()) {
	s.order++
	heap.Push(&s.timers, timer{at: s.now.Sub(epoch) + d, order: s.order, call: call})
}

// every calls call after first and then each period until the end of the run.
func (s *sim) every(first, period time.Duration, call func()) {
	s.after(first, func() {
		call()

		if !s.over() {
			s.every(period, period, call)
		}
	})
}

// over reports whether the run may end.
func (s *sim) over() bool {
	return s.arrived == len(s.trace.Arrivals) && (s.open == 0 || s.now.Sub(epoch) > s.trace.Length+tail)
}

// run runs the trace to its end.
func (s *sim) run() {
	for s.step() {
	}
}

// step takes the next event: an engine's, an arrival or a timer. It returns false at the end.
func (s *sim) step() bool {
	if s.over() {
		return false
	}

	first, at := 0, never

	for i, u := range s.units {
		if u.next < at {
			first, at = i, u.next
		}
	}

	arrival := never
	if s.arrived < len(s.trace.Arrivals) {
		arrival = s.trace.Arrivals[s.arrived].At
	}

	call := never
	if len(s.timers) > 0 {
		call = s.timers[0].at
	}

	switch {
	case call == never && at == never && arrival == never:
		return false
	case at <= call && at <= arrival: // first, so that all see the engines as of now
		s.now = epoch.Add(at)
		s.advance(first)
	case call <= arrival:
		t := heap.Pop(&s.timers).(timer)
		s.now = epoch.Add(t.at)
		t.call()
	default:
		s.now = epoch.Add(arrival)
		s.arrive(&s.trace.Arrivals[s.arrived])
	}

	return true
}

// reach reports whether two data centres can talk.
func (s *sim) reach(a, b table.DataCentre) bool {
	return a == b || a != s.cut && b != s.cut
}

// delay returns the one-way delay between two data centres.
func (s *sim) delay(a, b table.DataCentre) time.Duration {
	if a == b {
		return 0
	}

	return s.deployment.Distance
}

func (s *sim) targets(from table.DataCentre) []routing.Target {
	all := make([]routing.Target, 0, len(s.units))

	for _, u := range s.units {
		t := routing.Target{Target: u.Target}
		t.Role = u.role

		if load, ok := u.engine.Load(s.now); ok {
			t.Load = load
		}

		switch {
		case !s.reach(from, u.DataCentre):
			t.State = routing.Unknown
		case u.engine.Changing():
			t.State = routing.Changing
		case t.Load.Role != u.role:
			t.Load = table.Load{} // from before the last change
		}

		all = append(all, t)
	}

	return all
}

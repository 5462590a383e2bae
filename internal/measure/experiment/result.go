package experiment

import (
	"cmp"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

const (
	timelineStep = 10 * time.Second                           // step of a timeline
	histMax      = int64(15 * time.Minute / time.Microsecond) // largest value of a histogram, in microseconds
	histDigits   = 3                                          // significant digits of a histogram
)

// tally holds the counts of a run in progress.
type tally struct {
	roleChanges     int
	engineTimeLost  time.Duration // total time of role changes, from order to end
	refusals        int           // refusals by admission
	refusedByTarget int           // attempts that a target refused without running them
	mayHaveRun      int           // at-most-once requests that were lost after they were sent to a target
	prefillEngines  []int         // usable engines in the prefill role, by timelineStep
	decodeEngines   []int         // usable engines in the decode role, by timelineStep
}

// sampleRoles counts the engines in each role once per timelineStep. Engines that are changing or drained don't count.
func (t *tally) sampleRoles(s *sim) {
	if int(s.now.Sub(epoch)/timelineStep) < len(t.prefillEngines) {
		return
	}

	prefill, decode := 0, 0

	for _, target := range s.targets {
		switch {
		case target.Type != entity.Engine || target.engine.Changing() || target.Leaving:
		case target.role == entity.Prefill:
			prefill++
		default:
			decode++
		}
	}

	t.prefillEngines = append(t.prefillEngines, prefill)
	t.decodeEngines = append(t.decodeEngines, decode)
}

// Count counts requests, and those of them that were answered completely and within their objective.
type Count struct {
	Good  int `json:"good"`
	Total int `json:"total"`
}

// Share returns the share of good requests, or 1 if there are no requests.
func (c Count) Share() float64 {
	if c.Total == 0 {
		return 1
	}

	return float64(c.Good) / float64(c.Total)
}

func (c *Count) add(good bool) {
	c.Total++

	if good {
		c.Good++
	}
}

func (c *Count) merge(d Count) {
	c.Good += d.Good
	c.Total += d.Total
}

// Percentiles are percentiles of a duration in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Point holds the figures of one step of a timeline, which lasts timelineStep.
type Point struct {
	At      float64 `json:"at"`    // seconds from the start
	Count   Count   `json:"count"` // requests that arrived in the step
	Prefill int     `json:"prefill-engines"`
	Decode  int     `json:"decode-engines"`
	Mix     float64 `json:"mix"` // share of prefill in the arriving work, both in engine-seconds
}

// Result holds the figures of one run, or the sums over several runs of one policy.
type Result struct {
	Policy            string                    `json:"policy"`
	Variant           string                    `json:"variant,omitempty"`
	Seeds             []int64                   `json:"seeds"`
	All               Count                     `json:"all"`
	Urgency           map[string]Count          `json:"urgency"`
	Kinds             map[entity.KindName]Count `json:"kinds"`
	Phases            map[string]Count          `json:"phases"`
	UrgentByPhase     map[string]Count          `json:"urgent-by-phase"` // urgent requests by phase
	LostPatient       int                       `json:"lost-patient"`    // patient requests not answered within their objective
	MayHaveRun        int                       `json:"may-have-run"`    // at-most-once requests lost after they were sent to a target
	Unfinished        int                       `json:"unfinished"`      // requests neither answered nor lost at the end of the run
	Refusals          int                       `json:"refusals"`        // refusals by admission
	RefusedByTarget   int                       `json:"bounced"`         // attempts that a target refused without running them
	RoleChanges       int                       `json:"role-changes"`
	EngineSecondsLost float64                   `json:"engine-seconds-lost"` // time of engines in role changes, from order to end
	FirstToken        Percentiles               `json:"first-token-ms"`      // time to first token of urgent and ordinary model requests
	BetweenTokens     Percentiles               `json:"between-tokens-ms"`   // time between tokens of ordinary model requests
	Timeline          []Point                   `json:"timeline,omitempty"`

	first, between *hdrhistogram.Histogram // values of FirstToken and BetweenTokens, in microseconds
}

func newResult(policy, variant string) *Result {
	return &Result{
		Policy:        policy,
		Variant:       variant,
		Urgency:       make(map[string]Count),
		Kinds:         make(map[entity.KindName]Count),
		Phases:        make(map[string]Count),
		UrgentByPhase: make(map[string]Count),
		first:         hdrhistogram.New(1, histMax, histDigits),
		between:       hdrhistogram.New(1, histMax, histDigits),
	}
}

// result returns the figures of a run that has ended.
func (s *sim) result(policy string) *Result {
	x := newResult(policy, s.variant.name)
	x.Seeds = []int64{s.trace.Seed}
	x.RoleChanges = s.tally.roleChanges
	x.EngineSecondsLost = s.tally.engineTimeLost.Seconds()
	x.Refusals = s.tally.refusals
	x.RefusedByTarget = s.tally.refusedByTarget
	x.MayHaveRun = s.tally.mayHaveRun
	x.Timeline = s.timeline()

	for _, r := range s.requests {
		x.add(r, s.phase(r))
	}

	x.summarise()

	return x
}

// phase returns the name of the trace's phase in which r arrived.
func (s *sim) phase(r *request) string {
	for _, p := range s.trace.Phases {
		if r.arrival.At < p.To {
			return p.Name
		}
	}

	return ""
}

// add counts r, which arrived in phase.
func (x *Result) add(r *request, phase string) {
	good := r.good()
	x.All.add(good)

	if r.outcome == pending {
		x.Unfinished++
	}

	count(x.Urgency, r.kind.Urgency.String(), good)
	count(x.Kinds, r.kind.Name, good)
	count(x.Phases, phase, good)

	if r.kind.Urgency == entity.Urgent {
		count(x.UrgentByPhase, phase, good)
	}

	if r.kind.Urgency == entity.Patient && !good {
		x.LostPatient++
	}

	if r.pool == servicePool || r.kind.Urgency == entity.Patient || r.outcome != answered {
		return
	}

	record(x.first, r.firstToken.Sub(r.arrived))

	if r.kind.Urgency == entity.Ordinary && r.arrival.Decode > 1 {
		record(x.between, r.betweenTokens())
	}
}

func count[K comparable](m map[K]Count, k K, good bool) {
	c := m[k]
	c.add(good)
	m[k] = c
}

// record adds d to h, in microseconds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), histMax)) // fails only for values above histMax
}

// good reports whether r was answered completely and within its objective. Without an objective for the total time,
// the deadline applies.
func (r *request) good() bool {
	if r.outcome != answered {
		return false
	}

	o := r.kind.Objective
	within := func(d, bound time.Duration) bool { return bound == 0 || d <= bound }

	return within(r.finished.Sub(r.arrived), cmp.Or(o.Total, r.kind.Deadline)) &&
		(r.pool == servicePool || within(r.firstToken.Sub(r.arrived), o.FirstToken)) &&
		within(r.betweenTokens(), o.BetweenTokens)
}

// betweenTokens returns the mean time between output tokens, or zero for a service call or a single token.
func (r *request) betweenTokens() time.Duration {
	n := r.arrival.Decode - 1
	if n <= 0 || r.pool == servicePool {
		return 0
	}

	return r.finished.Sub(r.firstToken) / time.Duration(n)
}

// summarise computes the percentiles from the histograms.
func (x *Result) summarise() {
	x.FirstToken = percentiles(x.first)
	x.BetweenTokens = percentiles(x.between)
}

// percentiles returns the percentiles of h, whose values are microseconds.
func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

	return Percentiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// merge adds the figures of y, another run of the same policy. The timeline of x does not change.
func (x *Result) merge(y *Result) {
	x.Seeds = append(x.Seeds, y.Seeds...)
	x.All.merge(y.All)
	mergeCounts(x.Urgency, y.Urgency)
	mergeCounts(x.Kinds, y.Kinds)
	mergeCounts(x.Phases, y.Phases)
	mergeCounts(x.UrgentByPhase, y.UrgentByPhase)
	x.LostPatient += y.LostPatient
	x.MayHaveRun += y.MayHaveRun
	x.Unfinished += y.Unfinished
	x.Refusals += y.Refusals
	x.RefusedByTarget += y.RefusedByTarget
	x.RoleChanges += y.RoleChanges
	x.EngineSecondsLost += y.EngineSecondsLost
	x.first.Merge(y.first)
	x.between.Merge(y.between)
	x.summarise()
}

func mergeCounts[K comparable](to, from map[K]Count) {
	for k, c := range from {
		sum := to[k]
		sum.merge(c)
		to[k] = sum
	}
}

// timeline returns the figures of the run by time of arrival, in steps of timelineStep.
func (s *sim) timeline() []Point {
	points := make([]Point, int((s.trace.Length+timelineStep-1)/timelineStep))
	work := make([]struct{ prefill, decode float64 }, len(points))

	for _, r := range s.requests {
		i := int(r.arrival.At / timelineStep)
		points[i].Count.add(r.good())

		if r.pool == enginePool {
			work[i].prefill += float64(r.arrival.Prefill) / float64(trace.PrefillRate)
			work[i].decode += float64(r.arrival.Decode) / float64(trace.DecodeRate)
		}
	}

	for i := range points {
		p := &points[i]
		p.At = (time.Duration(i) * timelineStep).Seconds()

		if sum := work[i].prefill + work[i].decode; sum > 0 {
			p.Mix = work[i].prefill / sum
		}

		if i < len(s.tally.prefillEngines) {
			p.Prefill, p.Decode = s.tally.prefillEngines[i], s.tally.decodeEngines[i]
		}
	}

	return points
}

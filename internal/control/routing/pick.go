package routing

import (
	"math/rand"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Phase is the part of a request that needs a target.
type Phase uint8

const (
	// Whole is a service call, or prefill and decode on one mixed engine.
	Whole Phase = iota
	// Prefill is the prompt. A mixed engine that gets it runs the whole request.
	Prefill
	// Decode is the output, after the KV cache has been handed over.
	Decode
)

// Request is what Pick needs to know of a piece of work.
type Request struct {
	Model        table.Model       // set for engines
	Service      table.ServiceName // set for services
	Phase        Phase
	Urgency      table.Urgency
	Prefill      table.Tokens
	Decode       table.Tokens // output tokens expected
	Prefix       Prefix
	PrefixTokens table.Tokens     // prompt tokens that Prefix covers
	Near         table.DataCentre // where the work or its KV cache is; empty: this host's data centre
	Avoid        table.TargetID   // a target that refused or failed this request; empty: none
}

// Choice is a chosen target.
type Choice struct {
	Target     table.TargetID
	DataCentre table.DataCentre
	Role       table.Role
	Reuse      bool    // chosen where the prompt prefix is held
	Flight     *Flight // counts the work in flight there: Start on sending, End at the end
}

const (
	nearDraws   = 2 // candidates within the data centre
	farDraws    = 2 // candidates anywhere
	urgentDraws = 1 // further candidates for urgent work, near and anywhere

	// farMargin is what another data centre must gain, in seconds, to be worth the further hop.
	farMargin = 0.02
	// mixedRate is the part of its rate that a mixed engine gives to each of prefill and decode.
	mixedRate = 0.4
	// urgentWait is the part of the prompts pending that urgent work waits for: it overtakes others.
	urgentWait = 0.25
)

// Pick chooses a target for q with candidates drawn by rng. It reports false if no target may run
// q. It is safe for concurrent use when each goroutine has its own rng, and allocates nothing.
func (v *View) Pick(rng *rand.Rand, q Request) (Choice, bool) {
	if v == nil {
		return Choice{}, false
	}

	g := v.groups[groupKey{model: q.Model, service: q.Service, phase: q.Phase}]
	if g == nil {
		return Choice{}, false
	}

	s := search{view: v, request: &q, near: v.near(q.Near), best: -1}
	near, far := nearDraws, farDraws

	if q.Urgency == table.Urgent {
		near += urgentDraws
		far += urgentDraws
	}

	s.holders(g)
	s.draw(rng, g.near[s.near], near)

	if !v.local {
		s.draw(rng, g.all, far)
	}

	if s.best < 0 && !s.sweep(g) {
		return Choice{}, false
	}

	e := &v.entries[s.best]

	return Choice{Target: e.id, DataCentre: v.centres[e.dc], Role: e.role, Reuse: s.reuse, Flight: e.flight}, true
}

func (v *View) near(dc table.DataCentre) int {
	for i, c := range v.centres {
		if c == dc {
			return i
		}
	}

	return v.home
}

// search keeps the best candidate so far.
type search struct {
	view    *View
	request *Request
	near    int
	held    [2]int32 // entries that hold the prompt prefix, one up; zero means none
	best    int32
	score   float64
	reuse   bool
}

// holders tries the targets that hold the prompt prefix.
func (s *search) holders(g *group) {
	if s.request.Phase == Decode {
		return
	}

	for i, id := range s.view.prefixes.find(s.request.Prefix) {
		n, ok := s.view.index[id]
		if !ok || !s.member(g, n) {
			continue
		}

		s.held[i] = n + 1
		s.try(n)
	}
}

func (s *search) member(g *group, n int32) bool {
	dc := s.view.entries[n].dc
	if s.view.local && dc != s.near {
		return false
	}

	for _, m := range g.near[dc] {
		if m == n {
			return true
		}
	}

	return false
}

// draw tries n of from, chosen at random with repetition.
func (s *search) draw(rng *rand.Rand, from []int32, n int) {
	if len(from) == 0 {
		return
	}

	for range n {
		s.try(from[rng.Intn(len(from))])
	}
}

// sweep tries all when no draw gave a candidate and reports whether there is one.
func (s *search) sweep(g *group) bool {
	from := g.all
	if s.view.local {
		from = g.near[s.near]
	}

	for _, n := range from {
		s.try(n)
	}

	return s.best >= 0
}

// try makes n the best candidate if it is better than the one so far.
func (s *search) try(n int32) {
	e := &s.view.entries[n]
	if e.id == s.request.Avoid {
		return
	}

	held := s.held[0] == n+1 || s.held[1] == n+1
	score := s.view.score(e, s.request, s.near, held)

	if s.best >= 0 && score >= s.score {
		return
	}

	s.best, s.score, s.reuse = n, score, held
}

// score returns the seconds that e is expected to take for q; near is the data centre of q.
func (v *View) score(e *entry, q *Request, near int, held bool) float64 {
	load := e.load()
	seconds := 2 * v.distance[near][e.dc]

	if e.dc != near {
		seconds += farMargin
	}

	part := 1.0
	if e.role == table.Mixed && q.Service == "" {
		part = mixedRate
	}

	if q.Phase != Decode {
		seconds += e.prefillSeconds(q, load, held) / part
	}

	if q.Phase != Prefill || e.role == table.Mixed {
		seconds += e.decodeSeconds(q, load) / part
	}

	return seconds
}

// load adds own work that the load report can't have seen to the report.
func (e *entry) load() amounts {
	own := e.flight.since(e.base)

	return amounts{
		open:    e.reported.open + own.open*e.share,
		prefill: e.reported.prefill + own.prefill*e.share,
		decode:  e.reported.decode + own.decode*e.share,
	}
}

func (e *entry) prefillSeconds(q *Request, load amounts, held bool) float64 {
	wait := float64(load.prefill)
	if q.Urgency == table.Urgent {
		wait *= urgentWait
	}

	run := float64(q.Prefill)
	if held {
		run -= float64(min(q.PrefixTokens, q.Prefill))
	}

	return (wait + run) / e.prefillRate
}

// decodeSeconds shares the rate of e among its streams; streams beyond its slots wait for others
// to end.
func (e *entry) decodeSeconds(q *Request, load amounts) float64 {
	streams := float64(load.open) + 1
	seconds := float64(max(q.Decode, 1)) * min(streams, e.slots) / e.decodeRate

	over := streams - e.slots
	if over <= 0 {
		return seconds
	}

	mean := float64(load.decode) / float64(load.open)

	return seconds + over*mean/e.decodeRate
}

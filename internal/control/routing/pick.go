package routing

import (
	"math/rand"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Phase is the part of a request that needs a target.
type Phase uint8

const (
	// Whole is a service call, or both prefill and decode on a mixed engine.
	Whole Phase = iota
	// Prefill is the processing of the prompt. A mixed engine that gets it runs the whole request.
	Prefill
	// Decode is the generation of the output, after the transfer of the KV cache.
	Decode
)

// Request describes the work for which Pick chooses a target.
type Request struct {
	Model        entity.Model       // set for work on engines
	Service      entity.ServiceName // set for work on services
	Phase        Phase
	Urgency      entity.Urgency
	Prefill      entity.Tokens // prompt tokens
	Decode       entity.Tokens // output tokens expected
	Prefix       Prefix
	PrefixTokens entity.Tokens     // prompt tokens that Prefix covers
	Near         entity.DataCentre // data centre of the work or its KV cache; if empty or unknown, that of this host
	Avoid        entity.TargetID   // a target that refused or failed this request; empty if none
}

// Choice is a chosen target.
type Choice struct {
	Target     entity.TargetID
	DataCentre entity.DataCentre
	Role       entity.Role
	Reuse      bool    // whether the target is expected to have the prompt prefix cached
	Flight     *Flight // counts the work in flight on Target; call Start before sending and End when the work has ended
}

const (
	nearDraws   = 2 // number of candidates drawn from the data centre of the work
	farDraws    = 2 // number of candidates drawn from all data centres
	urgentDraws = 1 // number of additional candidates of each kind for urgent work

	// farMargin is the number of seconds, besides the network delay, that a target in another data centre must save.
	farMargin = 0.02
	// mixedShare is the fraction of its rate that a mixed engine is assumed to reach for each of prefill and decode.
	mixedShare = 0.4
	// urgentQueueShare is the fraction of the pending prefill that urgent work waits for, as urgent work goes first.
	urgentQueueShare = 0.25
)

// Pick chooses a target for q among candidates drawn with rng. It reports false if no target can run
// q. It is safe for concurrent use if each goroutine has its own rng, and allocates nothing.
func (v *View) Pick(rng *rand.Rand, q Request) (Choice, bool) {
	if v == nil {
		return Choice{}, false
	}

	g := v.groups[groupKey{model: q.Model, service: q.Service, phase: q.Phase}]
	if g == nil {
		return Choice{}, false
	}

	s := search{view: v, request: &q, nearIndex: v.centreIndex(q.Near), best: -1}
	nearCount, farCount := nearDraws, farDraws

	if q.Urgency == entity.Urgent {
		nearCount += urgentDraws
		farCount += urgentDraws
	}

	s.tryHolders(g)
	s.tryRandom(rng, g.byCentre[s.nearIndex], nearCount)

	if !v.local {
		s.tryRandom(rng, g.all, farCount)
	}

	if s.best < 0 && !s.tryAll(g) {
		return Choice{}, false
	}

	e := &v.entries[s.best]

	return Choice{Target: e.id, DataCentre: v.centres[e.dc], Role: e.role, Reuse: s.reuse, Flight: e.flight}, true
}

// centreIndex returns the index of dc, or that of the host's own data centre if dc is unknown.
func (v *View) centreIndex(dc entity.DataCentre) int {
	for i, c := range v.centres {
		if c == dc {
			return i
		}
	}

	return v.home
}

// search is the state of one Pick: the best candidate so far.
type search struct {
	view          *View
	request       *Request
	nearIndex     int      // index in View.centres of Request.Near
	holderEntries [2]int32 // 1 + the index in View.entries of each target that holds the prompt prefix; zero means none
	best          int32    // index in View.entries of the best candidate; -1 if none
	score         float64  // score of best, in seconds; see View.score
	reuse         bool     // whether best holds the prompt prefix
}

// tryHolders tries the targets of g that hold the prompt prefix.
func (s *search) tryHolders(g *group) {
	if s.request.Phase == Decode {
		return
	}

	for i, id := range s.view.prefixes.holdersOf(s.request.Prefix) {
		n, ok := s.view.index[id]
		if !ok || !s.inGroup(g, n) {
			continue
		}

		s.holderEntries[i] = n + 1
		s.try(n)
	}
}

// inGroup reports whether g has the entry with index n and the search may choose it.
func (s *search) inGroup(g *group, n int32) bool {
	dc := s.view.entries[n].dc
	if s.view.local && dc != s.nearIndex {
		return false
	}

	for _, m := range g.byCentre[dc] {
		if m == n {
			return true
		}
	}

	return false
}

// tryRandom tries n of the entries with the indexes from, drawn at random with replacement.
func (s *search) tryRandom(rng *rand.Rand, from []int32, n int) {
	if len(from) == 0 {
		return
	}

	for range n {
		s.try(from[rng.Intn(len(from))])
	}
}

// tryAll tries all entries of g that the search may choose and reports whether there is a candidate.
func (s *search) tryAll(g *group) bool {
	from := g.all
	if s.view.local {
		from = g.byCentre[s.nearIndex]
	}

	for _, n := range from {
		s.try(n)
	}

	return s.best >= 0
}

// try makes the entry with index n the best candidate if its score is lower than the best so far.
func (s *search) try(n int32) {
	e := &s.view.entries[n]
	if e.id == s.request.Avoid {
		return
	}

	held := s.holderEntries[0] == n+1 || s.holderEntries[1] == n+1
	score := s.view.score(e, s.request, s.nearIndex, held)

	if s.best >= 0 && score >= s.score {
		return
	}

	s.best, s.score, s.reuse = n, score, held
}

// score returns the seconds that q is expected to take on e, plus farMargin for another data centre. nearIndex is the
// index in View.centres of the data centre of q.
func (v *View) score(e *entry, q *Request, nearIndex int, held bool) float64 {
	load := e.load()
	seconds := 2 * v.distance[nearIndex][e.dc]

	if e.dc != nearIndex {
		seconds += farMargin
	}

	rateShare := 1.0
	if e.role == entity.Mixed && q.Service == "" {
		rateShare = mixedShare
	}

	if q.Phase != Decode {
		seconds += e.prefillSeconds(q, load, held) / rateShare
	}

	if q.Phase != Prefill || e.role == entity.Mixed {
		seconds += e.decodeSeconds(q, load) / rateShare
	}

	return seconds
}

// load returns the reported load plus the work of this host that the report cannot include yet.
func (e *entry) load() amounts {
	own := e.flight.sentSince(e.base)

	return amounts{
		open:    e.reported.open + own.open*e.ownFactor,
		prefill: e.reported.prefill + own.prefill*e.ownFactor,
		decode:  e.reported.decode + own.decode*e.ownFactor,
	}
}

// prefillSeconds returns the expected seconds until the prefill of q ends. If held, the prefix of q is cached.
func (e *entry) prefillSeconds(q *Request, load amounts, held bool) float64 {
	wait := float64(load.prefill)
	if q.Urgency == entity.Urgent {
		wait *= urgentQueueShare
	}

	run := float64(q.Prefill)
	if held {
		run -= float64(min(q.PrefixTokens, q.Prefill))
	}

	return (wait + run) / e.prefillRate
}

// decodeSeconds returns the expected seconds until the decode of q ends. The streams share the rate of e, and
// streams beyond its slots wait for others to end.
func (e *entry) decodeSeconds(q *Request, load amounts) float64 {
	streams := float64(load.open) + 1
	seconds := float64(max(q.Decode, 1)) * min(streams, e.slots) / e.decodeRate

	excess := streams - e.slots
	if excess <= 0 {
		return seconds
	}

	mean := float64(load.decode) / float64(load.open)

	return seconds + excess*mean/e.decodeRate
}

package roles

import (
	"slices"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// mixedShare is the part of its prefill rate and of its decode rate that a mixed engine achieves.
const mixedShare = 0.4

// maxStaleShare is the part of a model's engines that may lack a fresh report; beyond it no change is proposed.
const maxStaleShare = 1.0 / 3

// Propose returns the role change that the authority of dc should order now, or false if there is none. Equal
// inputs give equal results, and of several data centres with equal inputs at most one gets a proposal for a
// model.
func Propose(opt Options, in Input, dc entity.DataCentre) (Proposal, bool) {
	opt = opt.withDefaults()

	var (
		best  Proposal
		found bool
	)

	for _, model := range models(in, dc) {
		p, ok := propose(opt, in, dc, model)
		if ok && (!found || p.Gain > best.Gain) {
			best, found = p, true
		}
	}

	return best, found
}

// models returns the models of the engines of dc, sorted by name.
func models(in Input, dc entity.DataCentre) []entity.Model {
	var names []entity.Model

	for i := range in.Engines {
		if in.Engines[i].DataCentre == dc {
			names = append(names, in.Engines[i].Model)
		}
	}

	slices.Sort(names)

	return slices.Compact(names)
}

func propose(opt Options, in Input, dc entity.DataCentre, model entity.Model) (Proposal, bool) {
	f, ok := newModelFleet(opt, in, dc, model)
	if !ok || f.changing >= opt.MaxChanging {
		return Proposal{}, false
	}

	best := Proposal{}
	found := false

	for _, to := range []entity.Role{entity.Prefill, entity.Decode} {
		e, ok := f.candidate(to)
		if !ok {
			continue
		}

		gain := f.gain(e, to)
		if gain > best.Gain {
			best = Proposal{Target: e.Target, Role: to, Gain: gain}
			found = e.DataCentre == dc
		}
	}

	return best, found
}

// capacity holds tokens, or tokens per second.
type capacity struct {
	prefill, decode float64
}

// modelFleet is the state of one model over the data centres under consideration.
type modelFleet struct {
	opt      Options
	in       Input
	engines  []Engine // usable, with a fresh report, not changing
	current  capacity // tokens per second of engines
	pending  capacity // tokens per second of the changing engines, in their ordered roles
	changing int      // number of changing engines
	demand   Rate     // requests and tokens (not per second) over the horizon, with the backlog
}

// newModelFleet sums up the engines and the load of model that dc has to consider. It returns false if there is
// no engine or no demand, too many engines lack a fresh report or a load is stale.
func newModelFleet(opt Options, in Input, dc entity.DataCentre, model entity.Model) (*modelFleet, bool) {
	f := &modelFleet{opt: opt, in: in}
	total, stale := 0, 0

	for _, e := range in.Engines {
		if e.Model != model || e.Unusable || opt.LocalOnly && e.DataCentre != dc {
			continue
		}

		total++

		switch {
		case in.Now.Sub(e.ReportedAt) > opt.StaleAfter:
			stale++
		case e.Changing:
			f.changing++
			f.pending = f.pending.addEngine(e, e.Role)
		default:
			f.engines = append(f.engines, e)
			f.current = f.current.addEngine(e, e.Role)
		}
	}

	if total == 0 || float64(stale) > maxStaleShare*float64(total) {
		return nil, false
	}

	hasLoad := false

	for _, l := range in.Loads {
		if l.Model != model || opt.LocalOnly && l.DataCentre != dc {
			continue
		}

		if in.Now.Sub(l.At) > opt.StaleAfter {
			return nil, false
		}

		hasLoad = true
		f.demand = f.demand.Add(l.Rate.Scale(opt.Horizon.Seconds())).Add(l.Backlog)
	}

	return f, hasLoad && f.demand.Requests > 0
}

// candidate returns the engine that should change to role to, if any may change: one in the data centre that
// has the most engines of other roles, and there the engine with the fewest requests in flight.
func (f *modelFleet) candidate(to entity.Role) (Engine, bool) {
	counts := make(map[entity.DataCentre]int)

	for _, e := range f.engines {
		if e.Role != to {
			counts[e.DataCentre]++
		}
	}

	var (
		best  Engine
		found bool
	)

	for _, e := range f.engines {
		if e.Role == to || f.in.Now.Sub(e.ChangedAt) < f.opt.Dwell {
			continue
		}

		if !found || f.cheaper(e, best, counts) {
			best, found = e, true
		}
	}

	return best, found
}

func (f *modelFleet) cheaper(a, b Engine, counts map[entity.DataCentre]int) bool {
	if ca, cb := counts[a.DataCentre], counts[b.DataCentre]; ca != cb {
		return ca > cb
	}

	if a.DataCentre != b.DataCentre {
		return a.DataCentre < b.DataCentre
	}

	if a.Open != b.Open {
		return a.Open < b.Open
	}

	return a.Target < b.Target
}

// gain returns how many more requests are served within the horizon if e changes to role to, less the cost of
// the change in requests, each multiplied by its weight. It returns 0 if e is the last engine that can prefill, or the
// last that can decode.
func (f *modelFleet) gain(e Engine, to entity.Role) float64 {
	horizon, downtime := f.opt.Horizon.Seconds(), f.opt.Downtime.Seconds()

	unchanged := f.served(f.current.plus(f.pending).scale(horizon))
	after := f.current.removeEngine(e, e.Role).addEngine(e, to).plus(f.pending)
	during := f.current.removeEngine(e, e.Role).plus(f.pending)

	if during.prefill <= 0 && f.current.prefill > 0 || during.decode <= 0 && f.current.decode > 0 {
		return 0 // e is the last engine that can prefill, or the last that can decode
	}

	changed := f.served(after.scale(horizon - downtime).plus(during.scale(downtime)))

	perEngine := unchanged / horizon / float64(len(f.engines)+f.changing)
	cost := perEngine * downtime

	return f.opt.Weights.Goodput*(changed-unchanged) - f.opt.Weights.RoleChange*cost
}

// served returns the number of requests of f.demand that c, in tokens, can serve.
func (f *modelFleet) served(c capacity) float64 {
	part := 1.0
	c = c.scale(f.opt.Utilisation)

	if f.demand.Prefill > 0 {
		part = min(part, c.prefill/f.demand.Prefill)
	}

	if f.demand.Decode > 0 {
		part = min(part, c.decode/f.demand.Decode)
	}

	return f.demand.Requests * part
}

func (c capacity) plus(d capacity) capacity {
	return capacity{prefill: c.prefill + d.prefill, decode: c.decode + d.decode}
}

func (c capacity) scale(k float64) capacity {
	return capacity{prefill: c.prefill * k, decode: c.decode * k}
}

func (c capacity) addEngine(e Engine, role entity.Role) capacity {
	return c.plus(rates(e, role))
}

func (c capacity) removeEngine(e Engine, role entity.Role) capacity {
	return c.plus(rates(e, role).scale(-1))
}

// rates returns the tokens per second that e can process in role.
func rates(e Engine, role entity.Role) capacity {
	prefill, decode := float64(e.PrefillRate), float64(e.DecodeRate)

	switch role {
	case entity.Prefill:
		return capacity{prefill: prefill}
	case entity.Decode:
		return capacity{decode: decode}
	default:
		return capacity{prefill: prefill * mixedShare, decode: decode * mixedShare}
	}
}

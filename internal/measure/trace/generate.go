package trace

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Generate returns the trace of d for seed. Equal arguments give equal traces.
func Generate(d Deployment, seed int64) *Trace {
	t := &Trace{
		Deployment: d.Name,
		Seed:       seed,
		Length:     d.Phases[len(d.Phases)-1].To,
		Phases:     d.Phases,
	}

	for i := range d.Kinds {
		rng := rand.New(rand.NewSource(seed*1000 + int64(i)))
		t.Arrivals = append(t.Arrivals, kindArrivals(d, i, rng)...)
	}

	slices.SortStableFunc(t.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })

	for i := range t.Arrivals {
		t.Arrivals[i].Request = entity.RequestID(fmt.Sprint("r", i))
	}

	t.Operations = operations(d, rand.New(rand.NewSource(seed*1000+999)))

	return t
}

// EngineID returns the id of the nth engine of a data centre, counted from zero.
func EngineID(dc entity.DataCentre, n int) entity.TargetID {
	return entity.TargetID(fmt.Sprintf("%s-engine-%d", dc, n+1))
}

// ServiceID returns the id of the nth service replica of a data centre, counted from zero.
func ServiceID(dc entity.DataCentre, n int) entity.TargetID {
	return entity.TargetID(fmt.Sprintf("%s-service-%d", dc, n+1))
}

// kindArrivals returns the arrivals of one kind, given by its index. They are a Poisson process of changing rate,
// drawn by thinning a process of the highest rate.
func kindArrivals(d Deployment, kind int, rng *rand.Rand) []Arrival {
	k := &d.Kinds[kind]
	maxRate := 0.0

	for _, p := range d.Phases {
		maxRate = max(maxRate, k.PerSecond*cmp.Or(p.RateFactor, 1)*cmp.Or(p.KindFactors[k.Name], 1))
	}

	var all []Arrival

	end := d.Phases[len(d.Phases)-1].To
	at := time.Duration(0)

	for {
		at += time.Duration(rng.ExpFloat64() / maxRate * float64(time.Second))
		if at >= end {
			return all
		}

		if rng.Float64()*maxRate < k.PerSecond*rateFactor(d.Phases, k.Name, at) {
			all = append(all, newArrival(d, kind, at, rng))
		}
	}
}

// newArrival draws one arrival of a kind. Its request id is set later.
func newArrival(d Deployment, kind int, at time.Duration, rng *rand.Rand) Arrival {
	k := &d.Kinds[kind]
	a := Arrival{
		At:         at,
		Account:    entity.AccountID(fmt.Sprint("account-", 1+rng.Intn(d.Accounts))),
		Kind:       kind,
		DataCentre: d.Centres[rng.Intn(len(d.Centres))].Name,
		Prefill:    k.Prompt.draw(rng),
		Decode:     max(1, k.Output.draw(rng)),
	}

	if k.Prefixes > 0 {
		a.Prefix = uint64(kind*1000 + 1 + rng.Intn(k.Prefixes))
		a.PrefixTokens = min(k.PrefixTokens, a.Prefill)
	}

	return a
}

func (d LogNormal) draw(rng *rand.Rand) entity.Tokens {
	n := float64(d.Median) * math.Exp(d.Spread*rng.NormFloat64())

	return min(entity.Tokens(n), d.Max)
}

// rateFactor returns the factor on the calm rate of kind at the time at; zero after the last phase.
func rateFactor(phases []Phase, kind entity.KindName, at time.Duration) float64 {
	for _, p := range phases {
		if at < p.From || at >= p.To {
			continue
		}

		f := cmp.Or(p.RateFactor, 1)
		if p.SwingPeriod == 0 {
			return f * cmp.Or(p.KindFactors[kind], 1)
		}

		names := slices.Sorted(maps.Keys(p.KindFactors))
		turn := int((at - p.From) / p.SwingPeriod)

		if names[turn%len(names)] == kind {
			f *= p.KindFactors[kind]
		}

		return f
	}

	return 0
}

// operations returns the operations of a trace, ordered by time: three engines are drained in the phase "engines
// drained", of which two return, and a data centre is cut off for the phase "data centre cut".
func operations(d Deployment, rng *rand.Rand) []Operation {
	var ops []Operation

	for _, p := range d.Phases {
		switch p.Name {
		case "engines drained":
			ops = append(ops, drainOperations(d, p, rng)...)
		case "data centre cut":
			dc := d.Centres[rng.Intn(len(d.Centres))].Name
			ops = append(ops, Operation{At: p.From, Action: Cut, DataCentre: dc}, Operation{At: p.To, Action: Heal, DataCentre: dc})
		}
	}

	slices.SortStableFunc(ops, func(a, b Operation) int { return cmp.Compare(a.At, b.At) })

	return ops
}

// drainOperations returns operations that drain an engine in each of three data centres, 20 s apart, and let all but
// the first return.
func drainOperations(d Deployment, p Phase, rng *rand.Rand) []Operation {
	const drained, withdrawn = 3, 1

	var ops []Operation

	for i, c := range rng.Perm(len(d.Centres))[:drained] {
		dc := d.Centres[c]
		id := EngineID(dc.Name, rng.Intn(dc.Engines))
		ops = append(ops, Operation{At: p.From + time.Duration(i)*20*time.Second, Action: Drain, Target: id})

		if i >= withdrawn {
			ops = append(ops, Operation{At: p.To - time.Duration(i)*20*time.Second, Action: Return, Target: id})
		}
	}

	return ops
}

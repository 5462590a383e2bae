package experiment

import (
	"sort"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

// lookAhead is the time ahead for which the oracle sees the arrivals.
const lookAhead = time.Minute

// oracleVariants returns the runs that only the oracle has: a static split with one prefill engine less; the better
// online policies, Hysteresis and Chosen, with baseline admission; and the policy of package roles with the future
// demand of t in place of an estimate. The oracle's result for a seed is the best of these runs and of onlineResults.
func oracleVariants(d trace.Deployment, t *trace.Trace) []variant {
	var all []variant

	all = append(all, variant{name: "static split, one prefill less", policy: staticPolicy{}, prefill: d.PrefillEngines - 1})

	for _, name := range []string{Hysteresis, Chosen} {
		v := variants(name, d, t)[0]
		v.name += ", first in first out"
		v.fifo = true
		all = append(all, v)
	}

	sums := newDemandSums(d, t)

	opt := roles.Options{Horizon: lookAhead, Dwell: lookAhead / 3, MaxChanging: 4}
	all = append(all, variant{name: "foresight", policy: &oraclePolicy{opt: opt, futureDemand: sums}})

	return all
}

// demandSums holds cumulative sums of the model work that arrives in a trace, in order of time.
type demandSums struct {
	at   []time.Duration // times of the arrivals
	sums []roles.Rate    // sums[i] is the work that arrives before at[i]; the last element is the total
}

// newDemandSums returns the sums over the requests of t that a model serves.
func newDemandSums(d trace.Deployment, t *trace.Trace) *demandSums {
	ds := &demandSums{}
	sum := roles.Rate{}

	for _, a := range t.Arrivals {
		if d.Kinds[a.Kind].Model == "" {
			continue
		}

		ds.at = append(ds.at, a.At)
		ds.sums = append(ds.sums, sum)
		sum = sum.Add(roles.Rate{Requests: 1, Prefill: float64(a.Prefill), Decode: float64(a.Decode)})
	}

	ds.sums = append(ds.sums, sum)

	return ds
}

// oraclePolicy is the policy of package roles with the true future demand in place of the estimate. The backlog stays
// as reported.
type oraclePolicy struct {
	opt          roles.Options
	futureDemand *demandSums
}

func (o *oraclePolicy) propose(in roles.Input, dc entity.DataCentre) (roles.Proposal, bool) {
	now := in.Now.Sub(epoch)
	future := o.futureDemand.between(now, now+o.opt.Horizon).Scale(1 / o.opt.Horizon.Seconds())
	loads := make([]roles.Load, 0, len(in.Loads))

	for _, l := range in.Loads {
		l.Rate = future.Scale(1 / float64(len(in.Loads)))
		loads = append(loads, l)
	}

	in.Loads = loads

	return roles.Propose(o.opt, in, dc)
}

// between returns the work that arrives from the time from, inclusive, to the time to, exclusive.
func (ds *demandSums) between(from, to time.Duration) roles.Rate {
	index := func(d time.Duration) int {
		return sort.Search(len(ds.at), func(i int) bool { return ds.at[i] >= d })
	}

	return ds.sums[index(to)].Add(ds.sums[index(from)].Scale(-1))
}

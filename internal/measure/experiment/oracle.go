package experiment

import (
	"sort"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

// lookAhead is how far the oracle sees.
const lookAhead = time.Minute

// oracles returns runs that know the trace: other static splits, and the weighing of package roles
// with the demand of the time to come in place of an estimate. Of these, the online policies and
// the better of them with baseline admission, the best counts.
func oracles(d trace.Deployment, t *trace.Trace) []variant {
	var all []variant

	all = append(all, variant{name: "static split, one prefill less", policy: static{}, prefill: d.Prefill - 1})

	for _, name := range []string{Hysteresis, Chosen} {
		v := variants(name, d, t)[0]
		v.name += ", first in first out"
		v.fifo = true
		all = append(all, v)
	}

	ahead := newForesight(d, t)

	opt := roles.Options{Horizon: lookAhead, Dwell: lookAhead / 3, MaxChanging: 4}
	all = append(all, variant{name: "foresight", policy: &oracle{opt: opt, ahead: ahead}})

	return all
}

// foresight sums up the arrivals of a trace.
type foresight struct {
	at   []time.Duration
	sums []roles.Rate // before the arrival of that index
}

func newForesight(d trace.Deployment, t *trace.Trace) *foresight {
	f := &foresight{}
	sum := roles.Rate{}

	for _, a := range t.Arrivals {
		if d.Kinds[a.Kind].Model == "" {
			continue
		}

		f.at = append(f.at, a.At)
		f.sums = append(f.sums, sum)
		sum = sum.Add(roles.Rate{Requests: 1, Prefill: float64(a.Prefill), Decode: float64(a.Decode)})
	}

	f.sums = append(f.sums, sum)

	return f
}

// oracle replaces the estimate of demand by the demand to come. The backlog stays as reported.
type oracle struct {
	opt   roles.Options
	ahead *foresight
}

func (o *oracle) propose(in roles.Input, dc table.DataCentre) (roles.Proposal, bool) {
	now := in.Now.Sub(epoch)
	coming := o.ahead.between(now, now+o.opt.Horizon).Scale(1 / o.opt.Horizon.Seconds())
	loads := make([]roles.Load, 0, len(in.Loads))

	for _, l := range in.Loads {
		l.Rate = coming.Scale(1 / float64(len(in.Loads)))
		loads = append(loads, l)
	}

	in.Loads = loads

	return roles.Propose(o.opt, in, dc)
}

// between returns what arrives from one time until before another.
func (f *foresight) between(from, to time.Duration) roles.Rate {
	index := func(d time.Duration) int {
		return sort.Search(len(f.at), func(i int) bool { return f.at[i] >= d })
	}

	return f.sums[index(to)].Add(f.sums[index(from)].Scale(-1))
}

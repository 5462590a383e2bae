package scaling

import (
	"math"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/rolesplit"
)

const (
	// smoothTime is the time constant of the average of the demand: shorter than a start, longer than the gaps between requests.
	smoothTime = time.Second
	// peakWindow is how long a peak of the demand counts. Peaks that return within it find their replicas still there.
	peakWindow = 12 * time.Second
	// steepGrowth is the growth within the time of a start below which demand is taken to be steady.
	steepGrowth = 1.25
)

// Load is the work of a number of hosts for one service.
type Load struct {
	Prefill  float64 // prompt tokens per second, without those that are expected to be cached
	Running  float64 // requests being answered
	KVTokens float64 // tokens in the KV cache of those requests
}

func (l Load) add(other Load, times float64) Load {
	return Load{l.Prefill + times*other.Prefill, l.Running + times*other.Running, l.KVTokens + times*other.KVTokens}
}

// Heard is the work of one host from which this host hears.
type Heard struct {
	DataCentre entity.DataCentre
	Load       Load
}

// Extrapolate returns the work of all hosts, of which there are counts[dc] in each data centre, from those of which it is heard. The hosts
// of a data centre are taken to be alike; those of one without any that is heard are taken to be like the mean of all others.
func Extrapolate(heard []Heard, counts map[entity.DataCentre]int) Load {
	var sum, total Load

	byCentre := map[entity.DataCentre]Load{}
	hosts := map[entity.DataCentre]int{}

	for _, h := range heard {
		byCentre[h.DataCentre] = byCentre[h.DataCentre].add(h.Load, 1)
		hosts[h.DataCentre]++
		sum = sum.add(h.Load, 1)
	}

	for dc, l := range byCentre {
		total = total.add(l, float64(max(counts[dc], hosts[dc]))/float64(hosts[dc]))
	}

	for dc, n := range counts {
		if hosts[dc] == 0 && len(heard) > 0 {
			total = total.add(sum, float64(n)/float64(len(heard)))
		}
	}

	return total
}

// sample is the smoothed demand at a time.
type sample struct {
	at     time.Time
	demand rolesplit.Demand
}

// history is the demand of the last peakWindow.
type history struct {
	samples []sample // oldest first
}

// add records the demand at now.
func (h *history) add(now time.Time, d rolesplit.Demand) {
	if n := len(h.samples); n > 0 {
		last := h.samples[n-1]
		weight := 1 - math.Exp(-max(now.Sub(last.at).Seconds(), 0)/smoothTime.Seconds())
		d.Prefill = last.demand.Prefill + weight*(d.Prefill-last.demand.Prefill)
		d.Decode = last.demand.Decode + weight*(d.Decode-last.demand.Decode)
	}

	h.samples = append(h.samples, sample{now, d})

	old := 0
	for now.Sub(h.samples[old].at) > peakWindow {
		old++
	}

	h.samples = h.samples[old:]
}

// peak returns the greatest demand of each role in the window, or the present one with its growth in the time ahead, if that is greater.
func (h *history) peak(ahead time.Duration) rolesplit.Demand {
	var peak rolesplit.Demand

	if len(h.samples) == 0 {
		return peak
	}

	last := h.samples[len(h.samples)-1]
	before := last.demand

	for _, s := range h.samples {
		peak.Prefill, peak.Decode = max(peak.Prefill, s.demand.Prefill), max(peak.Decode, s.demand.Decode)

		if last.at.Sub(s.at) >= ahead {
			before = s.demand
		}
	}

	return rolesplit.Demand{
		Prefill: max(peak.Prefill, grown(before.Prefill, last.demand.Prefill)),
		Decode:  max(peak.Decode, grown(before.Decode, last.demand.Decode)),
	}
}

// least returns the least demand of each role in the window.
func (h *history) least() rolesplit.Demand {
	least := rolesplit.Demand{Prefill: math.Inf(1), Decode: math.Inf(1)}

	for _, s := range h.samples {
		least.Prefill, least.Decode = min(least.Prefill, s.demand.Prefill), min(least.Decode, s.demand.Decode)
	}

	return least
}

// grown returns the demand that follows before and now if it grows on at the same pace. It is at most half above now.
func grown(before, now float64) float64 {
	if now < steepGrowth*before || before == 0 {
		return now
	}

	return min(2*now-before, now*3/2)
}

package admission

import (
	"math"
	"time"
)

// resource indexes the two kinds of tokens.
type resource int

const (
	prefill resource = iota
	decode
	resourceCount
)

// amounts holds tokens, or tokens a second, of each resource.
type amounts [resourceCount]float64

// meter is a leaky bucket of tokens: level rises by the tokens of work and drains at a given rate. It never falls
// below zero, so unused rate is not saved up.
type meter struct {
	level amounts
	at    time.Time // time of the last drain
}

// drain lowers the level by share of rate over the time since the last call. A resource without a rate gets
// level zero.
func (m *meter) drain(now time.Time, rate amounts, share float64) {
	dt := now.Sub(m.at).Seconds()
	if dt <= 0 {
		return
	}

	m.at = now

	for r := range m.level {
		m.level[r] = max(0, m.level[r]-rate[r]*share*dt)

		if rate[r] <= 0 {
			m.level[r] = 0
		}
	}
}

func (m *meter) add(a amounts) {
	for r := range m.level {
		m.level[r] = max(0, m.level[r]+a[r])
	}
}

// below reports whether the level of each resource in need is lower than rate times seconds. A resource without a
// rate is always below.
func (m *meter) below(need, rate amounts, seconds float64) bool {
	for r := range m.level {
		if need[r] > 0 && rate[r] > 0 && m.level[r] >= rate[r]*seconds {
			return false
		}
	}

	return true
}

// excess returns the seconds until the levels have drained to rate times seconds, or zero if they are no higher.
func (m *meter) excess(need, rate amounts, seconds float64) float64 {
	var worst float64

	for r := range m.level {
		if need[r] > 0 && rate[r] > 0 {
			worst = max(worst, m.level[r]/rate[r]-seconds)
		}
	}

	return worst
}

// average is an exponentially weighted mean of samples; the zero value has no samples.
type average struct {
	value float64
	set   bool
}

const averageWeight = 0.1

func (a *average) sample(v float64) {
	if !a.set {
		a.value, a.set = v, true

		return
	}

	a.value += averageWeight * (v - a.value)
}

// differs reports whether a differs by more than 5 % from its earlier value, or only one of the two has samples.
func (a average) differs(was average) bool {
	const tolerance = 0.05

	return a.set != was.set || math.Abs(a.value-was.value) > tolerance*was.value
}

// decayedRate is an exponentially weighted rate per second, with the time constant rateTimeConstant.
type decayedRate struct {
	value float64
	at    time.Time
}

func (r *decayedRate) add(now time.Time, v float64) {
	r.value = r.read(now) + v/rateTimeConstant.Seconds()
	r.at = now
}

func (r *decayedRate) read(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}

	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateTimeConstant.Seconds())
}

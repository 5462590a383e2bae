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

// meter is the work that was started and not yet absorbed at its rate. It never falls below zero,
// so unused rate is not saved up.
type meter struct {
	level amounts
	at    time.Time
}

// drain absorbs what rate allowed since the last call. A resource without a rate keeps no level.
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

// below reports whether each resource that need uses has a level under that many seconds of rate.
// A resource without a rate is always below.
func (m *meter) below(need, rate amounts, seconds float64) bool {
	for r := range m.level {
		if need[r] > 0 && rate[r] > 0 && m.level[r] >= rate[r]*seconds {
			return false
		}
	}

	return true
}

// excess returns the seconds until below holds.
func (m *meter) excess(need, rate amounts, seconds float64) float64 {
	var worst float64

	for r := range m.level {
		if need[r] > 0 && rate[r] > 0 {
			worst = max(worst, m.level[r]/rate[r]-seconds)
		}
	}

	return worst
}

// average is an exponentially weighted mean of samples; the zero value has none.
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

// differs reports whether a has moved away from what it was by more than estimates can bear.
func (a average) differs(was average) bool {
	const bearable = 0.05

	return a.set != was.set || math.Abs(a.value-was.value) > bearable*was.value
}

// flowRate is an exponentially weighted rate per second.
type flowRate struct {
	value float64
	at    time.Time
}

func (f *flowRate) add(now time.Time, v float64) {
	f.value = f.read(now) + v/smoothing.Seconds()
	f.at = now
}

func (f *flowRate) read(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}

	return f.value * math.Exp(-now.Sub(f.at).Seconds()/smoothing.Seconds())
}

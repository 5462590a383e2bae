package roles

import (
	"cmp"
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Rate is demand: requests and tokens per second.
type Rate struct {
	Requests float64 `json:"requests"`
	Prefill  float64 `json:"prefill"`
	Decode   float64 `json:"decode"`
}

// Add returns the sum of r and s.
func (r Rate) Add(s Rate) Rate {
	return Rate{Requests: r.Requests + s.Requests, Prefill: r.Prefill + s.Prefill, Decode: r.Decode + s.Decode}
}

// Scale returns r times k.
func (r Rate) Scale(k float64) Rate {
	return Rate{Requests: r.Requests * k, Prefill: r.Prefill * k, Decode: r.Decode * k}
}

// Source names where demand comes from.
type Source struct {
	DataCentre table.DataCentre
	Model      table.Model
}

// DemandOptions describe a Demand. A zero field takes its default.
type DemandOptions struct {
	Window  time.Duration // time constant of the rates; 30 s by default
	Patient time.Duration // the same for patient work, which may wait; 60 s by default
	Kinds   int           // kinds of all accounts whose output is remembered; 16,384 by default
	Learn   float64       // weight of the newest output in the prediction; 0.05 by default
}

// Usage is what a finished request took.
type Usage struct {
	Prompt table.Tokens
	Cached table.Tokens // of the prompt, from a prefix cache
	Output table.Tokens
}

// kindKey names a kind of one account.
type kindKey struct {
	account table.AccountID
	kind    table.KindName
}

// kindUsage is what requests of a kind took in the mean.
type kindUsage struct {
	output float64 // tokens
	cached float64 // part of the prompt
}

// rateKey is a source of demand that is averaged over a window of its own.
type rateKey struct {
	Source
	patient bool
}

// decayedRate is a sum that decays by the time constant of Demand.
type decayedRate struct {
	at  time.Time
	sum Rate
}

// Demand estimates what arrives at this entry host. Make it with NewDemand.
type Demand struct {
	opt   DemandOptions
	rates map[rateKey]*decayedRate
	usage *lru.Cache[kindKey, kindUsage]
}

// NewDemand returns a Demand that has seen nothing.
func NewDemand(opt DemandOptions) *Demand {
	opt.Window = cmp.Or(opt.Window, 30*time.Second)
	opt.Patient = cmp.Or(opt.Patient, time.Minute)
	opt.Kinds = cmp.Or(opt.Kinds, 16_384)
	opt.Learn = cmp.Or(opt.Learn, 0.05)

	habits, err := lru.New[kindKey, kindUsage](max(1, opt.Kinds))
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &Demand{opt: opt, rates: make(map[rateKey]*decayedRate), usage: habits}
}

// Predict returns the prompt tokens that a request will have to run and the output tokens that it
// will give. Until a request of the kind has ended, no prefix hit and half of the limit are expected.
func (d *Demand) Predict(account table.AccountID, kind table.KindName, prompt, limit table.Tokens) (prefill, decode table.Tokens) {
	h, ok := d.usage.Get(kindKey{account, kind})
	if !ok {
		return prompt, (limit + 1) / 2
	}

	return prompt - table.Tokens(h.cached*float64(prompt)), table.Tokens(math.Ceil(h.output))
}

// Learn notes what a finished request took.
func (d *Demand) Learn(account table.AccountID, kind table.KindName, u Usage) {
	k := kindKey{account, kind}
	seen := kindUsage{output: float64(u.Output), cached: float64(u.Cached) / float64(max(u.Prompt, 1))}

	h, ok := d.usage.Get(k)
	if !ok {
		h = seen
	}

	h.output += d.opt.Learn * (seen.output - h.output)
	h.cached += d.opt.Learn * (seen.cached - h.cached)
	d.usage.Add(k, h)
}

// Admit notes a request that was admitted at now, with its predicted tokens.
func (d *Demand) Admit(now time.Time, s Source, u table.Urgency, prefill, decode table.Tokens) {
	k := rateKey{Source: s, patient: u == table.Patient}

	x, ok := d.rates[k]
	if !ok {
		x = &decayedRate{at: now}
		d.rates[k] = x
	}

	x.sum = x.sum.Scale(decay(now.Sub(x.at), d.window(k)))
	x.sum = x.sum.Add(Rate{Requests: 1, Prefill: float64(prefill), Decode: float64(decode)})
	x.at = now
}

// Rate returns the demand of s at now. Patient work is averaged over a longer time, as its waves
// may be worked off later.
func (d *Demand) Rate(now time.Time, s Source) Rate {
	var sum Rate

	for _, patient := range []bool{false, true} {
		k := rateKey{Source: s, patient: patient}

		x, ok := d.rates[k]
		if !ok {
			continue
		}

		window := d.window(k)
		sum = sum.Add(x.sum.Scale(decay(now.Sub(x.at), window) / window.Seconds()))
	}

	return sum
}

func (d *Demand) window(k rateKey) time.Duration {
	if k.patient {
		return d.opt.Patient
	}

	return d.opt.Window
}

func decay(age, window time.Duration) float64 {
	return math.Exp(-max(age.Seconds(), 0) / window.Seconds())
}

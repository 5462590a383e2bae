package roles

import (
	"cmp"
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Rate is a demand in requests and tokens per second.
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

// Source is a data centre and the model that is requested there.
type Source struct {
	DataCentre entity.DataCentre
	Model      entity.Model
}

// DemandOptions are the parameters of a Demand. A zero field takes its default.
type DemandOptions struct {
	Window        time.Duration // time constant of the rates of urgent and ordinary work; 30 s by default
	PatientWindow time.Duration // time constant for patient work, which may wait; 60 s by default
	MaxKinds      int           // maximum number of kinds, over all accounts, whose mean usage is kept; 16,384 by default
	LearningRate  float64       // weight of the newest request in the mean usage; 0.05 by default
}

// Usage is the tokens of a finished request.
type Usage struct {
	Prompt entity.Tokens
	Cached entity.Tokens // prompt tokens found in a prefix cache
	Output entity.Tokens
}

// kindKey identifies a kind of one account.
type kindKey struct {
	account entity.AccountID
	kind    entity.KindName
}

// kindUsage is the exponentially weighted mean usage of the requests of a kind.
type kindUsage struct {
	output float64 // mean output tokens
	cached float64 // mean cached part of the prompt, 0 to 1
}

// rateKey identifies a rate. Patient work has a rate of its own, with a longer window.
type rateKey struct {
	Source
	patient bool
}

// decayedRate is a sum of requests and tokens that decays with the time constant of its window.
type decayedRate struct {
	at  time.Time
	sum Rate
}

// Demand estimates the requests and tokens per second that arrive at this entry host. Make it with NewDemand.
type Demand struct {
	opt   DemandOptions
	rates map[rateKey]*decayedRate
	usage *lru.Cache[kindKey, kindUsage]
}

// NewDemand returns a Demand without any requests.
func NewDemand(opt DemandOptions) *Demand {
	opt.Window = cmp.Or(opt.Window, 30*time.Second)
	opt.PatientWindow = cmp.Or(opt.PatientWindow, time.Minute)
	opt.MaxKinds = cmp.Or(opt.MaxKinds, 16_384)
	opt.LearningRate = cmp.Or(opt.LearningRate, 0.05)

	usage, err := lru.New[kindKey, kindUsage](max(1, opt.MaxKinds))
	if err != nil {
		panic(err) // lru.New fails only for a size below 1
	}

	return &Demand{opt: opt, rates: make(map[rateKey]*decayedRate), usage: usage}
}

// Predict returns the predicted prompt tokens that a request has to compute, without those from a prefix
// cache, and its predicted output tokens. Until a request of the kind has ended, it assumes no cached tokens
// and an output of half of limit.
func (d *Demand) Predict(account entity.AccountID, kind entity.KindName, prompt, limit entity.Tokens) (prefill, decode entity.Tokens) {
	mean, ok := d.usage.Get(kindKey{account, kind})
	if !ok {
		return prompt, (limit + 1) / 2
	}

	return prompt - entity.Tokens(mean.cached*float64(prompt)), entity.Tokens(math.Ceil(mean.output))
}

// Learn updates the prediction for kind of account with the usage of a finished request.
func (d *Demand) Learn(account entity.AccountID, kind entity.KindName, u Usage) {
	k := kindKey{account, kind}
	newest := kindUsage{output: float64(u.Output), cached: float64(u.Cached) / float64(max(u.Prompt, 1))}

	mean, ok := d.usage.Get(k)
	if !ok {
		mean = newest
	}

	mean.output += d.opt.LearningRate * (newest.output - mean.output)
	mean.cached += d.opt.LearningRate * (newest.cached - mean.cached)
	d.usage.Add(k, mean)
}

// Admit adds a request that was admitted at now, with its predicted tokens, to the demand.
func (d *Demand) Admit(now time.Time, s Source, u entity.Urgency, prefill, decode entity.Tokens) {
	k := rateKey{Source: s, patient: u == entity.Patient}

	r, ok := d.rates[k]
	if !ok {
		r = &decayedRate{at: now}
		d.rates[k] = r
	}

	r.sum = r.sum.Scale(decay(now.Sub(r.at), d.window(k)))
	r.sum = r.sum.Add(Rate{Requests: 1, Prefill: float64(prefill), Decode: float64(decode)})
	r.at = now
}

// Rate returns the demand of s at now. Patient work is averaged over a longer window, as its peaks may be
// processed later.
func (d *Demand) Rate(now time.Time, s Source) Rate {
	var sum Rate

	for _, patient := range []bool{false, true} {
		k := rateKey{Source: s, patient: patient}

		r, ok := d.rates[k]
		if !ok {
			continue
		}

		window := d.window(k)
		sum = sum.Add(r.sum.Scale(decay(now.Sub(r.at), window) / window.Seconds()))
	}

	return sum
}

func (d *Demand) window(k rateKey) time.Duration {
	if k.patient {
		return d.opt.PatientWindow
	}

	return d.opt.Window
}

func decay(age, window time.Duration) float64 {
	return math.Exp(-max(age.Seconds(), 0) / window.Seconds())
}

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
	Window time.Duration // time constant of the rates; 20 s by default
	Kinds  int           // kinds of all accounts whose output is remembered; 16,384 by default
	Learn  float64       // weight of the newest output in the prediction; 0.05 by default
}

// kindKey names a kind of one account.
type kindKey struct {
	account table.AccountID
	kind    table.KindName
}

// decayed is a sum that decays by the time constant of Demand.
type decayed struct {
	at  time.Time
	sum Rate
}

// Demand estimates what arrives at this entry host. Make it with NewDemand.
type Demand struct {
	opt     DemandOptions
	rates   map[Source]*decayed
	outputs *lru.Cache[kindKey, float64]
}

// NewDemand returns a Demand that has seen nothing.
func NewDemand(opt DemandOptions) *Demand {
	opt.Window = cmp.Or(opt.Window, 20*time.Second)
	opt.Kinds = cmp.Or(opt.Kinds, 16_384)
	opt.Learn = cmp.Or(opt.Learn, 0.05)

	outputs, err := lru.New[kindKey, float64](max(1, opt.Kinds))
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &Demand{opt: opt, rates: make(map[Source]*decayed), outputs: outputs}
}

// Predict returns the output tokens to expect of a request. Until an output of the kind is known
// it is half of the limit.
func (d *Demand) Predict(account table.AccountID, kind table.KindName, limit table.Tokens) table.Tokens {
	mean, ok := d.outputs.Get(kindKey{account, kind})
	if !ok {
		return (limit + 1) / 2
	}

	return table.Tokens(math.Ceil(mean))
}

// Learn notes the output tokens of a finished request.
func (d *Demand) Learn(account table.AccountID, kind table.KindName, output table.Tokens) {
	k := kindKey{account, kind}

	mean, ok := d.outputs.Get(k)
	if !ok {
		mean = float64(output)
	}

	d.outputs.Add(k, mean+d.opt.Learn*(float64(output)-mean))
}

// Admit notes a request that was admitted at now.
func (d *Demand) Admit(now time.Time, s Source, prefill, decode table.Tokens) {
	x, ok := d.rates[s]
	if !ok {
		x = &decayed{at: now}
		d.rates[s] = x
	}

	x.sum = x.sum.Scale(d.decay(x.at, now)).Add(Rate{Requests: 1, Prefill: float64(prefill), Decode: float64(decode)})
	x.at = now
}

// Rate returns the demand of s at now.
func (d *Demand) Rate(now time.Time, s Source) Rate {
	x, ok := d.rates[s]
	if !ok {
		return Rate{}
	}

	return x.sum.Scale(d.decay(x.at, now) / d.opt.Window.Seconds())
}

func (d *Demand) decay(from, to time.Time) float64 {
	return math.Exp(-max(to.Sub(from).Seconds(), 0) / d.opt.Window.Seconds())
}

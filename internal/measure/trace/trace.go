package trace

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Error is the class of this package's errors.
var Error = errs.Class("trace")

// Centre is one data centre of a Deployment.
type Centre struct {
	Name     table.DataCentre `json:"name"`
	Hosts    int              `json:"hosts"`
	Engines  int              `json:"engines"`
	Services int              `json:"services"`
}

// Size is a distribution of tokens: log-normal with a median and a spread, bounded above.
type Size struct {
	Median table.Tokens
	Spread float64 // standard deviation of the logarithm
	Most   table.Tokens
}

// Kind is a request kind with its arrivals.
type Kind struct {
	table.Kind
	PerSecond    float64 // in calm times
	Prompt       Size
	Output       Size
	Prefixes     int          // number of shared prompt prefixes; zero means none
	PrefixTokens table.Tokens // at the start of each prompt
}

// Deployment is the fleet and the work of one user.
type Deployment struct {
	Name     string
	Weights  table.Weights
	Centres  []Centre
	Distance time.Duration // one way between data centres
	Client   time.Duration // one way to clients
	Kinds    []Kind
	Accounts int
	Phases   []Phase
	Prefill  int // engines in the prefill role at the start
}

// Phase is a stretch of time with its own load. Rates are those of calm times by a factor.
type Phase struct {
	Name   string                     `json:"name"`
	From   time.Duration              `json:"from"`
	To     time.Duration              `json:"to"`
	Wave   bool                       `json:"wave"`
	All    float64                    `json:"all"`              // factor on all kinds; zero counts as 1
	Kinds  map[table.KindName]float64 `json:"kinds,omitempty"`  // further factors
	Swings time.Duration              `json:"swings,omitempty"` // time for which each of Kinds in turn has its factor
}

// Arrival is one request.
type Arrival struct {
	At           time.Duration    `json:"at"`
	Request      table.RequestID  `json:"request"`
	Account      table.AccountID  `json:"account"`
	Kind         int              `json:"kind"` // indexes Deployment.Kinds
	DataCentre   table.DataCentre `json:"data-centre"`
	Prefill      table.Tokens     `json:"prefill"`
	Decode       table.Tokens     `json:"decode"`
	Prefix       uint64           `json:"prefix,omitempty"`
	PrefixTokens table.Tokens     `json:"prefix-tokens,omitempty"`
}

// Action is what an Operation does.
type Action string

// Actions of operators and of failures.
const (
	Drain  Action = "drain"  // the engine gets no new work
	Return Action = "return" // the engine is back
	Cut    Action = "cut"    // the data centre reaches no other
	Heal   Action = "heal"   // the data centre is back
)

// Operation is one event of the fleet.
type Operation struct {
	At         time.Duration    `json:"at"`
	Action     Action           `json:"action"`
	Target     table.TargetID   `json:"target,omitempty"`
	DataCentre table.DataCentre `json:"data-centre,omitempty"`
}

// Trace is a run of a deployment, ordered by time.
type Trace struct {
	Deployment string        `json:"deployment"`
	Seed       int64         `json:"seed"`
	Length     time.Duration `json:"length"`
	Phases     []Phase       `json:"phases"`
	Arrivals   []Arrival     `json:"arrivals"`
	Operations []Operation   `json:"operations"`
}

// Lookup returns the deployment of that name.
func Lookup(name string) (Deployment, error) {
	for _, d := range []Deployment{Dombud(), Qafzeh()} {
		if d.Name == name {
			return d, nil
		}
	}

	return Deployment{}, Error.New("unknown deployment %q, want dombud or qafzeh", name)
}

package trace

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Error is the class of this package's errors.
var Error = errs.Class("trace")

// Centre is one data centre of a Deployment, with its numbers of entry hosts, engines and service replicas.
type Centre struct {
	Name     entity.DataCentre `json:"name"`
	Hosts    int               `json:"hosts"`
	Engines  int               `json:"engines"`
	Services int               `json:"services"`
}

// LogNormal is a log-normal distribution of numbers of tokens, bounded above.
type LogNormal struct {
	Median entity.Tokens
	Spread float64       // standard deviation of the logarithm
	Max    entity.Tokens // limit on a draw
}

// Kind is a request kind with the distribution of its requests.
type Kind struct {
	entity.Kind
	PerSecond    float64 // requests per second in calm times
	Prompt       LogNormal
	Output       LogNormal
	Prefixes     int           // number of shared prompt prefixes; zero means none
	PrefixTokens entity.Tokens // length of each of the prefixes
}

// Deployment describes the fleet and the load of one user.
type Deployment struct {
	Name           string
	Weights        entity.Weights
	Centres        []Centre
	CentreDelay    time.Duration // one-way delay between data centres
	ClientDelay    time.Duration // one-way delay between clients and entry hosts
	Kinds          []Kind
	Accounts       int
	Phases         []Phase
	PrefillEngines int // engines in the prefill role at the start
}

// Phase is a part of a trace with its own load. The rate of each kind is its rate in calm times multiplied by factors.
type Phase struct {
	Name        string                      `json:"name"`
	From        time.Duration               `json:"from"`
	To          time.Duration               `json:"to"`
	Wave        bool                        `json:"wave"`             // high load, in which the experiment checks the urgent requests
	RateFactor  float64                     `json:"all"`              // factor on the rates of all kinds; zero counts as 1
	KindFactors map[entity.KindName]float64 `json:"kinds,omitempty"`  // further factors on the rates of single kinds
	SwingPeriod time.Duration               `json:"swings,omitempty"` // if set, the factors of KindFactors apply one at a time, in turns of this length
}

// Arrival is one request of a trace.
type Arrival struct {
	At           time.Duration     `json:"at"`
	Request      entity.RequestID  `json:"request"`
	Account      entity.AccountID  `json:"account"`
	Kind         int               `json:"kind"` // indexes Deployment.Kinds
	DataCentre   entity.DataCentre `json:"data-centre"`
	Prefill      entity.Tokens     `json:"prefill"`                 // prompt tokens, the prefix included
	Decode       entity.Tokens     `json:"decode"`                  // output tokens
	Prefix       uint64            `json:"prefix,omitempty"`        // identifies the shared prompt prefix; zero means none
	PrefixTokens entity.Tokens     `json:"prefix-tokens,omitempty"` // length of the prefix
}

// Action is the type of an Operation.
type Action string

// Actions of operators, and failures of the network.
const (
	Drain  Action = "drain"  // the engine gets no new work from now on
	Return Action = "return" // the drained engine gets new work again
	Cut    Action = "cut"    // the data centre can reach no other one
	Heal   Action = "heal"   // the data centre can reach the others again
)

// Operation is an event that changes the fleet: Target is the engine of Drain and Return, DataCentre that of Cut and
// Heal.
type Operation struct {
	At         time.Duration     `json:"at"`
	Action     Action            `json:"action"`
	Target     entity.TargetID   `json:"target,omitempty"`
	DataCentre entity.DataCentre `json:"data-centre,omitempty"`
}

// Trace holds the arrivals and operations of a deployment, each ordered by time.
type Trace struct {
	Deployment string        `json:"deployment"`
	Seed       int64         `json:"seed"`
	Length     time.Duration `json:"length"`
	Phases     []Phase       `json:"phases"`
	Arrivals   []Arrival     `json:"arrivals"`
	Operations []Operation   `json:"operations"`
}

// Lookup returns the deployment of that name, and an error if there is none.
func Lookup(name string) (Deployment, error) {
	for _, d := range []Deployment{Dombud(), Qafzeh()} {
		if d.Name == name {
			return d, nil
		}
	}

	return Deployment{}, Error.New("unknown deployment %q, want dombud or qafzeh", name)
}

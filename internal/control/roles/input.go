package roles

import (
	"cmp"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Engine is what the authority of a data centre knows of one engine in reach.
type Engine struct {
	Target      table.TargetID
	DataCentre  table.DataCentre
	Model       table.Model
	Role        table.Role   // in force, or ordered while Changing
	PrefillRate table.Tokens // per second
	DecodeRate  table.Tokens // per second
	Reported    time.Time    // of the last load report; zero: none
	Changed     time.Time    // when Role came into force; zero: long ago
	Changing    bool         // an order is open
	Unusable    bool         // leaving, quarantined or unknown
	Open        int          // requests in flight
}

// Load is the demand of one data centre and model, summed over its entry hosts.
type Load struct {
	Source
	At      time.Time // of the oldest part of the sum; zero: unknown
	Rate    Rate
	Backlog Rate // admitted and waiting: requests and tokens, not per second
}

// Input is all that a decision depends on. It holds the data centres in reach only; one that is
// cut off is left out.
type Input struct {
	Now     time.Time
	Engines []Engine
	Loads   []Load
}

// Proposal is one role change.
type Proposal struct {
	Target table.TargetID
	Role   table.Role
	Gain   float64 // requests expected within the horizon beyond those lost in the change
}

// Options are the parameters of Propose. A zero field takes its default.
type Options struct {
	Weights     table.Weights
	Horizon     time.Duration // over which a change must pay; 90 s by default
	Away        time.Duration // that a change takes an engine away; 10 s by default
	Dwell       time.Duration // least time between two changes of one engine; 60 s by default
	StaleAfter  time.Duration // age at which data is ignored; 5 s by default
	Utilisation float64       // part of an engine's rate to plan with; 0.85 by default
	MaxChanging int           // engines of a model in change at a time in all data centres; 2 by default
	Local       bool          // count the own data centre only
}

func (o Options) withDefaults() Options {
	o.Weights.Goodput = cmp.Or(o.Weights.Goodput, 1)
	o.Weights.RoleChange = cmp.Or(o.Weights.RoleChange, 1)
	o.Horizon = cmp.Or(o.Horizon, 90*time.Second)
	o.Away = cmp.Or(o.Away, 10*time.Second)
	o.Dwell = cmp.Or(o.Dwell, time.Minute)
	o.StaleAfter = cmp.Or(o.StaleAfter, 5*time.Second)
	o.Utilisation = cmp.Or(o.Utilisation, 0.85)
	o.MaxChanging = cmp.Or(o.MaxChanging, 2)

	return o
}

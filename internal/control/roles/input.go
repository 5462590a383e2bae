package roles

import (
	"cmp"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Engine is the state of one reachable engine, as seen by the authority of a data centre.
type Engine struct {
	Target      entity.TargetID
	DataCentre  entity.DataCentre
	Model       entity.Model
	Role        entity.Role   // current role, or the ordered one while Changing
	PrefillRate entity.Tokens // prompt tokens per second
	DecodeRate  entity.Tokens // output tokens per second
	ReportedAt  time.Time     // time of the last load report; zero if there is none
	ChangedAt   time.Time     // time when Role took effect; zero if long ago
	Changing    bool          // a role change is ordered and not yet completed
	Unusable    bool          // leaving, quarantined or unknown
	Open        int           // requests in flight
}

// Load is the demand of one data centre and model, summed over its entry hosts.
type Load struct {
	Source
	At      time.Time // time of the oldest report in the sum; zero if unknown
	Rate    Rate
	Backlog Rate // requests admitted and waiting, and their tokens (not per second)
}

// Input is the state that a decision depends on. It holds reachable data centres only.
type Input struct {
	Now     time.Time
	Engines []Engine
	Loads   []Load
}

// Proposal is a role change of one engine.
type Proposal struct {
	Target entity.TargetID
	Role   entity.Role
	Gain   float64 // additional requests served within the horizon, less the cost of the change; both weighted
}

// Options are the parameters of Propose. A zero field takes its default.
type Options struct {
	Weights     entity.Weights
	Horizon     time.Duration // time within which a change must pay off; 90 s by default
	Downtime    time.Duration // time for which a change takes an engine out of service; 10 s by default
	Dwell       time.Duration // minimum time between two changes of the same engine; 60 s by default
	StaleAfter  time.Duration // age beyond which reports are ignored; 5 s by default
	Utilisation float64       // part of an engine's rate that is counted as capacity; 0.85 by default
	MaxChanging int           // maximum number of engines of a model that change at once, in all data centres; 2 by default
	LocalOnly   bool          // consider only the engines and the load of the data centre given to Propose
}

func (o Options) withDefaults() Options {
	o.Weights.Goodput = cmp.Or(o.Weights.Goodput, 1)
	o.Weights.RoleChange = cmp.Or(o.Weights.RoleChange, 1)
	o.Horizon = cmp.Or(o.Horizon, 90*time.Second)
	o.Downtime = cmp.Or(o.Downtime, 10*time.Second)
	o.Dwell = cmp.Or(o.Dwell, time.Minute)
	o.StaleAfter = cmp.Or(o.StaleAfter, 5*time.Second)
	o.Utilisation = cmp.Or(o.Utilisation, 0.85)
	o.MaxChanging = cmp.Or(o.MaxChanging, 2)

	return o
}

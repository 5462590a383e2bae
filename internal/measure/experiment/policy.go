package experiment

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

// Names of the policies that are compared.
const (
	Static     = "static split"              // no role changes
	Reactive   = "reactive threshold"        // changes a role as soon as the use crosses a threshold
	Hysteresis = "threshold with hysteresis" // Reactive with two thresholds, hold and dwell times; see thresholdPolicy
	NoSpill    = "no spill"                  // Chosen, but each data centre serves only its own requests
	Chosen     = "chosen"                    // the policy of package roles
	Oracle     = "oracle"                    // the best of several runs, one of which knows the future demand
)

// Policies lists the compared policies in the order of the table.
func Policies() []string {
	return []string{Static, Reactive, Hysteresis, NoSpill, Chosen, Oracle}
}

// policy proposes role changes for one data centre at a time.
type policy interface {
	propose(in roles.Input, dc entity.DataCentre) (roles.Proposal, bool)
}

// variant is one configuration in which a trace is run.
type variant struct {
	name    string
	policy  policy
	local   bool // hosts use only the targets of their own data centre
	fifo    bool // hosts use the baseline admission, fifoQueue
	prefill int  // engines in the prefill role at the start; zero means Deployment.PrefillEngines
}

// variants returns the configurations to run for the policy of that name. The best of them is the policy's result.
func variants(name string, d trace.Deployment, t *trace.Trace) []variant {
	switch name {
	case Static:
		return []variant{{name: name, policy: staticPolicy{}}}
	case Reactive:
		return []variant{{name: name, policy: &thresholdPolicy{high: 0.9, low: 0.9}}}
	case Hysteresis:
		return []variant{{name: name, policy: newHysteresis()}}
	case NoSpill:
		return []variant{{name: name, policy: rolesPolicy{roles.Options{Weights: d.Weights, LocalOnly: true}}, local: true}}
	case Chosen:
		return []variant{{name: name, policy: rolesPolicy{roles.Options{Weights: d.Weights}}}}
	default:
		return oracleVariants(d, t)
	}
}

// staticPolicy never changes a role.
type staticPolicy struct{}

func (staticPolicy) propose(roles.Input, entity.DataCentre) (roles.Proposal, bool) {
	return roles.Proposal{}, false
}

// rolesPolicy is the policy of package roles.
type rolesPolicy struct {
	opt roles.Options
}

func (p rolesPolicy) propose(in roles.Input, dc entity.DataCentre) (roles.Proposal, bool) {
	return roles.Propose(p.opt, in, dc)
}

// thresholdPolicy changes a role in a data centre when the use of one role there, prefill or decode, is above high and
// the use of the other below low. The use is the needed rate as a share of the rate of the engines in the role.
type thresholdPolicy struct {
	high, low float64
	dwell     time.Duration                   // minimum time between two changes of an engine
	hold      time.Duration                   // time for which the condition must last
	since     map[entity.DataCentre]time.Time // start of the present condition; no entry while there is none
}

// newHysteresis returns the policy Hysteresis.
func newHysteresis() *thresholdPolicy {
	return &thresholdPolicy{
		high: 0.9, low: 0.7, dwell: time.Minute, hold: 10 * time.Second,
		since: make(map[entity.DataCentre]time.Time),
	}
}

func (t *thresholdPolicy) propose(in roles.Input, dc entity.DataCentre) (roles.Proposal, bool) {
	to, ok := t.neededRole(in, dc)
	if !ok {
		delete(t.since, dc)

		return roles.Proposal{}, false
	}

	if t.hold > 0 {
		if _, ok := t.since[dc]; !ok {
			t.since[dc] = in.Now
		}

		if in.Now.Sub(t.since[dc]) < t.hold {
			return roles.Proposal{}, false
		}
	}

	return t.chooseEngine(in, dc, to)
}

// backlogDrainSeconds is the time in which a threshold policy plans to work off a backlog.
const backlogDrainSeconds = 30

// neededRole returns the role that dc needs more engines in, and false if there is none or an engine of dc is changing.
func (t *thresholdPolicy) neededRole(in roles.Input, dc entity.DataCentre) (entity.Role, bool) {
	var prefill, decode, needPrefill, needDecode float64

	for _, e := range in.Engines {
		if e.DataCentre != dc || e.Unusable {
			continue
		}

		if e.Changing {
			return 0, false
		}

		if e.Role == entity.Prefill {
			prefill += float64(e.PrefillRate)
		} else {
			decode += float64(e.DecodeRate)
		}
	}

	for _, l := range in.Loads {
		if l.DataCentre == dc {
			needPrefill += l.Rate.Prefill + l.Backlog.Prefill/backlogDrainSeconds
			needDecode += l.Rate.Decode + l.Backlog.Decode/backlogDrainSeconds
		}
	}

	switch {
	case needPrefill > t.high*prefill && needDecode < t.low*decode:
		return entity.Prefill, true
	case needDecode > t.high*decode && needPrefill < t.low*prefill:
		return entity.Decode, true
	default:
		return 0, false
	}
}

// chooseEngine proposes the least busy engine of dc whose last change is at least dwell ago, for the role to. It
// returns false if there is none, or if only one engine of dc has a role other than to.
func (t *thresholdPolicy) chooseEngine(in roles.Input, dc entity.DataCentre, to entity.Role) (roles.Proposal, bool) {
	var (
		best  roles.Engine
		count int
		found bool
	)

	for _, e := range in.Engines {
		if e.DataCentre != dc || e.Unusable || e.Role == to {
			continue
		}

		count++

		if in.Now.Sub(e.ChangedAt) >= t.dwell && (!found || e.Open < best.Open) {
			best, found = e, true
		}
	}

	return roles.Proposal{Target: best.Target, Role: to}, found && count > 1
}

package experiment

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

// Names of the policies that are compared.
const (
	Static     = "static split"
	Reactive   = "reactive threshold"
	Hysteresis = "threshold with hysteresis"
	NoSpill    = "no spill"
	Chosen     = "chosen"
	Oracle     = "oracle"
)

// Policies lists the compared policies in the order of the table.
func Policies() []string {
	return []string{Static, Reactive, Hysteresis, NoSpill, Chosen, Oracle}
}

// policy proposes role changes for one data centre at a time.
type policy interface {
	propose(in roles.Input, dc table.DataCentre) (roles.Proposal, bool)
}

// variant is one way to run a trace.
type variant struct {
	name    string
	policy  policy
	local   bool // no work for other data centres
	fifo    bool // baseline admission
	prefill int  // engines in the prefill role at the start; zero means the deployment's
}

// variants returns the runs that stand for the policy of that name, of which the best counts.
func variants(name string, d trace.Deployment, t *trace.Trace) []variant {
	switch name {
	case Static:
		return []variant{{name: name, policy: static{}}}
	case Reactive:
		return []variant{{name: name, policy: &threshold{high: 0.9, low: 0.9}}}
	case Hysteresis:
		return []variant{{name: name, policy: newHysteresis()}}
	case NoSpill:
		return []variant{{name: name, policy: weighed{roles.Options{Weights: d.Weights, Local: true}}, local: true}}
	case Chosen:
		return []variant{{name: name, policy: weighed{roles.Options{Weights: d.Weights}}}}
	default:
		return oracles(d, t)
	}
}

// static never changes a role.
type static struct{}

func (static) propose(roles.Input, table.DataCentre) (roles.Proposal, bool) {
	return roles.Proposal{}, false
}

// weighed is the policy of package roles.
type weighed struct {
	opt roles.Options
}

func (w weighed) propose(in roles.Input, dc table.DataCentre) (roles.Proposal, bool) {
	return roles.Propose(w.opt, in, dc)
}

// threshold changes a role in a data centre when one resource there is used above high and the
// other below low.
type threshold struct {
	high, low float64
	dwell     time.Duration // least time between two changes of an engine
	hold      time.Duration // time for which the condition must last
	since     map[table.DataCentre]time.Time
}

func newHysteresis() *threshold {
	return &threshold{
		high: 0.9, low: 0.7, dwell: time.Minute, hold: 10 * time.Second,
		since: make(map[table.DataCentre]time.Time),
	}
}

func (t *threshold) propose(in roles.Input, dc table.DataCentre) (roles.Proposal, bool) {
	to, ok := t.direction(in, dc)
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

	return t.choose(in, dc, to)
}

// backlogSeconds is the time within which a threshold policy wants a backlog gone.
const backlogSeconds = 30

func (t *threshold) direction(in roles.Input, dc table.DataCentre) (table.Role, bool) {
	var prefill, decode, needPrefill, needDecode float64

	for _, e := range in.Engines {
		if e.DataCentre != dc || e.Unusable {
			continue
		}

		if e.Changing {
			return 0, false
		}

		if e.Role == table.Prefill {
			prefill += float64(e.PrefillRate)
		} else {
			decode += float64(e.DecodeRate)
		}
	}

	for _, l := range in.Loads {
		if l.DataCentre == dc {
			needPrefill += l.Rate.Prefill + l.Backlog.Prefill/backlogSeconds
			needDecode += l.Rate.Decode + l.Backlog.Decode/backlogSeconds
		}
	}

	switch {
	case needPrefill > t.high*prefill && needDecode < t.low*decode:
		return table.Prefill, true
	case needDecode > t.high*decode && needPrefill < t.low*prefill:
		return table.Decode, true
	default:
		return 0, false
	}
}

func (t *threshold) choose(in roles.Input, dc table.DataCentre, to table.Role) (roles.Proposal, bool) {
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

		if in.Now.Sub(e.Changed) >= t.dwell && (!found || e.Open < best.Open) {
			best, found = e, true
		}
	}

	return roles.Proposal{Target: best.Target, Role: to}, found && count > 1
}

package plans

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("plans")

// ErrConflict says that a plan clashes with another one; nothing was declared.
var ErrConflict = errs.New("plans: clashes with another plan")

// ErrNotFound says that there is no such plan.
var ErrNotFound = errs.New("plans: no such plan")

// ID names a plan. The operator's program chooses it, so that a repeat is recognised.
type ID string

// Kind is what a plan does.
type Kind string

// Kinds of plans.
const (
	Drain      Kind = "drain"       // the target takes no new work until the plan is cancelled
	Replace    Kind = "replace"     // the target is drained and its replacement opened
	Withdraw   Kind = "withdraw"    // the target is drained, to leave the configuration
	RoleChange Kind = "role-change" // the engine is drained, given a Setting and opened
	StopHost   Kind = "stop-host"   // the entry host takes no new work and ends
)

// Phase is how far a plan has come.
type Phase string

// Phases of a plan, in their order. Cancelled plans go through Reopening.
const (
	Declared  Phase = "declared"
	Closing   Phase = "closing"  // no new work: announced, being acknowledged
	Waiting   Phase = "waiting"  // no new work: in force; work in flight ends or moves
	Ordering  Phase = "ordering" // nothing in flight: orders are carried out
	Done      Phase = "done"
	Retired   Phase = "retired" // done, and the target has left the configuration
	Failed    Phase = "failed"
	Reopening Phase = "reopening" // cancelled: the target gets back its setting
	Cancelled Phase = "cancelled"
)

// Ended reports whether nothing remains to be done in p.
func (p Phase) Ended() bool {
	return p == Done || p == Retired || p == Failed || p == Cancelled
}

// Plan is one planned change. ID, Kind and the fields that Kind needs are the operator's.
type Plan struct {
	ID          ID              `json:"id"`
	Kind        Kind            `json:"kind"`
	Target      table.TargetID  `json:"target,omitempty"`      // of all kinds but StopHost
	Replacement table.TargetID  `json:"replacement,omitempty"` // of Replace
	Setting     *orders.Setting `json:"setting,omitempty"`     // of RoleChange
	Host        table.HostID    `json:"host,omitempty"`        // of StopHost
	By          string          `json:"by,omitempty"`          // the operator
	Cancel      bool            `json:"cancel,omitempty"`      // the operator took it back

	Phase  Phase           `json:"phase"`
	Since  time.Time       `json:"since"`            // when Phase began, by the clock of whoever wrote it
	Before *orders.Setting `json:"before,omitempty"` // what a gated target had
	From   Generation      `json:"from,omitempty"`   // of the first List that says the target is leaving
	Reason string          `json:"reason,omitempty"` // of Failed
}

// Generation numbers the versions of a List; it only grows.
type Generation uint64

// List is all plans of one data centre. The zero value has none.
type List struct {
	Generation Generation `json:"generation"`
	Plans      []Plan     `json:"plans"`
}

// Key returns the key of the plans of dc.
func Key(dc table.DataCentre) platform.Key {
	return platform.Key("plans/" + string(dc))
}

// Plan returns the plan id.
func (l List) Plan(id ID) (Plan, bool) {
	i := slices.IndexFunc(l.Plans, func(p Plan) bool { return p.ID == id })
	if i < 0 {
		return Plan{}, false
	}

	return l.Plans[i], true
}

// Leaving returns the targets that take no new work by l. Traffic joins it with
// table.Target.Leaving, and takes l into use before it acknowledges its generation.
func Leaving(l List) map[table.TargetID]bool {
	found := map[table.TargetID]bool{}

	for _, p := range l.Plans {
		if p.Target != "" && p.leaving() {
			found[p.Target] = true
		}
	}

	return found
}

// LeavingHosts returns the entry hosts that take no new work by l.
func LeavingHosts(l List) map[table.HostID]bool {
	found := map[table.HostID]bool{}

	for _, p := range l.Plans {
		if p.Host != "" && p.leaving() {
			found[p.Host] = true
		}
	}

	return found
}

// Held returns the targets that plans of l determine; no other part gives them orders.
func Held(l List) map[table.TargetID]bool {
	found := map[table.TargetID]bool{}

	for _, p := range l.Plans {
		if !p.holds() {
			continue
		}

		for _, id := range p.targets() {
			found[id] = true
		}
	}

	return found
}

func (p Plan) targets() []table.TargetID {
	return slices.DeleteFunc([]table.TargetID{p.Target, p.Replacement}, func(id table.TargetID) bool { return id == "" })
}

func (p Plan) leaving() bool {
	switch p.Phase {
	case Closing, Waiting, Ordering, Reopening:
		return true
	case Done:
		return p.Kind != RoleChange
	default:
		return false
	}
}

// holds reports whether p still determines its target or host.
func (p Plan) holds() bool {
	return !p.Phase.Ended() || p.Target != "" && p.leaving()
}

func (p Plan) validate() error {
	switch {
	case p.ID == "":
		return Error.New("a plan needs an id")
	case p.Kind == StopHost && (p.Host == "" || p.Target != ""):
		return Error.New("plan %s: %s needs a host and no target", p.ID, p.Kind)
	case p.Kind == StopHost:
		return nil
	case p.Target == "" || p.Host != "":
		return Error.New("plan %s: %s needs a target and no host", p.ID, p.Kind)
	case p.Kind == RoleChange && p.Setting == nil:
		return Error.New("plan %s: %s needs a setting", p.ID, p.Kind)
	case p.Kind == Replace && (p.Replacement == "" || p.Replacement == p.Target):
		return Error.New("plan %s: %s needs another target as its replacement", p.ID, p.Kind)
	case p.Kind != Drain && p.Kind != Withdraw && p.Kind != Replace && p.Kind != RoleChange:
		return Error.New("plan %s: unknown kind %q", p.ID, p.Kind)
	default:
		return nil
	}
}

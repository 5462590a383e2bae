package plans

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("plans")

// ErrConflict means that a plan conflicts with another one; nothing was declared.
var ErrConflict = errs.New("plans: conflicts with another plan")

// ErrNotFound means that there is no plan with the given id.
var ErrNotFound = errs.New("plans: no such plan")

// ID identifies a plan. The operator's client chooses it, so that a repeated declaration is recognised.
type ID string

// Kind is the type of change that a plan makes.
type Kind string

// Kinds of plans.
const (
	Drain      Kind = "drain"       // the target takes no new work until the plan is cancelled
	Replace    Kind = "replace"     // the target is drained and its replacement opened
	Withdraw   Kind = "withdraw"    // the target is drained, to leave the configuration
	RoleChange Kind = "role-change" // the engine is drained, gets Setting and is opened again
	StopHost   Kind = "stop-host"   // the entry host takes no new work and exits
)

// Phase is the progress of a plan.
type Phase string

// Phases of a plan, in order. Cancelled plans go through Reopening.
const (
	Declared  Phase = "declared"
	Closing   Phase = "closing"  // hosts must send no new work and acknowledge this
	Waiting   Phase = "waiting"  // no new work arrives; requests in flight finish or move
	Ordering  Phase = "ordering" // nothing is in flight; orders are being executed
	Done      Phase = "done"
	Retired   Phase = "retired" // was Done, and the target has left the configuration
	Failed    Phase = "failed"
	Reopening Phase = "reopening" // being cancelled: the target gets its previous setting back
	Cancelled Phase = "cancelled"
)

// Ended reports whether p is a final phase. A plan that is Done may still become Retired or, if it is a
// Drain, be cancelled.
func (p Phase) Ended() bool {
	return p == Done || p == Retired || p == Failed || p == Cancelled
}

// Plan is one planned change. The operator sets ID, Kind, By and the fields that Kind needs; the rest is
// its progress.
type Plan struct {
	ID          ID              `json:"id"`
	Kind        Kind            `json:"kind"`
	Target      entity.TargetID `json:"target,omitempty"`      // for all kinds but StopHost
	Replacement entity.TargetID `json:"replacement,omitempty"` // for Replace
	Setting     *orders.Setting `json:"setting,omitempty"`     // for RoleChange
	Host        entity.HostID   `json:"host,omitempty"`        // for StopHost
	By          string          `json:"by,omitempty"`          // name of the operator
	Cancel      bool            `json:"cancel,omitempty"`      // the operator cancelled it

	Phase             Phase           `json:"phase"`
	Since             time.Time       `json:"since"`            // when Phase or PreviousSetting last changed, by the writing host's clock
	PreviousSetting   *orders.Setting `json:"before,omitempty"` // setting of a gated target before the plan
	LeavingGeneration Generation      `json:"from,omitempty"`   // first generation in which the target or host is leaving
	Reason            string          `json:"reason,omitempty"` // why the plan is Failed
}

// Generation is the version number of a List; it only increases.
type Generation uint64

// List holds all plans of one data centre. The zero value has none.
type List struct {
	Generation Generation `json:"generation"`
	Plans      []Plan     `json:"plans"`
}

// Key returns the platform key of the plans of dc.
func Key(dc entity.DataCentre) platform.Key {
	return platform.Key("plans/" + string(dc))
}

// Plan returns the plan with the given id and whether there is one.
func (l List) Plan(id ID) (Plan, bool) {
	i := slices.IndexFunc(l.Plans, func(p Plan) bool { return p.ID == id })
	if i < 0 {
		return Plan{}, false
	}

	return l.Plans[i], true
}

// LeavingTargets returns the targets that take no new work because of l. Hosts combine it with
// entity.Target.Leaving, and apply l before they acknowledge its generation.
func LeavingTargets(l List) map[entity.TargetID]bool {
	found := map[entity.TargetID]bool{}

	for _, p := range l.Plans {
		if p.Target != "" && p.leaving() {
			found[p.Target] = true
		}
	}

	return found
}

// LeavingHosts returns the entry hosts that take no new work because of l.
func LeavingHosts(l List) map[entity.HostID]bool {
	found := map[entity.HostID]bool{}

	for _, p := range l.Plans {
		if p.Host != "" && p.leaving() {
			found[p.Host] = true
		}
	}

	return found
}

// ControlledTargets returns the targets that plans of l control. Nothing else may send orders to them.
func ControlledTargets(l List) map[entity.TargetID]bool {
	found := map[entity.TargetID]bool{}

	for _, p := range l.Plans {
		if !p.controls() {
			continue
		}

		for _, id := range p.targets() {
			found[id] = true
		}
	}

	return found
}

func (p Plan) targets() []entity.TargetID {
	return slices.DeleteFunc([]entity.TargetID{p.Target, p.Replacement}, func(id entity.TargetID) bool { return id == "" })
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

// controls reports whether p still controls its target or host.
func (p Plan) controls() bool {
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

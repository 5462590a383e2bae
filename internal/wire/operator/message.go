package operator

import (
	"encoding/json"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Item is an accepted template, account, target or deployment.
type Item struct {
	configuration.Ref

	Generation entity.Generation `json:"generation"`     // generation that last changed the item
	YAML       string            `json:"yaml,omitempty"` // the item as a file for an edit; empty in lists
}

// ItemList answers a query for items. Generation is that of the whole configuration; use it as the base of edits.
type ItemList struct {
	Generation entity.Generation `json:"generation"`
	Items      []Item            `json:"items"`
}

// EditRequest requests a change of the configuration, or the diff of that change.
type EditRequest struct {
	ID     configuration.EditID `json:"id"`
	Base   entity.Generation    `json:"base"`
	Files  []File               `json:"files,omitempty"`  // YAML files with the items to create or replace
	Delete []configuration.Ref  `json:"delete,omitempty"` // items to delete
	Wait   Duration             `json:"wait,omitempty"`   // maximum time to wait for the hosts to confirm, up to 1 min
}

// File is a YAML file of configuration items. Name appears in error messages.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// EditResult answers an accepted edit.
type EditResult struct {
	Generation entity.Generation `json:"generation"`
	// Unconfirmed lists the known hosts that had not confirmed the generation when the wait ended.
	Unconfirmed []Host `json:"unconfirmed"`
}

// DiffResult answers a request for a diff.
type DiffResult struct {
	Base entity.Generation `json:"base"`
	Diff string            `json:"diff"`
}

// Action is the kind of change that a plan makes.
type Action string

// Actions of plans.
const (
	Drain    Action = "drain"    // send the target no new work and wait until none is running
	Replace  Action = "replace"  // drain the target once Replacement serves in its place
	Withdraw Action = "withdraw" // drain the target and remove it permanently
	Role     Action = "role"     // drain the target and change its role
)

// Plan is a change to a target that an operator declares and the data centre's authority carries out.
type Plan struct {
	ID          string          `json:"id"`
	Action      Action          `json:"action"`
	Target      entity.TargetID `json:"target"`
	Replacement entity.TargetID `json:"with,omitempty"` // the replacement, for Replace only
	Role        *entity.Role    `json:"role,omitempty"` // the new role, for Role only
	State       string          `json:"state,omitempty"`
	Detail      string          `json:"detail,omitempty"` // what the plan is waiting for
	Declared    time.Time       `json:"declared,omitzero"`
}

// PlanList answers a query for plans.
type PlanList struct {
	Plans []Plan `json:"plans"`
}

// Host describes an entry host.
type Host struct {
	ID            entity.HostID     `json:"id"`
	DataCentre    entity.DataCentre `json:"data-centre"`
	Address       string            `json:"address"`
	Generation    entity.Generation `json:"generation"`
	Ready         bool              `json:"ready"`
	LastHeartbeat time.Time         `json:"heard,omitzero"` // time of its last heartbeat, or now for the answering host
}

// Target describes a target.
type Target struct {
	ID         entity.TargetID   `json:"id"`
	DataCentre entity.DataCentre `json:"data-centre"`
	State      string            `json:"state"`
	Role       entity.Role       `json:"role"`
	Running    int               `json:"running"`
	Queued     int               `json:"queued"`
}

// Authority describes which host may give orders in a data centre.
type Authority struct {
	DataCentre entity.DataCentre `json:"data-centre"`
	Holder     entity.HostID     `json:"holder,omitempty"` // empty if no holder is known
	Fence      entity.Fence      `json:"fence"`
	Until      time.Time         `json:"until,omitzero"` // end of the lease; zero unless the answering host holds it
}

// Status is the state of the system as the answering host sees it.
type Status struct {
	Generation  entity.Generation `json:"generation"`
	Hosts       []Host            `json:"hosts"`
	Targets     []Target          `json:"targets"`
	Authorities []Authority       `json:"authorities"`
}

// Duration is a time.Duration that is encoded in JSON as text.
type Duration time.Duration

// MarshalJSON encodes d as text, for example "5s".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a text that time.ParseDuration accepts.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}

	v, err := time.ParseDuration(text)
	*d = Duration(v)

	return err
}

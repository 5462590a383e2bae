package operator

import (
	"encoding/json"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Item is a template, account, target or the deployment as accepted.
type Item struct {
	configuration.Ref

	Generation table.Generation `json:"generation"`     // that last changed it
	YAML       string           `json:"yaml,omitempty"` // a file that an edit takes; empty in lists
}

// ItemList answers a query; Generation is that of the whole configuration and the base of edits.
type ItemList struct {
	Generation table.Generation `json:"generation"`
	Items      []Item           `json:"items"`
}

// EditRequest asks for a change of configuration, or for its diff.
type EditRequest struct {
	ID     configuration.EditID `json:"id"`
	Base   table.Generation     `json:"base"`
	Files  []File               `json:"files,omitempty"`  // whose items are put
	Delete []configuration.Ref  `json:"delete,omitempty"` // items to delete
	Wait   Duration             `json:"wait,omitempty"`   // how long to wait for the hosts
}

// File is an operator's document.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// EditResult answers an accepted edit.
type EditResult struct {
	Generation table.Generation `json:"generation"`
	// Unconfirmed lists the known hosts that had not confirmed the generation when Wait was over.
	Unconfirmed []Host `json:"unconfirmed"`
}

// DiffResult answers a request for a diff.
type DiffResult struct {
	Base table.Generation `json:"base"`
	Diff string           `json:"diff"`
}

// Action is what a plan does.
type Action string

// Actions of plans.
const (
	Drain    Action = "drain"    // stop new work and wait until none runs
	Replace  Action = "replace"  // drain Target once With serves in its place
	Withdraw Action = "withdraw" // drain and take the target out for good
	Role     Action = "role"     // drain and change the role
)

// Plan is a planned change that an operator declares and the authority carries out.
type Plan struct {
	ID       string         `json:"id"`
	Action   Action         `json:"action"`
	Target   table.TargetID `json:"target"`
	With     table.TargetID `json:"with,omitempty"` // the replacement
	Role     *table.Role    `json:"role,omitempty"` // the new role
	State    string         `json:"state,omitempty"`
	Detail   string         `json:"detail,omitempty"` // what is waited for
	Declared time.Time      `json:"declared,omitzero"`
}

// PlanList answers a query for plans.
type PlanList struct {
	Plans []Plan `json:"plans"`
}

// Host is what is known of an entry host.
type Host struct {
	ID         table.HostID     `json:"id"`
	DataCentre table.DataCentre `json:"data-centre"`
	Address    string           `json:"address"`
	Generation table.Generation `json:"generation"`
	Ready      bool             `json:"ready"`
	Heard      time.Time        `json:"heard,omitzero"` // last heartbeat
}

// Target is what is known of a target.
type Target struct {
	ID         table.TargetID   `json:"id"`
	DataCentre table.DataCentre `json:"data-centre"`
	State      string           `json:"state"`
	Role       table.Role       `json:"role"`
	Running    int              `json:"running"`
	Queued     int              `json:"queued"`
}

// Authority is who may give orders in a data centre.
type Authority struct {
	DataCentre table.DataCentre `json:"data-centre"`
	Holder     table.HostID     `json:"holder,omitempty"` // empty: none is known
	Fence      table.Fence      `json:"fence"`
	Until      time.Time        `json:"until,omitzero"`
}

// Status is what the asked host knows of the system.
type Status struct {
	Generation  table.Generation `json:"generation"`
	Hosts       []Host           `json:"hosts"`
	Targets     []Target         `json:"targets"`
	Authorities []Authority      `json:"authorities"`
}

// Duration is a time.Duration that JSON states as text.
type Duration time.Duration

// MarshalJSON encodes d for example as "5s".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON takes the text of a duration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}

	v, err := time.ParseDuration(text)
	*d = Duration(v)

	return err
}

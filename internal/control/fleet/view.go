// Package fleet keeps the view of the targets that the platform lists.
//
// A View belongs to one goroutine, does no I/O and reads no clock. Its snapshots are immutable.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Target is one run of a replica, as it registered itself.
type Target struct {
	ID         table.TargetID // names the run: a replica that starts again has another ID
	Instance   string         // name under which the replica checks who is meant
	Service    table.ServiceName
	Address    string // ip:port
	DataCentre table.DataCentre
	Slots      int
	Leaving    bool
	Role       table.Role // of a model replica
}

const (
	// returnGrace is how long an entry that lapsed while the platform was away may take to come back.
	// The platform states two seconds.
	returnGrace = 2500 * time.Millisecond
)

// View follows the platform's list. Make it with New.
type View struct {
	targets map[string]Target    // by Instance
	lapsed  map[string]time.Time // entries that are missing, until when they are held
	lost    bool                 // the platform does not answer
	back    time.Time            // until when missing entries are held; zero: not at all
	changed bool
}

// New returns a View without targets.
func New() *View {
	return &View{targets: map[string]Target{}, lapsed: map[string]time.Time{}}
}

// Lost notes that the platform does not answer.
func (v *View) Lost() { v.lost = true }

// Answered notes an answer of the platform. After an absence, entries that are missing are held for a
// while, as their replicas may still be registering again.
func (v *View) Answered(now time.Time) {
	if v.lost {
		v.lost = false
		v.back = now.Add(returnGrace)
	}
}

// Replace takes a whole list, read at now.
func (v *View) Replace(now time.Time, list []Target) {
	listed := make(map[string]bool, len(list))

	for _, t := range list {
		listed[t.Instance] = true
		v.Set(t)
	}

	for name := range v.targets {
		if !listed[name] {
			v.Remove(now, name)
		}
	}
}

// Set takes one entry.
func (v *View) Set(t Target) {
	delete(v.lapsed, t.Instance)

	if v.targets[t.Instance] == t {
		return
	}

	v.targets[t.Instance] = t
	v.changed = true
}

// Remove takes the end of an entry at now.
func (v *View) Remove(now time.Time, instance string) {
	t, ok := v.targets[instance]
	if !ok {
		return
	}

	if now.Before(v.back) && !t.Leaving {
		if _, held := v.lapsed[instance]; !held {
			v.lapsed[instance] = v.back
		}

		return
	}

	delete(v.targets, instance)
	delete(v.lapsed, instance)
	v.changed = true
}

// Holding reports whether entries are held that the list no longer has.
func (v *View) Holding() bool { return len(v.lapsed) > 0 }

// Tick drops the entries that were held and have not come back.
func (v *View) Tick(now time.Time) {
	for name, until := range v.lapsed {
		if now.Before(until) {
			continue
		}

		delete(v.lapsed, name)
		delete(v.targets, name)
		v.changed = true
	}
}

// Take returns the targets ordered by ID, and whether they changed since the last call.
func (v *View) Take() ([]Target, bool) {
	if !v.changed {
		return nil, false
	}

	v.changed = false

	list := make([]Target, 0, len(v.targets))
	for _, t := range v.targets {
		list = append(list, t)
	}

	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })

	return list, true
}

package orders

import (
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Defaults of Options.
const (
	DefaultQueryInterval     = 500 * time.Millisecond
	DefaultIdleQueryInterval = 10 * time.Second
	DefaultRetryDelay        = time.Second
	DefaultCallsPerTick      = 4
)

// Options configures a Machine. A zero field means its default.
type Options struct {
	QueryInterval      time.Duration // time between state queries to an engine that is changing, closed or not answering
	IdleQueryInterval  time.Duration // time between state queries to any other engine
	RetryDelay         time.Duration // wait after a failed call
	ConnectionLifetime time.Duration // time after which a failed call can no longer reach the engine
	CallsPerTick       int           // maximum number of platform calls that one tick starts
}

func (o Options) withDefaults() Options {
	if o.QueryInterval == 0 {
		o.QueryInterval = DefaultQueryInterval
	}

	if o.IdleQueryInterval == 0 {
		o.IdleQueryInterval = DefaultIdleQueryInterval
	}

	if o.RetryDelay == 0 {
		o.RetryDelay = DefaultRetryDelay
	}

	if o.ConnectionLifetime == 0 {
		o.ConnectionLifetime = authority.DefaultConnectionLifetime
	}

	if o.CallsPerTick == 0 {
		o.CallsPerTick = DefaultCallsPerTick
	}

	return o
}

// Action is one call to make: a read or write of an intent, a state query or the send of an order. The
// caller must pass its result to Loaded, Written, Answered or Sent respectively.
type Action interface{ ID() entity.TargetID }

// ReadIntent reads the intent of Target from the platform.
type ReadIntent struct{ Target entity.TargetID }

// WriteIntent writes the intent of Target if its version is still Expect.
type WriteIntent struct {
	Target entity.TargetID
	Expect platform.Version
	Intent Intent
}

// QueryState queries the state of the engine Target. Fence is the fencing number of the querying holder.
type QueryState struct {
	Target entity.TargetID
	Fence  entity.Fence
}

// SendOrder sends Order to the engine Target. The caller must check right before the call that the lease
// is still held under Order.Fence, and set a deadline no later than the end of the lease.
type SendOrder struct {
	Target entity.TargetID
	Order  Order
}

// ID returns the target of a.
func (a ReadIntent) ID() entity.TargetID { return a.Target }

// ID returns the target of a.
func (a WriteIntent) ID() entity.TargetID { return a.Target }

// ID returns the target of a.
func (a QueryState) ID() entity.TargetID { return a.Target }

// ID returns the target of a.
func (a SendOrder) ID() entity.TargetID { return a.Target }

// Machine decides on the orders to the engines of one data centre. It does no I/O and is not safe
// for concurrent use.
type Machine struct {
	opts    Options
	fence   entity.Fence // fencing number of the lease under which the entries were loaded
	entries map[entity.TargetID]*entry
	ids     []entity.TargetID // sorted
}

// entry holds the state of one engine and of the orders to it.
type entry struct {
	target  entity.Target
	desired *Setting
	busy    bool // an action is in progress
	sending bool // the action in progress sends an order
	retryAt time.Time

	loaded  bool // intent and version match the platform's last answer
	version platform.Version
	intent  Intent

	stateCurrent   bool // state was received under the current fence
	state          State
	silentSince    time.Time // start of the run of failed queries; zero if the last query succeeded
	queryAt        time.Time
	mayArriveUntil time.Time // an order whose send failed may still reach the engine until then
}

// NewMachine returns a Machine without engines.
func NewMachine(opts Options) *Machine {
	return &Machine{opts: opts.withDefaults(), entries: map[entity.TargetID]*entry{}}
}

// SetTargets sets the engines of the data centre. It removes all other engines, except those
// with a call in progress or with an order that can still arrive; a later SetTargets removes these.
func (m *Machine) SetTargets(now time.Time, targets []entity.Target) {
	listed := map[entity.TargetID]bool{}

	for _, t := range targets {
		listed[t.ID] = true

		if e, ok := m.entries[t.ID]; ok {
			e.target = t

			continue
		}

		m.entries[t.ID] = &entry{target: t}
		m.ids = append(m.ids, t.ID)
	}

	m.ids = slices.DeleteFunc(m.ids, func(id entity.TargetID) bool {
		e := m.entries[id]
		if listed[id] || e.busy || now.Before(e.mayArriveUntil) {
			return false
		}

		delete(m.entries, id)

		return true
	})
	slices.Sort(m.ids)
}

// SetDesired sets the desired setting of the engine id, as decided under the fencing number f. It replaces
// an earlier desired setting, and does nothing if the engine is unknown or f is not the current
// fence. Desired settings are cleared when the fence changes, so callers repeat the call on each tick.
func (m *Machine) SetDesired(f entity.Fence, id entity.TargetID, s Setting) {
	if e, ok := m.entries[id]; ok && f == m.fence {
		e.desired = &s
	}
}

// NoOrdersInFlight reports whether no order of this process can still reach an engine.
func (m *Machine) NoOrdersInFlight(now time.Time) bool {
	for _, e := range m.entries {
		if e.sending || now.Before(e.mayArriveUntil) {
			return false
		}
	}

	return true
}

// Engine is the lease holder's view of one engine. The zero value stands for an unknown engine.
type Engine struct {
	IntentCurrent bool // Intent is on record under the current fence
	Intent        Intent
	StateCurrent  bool // State was received under the current fence
	State         State
	// SilentSince is the time of the first failure in the current run of failed state queries under the
	// current fence; zero if the last query succeeded or none was made.
	SilentSince time.Time
}

// Settled reports whether the last order has the setting s and the engine is confirmed to have applied it.
func (e Engine) Settled(s Setting) bool {
	return e.IntentCurrent && e.Intent.Number > 0 && !e.Intent.Open && e.Intent.Setting == s
}

// Engine returns the view of the engine id, or the zero Engine if id is unknown.
func (m *Machine) Engine(id entity.TargetID) Engine {
	e, ok := m.entries[id]
	if !ok {
		return Engine{}
	}

	return Engine{
		IntentCurrent: e.loaded && e.intent.Fence == m.fence,
		Intent:        e.intent,
		StateCurrent:  e.stateCurrent,
		State:         e.state,
		SilentSince:   e.silentSince,
	}
}

// Tick returns the actions that are due under the lease l; none if l is not held at now.
func (m *Machine) Tick(now time.Time, l authority.Lease) []Action {
	if !l.Held(now) {
		return nil
	}

	if l.Fence != m.fence {
		m.fence = l.Fence

		for _, e := range m.entries {
			e.loaded, e.stateCurrent, e.desired = false, false, nil
			e.silentSince, e.queryAt = time.Time{}, time.Time{}
		}
	}

	var actions []Action

	for calls, i := 0, 0; i < len(m.ids) && calls < m.opts.CallsPerTick; i++ {
		e := m.entries[m.ids[i]]
		if e.busy || now.Before(e.retryAt) {
			continue
		}

		a := m.next(now, l.Record, e)
		if a == nil {
			continue
		}

		switch a.(type) {
		case ReadIntent, WriteIntent:
			calls++
		case SendOrder:
			e.sending = true
		}

		e.busy = true
		actions = append(actions, a)
	}

	return actions
}

// Loaded records the result of the ReadIntent a.
func (m *Machine) Loaded(now time.Time, a ReadIntent, i Intent, v platform.Version, err error) {
	e := m.entries[a.Target]
	e.busy = false

	if err != nil {
		e.retryAt = now.Add(m.opts.RetryDelay)

		return
	}

	e.loaded, e.intent, e.version = true, i, v
}

// Written records the result of the WriteIntent a.
func (m *Machine) Written(now time.Time, a WriteIntent, v platform.Version, err error) {
	e := m.entries[a.Target]
	e.busy = false

	if err != nil {
		// Read the object again: this write may have taken effect, or another one came first.
		e.loaded = false
		e.retryAt = now.Add(m.opts.RetryDelay)

		return
	}

	e.loaded, e.intent, e.version = true, a.Intent, v
}

// Answered records the result of the state query a.
func (m *Machine) Answered(now time.Time, a QueryState, s State, err error) {
	e := m.entries[a.Target]
	e.busy = false

	m.observe(now, e, a.Fence, s, err)
}

// observe records the answer s or the error err of a call made under the fence f. An answer under an
// earlier fence does not count as current.
func (m *Machine) observe(now time.Time, e *entry, f entity.Fence, s State, err error) {
	e.stateCurrent = err == nil && f == m.fence
	e.state = s
	e.queryAt = now.Add(m.opts.QueryInterval)

	if e.stateCurrent && !s.Changing && !s.Unknown && !e.intent.Open && s.Admission == Open {
		e.queryAt = now.Add(m.opts.IdleQueryInterval)
	}

	switch {
	case f != m.fence || err == nil:
		e.silentSince = time.Time{}
	case e.silentSince.IsZero():
		e.silentSince = now
	}
}

package orders

import (
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Defaults of Options.
const (
	DefaultAsk          = 500 * time.Millisecond
	DefaultIdle         = 10 * time.Second
	DefaultRetry        = time.Second
	DefaultCallsPerTick = 4
)

// Options tune a Machine. Zero fields mean the defaults.
type Options struct {
	Ask                time.Duration // from one question about a changing, closed or silent engine to the next
	Idle               time.Duration // the same for other engines
	Retry              time.Duration // after a failed call
	ConnectionLifetime time.Duration // after which bytes of a failed call no longer arrive
	CallsPerTick       int           // platform calls that one tick may begin
}

func (o Options) withDefaults() Options {
	if o.Ask == 0 {
		o.Ask = DefaultAsk
	}

	if o.Idle == 0 {
		o.Idle = DefaultIdle
	}

	if o.Retry == 0 {
		o.Retry = DefaultRetry
	}

	if o.ConnectionLifetime == 0 {
		o.ConnectionLifetime = authority.DefaultConnectionLifetime
	}

	if o.CallsPerTick == 0 {
		o.CallsPerTick = DefaultCallsPerTick
	}

	return o
}

// Action is one call to make: ReadIntent, WriteIntent, Ask or Send. Its result must be handed back.
type Action interface{ ID() table.TargetID }

// ReadIntent asks for a read of the intent of Target.
type ReadIntent struct{ Target table.TargetID }

// WriteIntent asks for a conditional write of the intent of Target.
type WriteIntent struct {
	Target table.TargetID
	Expect platform.Version
	Intent Intent
}

// Ask asks the engine Target for its state. Fence is that of the asker.
type Ask struct {
	Target table.TargetID
	Fence  table.Fence
}

// Send gives Order to the engine Target. Whoever carries it out tests that the lease is still held
// under Order.Fence right before, and gives the call a deadline no later than the lease's end.
type Send struct {
	Target table.TargetID
	Order  Order
}

// ID returns the target of a.
func (a ReadIntent) ID() table.TargetID { return a.Target }

// ID returns the target of a.
func (a WriteIntent) ID() table.TargetID { return a.Target }

// ID returns the target of a.
func (a Ask) ID() table.TargetID { return a.Target }

// ID returns the target of a.
func (a Send) ID() table.TargetID { return a.Target }

// Machine decides on the orders to the engines of one data centre. It does no I/O, and one
// goroutine owns it.
type Machine struct {
	opts    Options
	fence   table.Fence // under which the entries were loaded
	entries map[table.TargetID]*entry
	ids     []table.TargetID // sorted
}

// entry is what is known of one engine and the orders to it.
type entry struct {
	target  table.Target
	wanted  *Setting
	busy    bool // an action is out
	sending bool // that action is a Send
	retryAt time.Time

	loaded  bool // intent and version are those of the last answer
	version platform.Version
	intent  Intent

	stated  bool // state was answered under the present fence
	state   State
	silent  time.Time // since when it does not answer
	askAt   time.Time
	quietAt time.Time // until then a failed Send may still arrive
}

// NewMachine returns a Machine without engines.
func NewMachine(opts Options) *Machine {
	return &Machine{opts: opts.withDefaults(), entries: map[table.TargetID]*entry{}}
}

// SetTargets states the engines of the data centre; others are forgotten once nothing is on its
// way to them.
func (m *Machine) SetTargets(now time.Time, targets []table.Target) {
	listed := map[table.TargetID]bool{}

	for _, t := range targets {
		listed[t.ID] = true

		if e, ok := m.entries[t.ID]; ok {
			e.target = t

			continue
		}

		m.entries[t.ID] = &entry{target: t}
		m.ids = append(m.ids, t.ID)
	}

	m.ids = slices.DeleteFunc(m.ids, func(id table.TargetID) bool {
		e := m.entries[id]
		if listed[id] || e.busy || now.Before(e.quietAt) {
			return false
		}

		delete(m.entries, id)

		return true
	})
	slices.Sort(m.ids)
}

// Want states the setting that the engine id shall come to have, as decided under the fencing
// number f. It replaces an earlier wish, and does nothing if the engine or f is not the present
// one: a wish ends with its authority, and is stated again on each tick.
func (m *Machine) Want(f table.Fence, id table.TargetID, s Setting) {
	if e, ok := m.entries[id]; ok && f == m.fence {
		e.wanted = &s
	}
}

// Quiet reports whether no order of this process can still be on its way.
func (m *Machine) Quiet(now time.Time) bool {
	for _, e := range m.entries {
		if e.sending || now.Before(e.quietAt) {
			return false
		}
	}

	return true
}

// Engine is what the holder knows of one engine. The zero value is an engine not known yet.
type Engine struct {
	Recorded bool // Intent is the record under the present authority
	Intent   Intent
	Stated   bool // State was answered under the present authority
	State    State
	// Silent is since when questions under the present authority fail; zero if the last one did
	// not or none was asked.
	Silent time.Time
}

// Settled reports whether the engine came to have s by an order that was settled.
func (e Engine) Settled(s Setting) bool {
	return e.Recorded && e.Intent.Number > 0 && !e.Intent.Open && e.Intent.Setting == s
}

// Engine returns what is known of the engine id.
func (m *Machine) Engine(id table.TargetID) Engine {
	e, ok := m.entries[id]
	if !ok {
		return Engine{}
	}

	return Engine{
		Recorded: e.loaded && e.intent.Fence == m.fence,
		Intent:   e.intent,
		Stated:   e.stated,
		State:    e.state,
		Silent:   e.silent,
	}
}

// Tick returns the actions that are due under the lease l.
func (m *Machine) Tick(now time.Time, l authority.Lease) []Action {
	if !l.Held(now) {
		return nil
	}

	if l.Fence != m.fence {
		m.fence = l.Fence

		for _, e := range m.entries {
			e.loaded, e.stated, e.wanted = false, false, nil
			e.silent, e.askAt = time.Time{}, time.Time{}
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
		case Send:
			e.sending = true
		}

		e.busy = true
		actions = append(actions, a)
	}

	return actions
}

// Loaded hands back the result of a ReadIntent.
func (m *Machine) Loaded(now time.Time, a ReadIntent, i Intent, v platform.Version, err error) {
	e := m.entries[a.Target]
	e.busy = false

	if err != nil {
		e.retryAt = now.Add(m.opts.Retry)

		return
	}

	e.loaded, e.intent, e.version = true, i, v
}

// Written hands back the result of a WriteIntent.
func (m *Machine) Written(now time.Time, a WriteIntent, v platform.Version, err error) {
	e := m.entries[a.Target]
	e.busy = false

	if err != nil {
		// The object itself says whether the write took effect or another one came first.
		e.loaded = false
		e.retryAt = now.Add(m.opts.Retry)

		return
	}

	e.loaded, e.intent, e.version = true, a.Intent, v
}

// Answered hands back the result of an Ask.
func (m *Machine) Answered(now time.Time, a Ask, s State, err error) {
	e := m.entries[a.Target]
	e.busy = false

	m.learn(now, e, a.Fence, s, err)
}

// learn takes in an engine's answer, unless it was asked for under an earlier authority.
func (m *Machine) learn(now time.Time, e *entry, f table.Fence, s State, err error) {
	e.stated = err == nil && f == m.fence
	e.state = s
	e.askAt = now.Add(m.opts.Ask)

	if e.stated && !s.Changing && !s.Unknown && !e.intent.Open && s.Admission == Open {
		e.askAt = now.Add(m.opts.Idle)
	}

	switch {
	case f != m.fence || err == nil:
		e.silent = time.Time{}
	case e.silent.IsZero():
		e.silent = now
	}
}

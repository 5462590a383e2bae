package orders

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Error is the class of this package's errors.
var Error = errs.Class("standin-orders")

// ErrCrashed says that the engine does not answer. An order given to it may be in effect or not.
var ErrCrashed = errs.New("standin: engine crashed")

// DefaultChange is the default of Options.Change.
const DefaultChange = 5 * time.Second

// Options tune an Engine. The zero value is an engine that ignores fencing numbers.
type Options struct {
	Initial       orders.Setting
	ChecksFencing bool
	Change        time.Duration // how long a change of anything but admission takes; zero means DefaultChange
}

// Receipt is an order that arrived, and what became of it.
type Receipt struct {
	At       time.Time
	Order    orders.Order
	Refused  bool           // by its fencing number, or because the engine was down
	Effect   bool           // the engine began to change
	Conflict bool           // it differed from an order that was still being carried out
	Cut      int            // requests that it cut
	Before   orders.Setting // what the engine had or was changing to
}

// Engine is the order machine of one stand-in engine. It is safe for concurrent use.
type Engine struct {
	clock clockwork.Clock
	opts  Options

	mu        sync.Mutex
	state     orders.State
	goal      orders.Setting // what a change leads to; the setting otherwise
	until     time.Time      // end of the change
	crashed   bool
	crashNext bool
	receipts  []Receipt
}

// New returns an Engine with opts.Initial in force.
func New(clock clockwork.Clock, opts Options) *Engine {
	if opts.Change == 0 {
		opts.Change = DefaultChange
	}

	return &Engine{
		clock: clock,
		opts:  opts,
		state: orders.State{Setting: opts.Initial},
		goal:  opts.Initial,
	}
}

// Order takes o. It fails with orders.ErrFenced or ErrCrashed.
func (e *Engine) Order(o orders.Order) (orders.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.settle()

	r := Receipt{At: e.clock.Now(), Order: o, Before: e.goal}
	defer func() { e.receipts = append(e.receipts, r) }()

	if e.crashed {
		r.Refused = true

		return orders.State{}, ErrCrashed
	}

	if e.opts.ChecksFencing && o.Fence < e.state.Fence {
		r.Refused = true

		return e.state, orders.ErrFenced
	}

	e.state.Fence = max(e.state.Fence, o.Fence)
	r.Effect = e.state.Unknown || o.Setting != e.goal
	r.Conflict = e.state.Changing && o.Setting != e.goal

	if r.Effect {
		r.Cut = e.begin(o)
	}

	e.state.Number = o.Number

	return e.state, nil
}

// begin starts the change to o and returns the number of requests that it cuts.
func (e *Engine) begin(o orders.Order) int {
	gateOnly := e.goal
	gateOnly.Admission = o.Admission

	if !e.state.Unknown && !e.state.Changing && gateOnly == o.Setting {
		e.goal, e.state.Setting = o.Setting, o.Setting

		return 0
	}

	cut := e.state.InFlight
	e.state.InFlight = 0
	e.state.Changing, e.state.Unknown = true, false
	e.goal = o.Setting
	e.until = e.clock.Now().Add(e.opts.Change)

	return cut
}

// settle ends a change whose time has come; the caller holds mu.
func (e *Engine) settle() {
	if e.crashed || !e.state.Changing {
		return
	}

	if e.crashNext {
		e.crash()

		return
	}

	if !e.clock.Now().Before(e.until) {
		e.state.Changing = false
		e.state.Setting = e.goal
	}
}

// State answers about the engine. It fails with ErrCrashed.
func (e *Engine) State() (orders.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.settle()

	if e.crashed {
		return orders.State{}, ErrCrashed
	}

	return e.state, nil
}

// Admit takes a new request, which Finish must end, and reports whether it did.
func (e *Engine) Admit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.settle()

	if e.crashed || e.state.Changing || e.state.Unknown || e.state.Admission == orders.Closed {
		return false
	}

	e.state.InFlight++

	return true
}

// Finish ends a request that Admit took. It does nothing if the request was cut.
func (e *Engine) Finish() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.state.InFlight = max(0, e.state.InFlight-1)
}

// Crash stops the engine until Recover. A change that is going on leaves its state unknown.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.settle()
	e.crash()
}

// CrashInChange makes the engine crash during its next change, or the one going on.
func (e *Engine) CrashInChange() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.crashNext = true
}

func (e *Engine) crash() {
	e.crashed, e.crashNext = true, false
	e.state.InFlight = 0

	if e.state.Changing {
		e.state.Changing, e.state.Unknown = false, true
		e.goal = orders.Setting{}
		e.state.Setting = orders.Setting{}
	}
}

// Recover starts a crashed engine again, with known as its setting if it crashed in a change and
// the change did or did not come through; nil leaves that unknown. The fencing
// number survives, and a crash planned by CrashInChange is off.
func (e *Engine) Recover(known *orders.Setting) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.crashed, e.crashNext = false, false

	if e.state.Unknown && known != nil {
		e.state.Unknown = false
		e.state.Setting, e.goal = *known, *known
	}
}

// Fence returns the highest fencing number that came with an order.
func (e *Engine) Fence() table.Fence {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.state.Fence
}

// Receipts returns a copy of what arrived so far, oldest first.
func (e *Engine) Receipts() []Receipt {
	e.mu.Lock()
	defer e.mu.Unlock()

	return append([]Receipt(nil), e.receipts...)
}

package orderengine

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
)

// Error is the class of this package's errors.
var Error = errs.Class("standin-orders")

// ErrCrashed says that the engine has crashed and does not answer. An order sent to it may or may not have taken
// effect.
var ErrCrashed = errs.New("standin: engine crashed")

// DefaultChangeTime is the default of Options.ChangeTime.
const DefaultChangeTime = 5 * time.Second

// Options tune an Engine. The zero value works; the engine then ignores fencing numbers.
type Options struct {
	Initial       orders.Setting // setting in force at the start
	ChecksFencing bool           // refuse an order whose fencing number is below the highest seen
	ChangeTime    time.Duration  // how long a change of anything but admission takes; zero means DefaultChangeTime
}

// Receipt records an order that arrived and its outcome.
type Receipt struct {
	At          time.Time
	Order       orders.Order
	Refused     bool           // refused for its fencing number, or because the engine had crashed
	TookEffect  bool           // the order changed the setting or started a change
	Conflict    bool           // the order differed from the setting that a change under way led to
	CutRequests int            // number of requests in flight that the order cut off
	Before      orders.Setting // the setting before the order, or the one that a change under way led to
}

// Engine simulates the setting, changes and crashes of one engine. It is safe for concurrent use.
type Engine struct {
	clock clockwork.Clock
	opts  Options

	mu            sync.Mutex
	state         orders.State
	goalSetting   orders.Setting // setting that the change under way leads to; the current setting without a change
	changeEnd     time.Time      // end of the change under way
	crashed       bool
	crashInChange bool // crash during the change under way, or else the next one
	receipts      []Receipt
}

// New returns an Engine with opts.Initial in force.
func New(clock clockwork.Clock, opts Options) *Engine {
	if opts.ChangeTime == 0 {
		opts.ChangeTime = DefaultChangeTime
	}

	return &Engine{
		clock:       clock,
		opts:        opts,
		state:       orders.State{Setting: opts.Initial},
		goalSetting: opts.Initial,
	}
}

// Order executes o and records it as a Receipt. It fails with ErrCrashed while the engine is crashed, and with
// orders.ErrFenced and the current state if the engine refuses the fencing number.
func (e *Engine) Order(o orders.Order) (orders.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.finishDueChange()

	r := Receipt{At: e.clock.Now(), Order: o, Before: e.goalSetting}
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
	r.TookEffect = e.state.Unknown || o.Setting != e.goalSetting
	r.Conflict = e.state.Changing && o.Setting != e.goalSetting

	if r.TookEffect {
		r.CutRequests = e.applySetting(o)
	}

	e.state.Number = o.Number

	return e.state, nil
}

// applySetting applies the setting of o. A change of admission alone takes effect at once. Any other starts a
// change that takes Options.ChangeTime and cuts off the requests in flight; their number is returned. The caller holds
// mu.
func (e *Engine) applySetting(o orders.Order) int {
	admissionOnly := e.goalSetting
	admissionOnly.Admission = o.Admission

	if !e.state.Unknown && !e.state.Changing && admissionOnly == o.Setting {
		e.goalSetting, e.state.Setting = o.Setting, o.Setting

		return 0
	}

	cut := e.state.InFlight
	e.state.InFlight = 0
	e.state.Changing, e.state.Unknown = true, false
	e.goalSetting = o.Setting
	e.changeEnd = e.clock.Now().Add(e.opts.ChangeTime)

	return cut
}

// finishDueChange ends a change whose end has passed, or crashes during the change if CrashInChange has been called.
// The caller holds mu.
func (e *Engine) finishDueChange() {
	if e.crashed || !e.state.Changing {
		return
	}

	if e.crashInChange {
		e.crash()

		return
	}

	if !e.clock.Now().Before(e.changeEnd) {
		e.state.Changing = false
		e.state.Setting = e.goalSetting
	}
}

// State returns the engine's state. It fails with ErrCrashed while the engine is crashed.
func (e *Engine) State() (orders.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.finishDueChange()

	if e.crashed {
		return orders.State{}, ErrCrashed
	}

	return e.state, nil
}

// Admit reports whether the engine accepts a new request. If so, the request counts as in flight until Finish.
func (e *Engine) Admit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.finishDueChange()

	if e.crashed || e.state.Changing || e.state.Unknown || e.state.Admission == orders.Closed {
		return false
	}

	e.state.InFlight++

	return true
}

// Finish ends a request that Admit accepted. It does nothing if no request is in flight, as after a change or crash
// has cut them off.
func (e *Engine) Finish() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.state.InFlight = max(0, e.state.InFlight-1)
}

// Crash makes the engine unavailable until Recover. If a change is under way, the setting becomes unknown.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.finishDueChange()
	e.crash()
}

// CrashInChange makes the engine crash during the change under way, or else the next one.
func (e *Engine) CrashInChange() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.crashInChange = true
}

// crash cuts off all requests and makes the setting unknown if a change is under way. The caller holds mu.
func (e *Engine) crash() {
	e.crashed, e.crashInChange = true, false
	e.state.InFlight = 0

	if e.state.Changing {
		e.state.Changing, e.state.Unknown = false, true
		e.goalSetting = orders.Setting{}
		e.state.Setting = orders.Setting{}
	}
}

// Recover restarts a crashed engine. If it crashed during a change, known is its setting from now on, which is the
// old or the new one; nil leaves the setting unknown. The fencing number is kept, and a crash requested by
// CrashInChange is cancelled.
func (e *Engine) Recover(known *orders.Setting) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.crashed, e.crashInChange = false, false

	if e.state.Unknown && known != nil {
		e.state.Unknown = false
		e.state.Setting, e.goalSetting = *known, *known
	}
}

// Fence returns the highest fencing number of the orders received.
func (e *Engine) Fence() entity.Fence {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.state.Fence
}

// Receipts returns a copy of the receipts of all orders so far, oldest first.
func (e *Engine) Receipts() []Receipt {
	e.mu.Lock()
	defer e.mu.Unlock()

	return append([]Receipt(nil), e.receipts...)
}

package orders

import (
	"context"
	"slices"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("orders")

// Errors after which an order certainly has no effect. After any other error the order may still
// arrive. These errors may be wrapped; test with errors.Is.
var (
	// ErrFenced means that the engine has received a higher fencing number and ignored the order.
	ErrFenced = errs.New("orders: refused, old fencing number")
	// ErrNotSent means that the order never left this host.
	ErrNotSent = errs.New("orders: not sent")
)

// Number is the sequence number of an order to one engine. It increases with each order that differs
// from the last one; a repeated order keeps its number.
type Number uint64

// Admission says whether an engine takes new requests. The zero value is Open.
type Admission uint8

const (
	// Open engines take new requests.
	Open Admission = iota
	// Closed engines refuse new requests, reporting them as not run, and finish those in flight.
	Closed
)

// String returns the kebab-case name of a.
func (a Admission) String() string {
	if a == Closed {
		return "closed"
	}

	return "open"
}

// MarshalText encodes a as its name.
func (a Admission) MarshalText() ([]byte, error) {
	return []byte(a.String()), nil
}

// UnmarshalText decodes the name of an admission and fails on any other text.
func (a *Admission) UnmarshalText(text []byte) error {
	switch string(text) {
	case "open":
		*a = Open
	case "closed":
		*a = Closed
	default:
		return Error.New("unknown admission %q, want open or closed", text)
	}

	return nil
}

// Setting is everything that an order configures on an engine.
type Setting struct {
	Role      entity.Role  `json:"role"`
	Model     entity.Model `json:"model,omitempty"`
	Adapter   string       `json:"adapter,omitempty"`
	Version   string       `json:"version,omitempty"`
	Admission Admission    `json:"admission"`
}

// Order is a command to an engine to apply Setting, whatever its present setting is.
type Order struct {
	Setting
	Fence  entity.Fence `json:"fence"`
	Number Number       `json:"number"`
}

// State is the state that an engine reports.
type State struct {
	Setting
	Fence    entity.Fence `json:"fence"`              // highest that the engine has received with an order
	Number   Number       `json:"number"`             // number of the last order that the engine accepted
	Changing bool         `json:"changing,omitempty"` // an order is being carried out
	Unknown  bool         `json:"unknown,omitempty"`  // the engine crashed during a change; Setting is meaningless
	InFlight int          `json:"in-flight"`          // requests accepted and not finished
}

// Intent is the record of the last order to an engine. An open order is still being sent or applied;
// a settled one is confirmed. The zero value stands for an engine that never got an order.
type Intent struct {
	Order
	Open bool `json:"open,omitempty"`
	// Pending lists the fencing numbers under which orders may still reach this engine.
	Pending []entity.Fence `json:"pending,omitempty"`
}

func (i Intent) withPending(f entity.Fence) Intent {
	if !slices.Contains(i.Pending, f) {
		i.Pending = append(slices.Clone(i.Pending), f)
	}

	return i
}

func (i Intent) withoutPending(drop func(entity.Fence) bool) Intent {
	i.Pending = slices.DeleteFunc(slices.Clone(i.Pending), drop)
	if len(i.Pending) == 0 {
		i.Pending = nil
	}

	return i
}

// Key returns the platform key of the intent for target in dc.
func Key(dc entity.DataCentre, target entity.TargetID) platform.Key {
	return platform.Key("orders/" + string(dc) + "/" + string(target))
}

// Engines makes calls to engines. Its methods must be safe for concurrent use.
type Engines interface {
	// Order sends o and returns the state after the engine accepted it, which may be before the
	// change is complete. It fails with ErrFenced or ErrNotSent if o has had no effect and never will.
	Order(ctx context.Context, target entity.Target, o Order) (State, error)
	// State returns the engine's state.
	State(ctx context.Context, target entity.Target) (State, error)
}

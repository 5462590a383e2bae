package orders

import (
	"context"
	"slices"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("orders")

// Definite outcomes of sending an order; after any other error the order may still arrive. They
// may be wrapped; test with errors.Is.
var (
	// ErrFenced says that the engine has seen a higher fencing number and did nothing.
	ErrFenced = errs.New("orders: refused, old fencing number")
	// ErrNotSent says that the order never left this host.
	ErrNotSent = errs.New("orders: not sent")
)

// Number numbers the different orders to one engine; it only grows.
type Number uint64

// Admission says whether an engine takes new requests. The zero value is Open.
type Admission uint8

const (
	// Open engines take new requests.
	Open Admission = iota
	// Closed engines refuse new requests as not run and finish those they have.
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

// UnmarshalText decodes a name of an admission and fails on any other text.
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

// Setting is all that an order determines of an engine.
type Setting struct {
	Role      table.Role  `json:"role"`
	Model     table.Model `json:"model,omitempty"`
	Adapter   string      `json:"adapter,omitempty"`
	Version   string      `json:"version,omitempty"`
	Admission Admission   `json:"admission"`
}

// Order tells an engine which Setting to take, whatever it has now.
type Order struct {
	Setting
	Fence  table.Fence `json:"fence"`
	Number Number      `json:"number"`
}

// State is an engine's answer about itself.
type State struct {
	Setting
	Fence    table.Fence `json:"fence"`              // highest that came with an order
	Number   Number      `json:"number"`             // of the last order it obeyed
	Changing bool        `json:"changing,omitempty"` // an order is being carried out
	Unknown  bool        `json:"unknown,omitempty"`  // it crashed in a change; Setting tells nothing
	InFlight int         `json:"in-flight"`          // requests accepted and not ended
}

// Intent is the record of the last order to an engine, open or settled. The zero value is an
// engine that was never given one.
type Intent struct {
	Order
	Open bool `json:"open,omitempty"`
	// Pending are the fencing numbers under which orders to this engine may still be on their way.
	Pending []table.Fence `json:"pending,omitempty"`
}

func (i Intent) withPending(f table.Fence) Intent {
	if !slices.Contains(i.Pending, f) {
		i.Pending = append(slices.Clone(i.Pending), f)
	}

	return i
}

func (i Intent) withoutPending(drop func(table.Fence) bool) Intent {
	i.Pending = slices.DeleteFunc(slices.Clone(i.Pending), drop)
	if len(i.Pending) == 0 {
		i.Pending = nil
	}

	return i
}

// Key returns the key of the intent of target in dc.
func Key(dc table.DataCentre, target table.TargetID) platform.Key {
	return platform.Key("orders/" + string(dc) + "/" + string(target))
}

// Engines gives orders to engines. Its methods are called from several goroutines.
type Engines interface {
	// Order gives o and returns the state after it was taken, not after it was carried out. It
	// fails with ErrFenced or ErrNotSent if o had and will have no effect.
	Order(ctx context.Context, target table.Target, o Order) (State, error)
	// State asks for the engine's state.
	State(ctx context.Context, target table.Target) (State, error)
}

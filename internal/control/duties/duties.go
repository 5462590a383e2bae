// Package duties describes the calls to the platform that one host makes at a time: usage reports and orders of replicas.
//
// The host that holds the lease for orders to replicas has these duties too, so that each has one holder and one fencing number.
package duties

import "github.com/dotterelflow/dotterelflow/internal/control/entity"

// Term is the time for which a host holds the lease under one fencing number. The zero value is no term.
type Term struct {
	Holder entity.HostID
	Fence  entity.Fence
}

// Kind is the kind of a duty.
type Kind uint8

const (
	// UsageReport is the report of the requests of each account, sent once for each window.
	UsageReport Kind = iota
	// ReplicaOrder is the order of a number of replicas of one service in one data centre.
	ReplicaOrder
)

// Result is the platform's reply to a call.
type Result uint8

const (
	// Accepted means that the call has taken effect.
	Accepted Result = iota
	// Fenced means that the call has no effect because a later holder has made calls.
	Fenced
	// Unavailable means that there are no replicas of the ordered kind at the moment.
	Unavailable
	// Throttled means that the call has no effect because of the rate of all calls.
	Throttled
	// Failed means that the call has no effect for another reason.
	Failed
)

// String returns the name of r for logs.
func (r Result) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case Fenced:
		return "fenced"
	case Unavailable:
		return "unavailable"
	case Throttled:
		return "throttled"
	default:
		return "failed"
	}
}

// Window is the number of a window of usage reports, counted from the start of 1970.
type Window int64

// Report is the usage report of one window.
type Report struct {
	Window Window
	Counts map[entity.AccountID]uint64 // requests that began to run
}

// Order is an order of the number of replicas that a service has in a data centre. Reclaimable replicas, which the platform may take
// away, are counted apart from the others.
type Order struct {
	Service     entity.ServiceName
	DataCentre  entity.DataCentre
	Count       int
	Reclaimable bool
}

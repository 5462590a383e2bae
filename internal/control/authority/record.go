package authority

import (
	"slices"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("authority")

// Record is the value of the lease object of one data centre. The zero value is a lease that was
// never held.
type Record struct {
	Fence   entity.Fence   `json:"fence"`
	Holder  entity.HostID  `json:"holder,omitempty"`  // empty once released
	Address string         `json:"address,omitempty"` // address of the holder, as in the platform's host list
	Nonce   string         `json:"nonce,omitempty"`   // identifies the Machine that last took the lease
	Attempt uint64         `json:"attempt,omitempty"` // sequence number of that Machine's last write
	Former  []FormerHolder `json:"former,omitempty"`  // ordered by fence
}

// FormerHolder is an earlier holder that may still have orders on their way.
type FormerHolder struct {
	Fence   entity.Fence  `json:"fence"`
	Host    entity.HostID `json:"host"`
	Address string        `json:"address"`
}

// Key returns the key of the lease object of dc.
func Key(dc entity.DataCentre) platform.Key {
	return platform.Key("authority/" + string(dc))
}

// Cleared reports whether no order with the fencing number fence can still be on its way: the holder
// released the lease or acknowledged its loss, or its host is gone, or an operator confirmed that it has
// ended.
func (r Record) Cleared(fence entity.Fence) bool {
	if fence >= r.Fence {
		return false
	}

	return !slices.ContainsFunc(r.Former, func(f FormerHolder) bool { return f.Fence == fence })
}

// WithoutFormer returns r without the former holders for which drop returns true. It leaves r unchanged.
func (r Record) WithoutFormer(drop func(FormerHolder) bool) Record {
	r.Former = slices.DeleteFunc(slices.Clone(r.Former), drop)
	if len(r.Former) == 0 {
		r.Former = nil
	}

	return r
}

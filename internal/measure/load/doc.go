// Package load sends the requests of a trace to entry hosts over real connections, within bounds,
// and checks each answer.
//
// It knows the answers because it is meant for stand-in targets, whose answers follow from the
// request. It reaches loopback addresses only.
package load

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("load")

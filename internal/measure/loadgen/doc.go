// Package loadgen is a load generator: it sends the requests of a trace to entry hosts over real connections and checks
// each answer.
//
// It can check the answers because the targets must be stand-ins, whose answers are a function of the request. It
// connects to loopback addresses only, and limits the duration, the rate and the requests in flight.
package loadgen

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("load")

// Package load implements the command load, which sends a trace of requests to entry hosts.
package load

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("load command")

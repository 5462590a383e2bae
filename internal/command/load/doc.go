// Package load holds the command "dotterelflow load".
package load

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("load command")

// Package report implements the command report, which shows reports on the running system.
package report

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("report")

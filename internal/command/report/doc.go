// Package report holds the command "dotterelflow report".
package report

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("report")

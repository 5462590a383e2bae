// Package burnreport renders a burn report as text, JSON or one HTML page that needs nothing else.
// It is written for an operator who looks once in the evening: the worst client accounts first, in
// plain sentences, with what to look at next.
package burnreport

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("burnreport")

// Package burnreport renders a burn report as text, JSON or a self-contained HTML page. The report is
// meant for an operator who reads it once in the evening: it lists the worst client accounts first and
// describes each in plain sentences, with a hint on what to check first.
package burnreport

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("burnreport")

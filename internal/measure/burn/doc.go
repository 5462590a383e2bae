// Package burn counts, for each client account and kind, the requests that met their objective and
// those that did not, and computes how fast the error budget burns over several windows.
//
// A Ledger counts in buckets of four widths, one per window, so its memory is bounded whatever the
// traffic. Ledgers merge by addition. A Saver moves what a host has counted into objects of the
// platform that the hosts of a data centre share; hosts keep only what they have not yet moved. A
// Report is made of the platform's ledgers and of what the live hosts have not yet moved.
package burn

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("burn")

// Package burnrate counts, for each client account and request kind, the requests that met their
// objective and those that did not, and computes the burn rate of the error budget over several
// time windows.
//
// A Ledger counts in time buckets, with one bucket width per window, so its memory per account and
// kind does not grow with the traffic. Ledgers merge by addition. A Saver moves a host's counts into
// platform objects that the hosts of a data centre share; a host keeps only the counts that it has
// not yet saved. Gather makes a Report from the saved counts of all data centres and the unsaved
// counts of the live hosts.
package burnrate

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("burn")

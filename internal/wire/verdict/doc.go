// Package verdict states, for a request that did not simply succeed, whether a target may have run it.
//
// A Verdict crosses every process boundary with the error that carries it. The zero
// Verdict is MayHaveRun, so a verdict that was lost on the way is never read as "not run".
package verdict

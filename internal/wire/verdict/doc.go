// Package verdict defines the verdict on a failed request: whether a target may have run it.
//
// Every error that crosses a process boundary carries its Verdict. The zero Verdict is MayHaveRun, so a
// verdict that is missing from a message is never taken for NotRun.
package verdict

// Package dispatch runs one admitted request on targets until its answer is whole or final.
//
// It picks a target, streams the answer, resumes a broken stream from its offset and tries again
// elsewhere, as far as the verdict of each failure and the request kind allow.
package dispatch

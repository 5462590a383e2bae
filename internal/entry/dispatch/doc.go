// Package dispatch runs a request that package requests has admitted, on targets, until the answer is complete or has
// failed for good.
//
// It picks a target, streams the answer, resumes a broken stream after the last received event, and
// retries on another target when the verdict of the failure and the request kind allow that.
package dispatch

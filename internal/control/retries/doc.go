// Package retries decides whether a failed request may be tried again on another target.
//
// Two things have to agree: the verdict, as work that may have run is never repeated for a kind
// that runs at most once, and the account's budget, which grows with its successes, so that
// retries stay a fixed share of its traffic when all fails.
package retries

// Package retries decides whether a failed request may be retried on another target.
//
// A retry needs two permissions. The verdict on the failed try must allow it: work that may have run is not
// repeated for a kind that runs at most once. And the account must have retry budget left: the budget grows
// with successes, so that retries stay a fixed share of the account's traffic even if all requests fail.
//
// Separately, a Limiter bounds the repeats of requests (each send after the first) for each service, over all entry
// hosts together.
package retries

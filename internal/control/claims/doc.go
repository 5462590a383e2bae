// Package claims implements the rules by which a request with an idempotency key runs at most once:
// what the claim of a key records, in which page of the platform's object API it is stored, and how
// claiming, finishing and abandoning change a page.
//
// It does no I/O. Each change of a page is idempotent by the nonce of its attempt: after a write
// with an unknown outcome, the caller reads the page and applies the same change again.
package claims

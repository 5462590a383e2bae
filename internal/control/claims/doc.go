// Package claims defines how claims of idempotency keys are stored, and the rules for changing them. A claim
// records which host may dispatch the request with a key, so that the request runs at most once. Claims are
// kept in pages, which are stored as objects of the platform's object API.
//
// The package does no I/O; package ledger reads and writes the pages. Each change of a page is idempotent by
// the nonce of its attempt: after a write with an unknown outcome, the caller reads the page and applies the
// same change again.
package claims

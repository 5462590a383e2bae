// Package claims holds the rules by which a keyed request runs at most once: what a claim records,
// in which page of the platform's object API it lives, and how claims, results and withdrawals
// change a page.
//
// It does no I/O. Each change of a page is idempotent by the nonce of its attempt, so that a write
// whose outcome is unknown is settled by reading the page and applying the same change again.
package claims

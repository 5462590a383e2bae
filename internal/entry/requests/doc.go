// Package requests takes callers' requests from their arrival to an answer that can be read.
//
// A request without an idempotency key ends with its caller. One with a key goes on without its
// caller, is claimed before it is dispatched, and is joined by its repeats.
package requests

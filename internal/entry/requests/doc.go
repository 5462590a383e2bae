// Package requests accepts callers' requests, has them admitted, passes them to package dispatch to be run on targets,
// and returns the answers to read.
//
// A request without an idempotency key is cancelled when its caller leaves. A request with a key goes on
// without its caller, is claimed before it is dispatched, and shares its answer with its repeats.
package requests

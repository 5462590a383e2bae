// Package once sends a request to a target at most once per call.
//
// The HTTP and gRPC libraries repeat some requests on their own: net/http sends a request with an
// Idempotency-Key header, or one without a body, again when a reused connection fails, and gRPC
// has configured and transparent retries. The Transport and the dial options of this package turn
// that off, so that only the caller, which knows the verdict, decides on a second try.
package once

// Package once provides an HTTP client and gRPC dial options that send each request to a target at most once. The error
// of a failed HTTP request carries a verdict: whether the target may have run the request.
//
// The libraries retry some requests on their own: when a reused connection fails, net/http resends a request that has an
// Idempotency-Key header or no body, and gRPC has configured and transparent retries. This package turns these retries
// off. Only the caller decides, from the verdict, whether to retry.
package once

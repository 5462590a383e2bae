// Package once provides HTTP and gRPC clients that send each request to a target at most once.
//
// The libraries retry some requests on their own: when a reused connection fails, net/http resends a
// request that has an Idempotency-Key header or no body, and gRPC has configured and transparent
// retries. The Transport and the dial options of this package turn that off, so that only the caller,
// which has the verdict, decides whether to retry.
package once

package once

import "google.golang.org/grpc"

// DialOptions returns the options of a gRPC connection whose calls reach a target at most once.
//
// They disable the retries that a service config, for example one from a resolver, can request, and commit a
// call to its first attempt as soon as its message is passed to the transport. gRPC can then retry a call
// transparently only if the call's message was not sent.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxRetryRPCBufferSize(0)),
	}
}

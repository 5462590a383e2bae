package once

import "google.golang.org/grpc"

// DialOptions returns the options of a gRPC connection whose calls a target sees at most once.
//
// They switch off retries by service config, which a resolver could bring in, and commit a call to
// its first attempt as soon as its message is handed over. What remains is a transparent retry of a
// call of which no message was sent.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxRetryRPCBufferSize(0)),
	}
}

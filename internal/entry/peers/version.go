package peers

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// versionKey is the metadata key of the software version at which an answer is generated. A Forward call has it if the
// answer has begun, and the header of the events of a Forward or Join call if their engine states a version.
const versionKey = "software-version"

// withVersion returns ctx for a call that names v.
func withVersion(ctx context.Context, v entity.SoftwareVersion) context.Context {
	if v == "" {
		return ctx
	}

	return metadata.AppendToOutgoingContext(ctx, versionKey, string(v))
}

// versionFrom returns the version that the call of ctx names; empty for none.
func versionFrom(ctx context.Context) entity.SoftwareVersion {
	md, _ := metadata.FromIncomingContext(ctx)

	return firstVersion(md)
}

// setVersion makes the header of stream, on which nothing has been sent, name v.
func setVersion(stream grpc.ServerStream, v entity.SoftwareVersion) error {
	if v == "" {
		return nil
	}

	return peer.Error.Wrap(stream.SetHeader(metadata.Pairs(versionKey, string(v))))
}

// versionOf returns the version that the header of stream names; empty for none.
func versionOf(stream grpc.ClientStream) entity.SoftwareVersion {
	md, err := stream.Header()
	if err != nil {
		return "" // Recv fails with the same error
	}

	return firstVersion(md)
}

func firstVersion(md metadata.MD) entity.SoftwareVersion {
	values := md.Get(versionKey)
	if len(values) == 0 {
		return ""
	}

	v, _ := entity.ParseSoftwareVersion(values[0])

	return v
}

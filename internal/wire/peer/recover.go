package peer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// recoverUnary returns an interceptor that ends a unary call that panics with codes.Internal.
func recoverUnary(recorder panics.Recorder) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, r any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
		defer recorder.Recover("", func(problem *verdict.Error) { reply, err = nil, statusOf(problem) })

		return handle(ctx, r)
	}
}

// recoverStream is recoverUnary for calls whose answer is a stream.
func recoverStream(recorder panics.Recorder) grpc.StreamServerInterceptor {
	return func(service any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
		received := &receivedStream{ServerStream: stream}

		// The id is known only once the request has been received.
		defer func() {
			if v := recover(); v != nil {
				err = statusOf(recorder.Record(v, received.id))
			}
		}()

		return handle(service, received)
	}
}

func statusOf(problem *verdict.Error) error {
	return status.Error(codes.Internal, problem.Message)
}

// receivedStream notes the id of a forwarded request when that is received.
type receivedStream struct {
	grpc.ServerStream

	id entity.RequestID // empty for a call that forwards no request
}

// RecvMsg implements grpc.ServerStream.
func (s *receivedStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)

	if r, ok := m.(*ForwardRequest); ok && err == nil {
		s.id = entity.RequestID(r.GetRequestId())
	}

	return err
}

package peers

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Serve sends r to the host m, which serves it, and returns a function that returns the events of the answer in order, and
// then io.EOF. Its error is a *verdict.Error. The answer ends with ctx, or once m does not count as alive any more.
//
// It uses connections of its own, since the others are closed when a heartbeat fails.
func (n *Network) Serve(ctx context.Context, m members.Member, r *peer.ServeRequest) (next func() (*peer.ServeEvent, error), err error) {
	client, err := n.serving.Client(m.Address)
	if err != nil {
		return nil, peerLost(m, verdict.NotRun, err)
	}

	ctx, release := n.whileAlive(ctx, m)
	openCtx, cancel := context.WithCancel(ctx)
	timer := n.opts.Clock.AfterFunc(timeoutFor(r), cancel)

	stream, err := client.Serve(openCtx, r)
	timer.Stop()

	if err != nil {
		cancel()
		release()

		// Only the error io.EOF comes after a part of the message was sent.
		if errors.Is(err, io.EOF) {
			return nil, peerLost(m, verdict.MayHaveRun, err)
		}

		return nil, peerLost(m, verdict.NotRun, err)
	}

	return func() (*peer.ServeEvent, error) {
		e, err := stream.Recv()
		if err != nil {
			cancel()
			release()
		}

		// A host of an older build serves no requests.
		if status.Code(err) == codes.Unimplemented {
			return &peer.ServeEvent{Problem: peer.FromError(verdict.New(verdict.NotRun, verdict.CodeNotReady, "%s serves no requests of other hosts", m.Host))}, nil
		}

		return e, err
	}, nil
}

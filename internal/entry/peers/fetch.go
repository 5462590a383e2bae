package peers

import (
	"context"
	"errors"
	"math"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/copies"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// wholeTimeout bounds a fetch from a host of an older build, which sends its state in one message.
const wholeTimeout = 5 * time.Second

// Fetch returns the encoded configuration that host has in force. It fails if a part of it does not arrive in time.
func (n *Network) Fetch(ctx context.Context, host entity.HostID) ([]byte, error) {
	receiver := copies.NewReceiver(copies.ReceiverOptions{
		Clock: n.opts.Clock, Host: n.opts.Host,
		FetchPart: func(ctx context.Context, from entity.HostID, r *peer.FetchPartRequest) (*peer.Part, error) {
			return n.FetchPart(ctx, from, r, func(encoded []byte) ([]byte, error) { return encoded, nil })
		},
	})

	received, err := receiver.Fetch(ctx, host, 0, func() bool { return true })
	if err != nil || received == nil {
		return nil, err
	}

	return received.State()
}

// FetchPart asks host for the part r of its state. A host of an older build sends its whole state at once, out of which
// extract takes what r asks for.
func (n *Network) FetchPart(
	ctx context.Context, host entity.HostID, r *peer.FetchPartRequest, extract func(encoded []byte) ([]byte, error),
) (*peer.Part, error) {
	client, err := n.clientOfLive(host)
	if err != nil {
		return nil, err
	}

	p, err := client.FetchPart(ctx, r)

	switch {
	case status.Code(err) == codes.Unimplemented:
		return n.fetchWhole(ctx, client, r, extract)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		m, _ := n.Member(host)
		n.links.Drop(m.Address, client) // the connection may have fallen silent
	}

	return p, peer.Error.Wrap(err)
}

// fetchWhole makes a part of all that a host of an older build sends.
func (n *Network) fetchWhole(
	ctx context.Context, client peer.PeerClient, r *peer.FetchPartRequest, extract func(encoded []byte) ([]byte, error),
) (*peer.Part, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wholeTimeout)
	defer cancel()

	known := &peer.FetchConfigurationRequest{NewerThan: r.GetKnown(), TargetsSince: math.MaxUint64}
	if r.GetTargets() {
		known = &peer.FetchConfigurationRequest{NewerThan: math.MaxUint64, TargetsSince: r.GetKnown()}
	}

	reply, err := client.FetchConfiguration(ctx, known)
	if err != nil || len(reply.GetEncoded()) == 0 {
		return &peer.Part{}, peer.Error.Wrap(err)
	}

	state, err := extract(reply.GetEncoded())
	if err != nil {
		return nil, err
	}

	return copies.WholePart(state), nil
}

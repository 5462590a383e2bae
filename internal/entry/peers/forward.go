package peers

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// maxForwardHosts limits the entry hosts that one request is forwarded to, one after the other. After a host that
// may have run the request, the next one only resumes it.
const maxForwardHosts = 3

// Forward runs req on the target t of the data centre dc through an entry host there, and collects the answer in
// ans. Its error is a *verdict.Error, with CodePeerLost if no entry host of dc can be reached or if those that it
// tried were lost.
func (n *Network) Forward(ctx context.Context, dc entity.DataCentre, t entity.TargetID, req entity.Request, ans *answers.Answer) error {
	var last *verdict.Error

	for _, m := range n.hostsIn(dc) {
		err := n.forwardTo(ctx, m, t, req, ans)
		if err == nil {
			return nil
		}

		last = verdict.From(err)
		if req.Resume && last.Verdict == verdict.NotRun {
			// NotRun covers only the call that was to resume; the earlier run may have taken place.
			raised := *last
			raised.Verdict = verdict.MayHaveRun
			last = &raised
		}

		if last.Code != verdict.CodePeerLost || ctx.Err() != nil {
			return last
		}

		req.Resume = req.Resume || last.Verdict != verdict.NotRun

		// The events name the engine that generates the answer, which may not be the one that ran the prompt.
		if from := ans.Meta().Target; from != "" && last.Verdict != verdict.NotRun {
			t = from
		}
	}

	if last == nil {
		v := verdict.NotRun
		if req.Resume {
			v = verdict.MayHaveRun
		}

		return verdict.New(v, verdict.CodePeerLost, "no entry host of %s can be reached", dc)
	}

	return last
}

// hostsIn returns up to maxForwardHosts live hosts of dc that are ready and not stopping, in random order.
func (n *Network) hostsIn(dc entity.DataCentre) []members.Member {
	var found []members.Member

	for _, m := range n.Live() {
		if m.DataCentre == dc && m.Ready && !m.Stopping {
			found = append(found, m)
		}
	}

	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })

	return found[:min(len(found), maxForwardHosts)]
}

// forwardTo forwards req through the entry host m.
func (n *Network) forwardTo(ctx context.Context, m members.Member, t entity.TargetID, req entity.Request, ans *answers.Answer) error {
	ctx, cancel := n.whileAlive(ctx, m)
	defer cancel()

	client, err := n.links.Client(m.Address)
	if err != nil {
		return peerLost(m, verdict.NotRun, err)
	}

	version := req.SeenVersion
	if ans.NextSeq() > 0 {
		version = ans.Meta().Version
	}

	stream, err := client.Forward(withVersion(ctx, version), &peer.ForwardRequest{
		RequestId: string(req.ID), Account: string(req.Account), Kind: string(req.Kind.Name), Key: req.Key,
		Path: req.Path, Body: req.Body, ContentType: req.ContentType, Target: string(t),
		DeadlineUnixMs: req.Deadline.UnixMilli(), From: ans.NextSeq(), Resume: req.Resume, HandOver: string(req.PreferredDecode),
	})
	if err != nil {
		return peerLost(m, verdict.MayHaveRun, err)
	}

	return n.collect(ctx, m, stream, ans)
}

// aliveCheckInterval is the time between two checks that the peer of an open stream is alive.
const aliveCheckInterval = 500 * time.Millisecond

var errNoHeartbeat = peer.Error.New("no heartbeat for too long")

// whileAlive returns a context that ends with ctx, or with the cause errNoHeartbeat once m no longer counts as
// alive. It ends the streams from a peer that has stopped responding.
func (n *Network) whileAlive(ctx context.Context, m members.Member) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)

	go func() {
		tick := n.opts.Clock.NewTicker(aliveCheckInterval)
		defer tick.Stop()

		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.Chan():
			}

			if _, alive := n.Member(m.Host); !alive {
				cancel(errNoHeartbeat)

				return
			}
		}
	}()

	return ctx, func() { cancel(nil) }
}

// peerLost returns the error for a request that failed with err because the entry host m was lost.
func peerLost(m members.Member, v verdict.Verdict, err error) *verdict.Error {
	return verdict.New(v, verdict.CodePeerLost, "entry host %s was lost", m.Host).WithCause(err)
}

// collect appends the events of stream to ans until the answer is whole. It skips events that ans already has,
// and fails at a gap.
func (n *Network) collect(ctx context.Context, m members.Member, stream grpc.ServerStreamingClient[peer.AnswerEvent], ans *answers.Answer) error {
	for {
		ev, err := stream.Recv()

		switch {
		case err != nil && errors.Is(context.Cause(ctx), errNoHeartbeat):
			return peerLost(m, verdict.MayHaveRun, errNoHeartbeat)
		case errors.Is(err, io.EOF):
			return peerLost(m, verdict.MayHaveRun, io.ErrUnexpectedEOF)
		case err != nil && ctx.Err() == nil:
			// Dropping a silent link also ends its streams with codes.Canceled, though ctx has not ended.
			return peerLost(m, verdict.MayHaveRun, err)
		case status.Code(err) == codes.Canceled, status.Code(err) == codes.DeadlineExceeded:
			return verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "the forwarded request was cancelled or its deadline passed").WithCause(err)
		case err != nil:
			return peerLost(m, verdict.MayHaveRun, err)
		case ev.GetProblem() != nil:
			return ev.GetProblem().ToError()
		}

		if ev.GetStatus() != 0 || ev.GetTarget() != "" {
			meta := answers.Meta{
				Status: int(ev.GetStatus()), ContentType: ev.GetContentType(), Target: entity.TargetID(ev.GetTarget()),
				Version: versionOf(stream),
			}

			if began := ans.Meta().Version; ans.NextSeq() > 0 && meta.Version != began {
				return verdict.New(verdict.MayHaveRun, verdict.CodeOtherVersion, "entry host %s goes on at version %q, the answer began at %q",
					m.Host, meta.Version, began)
			}

			ans.SetMeta(meta)
		}

		if ev.GetLast() {
			return nil
		}

		next := ans.NextSeq()

		if ev.GetSequence() > next {
			return peerLost(m, verdict.MayHaveRun, peer.Error.New("event %d came instead of event %d", ev.GetSequence(), next))
		}

		if ev.GetSequence() == next && !ans.Append(ev.GetData()) {
			return answerProblem(ans)
		}
	}
}

// answerProblem returns the problem with which ans ended; nil if it ended whole or has not ended.
func answerProblem(ans *answers.Answer) error {
	if _, problem := ans.Ended(); problem != nil {
		return problem
	}

	return nil
}

// Join follows the answer that host produces or holds for a keyed request, and collects it in ans. It fails with
// CodeNotFound if host does not hold the answer, and with CodePeerLost if host is not alive or is lost.
func (n *Network) Join(ctx context.Context, host entity.HostID, account entity.AccountID, key string, ans *answers.Answer) error {
	m, alive := n.Member(host)
	if !alive {
		return verdict.New(verdict.MayHaveRun, verdict.CodePeerLost, "entry host %s is not alive", host)
	}

	client, err := n.links.Client(m.Address)
	if err != nil {
		return peerLost(m, verdict.MayHaveRun, err)
	}

	ctx, cancel := n.whileAlive(ctx, m)
	defer cancel()

	stream, err := client.Join(ctx, &peer.JoinRequest{Account: string(account), Key: key, From: ans.NextSeq()})
	if err != nil {
		return peerLost(m, verdict.MayHaveRun, err)
	}

	return n.collect(ctx, m, stream, ans)
}

// clientOfLive returns a client of host, or an error if host does not count as alive.
func (n *Network) clientOfLive(host entity.HostID) (peer.PeerClient, error) {
	m, alive := n.Member(host)
	if !alive {
		return nil, peer.Error.New("entry host %s is not alive", host)
	}

	return n.links.Client(m.Address)
}

// FetchBurn returns the encoded service-level counts that m has not saved to the platform yet.
func (n *Network) FetchBurn(ctx context.Context, m members.Member) ([]byte, error) {
	client, err := n.links.Client(m.Address)
	if err != nil {
		return nil, err
	}

	reply, err := client.FetchBurn(ctx, &peer.FetchBurnRequest{})

	return reply.GetEncoded(), peer.Error.Wrap(err)
}

// Claim sends an encoded claim request to host and returns the encoded reply. The caller encodes and decodes both.
func (n *Network) Claim(ctx context.Context, host entity.HostID, encoded []byte) ([]byte, error) {
	client, err := n.clientOfLive(host)
	if err != nil {
		return nil, err
	}

	reply, err := client.Claim(ctx, &peer.ClaimRequest{Encoded: encoded})
	if err != nil {
		return nil, peer.Error.Wrap(err)
	}

	if problem := reply.GetProblem(); problem != nil {
		return nil, problem.ToError()
	}

	return reply.GetEncoded(), nil
}

// Place sends r to the host at address, which chooses a target for the prompt.
func (n *Network) Place(ctx context.Context, address string, r *peer.PlaceRequest) (*peer.PlaceReply, error) {
	client, err := n.links.Client(address)
	if err != nil {
		return nil, err
	}

	reply, err := client.Place(ctx, r)

	return reply, peer.Error.Wrap(err)
}

// EndPlace reports to the host at address that a prompt placed by that host has ended.
func (n *Network) EndPlace(ctx context.Context, address string, r *peer.EndPlaceRequest) error {
	client, err := n.links.Client(address)
	if err != nil {
		return err
	}

	_, err = client.EndPlace(ctx, r)

	return peer.Error.Wrap(err)
}

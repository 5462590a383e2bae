package peers

import (
	"context"
	"strings"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Limits of a forwarded request. The entry host that accepted it from its caller has already enforced them.
const (
	maxBodyBytes  = 8 << 20
	maxKeyBytes   = 128
	maxFirstEvent = 1 << 32 // largest sequence number from which an answer can be requested
	maxDeadline   = 24 * time.Hour

	pathChat = "/v1/chat/completions"
	pathText = "/v1/completions"
)

// Runner runs forwarded requests.
type Runner interface {
	Run(ctx context.Context, req entity.Request, ans *answers.Answer)
}

// AnswerFinder finds the answers that this host is producing or still holds.
type AnswerFinder interface {
	Find(id answers.ID) (*answers.Answer, bool)
}

// PromptPlacer chooses targets for the prompts of other hosts. Place chooses a target and counts the prompt's work there.
// End reports that the prompt has ended.
type PromptPlacer interface {
	Place(r *peer.PlaceRequest) *peer.PlaceReply
	End(r *peer.EndPlaceRequest)
}

// RequestServer serves callers' requests for other hosts.
type RequestServer interface {
	Serve(ctx context.Context, r *peer.ServeRequest, send func(*peer.ServeEvent) error) error
}

// StreamOrigins handles what other hosts tell and ask about the software versions of streams.
type StreamOrigins interface {
	HandleRecords(m *peer.OriginRecords)
	HandleFetch() *peer.OriginRecords
	HandleFind(ctx context.Context, r *peer.FindOriginRequest) *peer.FindOriginReply
}

// Services are the functions of this host that peers call. Snapshot, Runner and Answers are required.
type Services struct {
	Snapshot func() *entity.Snapshot // the configuration in force; nil before the first
	Runner   Runner
	Answers  AnswerFinder
	// Configuration returns the generation in force and, if it is newer than known, the encoded configuration. An
	// empty encoding means that there is nothing newer. Nil serves no configuration.
	Configuration func(known KnownVersions) (entity.Generation, []byte)
	// Copies returns a part of a copy of this host's state; nil serves no parts.
	Copies func(r *peer.FetchPartRequest) *peer.Part
	// Claim handles an encoded claim request of another host; nil serves no claims.
	Claim func(ctx context.Context, encoded []byte) ([]byte, error)
	// Placer places prompts for other hosts; nil places no prompts.
	Placer PromptPlacer
	// Requests serves requests of hosts that reach no target of a service; nil serves none.
	Requests RequestServer
	// Crashes handles the records of requests that crash their targets and returns the reply; nil keeps no records.
	Crashes func(m *peer.CrashRecords) *peer.CrashRecords
	// Origins holds the versions of streams; nil keeps none.
	Origins StreamOrigins
	// Burn returns the encoded service-level counts that this host has not saved yet; nil serves no counts.
	Burn func() []byte
}

// KnownVersions is the state that a host already has when it fetches a configuration. The zero value means that it has
// none.
type KnownVersions struct {
	Generation      entity.Generation
	TargetsRevision uint64 // revision of the platform's list of targets
}

// Server serves the Peer protocol.
type Server struct {
	peer.UnimplementedPeerServer

	network  *Network
	services Services
}

// NewServer returns a Server that passes heartbeats to network and serves the other calls by services.
func NewServer(network *Network, services Services) *Server {
	return &Server{network: network, services: services}
}

// NewGRPCServer returns a gRPC server that serves the Peer protocol.
func NewGRPCServer(network *Network, services Services) *grpc.Server {
	return peer.NewGRPCServer(NewServer(network, services), network.opts.Panics)
}

// Heartbeat implements peer.PeerServer.
func (s *Server) Heartbeat(_ context.Context, d *peer.Digest) (*peer.Digest, error) {
	s.network.receiveExchange(d)

	return s.network.digest(entity.HostID(d.GetHost())), nil
}

// FetchConfiguration implements peer.PeerServer.
func (s *Server) FetchConfiguration(_ context.Context, r *peer.FetchConfigurationRequest) (*peer.Configuration, error) {
	if s.services.Configuration == nil {
		return &peer.Configuration{}, nil
	}

	generation, encoded := s.services.Configuration(KnownVersions{
		Generation: entity.Generation(r.GetNewerThan()), TargetsRevision: r.GetTargetsSince(),
	})
	if len(encoded) == 0 {
		return &peer.Configuration{}, nil
	}

	return &peer.Configuration{Generation: uint64(generation), Encoded: encoded}, nil
}

// FetchPart implements peer.PeerServer.
func (s *Server) FetchPart(ctx context.Context, r *peer.FetchPartRequest) (*peer.Part, error) {
	if s.services.Copies == nil {
		return s.UnimplementedPeerServer.FetchPart(ctx, r)
	}

	return s.services.Copies(r), nil
}

// Claim implements peer.PeerServer.
func (s *Server) Claim(ctx context.Context, r *peer.ClaimRequest) (*peer.ClaimReply, error) {
	if s.services.Claim == nil {
		return &peer.ClaimReply{Problem: peer.FromError(verdict.New(verdict.NotRun, verdict.CodeInternal, "claims are not served"))}, nil
	}

	encoded, err := s.services.Claim(ctx, r.GetEncoded())

	return &peer.ClaimReply{Encoded: encoded, Problem: peer.FromError(err)}, nil
}

// Place implements peer.PeerServer.
func (s *Server) Place(_ context.Context, r *peer.PlaceRequest) (*peer.PlaceReply, error) {
	if s.services.Placer == nil {
		return &peer.PlaceReply{}, nil
	}

	return s.services.Placer.Place(r), nil
}

// Serve implements peer.PeerServer.
func (s *Server) Serve(r *peer.ServeRequest, stream grpc.ServerStreamingServer[peer.ServeEvent]) error {
	if s.services.Requests == nil {
		return s.UnimplementedPeerServer.Serve(r, stream)
	}

	return s.services.Requests.Serve(stream.Context(), r, stream.Send)
}

// EndPlace implements peer.PeerServer.
func (s *Server) EndPlace(_ context.Context, r *peer.EndPlaceRequest) (*peer.EndPlaceReply, error) {
	if s.services.Placer != nil {
		s.services.Placer.End(r)
	}

	return &peer.EndPlaceReply{}, nil
}

// ShareCrashes implements peer.PeerServer.
func (s *Server) ShareCrashes(_ context.Context, m *peer.CrashRecords) (*peer.CrashRecords, error) {
	if s.services.Crashes == nil {
		return &peer.CrashRecords{}, nil
	}

	return s.services.Crashes(m), nil
}

// ShareOrigins implements peer.PeerServer.
func (s *Server) ShareOrigins(_ context.Context, m *peer.OriginRecords) (*peer.ShareOriginsReply, error) {
	if s.services.Origins != nil {
		s.services.Origins.HandleRecords(m)
	}

	return &peer.ShareOriginsReply{}, nil
}

// FetchOrigins implements peer.PeerServer.
func (s *Server) FetchOrigins(context.Context, *peer.FetchOriginsRequest) (*peer.OriginRecords, error) {
	if s.services.Origins == nil {
		return &peer.OriginRecords{}, nil
	}

	return s.services.Origins.HandleFetch(), nil
}

// FindOrigin implements peer.PeerServer.
func (s *Server) FindOrigin(ctx context.Context, r *peer.FindOriginRequest) (*peer.FindOriginReply, error) {
	if s.services.Origins == nil {
		return &peer.FindOriginReply{}, nil
	}

	return s.services.Origins.HandleFind(ctx, r), nil
}

// FetchBurn implements peer.PeerServer.
func (s *Server) FetchBurn(context.Context, *peer.FetchBurnRequest) (*peer.Burn, error) {
	if s.services.Burn == nil {
		return &peer.Burn{}, nil
	}

	return &peer.Burn{Encoded: s.services.Burn()}, nil
}

// Join implements peer.PeerServer.
func (s *Server) Join(r *peer.JoinRequest, stream grpc.ServerStreamingServer[peer.AnswerEvent]) error {
	ans, ok := s.services.Answers.Find(answers.ID{Account: entity.AccountID(r.GetAccount()), Key: r.GetKey()})
	if !ok {
		return stream.Send(&peer.AnswerEvent{Problem: peer.FromError(
			verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "this entry host does not hold the answer"))})
	}

	return sendAnswer(stream, ans, r.GetFrom())
}

// Forward implements peer.PeerServer.
func (s *Server) Forward(r *peer.ForwardRequest, stream grpc.ServerStreamingServer[peer.AnswerEvent]) error {
	req, problem := s.buildRequest(r)
	if problem != nil {
		return stream.Send(&peer.AnswerEvent{Problem: peer.FromError(problem)})
	}

	ans := answers.NewFrom(r.GetFrom())
	req.SeenVersion = versionFrom(stream.Context())
	ans.SetMeta(answers.Meta{Version: req.SeenVersion})

	go func() {
		defer s.network.opts.Panics.Recover(req.ID, ans.Finish)

		s.services.Runner.Run(stream.Context(), req, ans)
	}()

	return sendAnswer(stream, ans, r.GetFrom())
}

// buildRequest converts r to a request pinned to its target. It refuses an account, kind or target that the
// configuration in force does not contain, and a target that does not serve the kind, so that peers cannot reach other
// targets through this host. It also refuses malformed fields.
func (s *Server) buildRequest(r *peer.ForwardRequest) (entity.Request, *verdict.Error) {
	snapshot := s.services.Snapshot()
	if snapshot == nil {
		return entity.Request{}, unknownError("no configuration yet")
	}

	account, ok := snapshot.Account(entity.AccountID(r.GetAccount()))
	if !ok {
		return entity.Request{}, unknownError("client account %q is not known here yet", r.GetAccount())
	}

	kind, ok := account.Kinds[entity.KindName(r.GetKind())]
	if !ok {
		return entity.Request{}, unknownError("kind %q is not known here yet", r.GetKind())
	}

	t, ok := snapshot.Target(entity.TargetID(r.GetTarget()))
	if !ok || !serves(*t, kind) {
		return entity.Request{}, unknownError("target %q is not known here as one for kind %q", r.GetTarget(), kind.Name)
	}

	if problem := checkForwarded(r, *t); problem != nil {
		return entity.Request{}, problem
	}

	return entity.Request{
		ID: entity.RequestID(r.GetRequestId()), Account: account.ID, Kind: kind, Key: r.GetKey(), Path: r.GetPath(),
		ContentType: r.GetContentType(), Body: r.GetBody(), Deadline: s.deadline(r),
		Forwarded: true, Pinned: t.ID, Resume: r.GetResume(), PreferredDecode: entity.TargetID(r.GetHandOver()),
	}, nil
}

// unknownError returns the NotRun error for a request that does not fit the configuration in force here.
func unknownError(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeNoTarget, format, args...)
}

// serves reports whether t offers the service or the model of kind.
func serves(t entity.Target, kind entity.Kind) bool {
	if t.Type == entity.Service {
		return kind.Service != "" && t.Service == kind.Service
	}

	return kind.Model != "" && t.Model == kind.Model
}

// checkForwarded returns a problem if a field of r is malformed or too large.
func checkForwarded(r *peer.ForwardRequest, t entity.Target) *verdict.Error {
	malformed := func(field string) *verdict.Error {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the forwarded request has no valid %s", field)
	}

	switch {
	case uuid.Validate(r.GetRequestId()) != nil:
		return malformed("request id")
	case len(r.GetBody()) > maxBodyBytes:
		return malformed("body")
	case len(r.GetKey()) > maxKeyBytes:
		return malformed("idempotency key")
	case r.GetFrom() > maxFirstEvent, r.GetFrom() > 0 && !r.GetResume():
		return malformed("first event")
	case t.Type == entity.Engine && r.GetPath() != pathChat && r.GetPath() != pathText, !strings.HasPrefix(r.GetPath(), "/"):
		return malformed("path")
	default:
		return nil
	}
}

// deadline returns the deadline of r, limited to maxDeadline from now, the longest that callers get.
func (s *Server) deadline(r *peer.ForwardRequest) time.Time {
	latest := s.network.opts.Clock.Now().Add(maxDeadline)
	requested := time.UnixMilli(r.GetDeadlineUnixMs())

	if requested.After(latest) {
		return latest
	}

	return requested
}

// sendAnswer streams ans to a peer, beginning with event from, and then either a problem or a last event. The problem
// is that of ans, or that from is beyond the end of ans.
func sendAnswer(stream grpc.ServerStreamingServer[peer.AnswerEvent], ans *answers.Answer, from uint64) error {
	started := false

	err := ans.Read(stream.Context(), from, func(seq uint64, data []byte) error {
		meta := ans.Meta()

		if !started {
			started = true

			if err := setVersion(stream, meta.Version); err != nil {
				return err
			}
		}

		return stream.Send(&peer.AnswerEvent{
			Sequence: seq, Data: data, Status: uint32(max(meta.Status, 0)), ContentType: meta.ContentType, Target: string(meta.Target),
		})
	})
	if err == nil && from > ans.NextSeq() {
		err = verdict.New(verdict.Ran, verdict.CodeBadRequest, "event %d is beyond the end of the answer", from)
	}

	if err != nil {
		return stream.Send(&peer.AnswerEvent{Problem: peer.FromError(err)})
	}

	return stream.Send(&peer.AnswerEvent{Last: true})
}

package peers_test

import (
	"context"
	"math"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/copies"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	testBound = 10 * time.Second
	day       = 24 * time.Hour
)

// stubHandler is a DigestHandler that adds nothing to digests and ignores received ones.
type stubHandler struct{}

func (stubHandler) Fill(entity.HostID, *peer.Digest) {}
func (stubHandler) Receive(*peer.Digest)             {}

// readyHandler is a DigestHandler whose digests report that the host takes forwarded requests.
type readyHandler struct{ stubHandler }

func (readyHandler) Fill(_ entity.HostID, d *peer.Digest) { d.Ready = true }

// forwarded returns a request that a host in another data centre accepts.
func forwarded() entity.Request {
	return entity.Request{
		ID: entity.RequestID(uuid.NewString()), Account: "desk", Kind: entity.Kind{Name: "chat", Model: "m"},
		Path: "/v1/completions", Body: []byte("{}"), Deadline: time.Now().Add(time.Minute),
	}
}

// recordingRunner implements Runner: it answers each request at once and records it.
type recordingRunner struct {
	mu   sync.Mutex
	reqs []entity.Request
}

func (r *recordingRunner) Run(_ context.Context, req entity.Request, ans *answers.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.reqs = append(r.reqs, req)
	ans.Append([]byte("answer"))
	ans.Finish(nil)
}

func (r *recordingRunner) received() []entity.Request {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.reqs
}

// sentEvents is the server side of a stream that collects the events sent.
type sentEvents struct {
	grpc.ServerStream

	ctx    context.Context
	events []*peer.AnswerEvent
}

func (s *sentEvents) Context() context.Context { return s.ctx }

func (s *sentEvents) Send(ev *peer.AnswerEvent) error {
	s.events = append(s.events, ev)

	return nil
}

func snapshot() *entity.Snapshot {
	return entity.NewSnapshot(entity.Config{
		Accounts: []entity.Account{{ID: "desk", Kinds: map[entity.KindName]entity.Kind{
			"chat": {Name: "chat", Model: "m"}, "hold": {Name: "hold", Service: "s", AtMostOnce: true},
		}}},
		Targets: []entity.Target{
			{ID: "engine-1", Model: "m", DataCentre: "a"}, {ID: "engine-2", Model: "other", DataCentre: "a"},
			{ID: "service-1", Type: entity.Service, Service: "s", DataCentre: "a"},
		},
	})
}

func newServer(clock clockwork.Clock) (*peers.Server, *peers.Network, *recordingRunner, *answers.Table) {
	network := peers.New(peers.Options{Clock: clock, Host: "here", DataCentre: "a", Address: "127.0.0.1:1", Digests: stubHandler{}})
	ran := &recordingRunner{}
	held := answers.NewTable(answers.Options{Clock: clock})

	sender := copies.NewServer(copies.ServerOptions{Clock: clock, Log: &log.Logger{Level: log.PanicLevel}, Source: func(bool, uint64) (uint64, func() ([]byte, error)) {
		return 1, func() ([]byte, error) { return []byte("state"), nil }
	}})

	return peers.NewServer(network, peers.Services{Snapshot: snapshot, Runner: ran, Answers: held, Copies: sender.Handle}), network, ran, held
}

func forwardRequest() *peer.ForwardRequest {
	return &peer.ForwardRequest{
		RequestId: uuid.NewString(), Account: "desk", Kind: "chat", Path: "/v1/completions", Body: []byte("{}"),
		Target: "engine-1", DeadlineUnixMs: time.Now().Add(time.Minute).UnixMilli(),
	}
}

func TestForwardRefusesInvalidRequests(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *peer.ForwardRequest)
		code   verdict.Code // empty if the request runs
	}{
		{name: "whole", change: func(*peer.ForwardRequest) {}},
		{name: "huge deadline", change: func(r *peer.ForwardRequest) { r.DeadlineUnixMs = math.MaxInt64 }},
		{name: "unknown account", change: func(r *peer.ForwardRequest) { r.Account = "nobody" }, code: verdict.CodeNoTarget},
		{name: "unknown kind", change: func(r *peer.ForwardRequest) { r.Kind = "other" }, code: verdict.CodeNoTarget},
		{name: "no target", change: func(r *peer.ForwardRequest) { r.Target = "" }, code: verdict.CodeNoTarget},
		{name: "unknown target", change: func(r *peer.ForwardRequest) { r.Target = "engine-9" }, code: verdict.CodeNoTarget},
		{name: "engine of another model", change: func(r *peer.ForwardRequest) { r.Target = "engine-2" }, code: verdict.CodeNoTarget},
		{name: "service for a model's kind", change: func(r *peer.ForwardRequest) { r.Target = "service-1" }, code: verdict.CodeNoTarget},
		{name: "engine for a service's kind", change: func(r *peer.ForwardRequest) { r.Kind = "hold" }, code: verdict.CodeNoTarget},
		{name: "other host in the path", change: func(r *peer.ForwardRequest) { r.Path = "@127.0.0.1:2/x" }, code: verdict.CodeBadRequest},
		{name: "orders path", change: func(r *peer.ForwardRequest) { r.Path = "/orders" }, code: verdict.CodeBadRequest},
		{name: "no request id", change: func(r *peer.ForwardRequest) { r.RequestId = "" }, code: verdict.CodeBadRequest},
		{name: "request id with a line end", change: func(r *peer.ForwardRequest) { r.RequestId = "x\r\ny" }, code: verdict.CodeBadRequest},
		{name: "long key", change: func(r *peer.ForwardRequest) { r.Key = strings.Repeat("k", 129) }, code: verdict.CodeBadRequest},
		{name: "part of a fresh run", change: func(r *peer.ForwardRequest) { r.From = 1 }, code: verdict.CodeBadRequest},
		{name: "huge first event", change: func(r *peer.ForwardRequest) { r.From, r.Resume = math.MaxUint64, true }, code: verdict.CodeBadRequest},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, _, ran, _ := newServer(clockwork.NewRealClock())
			r := forwardRequest()
			tt.change(r)

			out := &sentEvents{ctx: t.Context()}
			require.NoError(t, s.Forward(r, out))

			last := out.events[len(out.events)-1]

			if tt.code == "" {
				require.True(t, last.GetLast())
				require.Len(t, ran.received(), 1)
				require.LessOrEqual(t, time.Until(ran.received()[0].Deadline), day)

				return
			}

			require.Equal(t, string(tt.code), last.GetProblem().GetCode())
			require.Equal(t, "not-run", last.GetProblem().GetVerdict())
			require.Empty(t, ran.received())
		})
	}
}

func TestJoinFindsOnlyAnswersOfItsAccount(t *testing.T) {
	s, _, _, held := newServer(clockwork.NewRealClock())
	ans, _, _ := held.Start(answers.ID{Account: "desk", Key: "k"}, "f")
	ans.Append([]byte("answer"))
	ans.Finish(nil)

	for name, tt := range map[string]struct {
		req  *peer.JoinRequest
		code verdict.Code
	}{
		"own":             {req: &peer.JoinRequest{Account: "desk", Key: "k"}},
		"own, seen whole": {req: &peer.JoinRequest{Account: "desk", Key: "k", From: 1}},
		"another's":       {req: &peer.JoinRequest{Account: "other", Key: "k"}, code: verdict.CodeNotFound},
		"unknown":         {req: &peer.JoinRequest{Account: "desk", Key: "k2"}, code: verdict.CodeNotFound},
		"empty":           {req: &peer.JoinRequest{}, code: verdict.CodeNotFound},
		"beyond the end":  {req: &peer.JoinRequest{Account: "desk", Key: "k", From: math.MaxUint64}, code: verdict.CodeBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			out := &sentEvents{ctx: t.Context()}
			require.NoError(t, s.Join(tt.req, out))

			last := out.events[len(out.events)-1]
			require.Equal(t, tt.code == "", last.GetLast())
			require.Equal(t, string(tt.code), last.GetProblem().GetCode())
		})
	}
}

func TestHostileDigestsAreBounded(t *testing.T) {
	s, network, _, _ := newServer(clockwork.NewFakeClock())

	for i := range 10_000 {
		_, err := s.Heartbeat(t.Context(), &peer.Digest{Host: uuid.NewString(), Address: uuid.NewString(), DataCentre: "a", Sequence: uint64(i)})
		require.NoError(t, err)
	}

	_, err := s.Heartbeat(t.Context(), &peer.Digest{Host: strings.Repeat("h", 1<<20), Address: "x", DataCentre: "a"})
	require.NoError(t, err)
	require.LessOrEqual(t, len(network.Live()), 4096)
}

func FuzzPeerMessages(f *testing.F) {
	add := func(m proto.Message) {
		raw, err := proto.Marshal(m)
		require.NoError(f, err)
		f.Add(raw)
	}

	add(forwardRequest())
	add(&peer.JoinRequest{Account: "desk", Key: "k", From: math.MaxUint64})
	add(&peer.Digest{Host: "h", Address: "127.0.0.1:2", DataCentre: "a", Sequence: math.MaxUint64, Suspects: []byte("{"), Loads: []*peer.Load{{
		Target: "engine-1", AtUnixMs: math.MaxInt64, PrefillPending: math.MaxUint64, Role: math.MaxUint32,
	}}})
	add(&peer.ClaimRequest{Encoded: []byte("\xff")})
	add(&peer.FetchConfigurationRequest{NewerThan: math.MaxUint64})
	add(&peer.FetchPartRequest{Host: "h", Known: math.MaxUint64, Copy: math.MaxUint64, Offset: math.MaxUint64})
	f.Add([]byte("\xff\xff\xff"))

	f.Fuzz(func(t *testing.T, raw []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), testBound)
		defer cancel()

		s, _, ran, held := newServer(clockwork.NewFakeClock())
		ans, _, _ := held.Start(answers.ID{Account: "desk", Key: "k"}, "f")
		ans.Finish(nil)

		for _, m := range []proto.Message{&peer.Digest{}, &peer.ForwardRequest{}, &peer.JoinRequest{}, &peer.ClaimRequest{}, &peer.FetchConfigurationRequest{}, &peer.FetchPartRequest{}} {
			if proto.Unmarshal(raw, m) != nil {
				continue
			}

			deliver(ctx, t, s, m)
		}

		for _, req := range ran.received() {
			_, known := snapshot().Target(req.Pinned)
			require.True(t, known)
			require.Equal(t, entity.AccountID("desk"), req.Account)
			require.True(t, strings.HasPrefix(req.Path, "/"))
		}
	})
}

// deliver calls the server method that takes m. A streamed answer must have at least one event, and a claim must be
// answered with a problem.
func deliver(ctx context.Context, t *testing.T, s *peers.Server, m proto.Message) {
	t.Helper()

	out := &sentEvents{ctx: ctx}

	switch m := m.(type) {
	case *peer.Digest:
		_, err := s.Heartbeat(ctx, m)
		require.NoError(t, err)
	case *peer.ForwardRequest:
		require.NoError(t, s.Forward(m, out))
		require.NotEmpty(t, out.events)
	case *peer.JoinRequest:
		require.NoError(t, s.Join(m, out))
		require.NotEmpty(t, out.events)
	case *peer.ClaimRequest:
		reply, err := s.Claim(ctx, m)
		require.NoError(t, err)
		require.NotNil(t, reply.GetProblem())
	case *peer.FetchConfigurationRequest:
		_, err := s.FetchConfiguration(ctx, m)
		require.NoError(t, err)
	case *peer.FetchPartRequest:
		_, err := s.FetchPart(ctx, m)
		require.NoError(t, err)
	}
}

// scriptedPeer answers each forwarded request with the events of the next script.
type scriptedPeer struct {
	peer.UnimplementedPeerServer

	mu      sync.Mutex
	scripts [][]*peer.AnswerEvent
}

func (s *scriptedPeer) Heartbeat(context.Context, *peer.Digest) (*peer.Digest, error) {
	return &peer.Digest{}, nil
}

func (s *scriptedPeer) Forward(_ *peer.ForwardRequest, stream grpc.ServerStreamingServer[peer.AnswerEvent]) error {
	s.mu.Lock()
	script := s.scripts[0]
	s.scripts = s.scripts[1:]
	s.mu.Unlock()

	for _, ev := range script {
		if err := stream.Send(ev); err != nil {
			return err
		}
	}

	return nil
}

func TestForwardedAnswers(t *testing.T) {
	type events = []*peer.AnswerEvent

	part := func(seq uint64) *peer.AnswerEvent { return &peer.AnswerEvent{Sequence: seq, Data: []byte("x")} }
	last := &peer.AnswerEvent{Last: true}
	refused := &peer.AnswerEvent{Problem: peer.FromError(verdict.New(verdict.NotRun, verdict.CodeNoTarget, "no target"))}

	tests := []struct {
		name    string
		scripts []events
		resume  bool
		want    uint64 // number of events of the answer
		code    verdict.Code
		verdict verdict.Verdict
	}{
		{name: "whole", scripts: []events{{part(0), part(1), last}}, want: 2},
		{name: "doubled", scripts: []events{{part(0), part(0), part(1), last}}, want: 2},
		{name: "cut, then resumed", scripts: []events{{part(0)}, {part(1), last}}, want: 2},
		{name: "gap, then resumed", scripts: []events{{part(0), part(2), last}, {part(1), part(2), last}}, want: 3},
		{name: "refused", scripts: []events{{refused}}, code: verdict.CodeNoTarget, verdict: verdict.NotRun},
		{name: "cut, then refused", scripts: []events{{part(0)}, {refused}}, want: 1, code: verdict.CodeNoTarget, verdict: verdict.MayHaveRun},
		{name: "resumed, then refused", scripts: []events{{refused}}, resume: true, code: verdict.CodeNoTarget, verdict: verdict.MayHaveRun},
		{name: "always cut", scripts: []events{{part(0)}, {}}, want: 1, code: verdict.CodePeerLost, verdict: verdict.MayHaveRun},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewRealClock()
			s, network, _, _ := newServer(clock)
			far := &scriptedPeer{scripts: tt.scripts}

			for _, host := range []string{"far-1", "far-2"} {
				address := serveScripted(t, far)

				_, err := s.Heartbeat(t.Context(), &peer.Digest{Host: host, Address: address, DataCentre: "b", Ready: true})
				require.NoError(t, err)
			}

			ans := answers.New()
			err := network.Forward(t.Context(), "b", "engine-9", entity.Request{ID: "r", Deadline: time.Now().Add(testBound), Resume: tt.resume}, ans)

			require.Equal(t, tt.want, ans.NextSeq())

			if tt.code == "" {
				require.NoError(t, err)

				return
			}

			require.Equal(t, tt.code, verdict.From(err).Code)
			require.Equal(t, tt.verdict, verdict.Of(err))
		})
	}

	t.Run("resumed where no host is left", func(t *testing.T) {
		_, network, _, _ := newServer(clockwork.NewRealClock())

		err := network.Forward(t.Context(), "b", "engine-9", entity.Request{Resume: true}, answers.New())
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	})
}

// serveScripted starts a server for s and returns its address.
func serveScripted(t *testing.T, s *scriptedPeer) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	server := peer.NewGRPCServer(s, panics.Recorder{})
	done := make(chan struct{})

	go func() {
		defer close(done)

		_ = server.Serve(listener)
	}()

	t.Cleanup(func() {
		server.Stop()
		<-done
	})

	return listener.Addr().String()
}

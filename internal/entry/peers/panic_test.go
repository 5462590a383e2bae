package peers_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// panickyServices panics in each call of peers but heartbeats and the forwarding of requests.
type panickyServices struct{}

func (panickyServices) Find(answers.ID) (*answers.Answer, bool)       { panic("fault") }
func (panickyServices) Place(*peer.PlaceRequest) *peer.PlaceReply     { panic("fault") }
func (panickyServices) End(*peer.EndPlaceRequest)                     { panic("fault") }
func (panickyServices) HandleRecords(*peer.OriginRecords)             { panic("fault") }
func (panickyServices) HandleFetch() *peer.OriginRecords              { panic("fault") }
func (panickyServices) copies(*peer.FetchPartRequest) *peer.Part      { panic("fault") }
func (panickyServices) crashes(*peer.CrashRecords) *peer.CrashRecords { panic("fault") }
func (panickyServices) burn() []byte                                  { panic("fault") }

func (panickyServices) HandleFind(context.Context, *peer.FindOriginRequest) *peer.FindOriginReply {
	panic("fault")
}

func (panickyServices) configuration(peers.KnownVersions) (entity.Generation, []byte) {
	panic("fault")
}

func (panickyServices) claim(context.Context, []byte) ([]byte, error) { panic("fault") }

// gatedRunner is a Runner that panics if the body of a request is "panic", and otherwise ends each answer after gate is closed.
type gatedRunner struct{ gate chan struct{} }

func (r gatedRunner) Run(_ context.Context, req entity.Request, ans *answers.Answer) {
	ans.Append([]byte("one"))

	if bytes.Equal(req.Body, []byte("panic")) {
		panic("fault")
	}

	<-r.gate
	ans.Append([]byte("two"))
	ans.Finish(nil)
}

// panickyHost is a host whose calls panic. Its snapshot panics while badSnapshot is set.
type panickyHost struct {
	address     string
	gate        chan struct{}
	badSnapshot atomic.Bool
	logged      bytes.Buffer // to be read after the last call
	recorder    panics.Recorder
}

func startPanickyHost(t *testing.T) *panickyHost {
	t.Helper()

	h := &panickyHost{gate: make(chan struct{})}
	h.recorder = panics.Recorder{Log: &log.Logger{Writer: &log.IOWriter{Writer: &lockedWriter{w: &h.logged}}}, Count: metrics.NewCounter()}

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	h.address = listener.Addr().String()
	network := peers.New(peers.Options{Panics: h.recorder, Host: "far", DataCentre: "a", Address: h.address, Digests: readyHandler{}})
	faulty := panickyServices{}
	server := peers.NewGRPCServer(network, peers.Services{
		Snapshot: func() *entity.Snapshot {
			if h.badSnapshot.Load() {
				panic("fault")
			}

			return snapshot()
		},
		Runner: gatedRunner{h.gate}, Answers: faulty, Configuration: faulty.configuration, Copies: faulty.copies, Claim: faulty.claim, Placer: faulty,
		Crashes: faulty.crashes, Origins: faulty, Burn: faulty.burn,
	})
	served := make(chan struct{})

	go func() {
		defer close(served)

		_ = server.Serve(listener)
	}()

	t.Cleanup(func() {
		server.Stop()
		<-served
	})

	return h
}

// lockedWriter serializes the writes to w.
type lockedWriter struct {
	mu sync.Mutex
	w  *bytes.Buffer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.w.Write(p)
}

// startNear starts a network that knows the host at address.
func startNear(t *testing.T, address string) *peers.Network {
	t.Helper()

	near := peers.New(peers.Options{Host: "near", DataCentre: "b", Address: "127.0.0.1:1", Seeds: []string{address}, Digests: stubHandler{}})
	ctx, cancel := context.WithCancel(t.Context())
	near.Start(ctx)

	t.Cleanup(func() {
		cancel()
		<-near.Done()
	})

	require.Eventually(t, func() bool {
		m, alive := near.Member("far")

		return alive && m.Ready
	}, testBound, testBound/1000)

	return near
}

func TestCallOfAPeerThatPanicsEndsTheHost(t *testing.T) {
	host := startPanickyHost(t)
	near := startNear(t, host.address)
	calls := 0

	// A request that is in flight during all panics is answered.
	whole, wholeErr := answers.New(), make(chan error, 1)

	go func() { wholeErr <- near.Forward(t.Context(), "a", "engine-1", forwarded(), whole) }()

	require.Eventually(t, func() bool { return whole.NextSeq() == 1 }, testBound, testBound/1000)

	var conns peer.Conns
	defer func() { require.NoError(t, conns.Close()) }()

	client, err := conns.Client(host.address)
	require.NoError(t, err)

	for name, call := range map[string]func(ctx context.Context) error{
		"configuration": func(ctx context.Context) error {
			_, err := client.FetchConfiguration(ctx, &peer.FetchConfigurationRequest{})

			return err
		},
		"part": func(ctx context.Context) error {
			_, err := client.FetchPart(ctx, &peer.FetchPartRequest{})

			return err
		},
		"claim": func(ctx context.Context) error {
			_, err := client.Claim(ctx, &peer.ClaimRequest{})

			return err
		},
		"place": func(ctx context.Context) error {
			_, err := client.Place(ctx, &peer.PlaceRequest{})

			return err
		},
		"end of a place": func(ctx context.Context) error {
			_, err := client.EndPlace(ctx, &peer.EndPlaceRequest{})

			return err
		},
		"crashes": func(ctx context.Context) error {
			_, err := client.ShareCrashes(ctx, &peer.CrashRecords{})

			return err
		},
		"origins": func(ctx context.Context) error {
			_, err := client.ShareOrigins(ctx, &peer.OriginRecords{})

			return err
		},
		"all origins": func(ctx context.Context) error {
			_, err := client.FetchOrigins(ctx, &peer.FetchOriginsRequest{})

			return err
		},
		"origin": func(ctx context.Context) error {
			_, err := client.FindOrigin(ctx, &peer.FindOriginRequest{})

			return err
		},
		"burn": func(ctx context.Context) error {
			_, err := client.FetchBurn(ctx, &peer.FetchBurnRequest{})

			return err
		},
		"join": func(ctx context.Context) error {
			stream, err := client.Join(ctx, &peer.JoinRequest{})
			require.NoError(t, err)

			_, err = stream.Recv()

			return err
		},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), testBound)
		err := call(ctx)

		cancel()

		calls++

		require.Equal(t, codes.Internal, status.Code(err), "%s: %v", name, err)
		require.NotContains(t, err.Error(), "fault", name)
		require.Equal(t, int64(calls), host.recorder.Count.Count(), name)
	}

	req := forwarded()
	req.Body = []byte("panic")
	ans := answers.New()
	err = near.Forward(t.Context(), "a", "engine-1", req, ans)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "%v", err)
	require.Equal(t, verdict.CodeInternal, verdict.From(err).Code)
	require.Equal(t, uint64(1), ans.NextSeq())

	host.badSnapshot.Store(true)

	late := forwarded()
	err = near.Forward(t.Context(), "a", "engine-1", late, answers.New())
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "%v", err)
	require.Equal(t, verdict.CodePeerLost, verdict.From(err).Code)
	require.Equal(t, int64(calls+2), host.recorder.Count.Count())

	close(host.gate)
	require.NoError(t, <-wholeErr)
	require.Equal(t, uint64(2), whole.NextSeq())

	for _, id := range []entity.RequestID{req.ID, late.ID} {
		require.Contains(t, host.logged.String(), id)
	}
}

// panickyClock is a clock whose Now panics when it is called while left is 1. Each call takes 1 from left.
type panickyClock struct {
	clockwork.Clock

	left atomic.Int64
}

func (c *panickyClock) Now() time.Time {
	if c.left.Add(-1) == 0 {
		panic("fault")
	}

	return c.Clock.Now()
}

func TestHeartbeatThatPanicsLeavesTheHostLocked(t *testing.T) {
	const looks = 5 // looks at the clock, all while the members are locked, until a heartbeat is answered

	for look := range int64(looks) {
		t.Run(fmt.Sprintf("look %d", look+1), func(t *testing.T) {
			clock := &panickyClock{Clock: clockwork.NewRealClock()}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)

			recorder := panics.Recorder{Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Count: metrics.NewCounter()}
			network := peers.New(peers.Options{
				Clock: clock, Panics: recorder, Host: "far", DataCentre: "a", Address: listener.Addr().String(), Digests: stubHandler{},
			})
			server := peers.NewGRPCServer(network, peers.Services{})
			served := make(chan struct{})

			go func() {
				defer close(served)

				_ = server.Serve(listener)
			}()

			defer func() {
				server.Stop()
				<-served
			}()

			var conns peer.Conns
			defer func() { require.NoError(t, conns.Close()) }()

			client, err := conns.Client(listener.Addr().String())
			require.NoError(t, err)

			ctx, cancel := context.WithTimeout(t.Context(), testBound)
			defer cancel()

			digest := &peer.Digest{Host: "near", Address: "127.0.0.1:1", DataCentre: "b", Sequence: 1}

			clock.left.Store(look + 1)

			_, err = client.Heartbeat(ctx, digest)
			require.Equal(t, codes.Internal, status.Code(err), "%v", err)
			require.Equal(t, int64(1), recorder.Count.Count())

			_, err = client.Heartbeat(ctx, digest)
			require.NoError(t, err)
			require.Len(t, network.Live(), 1)
		})
	}
}

// panickyHandler is a DigestHandler that panics when it receives a digest.
type panickyHandler struct{ stubHandler }

func (panickyHandler) Receive(*peer.Digest) { panic("fault") }

func TestReplyToAHeartbeatThatPanicsEndsTheHost(t *testing.T) {
	const beats = 3

	host := startPanickyHost(t)
	count := metrics.NewCounter()
	near := peers.New(peers.Options{
		Panics: panics.Recorder{Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Count: count},
		Host:   "near", DataCentre: "b", Address: "127.0.0.1:1", Seeds: []string{host.address}, Digests: panickyHandler{}, Period: testBound / 1000,
	})
	ctx, cancel := context.WithCancel(t.Context())
	near.Start(ctx)

	require.Eventually(t, func() bool { return count.Count() >= beats }, testBound, testBound/1000)
	require.Len(t, near.Live(), 1)

	cancel()
	<-near.Done()
}

package forwarding_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/entry/forwarding"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// relayFunc serves requests at a host.
type relayFunc func(ctx context.Context, r *relay.Request, w relay.Reply)

func (f relayFunc) Serve(ctx context.Context, r *relay.Request, w relay.Reply) { f(ctx, r, w) }

// network implements forwarding.Peers by direct calls to servers.
type network struct {
	hosts   []members.Member
	servers map[entity.HostID]*forwarding.Server
	fails   map[entity.HostID]error // errors of Serve
	cutsAt  int                     // number of events after which an answer breaks off; zero for never

	mu     sync.Mutex
	served []entity.HostID
}

func (n *network) Live() []members.Member { return n.hosts }

func (n *network) Serve(ctx context.Context, m members.Member, r *peer.ServeRequest) (func() (*peer.ServeEvent, error), error) {
	n.mu.Lock()
	n.served = append(n.served, m.Host)
	n.mu.Unlock()

	if err := n.fails[m.Host]; err != nil {
		return nil, err
	}

	encoded, err := proto.Marshal(r)
	if err != nil {
		return nil, err
	}

	events := make(chan *peer.ServeEvent)

	go func() {
		defer close(events)

		received := &peer.ServeRequest{}
		if proto.Unmarshal(encoded, received) != nil {
			return
		}

		sent := 0

		_ = n.servers[m.Host].Serve(ctx, received, func(e *peer.ServeEvent) error {
			if sent++; n.cutsAt > 0 && sent > n.cutsAt {
				return errors.New("cut")
			}

			select {
			case events <- proto.CloneOf(e):
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()

	return func() (*peer.ServeEvent, error) {
		select {
		case e, ok := <-events:
			if !ok {
				return nil, io.EOF
			}

			return e, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}, nil
}

// fixture is a client and one other host, "b", which serves by serve.
type fixture struct {
	*forwarding.Client

	network *network
	server  *forwarding.Server
}

func newFixture(serve relayFunc, stopping func() bool) *fixture {
	f := &fixture{network: &network{servers: map[entity.HostID]*forwarding.Server{}, fails: map[entity.HostID]error{}}}
	f.server = f.add("b", "x", serve, stopping)
	f.Client = forwarding.New(forwarding.Options{Log: &log.Logger{Level: log.PanicLevel}, Home: "x", Peers: f.network})

	return f
}

func (f *fixture) add(host entity.HostID, dc entity.DataCentre, serve relayFunc, stopping func() bool) *forwarding.Server {
	s := forwarding.NewServer(forwarding.ServerOptions{Relay: serve, Stopping: stopping})
	f.network.hosts = append(f.network.hosts, members.Member{Host: host, DataCentre: dc, Ready: true})
	f.network.servers[host] = s

	return s
}

// recorder records what the caller gets.
type recorder struct {
	status  int
	header  http.Header
	body    bytes.Buffer
	whole   bool
	aborted bool
	refused *verdict.Error
	onEvent func()
}

func (r *recorder) Respond(status int, header http.Header, body []byte) {
	r.status, r.header, r.whole = status, header, true
	r.body.Write(body)
}

func (r *recorder) Begin(status int, header http.Header) { r.status, r.header = status, header }

func (r *recorder) WriteEvent(p []byte) error {
	r.body.Write(p)

	if r.onEvent != nil {
		r.onEvent()
	}

	return nil
}

func (r *recorder) Abort()                    { r.aborted = true }
func (r *recorder) Refuse(err *verdict.Error) { r.refused = err }

func request() *relay.Request {
	return &relay.Request{
		ID: "q", Method: "POST", URI: "/p/x?a=1", Host: "h", Path: "/p/x", Header: http.Header{"Model": {"m"}, "X-Many": {"1", "2"}},
		Body: []byte("body"), Timeout: 2 * time.Second, Prompt: 100, Output: 7, LastEventID: "3", Resumes: "began",
	}
}

func TestRequestAndAnswerArriveUnchanged(t *testing.T) {
	long := strings.Repeat("x", 300_000)

	for _, body := range []string{"", "done", long} {
		var got *relay.Request

		f := newFixture(func(_ context.Context, r *relay.Request, w relay.Reply) {
			got = r

			w.Respond(207, http.Header{"Signature": {"s"}, "X-Two": {"a", "b"}}, []byte(body))
		}, nil)

		out, sent := &recorder{}, request()
		require.True(t, f.Forward(t.Context(), "s", sent, relay.Handover{Configuration: 9, Avoid: []entity.TargetID{"t"}, Counted: true}, out))
		require.Equal(t, 207, out.status)
		require.Equal(t, http.Header{"Signature": {"s"}, "X-Two": {"a", "b"}}, out.header)
		require.Equal(t, body, out.body.String())
		require.True(t, out.whole)

		require.Equal(t, &relay.Handover{Configuration: 9, Avoid: []entity.TargetID{"t"}, Counted: true}, got.Handover)
		got.Handover, got.Arrived = nil, time.Time{}
		require.Equal(t, sent, got)
	}
}

func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(func(_ context.Context, _ *relay.Request, w relay.Reply) {
			w.Begin(200, nil)

			for range 3 {
				_ = w.WriteEvent([]byte("id: 1\n\n"))

				time.Sleep(time.Second)
			}
		}, nil)

		var seen []time.Duration

		begin, out := time.Now(), &recorder{}
		out.onEvent = func() { seen = append(seen, time.Since(begin)) }
		require.True(t, f.Forward(t.Context(), "s", request(), relay.Handover{}, out))
		require.Equal(t, []time.Duration{0, time.Second, 2 * time.Second}, seen)
		require.False(t, out.aborted)
	})
}

func TestBrokenAnswersAreNotTakenForWholeOnes(t *testing.T) {
	answer := func(_ context.Context, _ *relay.Request, w relay.Reply) { w.Respond(200, nil, []byte("done")) }
	stream := func(_ context.Context, _ *relay.Request, w relay.Reply) {
		w.Begin(200, nil)
		_ = w.WriteEvent([]byte("event\n\n"))
	}

	for name, test := range map[string]struct {
		serve  relayFunc
		cutsAt int
	}{
		"answer without its last event": {answer, 2},
		"answer without data":           {answer, 1},
		"stream without its last event": {stream, 2},
		"stream that was aborted": {func(ctx context.Context, r *relay.Request, w relay.Reply) {
			stream(ctx, r, w)
			w.Abort()
		}, 0},
		"nothing": {func(context.Context, *relay.Request, relay.Reply) {}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(test.serve, nil)
			f.network.cutsAt = test.cutsAt

			out := &recorder{}
			require.True(t, f.Forward(t.Context(), "s", request(), relay.Handover{}, out))
			require.False(t, out.whole)

			if out.refused != nil {
				require.Equal(t, verdict.MayHaveRun, out.refused.Verdict, "it may run once, so no other host gets it")
			} else {
				require.True(t, out.aborted)
			}

			require.Len(t, f.network.served, 1)
		})
	}
}

func TestRefusalOfTheOtherHostIsPassedOn(t *testing.T) {
	f := newFixture(func(_ context.Context, _ *relay.Request, w relay.Reply) {
		w.Refuse(verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full").WithRetryAfter(700 * time.Millisecond))
	}, nil)
	f.add("c", "x", nil, nil)
	f.network.hosts = f.network.hosts[:1]

	out := &recorder{}
	require.True(t, f.Forward(t.Context(), "s", request(), relay.Handover{}, out))
	require.Equal(t, verdict.NotRun, out.refused.Verdict)
	require.Equal(t, verdict.CodeOverloaded, out.refused.Code)
	require.Equal(t, 700*time.Millisecond, out.refused.RetryAfter)
}

func TestRequestThatAHostDoesNotTakeGoesToAnother(t *testing.T) {
	refuse := func(code verdict.Code) relayFunc {
		return func(_ context.Context, _ *relay.Request, w relay.Reply) {
			w.Refuse(verdict.New(verdict.NotRun, code, "not here"))
		}
	}
	serve := func(_ context.Context, _ *relay.Request, w relay.Reply) { w.Respond(200, nil, nil) }

	for name, f := range map[string]*fixture{
		"older configuration": newFixture(refuse(verdict.CodeNotReady), nil),
		"stopping":            newFixture(serve, func() bool { return true }),
		"not reached": func() *fixture {
			f := newFixture(serve, nil)
			f.network.fails["b"] = verdict.New(verdict.NotRun, verdict.CodePeerLost, "refused")

			return f
		}(),
	} {
		t.Run(name, func(t *testing.T) {
			f.add("far", "y", serve, nil) // tried after b, which is in this data centre

			out := &recorder{}
			require.True(t, f.Forward(t.Context(), "s", request(), relay.Handover{}, out))
			require.Equal(t, 200, out.status)
			require.Equal(t, []entity.HostID{"b", "far"}, f.network.served)
		})
	}
}

func TestRequestThatMayHaveBeenSentGoesToNoOtherHost(t *testing.T) {
	f := newFixture(nil, nil)
	f.network.fails["b"] = verdict.New(verdict.MayHaveRun, verdict.CodePeerLost, "lost")
	f.add("far", "y", nil, nil)

	out := &recorder{}
	require.True(t, f.Forward(t.Context(), "s", request(), relay.Handover{}, out))
	require.Equal(t, verdict.MayHaveRun, out.refused.Verdict)
	require.Equal(t, []entity.HostID{"b"}, f.network.served)
}

func TestHostsThatReachNoTargetGetNoRequests(t *testing.T) {
	serve := func(_ context.Context, _ *relay.Request, w relay.Reply) { w.Respond(200, nil, nil) }
	f := newFixture(serve, nil)
	f.SetUnreachable("b", []entity.ServiceName{"s"})
	require.False(t, f.Forward(t.Context(), "s", request(), relay.Handover{}, &recorder{}))
	require.True(t, f.Forward(t.Context(), "other", request(), relay.Handover{}, &recorder{}))

	f.SetUnreachable("b", nil)
	require.True(t, f.Forward(t.Context(), "s", request(), relay.Handover{}, &recorder{}))
}

func TestFewHostsOfADataCentreDoNotGetTheLoadOfAllOthers(t *testing.T) {
	serve := func(_ context.Context, _ *relay.Request, w relay.Reply) { w.Respond(200, nil, nil) }
	f := newFixture(serve, nil)

	for _, host := range []entity.HostID{"c", "d", "e"} {
		f.add(host, "x", serve, nil)
		f.SetUnreachable(host, []entity.ServiceName{"s"})
	}

	for _, host := range []entity.HostID{"y1", "y2", "y3"} {
		f.add(host, "y", serve, nil)
	}

	served := map[entity.HostID]int{}

	for range 400 {
		require.True(t, f.Forward(t.Context(), "s", request(), relay.Handover{}, &recorder{}))
	}

	for _, host := range f.network.served {
		served[host]++
	}

	require.Len(t, served, 4)
	require.Less(t, served["b"], 200)
}

func TestCallerThatLeavesEndsTheRequestAtTheOtherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended time.Time

		f := newFixture(func(ctx context.Context, _ *relay.Request, _ relay.Reply) {
			<-ctx.Done()

			ended = time.Now()
		}, nil)

		ctx, cancel := context.WithCancel(t.Context())
		left := time.Now().Add(time.Second)
		time.AfterFunc(time.Second, cancel)
		f.Forward(ctx, "s", request(), relay.Handover{}, &recorder{})
		synctest.Wait()
		require.Equal(t, left, ended)
	})
}

func TestStopWaitsForRequestsOfOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(func(_ context.Context, _ *relay.Request, w relay.Reply) {
			time.Sleep(time.Second)
			w.Respond(200, nil, []byte("done"))
		}, nil)

		out := &recorder{}
		done := make(chan struct{})

		go func() {
			defer close(done)

			f.Forward(t.Context(), "s", request(), relay.Handover{}, out)
		}()

		synctest.Wait()
		require.Equal(t, 1, f.server.Wait(500*time.Millisecond))
		require.Zero(t, f.server.Wait(time.Second))
		<-done
		require.True(t, out.whole)
	})
}

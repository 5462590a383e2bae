package service_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/forwarder"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const idleConns = 8

// silentService is a service behind a forwarder. Its client has idle connections that the forwarder has silenced: they
// are open but deliver nothing any more.
type silentService struct {
	client *service.Client
	target entity.Target
	sent   *atomic.Int64 // requests so far, each with an id of its own
}

func newSilentService(t *testing.T, opts service.Options) silentService {
	t.Helper()

	var barrier sync.WaitGroup

	barrier.Add(idleConns)

	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			barrier.Done()
			barrier.Wait()
		}
	}))
	t.Cleanup(server.Close)

	proxy, err := forwarder.Listen(server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = proxy.Close() })

	s := silentService{client: service.NewClient(opts), target: entity.Target{ID: "service-1", Address: proxy.Address()}, sent: new(atomic.Int64)}

	var calls sync.WaitGroup

	for range idleConns {
		calls.Go(func() {
			if err := s.send(t.Context(), "/together"); err != nil {
				t.Error(err)
			}
		})
	}

	calls.Wait()
	require.Equal(t, idleConns, proxy.Silence())

	return s
}

func (s silentService) send(ctx context.Context, path string) error {
	id := entity.RequestID(fmt.Sprint("r-", s.sent.Add(1)))
	_, err := s.client.Call(ctx, s.target, service.Request{ID: id, Path: path})

	return err
}

// TestSilentConnectionsCostOneCall checks that only the first call on silent connections, which are open but deliver
// nothing any more, fails at its deadline, and that later calls use new connections.
func TestSilentConnectionsCostOneCall(t *testing.T) {
	s := newSilentService(t, service.Options{})

	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()

	start := time.Now()

	require.Equal(t, verdict.MayHaveRun, verdict.Of(s.send(ctx, "/")))
	require.Less(t, time.Since(start), 2*timeout)

	for range idleConns {
		require.NoError(t, s.send(t.Context(), "/"))
	}
}

func TestSilentCallWithALateDeadlineCostsNoOther(t *testing.T) {
	const silenceTimeout = 200 * time.Millisecond

	s := newSilentService(t, service.Options{SilenceTimeout: silenceTimeout})

	ctx, cancel := context.WithCancel(t.Context())
	silent := make(chan error, 1)

	go func() { silent <- s.send(ctx, "/") }()

	time.Sleep(5 * silenceTimeout)

	for range idleConns {
		require.NoError(t, s.send(t.Context(), "/"))
	}

	require.Empty(t, silent)
	cancel()
	require.Equal(t, verdict.MayHaveRun, verdict.Of(<-silent))
}

func TestSilenceIsTimedByTheSystemClock(t *testing.T) {
	const silenceTimeout = time.Hour

	var (
		clock   = clockwork.NewFakeClock()
		client  = service.NewClient(service.Options{Clock: clock, SilenceTimeout: silenceTimeout})
		closed  = make(chan struct{}, idleConns)
		release = make(chan struct{})
		silent  = make(chan error, 1)
	)

	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-release
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}

	server.Start()
	t.Cleanup(server.Close)

	answer := sync.OnceFunc(func() { close(release) })
	t.Cleanup(answer)

	ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
	defer cancel()

	s := silentService{client: client, target: entity.Target{ID: "service-1", Address: server.Listener.Addr().String()}, sent: new(atomic.Int64)}

	go func() { silent <- s.send(ctx, "/silent") }()

	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	require.NoError(t, s.send(ctx, "/")) // leaves an idle connection

	clock.Advance(silenceTimeout)

	select {
	case <-closed:
	case <-ctx.Done():
		t.Error("the idle connection is still open")
	}

	answer()
	require.NoError(t, <-silent)
}

func TestSlowServiceIsGivenUpBeforeTheDeadline(t *testing.T) {
	const (
		silenceTimeout = 100 * time.Millisecond
		answerTime     = 3 * silenceTimeout
	)

	slow := func(w io.Writer, texts ...string) {
		for _, text := range texts {
			time.Sleep(answerTime)

			_, _ = io.WriteString(w, text)
		}
	}

	for name, answer := range map[string]func(io.Writer){
		"head": func(w io.Writer) { slow(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld") },
		"body": func(w io.Writer) { slow(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "he", "ld") },
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t)
			s.SetAnswer(answer)

			ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
			defer cancel()

			c := service.NewClient(service.Options{SilenceTimeout: silenceTimeout})

			got, err := c.Call(ctx, entity.Target{ID: "service-1", Address: s.Address()}, service.Request{ID: "r-1", Path: "/"})
			require.NoError(t, err)
			require.Equal(t, "held", string(got.Body))
		})
	}
}

package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/forwarder"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	idleTimeout = time.Second
	idleConns   = 8
)

// silentEngine is an engine behind a forwarder. Its client has idle connections that the forwarder has silenced: they
// are open but deliver nothing any more.
type silentEngine struct {
	proxy  *forwarder.Forwarder
	client *engine.Client
	target entity.Target
	sent   *atomic.Int64 // requests so far, each with an id of its own
}

func newSilentEngine(t *testing.T) silentEngine {
	t.Helper()

	var barrier sync.WaitGroup

	barrier.Add(idleConns)

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/together":
			barrier.Done()
			barrier.Wait()
		case "/load":
			_, _ = fmt.Fprint(w, `{"at":"2030-01-01T00:00:00Z"}`)

			return
		}

		_, _ = fmt.Fprint(w, sse(0, fmt.Sprintf(`{"id":%q}`, r.Header.Get(engine.HeaderRequestID))), sse(1, engine.Done))
	}))
	t.Cleanup(server.Close)

	proxy, err := forwarder.Listen(server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = proxy.Close() })

	s := silentEngine{
		proxy: proxy, client: engine.NewClient(engine.Options{IdleTimeout: idleTimeout}),
		target: entity.Target{ID: "engine-1", Address: proxy.Address()}, sent: new(atomic.Int64),
	}

	var calls sync.WaitGroup

	for range idleConns {
		calls.Go(func() {
			if err := s.stream(t.Context(), "/together"); err != nil {
				t.Error(err)
			}
		})
	}

	calls.Wait()
	require.Equal(t, idleConns, proxy.Silence())

	return s
}

func (s silentEngine) stream(ctx context.Context, path string) error {
	id := entity.RequestID(fmt.Sprint("r-", s.sent.Add(1)))

	return s.client.Stream(ctx, s.target, engine.Request{ID: id, Path: path, Body: []byte("{}")},
		func(engine.Event) error { return nil })
}

// TestSilentConnectionsCostOneStream checks that only the first stream on silent connections fails, after the idle
// timeout, and that later streams use new connections.
func TestSilentConnectionsCostOneStream(t *testing.T) {
	s := newSilentEngine(t)
	start := time.Now()

	require.Equal(t, verdict.MayHaveRun, verdict.Of(s.stream(t.Context(), "/")))
	require.Less(t, time.Since(start), 2*idleTimeout)

	for range idleConns {
		require.NoError(t, s.stream(t.Context(), "/"))
	}
}

// TestSilentConnectionsCostOneReport checks the same for load reports, which are limited by the context of the caller.
func TestSilentConnectionsCostOneReport(t *testing.T) {
	s := newSilentEngine(t)

	ctx, cancel := context.WithTimeout(t.Context(), idleTimeout)
	defer cancel()

	_, err := s.client.Load(ctx, s.target)
	require.ErrorIs(t, err, context.DeadlineExceeded)

	for range idleConns {
		_, err = s.client.Load(t.Context(), s.target)
		require.NoError(t, err)
	}
}

func TestRefusedConnectionLooksLikeABrokenOne(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()

	s := silentEngine{
		client: engine.NewClient(engine.Options{}), target: entity.Target{ID: "engine-1", Address: server.Listener.Addr().String()}, sent: new(atomic.Int64),
	}

	err := s.stream(t.Context(), "/")
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.False(t, engine.IsRefused(err))

	server.Close()

	err = s.stream(t.Context(), "/")
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.True(t, engine.IsRefused(err))
}

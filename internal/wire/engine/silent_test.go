package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/standin/forwarder"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	liveness = time.Second
	pooled   = 8
)

// quiet is an engine behind a forwarder, with a client that has idle connections to it.
type quiet struct {
	via    *forwarder.Forwarder
	client *engine.Client
	target table.Target
}

func newQuiet(t *testing.T) quiet {
	t.Helper()

	var together sync.WaitGroup

	together.Add(pooled)

	served := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/together":
			together.Done()
			together.Wait()
		case "/load":
			_, _ = fmt.Fprint(w, `{"at":"2030-01-01T00:00:00Z"}`)

			return
		}

		_, _ = fmt.Fprint(w, sse(0, `{"id":"r-1"}`), sse(1, engine.Done))
	}))
	t.Cleanup(served.Close)

	via, err := forwarder.Listen(served.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = via.Close() })

	q := quiet{
		via: via, client: engine.NewClient(engine.Options{Liveness: liveness}),
		target: table.Target{ID: "engine-1", Address: via.Address()},
	}

	var calls sync.WaitGroup

	for range pooled {
		calls.Go(func() {
			if err := q.stream(t.Context(), "/together"); err != nil {
				t.Error(err)
			}
		})
	}

	calls.Wait()
	require.Equal(t, pooled, via.Silence())

	return q
}

func (q quiet) stream(ctx context.Context, path string) error {
	return q.client.Stream(ctx, q.target, engine.Request{ID: "r-1", Path: path, Body: []byte("{}")},
		func(engine.Event) error { return nil })
}

// TestSilentConnectionsCostOneStream expects that the first stream that meets silent connections
// finds it by its own limit, and that the next ones use new connections.
func TestSilentConnectionsCostOneStream(t *testing.T) {
	q := newQuiet(t)
	begun := time.Now()

	require.Equal(t, verdict.MayHaveRun, verdict.Of(q.stream(t.Context(), "/")))
	require.Less(t, time.Since(begun), 2*liveness)

	for range pooled {
		require.NoError(t, q.stream(t.Context(), "/"))
	}
}

// TestSilentConnectionsCostOneReport expects the same of load reports, whose limit is the poll's.
func TestSilentConnectionsCostOneReport(t *testing.T) {
	q := newQuiet(t)

	ctx, cancel := context.WithTimeout(t.Context(), liveness)
	defer cancel()

	_, err := q.client.Load(ctx, q.target)
	require.ErrorIs(t, err, context.DeadlineExceeded)

	for range pooled {
		_, err = q.client.Load(t.Context(), q.target)
		require.NoError(t, err)
	}
}

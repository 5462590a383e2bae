package caller_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/standin/forwarder"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// TestSilentCallerIsDisconnected checks that a stream whose connection no longer takes data ends at its deadline,
// that its run is cancelled, and that the caller is served on a new connection.
func TestSilentCallerIsDisconnected(t *testing.T) {
	const limit = time.Second

	started := make(chan struct{})
	s := newTestServer(t, caller.Options{WriteTimeout: limit}, fakes{run: func(ctx context.Context, req entity.Request, ans *answers.Answer) {
		if req.Kind.Service != "" {
			ans.Finish(nil)

			return
		}

		ans.Append(event(req, "one "))
		<-started

		for ctx.Err() == nil && ans.Append(event(req, strings.Repeat("x", 1<<18))) {
			continue
		}

		<-ctx.Done()
		ans.Finish(verdict.New(verdict.MayHaveRun, verdict.CodeStopping, "the request was cancelled"))
	}})

	proxy, err := forwarder.Listen(strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = proxy.Close() })

	s.url, s.deadline = "http://"+proxy.Address(), limit.String()

	_, body := s.start(t)
	_, err = body.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Equal(t, 1, proxy.Silence())
	close(started)

	require.Equal(t, verdict.CodeCallerGone, s.outcome(t).Problem.Code)
	require.Eventually(t, func() bool { return s.api.Open() == 0 }, testTimeout, pollInterval)

	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+"/v1/services/t/x", http.NoBody)
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer desk-key")

	resp, err := s.client.Do(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, 2, proxy.Opened())
}

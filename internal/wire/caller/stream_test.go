package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	testTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// testServer is a caller.Server on a listener, with the client for it. Its fakes control what the runs do.
type testServer struct {
	api      *caller.Server
	url      string
	client   *http.Client
	outcomes chan caller.Outcome
	deadline string // X-Request-Deadline of start; may be empty
}

func newTestServer(t *testing.T, opts caller.Options, fake fakes) *testServer {
	t.Helper()

	s := &testServer{outcomes: make(chan caller.Outcome, 1)}

	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	opts.Configuration = fake
	opts.Requests = fake.requests(opts.Clock)
	opts.Observe = func(o caller.Outcome) { s.outcomes <- o }

	api, err := caller.NewServer(opts)
	require.NoError(t, err)

	server := httptest.NewServer(api)
	t.Cleanup(server.Close)

	s.api, s.url, s.client = api, server.URL, server.Client()

	return s
}

// start requests a stream and returns the status and body of the response.
func (s *testServer) start(t *testing.T) (int, io.Reader) {
	t.Helper()

	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+textPath, strings.NewReader(text("m", "hello", true)))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer desk-key")

	if s.deadline != "" {
		r.Header.Set(caller.HeaderDeadline, s.deadline)
	}

	resp, err := s.client.Do(r)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })

	return resp.StatusCode, resp.Body
}

func (s *testServer) outcome(t *testing.T) caller.Outcome {
	t.Helper()

	select {
	case o := <-s.outcomes:
		return o
	case <-time.After(testTimeout):
		require.FailNow(t, "the call did not end")

		return caller.Outcome{}
	}
}

func TestIdleStreamIsPinged(t *testing.T) {
	clock := clockwork.NewFakeClockAt(startTime)
	end := make(chan struct{})
	s := newTestServer(t, caller.Options{Clock: clock}, fakes{run: func(_ context.Context, req entity.Request, ans *answers.Answer) {
		ans.Append(event(req, "one "))
		<-end
		ans.Append(lastEvent(req))
		ans.Finish(nil)
	}})

	_, unread := s.start(t)
	body := bufio.NewReader(unread)

	for want, got := "\n", ""; got != want; {
		var err error

		got, err = body.ReadString('\n')
		require.NoError(t, err)
	}

	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(caller.DefaultPingInterval)

	line, err := body.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, ": ping\n", line)

	close(end)

	rest, err := io.ReadAll(body)
	require.NoError(t, err)
	require.Contains(t, string(rest), "data: [DONE]")
	require.Nil(t, s.outcome(t).Problem)
}

func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	const limit = time.Second

	stopped := make(chan struct{})
	s := newTestServer(t, caller.Options{WriteTimeout: limit}, fakes{run: func(ctx context.Context, req entity.Request, ans *answers.Answer) {
		defer close(stopped)

		// 16 MiB, more than the buffers of a loopback connection hold.
		for range 64 {
			ans.Append(event(req, strings.Repeat("x", 1<<18)))
		}

		<-ctx.Done()
		ans.Finish(verdict.New(verdict.MayHaveRun, verdict.CodeStopping, "the request was cancelled"))
	}})

	s.deadline = limit.String()
	s.start(t)

	require.Equal(t, verdict.CodeCallerGone, s.outcome(t).Problem.Code)
	require.Eventually(t, func() bool { return s.api.Open() == 0 }, testTimeout, pollInterval)

	select {
	case <-stopped:
	case <-time.After(testTimeout):
		require.FailNow(t, "the run was not cancelled after its caller was gone")
	}
}

func TestCallerThatReadsSlowlyIsCut(t *testing.T) {
	const (
		limit     = 200 * time.Millisecond
		pieces    = 60 // 15 MiB, more than the buffers of a loopback connection hold
		pieceSize = 1 << 18
	)

	for _, path := range []string{textPath, "/v1/services/t/x"} {
		s := newTestServer(t, caller.Options{WriteTimeout: limit}, fakes{run: func(_ context.Context, req entity.Request, ans *answers.Answer) {
			piece := bytes.Repeat([]byte("x"), pieceSize)

			for range pieces {
				if req.Kind.Service == "" {
					piece = event(req, strings.Repeat("x", pieceSize))
				}

				ans.Append(piece)
			}

			ans.Finish(nil)
		}})

		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+path, strings.NewReader(text("m", "hello", true)))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer desk-key")

		resp, err := s.client.Do(r)
		require.NoError(t, err)

		time.Sleep(4 * limit)

		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Greater(t, len(body), pieces*pieceSize-1)
		require.Nil(t, s.outcome(t).Problem)
	}
}

func TestCallerThatLeavesIsNoFailure(t *testing.T) {
	for _, stream := range []bool{true, false} {
		running := make(chan struct{})
		s := newTestServer(t, caller.Options{}, fakes{run: func(ctx context.Context, _ entity.Request, ans *answers.Answer) {
			close(running)
			<-ctx.Done()
			ans.Finish(verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "cancelled"))
		}})

		ctx, cancel := context.WithCancel(t.Context())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+textPath, strings.NewReader(text("m", "hello", stream)))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer desk-key")

		go func() {
			<-running
			cancel()
		}()

		resp, err := s.client.Do(r)
		if err == nil {
			_ = resp.Body.Close()
		}

		require.ErrorIs(t, err, context.Canceled)
		require.Equal(t, verdict.CodeCallerGone, s.outcome(t).Problem.Code)
	}
}

func TestLateRefusalReachesTheCaller(t *testing.T) {
	const limit = 50 * time.Millisecond

	s := newTestServer(t, caller.Options{WriteTimeout: limit}, fakes{run: func(_ context.Context, _ entity.Request, ans *answers.Answer) {
		time.Sleep(2 * limit)
		ans.Finish(verdict.New(verdict.NotRun, verdict.CodeNoTarget, "no target"))
	}})

	status, _ := s.start(t)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, verdict.CodeNoTarget, s.outcome(t).Problem.Code)
}

func TestImpossibleServiceStatusIsRefused(t *testing.T) {
	for _, status := range []int{-1, 7, 101, 600, 5000} {
		s := newTestServer(t, caller.Options{}, fakes{run: func(_ context.Context, _ entity.Request, ans *answers.Answer) {
			ans.SetMeta(answers.Meta{Status: status})
			ans.Finish(nil)
		}})

		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+"/v1/services/t/x", http.NoBody)
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer desk-key")

		resp, err := s.client.Do(r)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	}
}

// TestKeyOfALostAnswerMayRunAgain checks the idempotency key after a resume was refused because the answer is lost: for
// a kind that may run twice, the key can be used again; for an at-most-once kind, it cannot.
func TestKeyOfALostAnswerMayRunAgain(t *testing.T) {
	s := newTestServer(t, caller.Options{Clock: clockwork.NewFakeClockAt(startTime)}, fakes{})

	send := func(model, header string) int {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+textPath, strings.NewReader(text(model, "hello", true)))
		require.NoError(t, err)

		for line := range strings.Lines(bearer + header) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			r.Header.Set(name, value)
		}

		resp, err := s.client.Do(r)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())

		<-s.outcomes

		return resp.StatusCode
	}

	require.Equal(t, http.StatusBadGateway, send("m", keyAt(0, 1)+"Last-Event-ID: 1\n"))
	require.Eventually(t, func() bool { return send("m", keyAt(0, 1)) == http.StatusOK }, testTimeout, pollInterval)

	require.Equal(t, http.StatusBadGateway, send("m2", keyAt(0, 2)+"Last-Event-ID: 1\n"))

	for range 20 {
		require.Equal(t, http.StatusBadGateway, send("m2", keyAt(0, 2)))
	}
}

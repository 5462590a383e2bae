package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/requests"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.buf.String()
}

// panickyRequests panics when a request is submitted.
type panickyRequests struct{}

func (panickyRequests) Submit(context.Context, entity.Request) (*answers.Answer, error) {
	panic("fault")
}

// allDone reports whether there are claims and all have a result of the verdict MayHaveRun.
func (c *fakeClaims) allDone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, r := range c.held {
		if r.State != claims.Done || r.Result.Verdict != verdict.MayHaveRun {
			return false
		}
	}

	return len(c.held) > 0
}

func TestRequestThatPanicsGetsNoAnswer(t *testing.T) {
	fault := func(context.Context, entity.Request, *answers.Answer) { panic("fault") }
	afterEvents := func(_ context.Context, req entity.Request, ans *answers.Answer) {
		ans.Append(event(req, "one "))
		panic("fault")
	}

	for name, tt := range map[string]struct {
		requests caller.Requests
		run      func(context.Context, entity.Request, *answers.Answer)
		observe  func()
		stream   bool
		keyed    bool
		status   int
		broken   bool // the answer begins and does not end
	}{
		"while it is submitted":     {requests: panickyRequests{}, status: http.StatusInternalServerError},
		"while it runs":             {run: fault, status: http.StatusInternalServerError},
		"while a keyed one runs":    {run: fault, keyed: true, status: http.StatusInternalServerError},
		"before a stream":           {run: fault, stream: true, status: http.StatusInternalServerError},
		"within a stream":           {run: afterEvents, stream: true, status: http.StatusOK},
		"while a whole one ends":    {observe: func() { panic("fault") }, status: http.StatusInternalServerError},
		"while a stream ends":       {observe: func() { panic("fault") }, stream: true, status: http.StatusOK, broken: true},
		"within a collected answer": {run: afterEvents, status: http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			var logged syncBuffer

			logger := &log.Logger{Writer: &log.IOWriter{Writer: &logged}}
			recorder := panics.Recorder{Log: logger, Count: metrics.NewCounter()}
			outcomes := make(chan caller.Outcome, 2)
			fake := fakes{run: tt.run}
			held := &fakeClaims{held: map[claims.Key]claims.Record{}}
			opts := caller.Options{
				Configuration: fake, Requests: tt.requests, Log: logger, Panics: recorder,
				Observe: func(o caller.Outcome) {
					if tt.observe != nil {
						tt.observe()
					}

					outcomes <- o
				},
			}

			if opts.Requests == nil {
				opts.Requests = requests.New(requests.Options{
					Clock: clockwork.NewRealClock(), Host: "here", Runner: fake, Router: fake, Admission: fake, Quarantine: fake,
					Claims: held, Answers: answers.NewTable(answers.Options{}), Log: logger, Panics: recorder,
				})
			}

			api, err := caller.NewServer(opts)
			require.NoError(t, err)

			server := httptest.NewServer(api)
			defer server.Close()

			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+textPath, strings.NewReader(text("m", "hello", tt.stream)))
			require.NoError(t, err)
			r.Header.Set("Authorization", "Bearer desk-key")

			if tt.keyed {
				r.Header.Set(caller.HeaderKey, uuid.Must(uuid.NewV7()).String())
			}

			resp, err := server.Client().Do(r)
			require.NoError(t, err)

			defer func() { _ = resp.Body.Close() }()

			require.Equal(t, tt.status, resp.StatusCode)

			body, err := io.ReadAll(resp.Body)
			require.Equal(t, tt.broken, err != nil, "%v", err)
			require.NotContains(t, string(body), engine.Done)

			id := resp.Header.Get(caller.HeaderID)
			require.NotEmpty(t, id)

			if !tt.broken {
				requireMayHaveRun(t, body, id)
			}

			if tt.observe == nil {
				require.Equal(t, verdict.CodeInternal, (<-outcomes).Problem.Code)
				require.Empty(t, outcomes)
				require.Equal(t, int64(1), recorder.Count.Count())
			}

			require.Positive(t, recorder.Count.Count())
			require.Contains(t, logged.String(), id)
			require.Contains(t, logged.String(), "panic_test.go")
			require.Eventually(t, func() bool { return api.Open() == 0 }, testTimeout, pollInterval)

			if tt.keyed {
				require.Eventually(t, held.allDone, testTimeout, pollInterval, "the claim was not ended")
			}
		})
	}
}

// requireMayHaveRun checks that body is a problem, or ends in one, that says that the request id may have run.
func requireMayHaveRun(t *testing.T, body []byte, id string) {
	t.Helper()

	text := string(body)
	if _, problem, streamed := strings.Cut(text, "event: error\ndata: {\"error\":"); streamed {
		text = strings.TrimSuffix(problem, "}\n\n")
	}

	var p caller.Problem

	require.NoError(t, json.Unmarshal([]byte(text), &p), "%s", body)
	require.Equal(t, verdict.MayHaveRun, p.Verdict)
	require.Equal(t, verdict.CodeInternal, p.Code)
	require.Equal(t, id, p.RequestID)
	require.NotContains(t, p.Detail, "fault")
}

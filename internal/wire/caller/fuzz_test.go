package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
)

const fuzzMaxBody = 1 << 16

// callHeaders are the request headers that the fuzz arguments set, in the order of the arguments.
var callHeaders = []string{caller.HeaderKind, caller.HeaderDeadline, caller.HeaderKey, caller.HeaderResume, "Authorization"}

// targetRuns records the requests that reached a target.
type targetRuns struct {
	requests []entity.Request
}

func newFuzzServer(t testing.TB) (*caller.Server, *targetRuns) {
	t.Helper()

	var r targetRuns

	fake := fakes{run: func(ctx context.Context, req entity.Request, ans *answers.Answer) {
		r.requests = append(r.requests, req)

		fakes{}.Run(ctx, req, ans)
	}}
	clock := clockwork.NewFakeClockAt(startTime)

	api, err := caller.NewServer(caller.Options{
		Clock: clock, Configuration: fake, Requests: fake.requests(clock), MaxBodyBytes: fuzzMaxBody,
	})
	require.NoError(t, err)

	return api, &r
}

func FuzzCall(f *testing.F) {
	paths := []string{chatPath, textPath, "/v1/services/s/hold", "/v1/services/t/", "/v1/models", "/v1/services/t/%2e%2e/x"}
	key := strings.TrimSpace(strings.TrimPrefix(keyAt(0, 1), caller.HeaderKey+": "))

	for i, body := range []string{
		chat("m", "hello", true), chat("m", "lost", false), chat("m", "truncated", true), text("m", "unreadable", false),
		text("m2", "hello", true), `null`, `{"model":"m","n":0}`, `{"model":"m","stream":"yes"}`, `{"model":"m","max_tokens":1e99}`,
		`{"MODEL":"m","model":"m2"}`, "\xff\xfe", strings.Repeat("[", 20000), `{"model":"m","stream_options":[]}`, strings.Repeat("x", fuzzMaxBody+1),
	} {
		f.Add(uint8(i), "", "", key, "", "Bearer desk-key", []byte(body))
		f.Add(uint8(i), "chat", "30s", "", "1", "Bearer desk-key", []byte(body))
	}

	f.Add(uint8(0), "twin-a", "1e9h", strings.Repeat("k", 200), "-1", "Basic desk-key", []byte("{}"))
	f.Add(uint8(2), "hold", "1ns", key, "18446744073709551615", "bearer  desk-key ", []byte("x"))

	f.Fuzz(func(t *testing.T, path uint8, kind, deadline, key, resume, authorization string, body []byte) {
		api, runs := newFuzzServer(t)

		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, paths[int(path)%len(paths)], bytes.NewReader(body))
		for i, value := range []string{kind, deadline, key, resume, authorization} {
			r.Header.Set(callHeaders[i], value)
		}

		w := httptest.NewRecorder()
		api.ServeHTTP(w, r)

		require.Zero(t, api.Open())
		require.LessOrEqual(t, len(runs.requests), 1)

		if len(runs.requests) == 0 {
			require.GreaterOrEqual(t, w.Code, http.StatusBadRequest)
			requireProblem(t, w)

			return
		}

		requireValid(t, runs.requests[0], body)
	})
}

// requireProblem checks that w holds a problem document.
func requireProblem(t *testing.T, w *httptest.ResponseRecorder) {
	t.Helper()

	var p caller.Problem

	require.Equal(t, "application/problem+json", w.Header().Get("Content-Type"))
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
	require.Equal(t, w.Code, p.Status)
	require.NotEmpty(t, p.Code)
	require.NotEmpty(t, p.Detail)
}

// requireValid checks that req, which reached a target with the given body of the caller, is a request that the account
// may send.
func requireValid(t *testing.T, req entity.Request, body []byte) {
	t.Helper()

	require.Equal(t, entity.AccountID("desk"), req.Account)
	require.LessOrEqual(t, len(body), fuzzMaxBody)
	require.True(t, req.Deadline.After(req.Arrived))

	if req.Kind.Service != "" {
		require.Equal(t, body, append([]byte{}, req.Body...))

		return
	}

	var sent struct {
		Model  entity.Model `json:"model"`
		Stream bool         `json:"stream"`
	}

	require.NoError(t, json.Unmarshal(req.Body, &sent))
	require.True(t, sent.Stream)
	require.Equal(t, req.Kind.Model, sent.Model)
	require.Positive(t, req.Decode)
}

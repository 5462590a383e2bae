package caller_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

var update = flag.Bool("update", false, "write the golden files")

// startTime is the start time of the fake clock. The ages of keys count back from it.
var startTime = time.UnixMilli(1_800_000_000_000).UTC()

// step is one HTTP call of a session.
type step struct {
	method string // POST if empty
	path   string
	header string // "Name: value" lines
	body   string
	shown  string // written to the golden file in place of body, if set
}

// session is a sequence of calls to one server, recorded in the golden file of its name.
type session struct {
	name  string
	opts  caller.Options
	fake  fakes
	steps []step
}

const (
	chatPath = "/v1/chat/completions"
	textPath = "/v1/completions"
	bearer   = "Authorization: Bearer desk-key\n"
)

// keyAt returns the header line of the nth idempotency key of the given age.
func keyAt(age time.Duration, n uint64) string {
	return caller.HeaderKey + ": " + claims.KeyAt("desk", startTime.Add(-age), n).ID.String() + "\n"
}

func chat(model, prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"stream":%t,"max_tokens":8}`, model, prompt, stream)
}

func text(model, prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":%t,"max_tokens":8}`, model, prompt, stream)
}

// refusalSession returns a session whose calls admission refuses with err.
func refusalSession(name string, err *verdict.Error) session {
	return session{name: name, fake: fakes{admission: err}, steps: []step{
		{path: chatPath, header: bearer, body: chat("m", "hello", true)},
		{path: textPath, header: bearer, body: text("m", "hello", false)},
	}}
}

// brokenAnswers returns a session whose prompt makes the fake runner give a broken answer.
func brokenAnswers(name, prompt string) session {
	return session{name: name, steps: []step{
		{path: chatPath, header: bearer, body: chat("m", prompt, true)},
		{path: chatPath, header: bearer, body: chat("m", prompt, false)},
		{path: textPath, header: bearer, body: text("m", prompt, true)},
	}}
}

// oneStep returns a session with one call.
func oneStep(name string, s step) session {
	return session{name: name, steps: []step{s}}
}

// answeredSessions returns the sessions whose calls are answered.
func answeredSessions() []session {
	resumed := bearer + keyAt(0, 1)

	return []session{
		oneStep("chat-stream", step{path: chatPath, header: bearer, body: chat("m", "hello", true)}),
		oneStep("text-stream", step{path: textPath, header: bearer, body: text("m", "hello", true)}),
		oneStep("chat-whole", step{path: chatPath, header: bearer, body: chat("m", "hello", false)}),
		oneStep("text-whole", step{path: textPath, header: bearer, body: text("m", "hello", false)}),
		{name: "models", steps: []step{
			{method: http.MethodGet, path: "/v1/models", header: bearer},
			{method: http.MethodGet, path: "/v1/models", header: "Authorization: Bearer empty-key\n"},
		}},
		{name: "service", steps: []step{
			{path: "/v1/services/s/hold", header: bearer + keyAt(0, 1) + "Content-Type: application/json\n", body: `{"room":7}`},
			{path: "/v1/services/t/missing", header: bearer, body: "what the service refuses"},
			{path: "/v1/services/t/rooms%2F7/?floor=2&q=%20", header: bearer},
		}},
		{name: "keyed-repeat", steps: []step{
			{path: chatPath, header: bearer + keyAt(0, 1), body: chat("m2", "hello", false)},
			{path: chatPath, header: bearer + keyAt(0, 1), body: chat("m2", "hello", false)},
			{path: chatPath, header: bearer + keyAt(0, 1), body: chat("m2", "hello", true)},
		}},
		{name: "resumed-stream", steps: []step{
			{path: textPath, header: resumed, body: text("m", "hello", true)},
			{path: textPath, header: resumed + "Last-Event-ID: 1\n", body: text("m", "hello", true)},
			{path: textPath, header: resumed + "Last-Event-ID: 3\n", body: text("m", "hello", true)},
		}},
	}
}

// refusedSessions returns the sessions with calls that are refused or fail.
func refusedSessions() []session {
	noClaims := verdict.New(verdict.NotRun, verdict.CodePlatformUnavailable, "the platform can't be reached").WithRetryAfter(time.Second)
	expired := verdict.New(verdict.MayHaveRun, verdict.CodeKeyExpired, "the idempotency key is older than 10m0s")

	return []session{
		{name: "bad-json", steps: []step{
			{path: chatPath, header: bearer, body: `{"model":`},
			{path: chatPath, header: bearer, body: `null`},
			{path: chatPath, header: bearer, body: `[]`},
			{path: textPath, header: bearer, body: `{"model":"m","max_tokens":-1}`},
		}},
		oneStep("many-choices", step{path: chatPath, header: bearer, body: `{"model":"m","n":2}`}),
		{name: "unknown-key", steps: []step{
			{path: chatPath, body: chat("m", "hello", true)},
			{path: chatPath, header: "Authorization: Bearer wrong\n", body: chat("m", "hello", true)},
		}},
		{name: "unknown-kind", steps: []step{
			{path: chatPath, header: bearer + "X-Request-Kind: nobody\n", body: chat("m", "hello", true)},
			{path: "/v1/services/s/hold", header: bearer + "X-Request-Kind: chat\n", body: "x"},
			{path: chatPath, header: bearer, body: chat("no-such-model", "hello", true)},
			{path: "/v1/services/none/hold", header: bearer, body: "x"},
		}},
		oneStep("ambiguous-kind", step{path: chatPath, header: bearer, body: chat("twin", "hello", true)}),
		oneStep("key-missing", step{path: chatPath, header: bearer, body: chat("m2", "hello", true)}),
		{name: "key-not-uuidv7", steps: []step{
			{path: chatPath, header: bearer + "Idempotency-Key: 7\n", body: chat("m2", "hello", true)},
			{path: chatPath, header: bearer + "Idempotency-Key: 9b2b2b2e-7c1e-4a63-9a51-0d3c5c3d2f10\n", body: chat("m2", "hello", true)},
		}},
		{name: "key-expired", fake: fakes{claim: expired}, steps: []step{
			{path: chatPath, header: bearer + keyAt(time.Hour, 1), body: chat("m2", "hello", false)},
		}},
		{name: "key-reused", steps: []step{
			{path: chatPath, header: bearer + keyAt(0, 1), body: chat("m2", "hello", false)},
			{path: chatPath, header: bearer + keyAt(0, 1), body: chat("m2", "goodbye", false)},
		}},
		{name: "key-reused-on-another-path", steps: []step{
			{path: "/v1/services/s/hold", header: bearer + keyAt(0, 1), body: "room 7"},
			{path: "/v1/services/s/release", header: bearer + keyAt(0, 1), body: "room 7"},
		}},
		{name: "bad-deadline", steps: []step{
			{path: chatPath, header: bearer + "X-Request-Deadline: soon\n", body: chat("m", "hello", true)},
			{path: chatPath, header: bearer + "X-Request-Deadline: -1s\n", body: chat("m", "hello", true)},
			{path: chatPath, header: bearer + "X-Request-Deadline: 25h\n", body: chat("m", "hello", true)},
		}},
		{name: "body-too-large", opts: caller.Options{MaxBodyBytes: 256}, steps: []step{
			{path: chatPath, header: bearer, body: chat("m", strings.Repeat("x", 256), true), shown: "(more than 256 bytes)"},
			{path: "/v1/services/t/x", header: bearer, body: strings.Repeat("x", 257), shown: "(257 bytes)"},
		}},
		oneStep("key-too-long", step{path: chatPath, header: bearer + "Idempotency-Key: " + strings.Repeat("7", 129) + "\n", body: chat("m", "hello", true)}),
		refusalSession("overloaded", verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the queue is full").WithRetryAfter(2500*time.Millisecond)),
		refusalSession("account-limit", verdict.New(verdict.NotRun, verdict.CodeAccountLimit, "the client account's limit is reached").WithRetryAfter(time.Second)),
		refusalSession("deadline", verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline has passed")),
		refusalSession("no-target", verdict.New(verdict.NotRun, verdict.CodeNoTarget, "no target can take this kind now").WithRetryAfter(2*time.Second)),
		refusalSession("stopping", verdict.New(verdict.NotRun, verdict.CodeStopping, "this entry host is stopping").WithRetryAfter(time.Second)),
		{name: "platform-unavailable", fake: fakes{claim: noClaims}, steps: []step{
			{path: "/v1/services/s/hold", header: bearer + keyAt(0, 1), body: "x"},
		}},
		{name: "quarantined", fake: fakes{quarantine: verdict.New(verdict.MayHaveRun, verdict.CodeQuarantined, "this request was running when targets crashed").WithRetryAfter(time.Minute)}, steps: []step{
			{path: chatPath, header: bearer, body: chat("m", "hello", true)},
		}},
		brokenAnswers("target-lost", "lost"),
		brokenAnswers("truncated", "truncated"),
		brokenAnswers("unreadable-answer", "unreadable"),
		{name: "no-configuration", fake: fakes{noConfiguration: true}, steps: []step{{path: chatPath, header: bearer, body: chat("m", "hello", true)}}},
		{name: "wrong-path", steps: []step{
			{path: "/v1/nothing", header: bearer, body: "x"},
			{method: http.MethodGet, path: "/", header: bearer},
		}},
		{name: "wrong-method", steps: []step{
			{method: http.MethodGet, path: chatPath, header: bearer},
			{method: http.MethodHead, path: chatPath, header: bearer},
			{method: http.MethodDelete, path: "/v1/models", header: bearer},
			{method: http.MethodGet, path: "/v1/services/s/hold", header: bearer},
		}},
		{name: "bad-resume", steps: []step{
			{path: textPath, header: bearer + keyAt(0, 1) + "Last-Event-ID: last\n", body: text("m", "hello", true)},
			{path: textPath, header: bearer + keyAt(0, 2) + "Last-Event-ID: 18446744073709551615\n", body: text("m", "hello", true)},
			{path: textPath, header: bearer + "Last-Event-ID: 1\n", body: text("m", "hello", true)},
			{path: textPath, header: bearer + keyAt(0, 3), body: text("m", "hello", true)},
			{path: textPath, header: bearer + keyAt(0, 3) + "Last-Event-ID: 99\n", body: text("m", "hello", true)},
		}},
		{name: "resume-of-a-lost-answer", steps: []step{
			{path: textPath, header: bearer + keyAt(0, 1) + "Last-Event-ID: 1\n", body: text("m", "hello", true)},
			{path: chatPath, header: bearer + keyAt(0, 2) + "Last-Event-ID: 1\n", body: chat("m2", "hello", true)},
		}},
		{name: "too-many-open", opts: caller.Options{MaxOpenRequests: -1}, steps: []step{{path: chatPath, header: bearer, body: chat("m", "hello", true)}}},
	}
}

func TestGoldenSessions(t *testing.T) {
	for _, s := range append(answeredSessions(), refusedSessions()...) {
		t.Run(s.name, func(t *testing.T) {
			got := s.play(t)
			file := filepath.Join("testdata", s.name+".golden")

			if *update {
				require.NoError(t, os.WriteFile(file, got, 0o600))
			}

			want, err := os.ReadFile(file)
			require.NoError(t, err)
			require.Equal(t, string(want), string(got))
		})
	}
}

func (s session) play(t *testing.T) []byte {
	t.Helper()

	s.opts.Clock = clockwork.NewFakeClockAt(startTime)
	s.opts.Configuration = s.fake
	s.opts.Requests = s.fake.requests(s.opts.Clock)

	api, err := caller.NewServer(s.opts)
	require.NoError(t, err)

	server := httptest.NewServer(api)
	defer server.Close()

	var out bytes.Buffer

	for _, st := range s.steps {
		st.play(t, server, &out)
	}

	require.Zero(t, api.Open())

	return out.Bytes()
}

var (
	requestID    = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}`)
	shownHeaders = []string{"Content-Type", "Content-Length", "Cache-Control", "Retry-After", "Www-Authenticate", "Allow", "X-Request-Id"}
)

func (st step) play(t *testing.T, server *httptest.Server, out *bytes.Buffer) {
	t.Helper()

	if st.method == "" {
		st.method = http.MethodPost
	}

	if st.shown == "" {
		st.shown = st.body
	}

	_, _ = fmt.Fprintf(out, "> %s %s\n", st.method, st.path)

	r, err := http.NewRequestWithContext(t.Context(), st.method, server.URL+st.path, strings.NewReader(st.body))
	require.NoError(t, err)

	for line := range strings.Lines(st.header) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		r.Header.Set(name, value)
		_, _ = fmt.Fprintf(out, "> %s: %s\n", name, value)
	}

	_, _ = fmt.Fprintf(out, "> %s\n\n", st.shown)

	resp, err := server.Client().Do(r)
	require.NoError(t, err)

	defer resp.Body.Close()

	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)

	_, _ = fmt.Fprintf(out, "< %s\n", resp.Status)

	for _, name := range shownHeaders {
		// Content-Length is shown only for empty bodies; otherwise the body itself is shown.
		if value := resp.Header.Get(name); value != "" && (name != "Content-Length" || len(body) == 0) {
			_, _ = fmt.Fprintf(out, "< %s: %s\n", name, requestID.ReplaceAllString(value, "(id)"))
		}
	}

	_, _ = fmt.Fprintf(out, "\n%s\n\n", bytes.TrimSpace(requestID.ReplaceAll(body, []byte("(id)"))))
}

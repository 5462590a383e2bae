package service_test

import (
	"context"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/rawserver"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	maxAllocated = 64 << 20 // limit on the bytes allocated for one hostile answer
	timeout      = time.Second
	// longTimeout is the timeout of calls that must end before it, also on a machine that stands still for a while.
	longTimeout = 30 * time.Second
)

func serve(t testing.TB) *rawserver.Server {
	t.Helper()

	s, err := rawserver.Serve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })

	return s
}

func call(t testing.TB, s *rawserver.Server, timeout time.Duration) (service.Answer, error) {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()

	return service.NewClient(service.Options{}).Call(ctx, entity.Target{ID: "service-1", Address: s.Address()},
		service.Request{ID: "r-1", Path: "/hold", ContentType: "text/plain", Body: []byte("x")})
}

func repeat(w io.Writer, text string, times int) {
	for range times {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
	}
}

func TestHostileAnswers(t *testing.T) {
	big := strings.Repeat("x", 1<<16)

	tests := []struct {
		name    string
		answer  func(w io.Writer)
		status  int          // status of the returned Answer; zero if there is none
		code    verdict.Code // empty if there is an Answer
		verdict verdict.Verdict
		silent  bool // the call ends by its deadline
	}{
		{name: "whole", answer: func(w io.Writer) { repeat(w, "HTTP/1.1 200 OK\r\n\r\nheld", 1) }, status: 200},
		{name: "own error", answer: func(w io.Writer) { repeat(w, "HTTP/1.1 500 Broken\r\n\r\nbroken", 1) }, status: 500},
		{
			name: "not run", answer: func(w io.Writer) { repeat(w, "HTTP/1.1 503 Busy\r\nX-Verdict: not-run\r\n\r\n", 1) },
			code: verdict.CodeOverloaded, verdict: verdict.NotRun,
		},
		{name: "cut", answer: func(w io.Writer) { repeat(w, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nheld", 1) }, code: verdict.CodeTargetLost},
		{name: "nothing", answer: func(io.Writer) {}, code: verdict.CodeTargetLost},
		{name: "silence", answer: func(io.Writer) { time.Sleep(2 * timeout) }, code: verdict.CodeTargetLost, silent: true},
		{name: "no HTTP", answer: func(w io.Writer) { repeat(w, "\x00\x01\xff", 99) }, code: verdict.CodeTargetLost},
		{name: "endless body", answer: func(w io.Writer) { repeat(w, "HTTP/1.1 200 OK\r\n\r\n", 1); repeat(w, big, 1<<12) }, code: verdict.CodeAnswerTooLarge, verdict: verdict.Ran},
		{name: "endless header", answer: func(w io.Writer) { repeat(w, "HTTP/1.1 200 OK\r\n", 1); repeat(w, "X: "+big+"\r\n", 1<<12) }, code: verdict.CodeTargetLost},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t)
			s.SetAnswer(tt.answer)

			var before, after runtime.MemStats

			runtime.ReadMemStats(&before)

			limit := longTimeout
			if tt.silent {
				limit = timeout
			}

			answer, err := call(t, s, limit)

			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
			require.Equal(t, 1, s.Requests())
			require.Equal(t, tt.status, answer.Status)

			if tt.code == "" {
				require.NoError(t, err)

				return
			}

			require.Equal(t, tt.silent, errors.Is(err, context.DeadlineExceeded), "%v", err)
			require.Equal(t, tt.code, verdict.From(err).Code)
			require.Equal(t, tt.verdict, verdict.Of(err))
		})
	}
}

func FuzzServiceAnswer(f *testing.F) {
	for _, raw := range []string{
		"", "HTTP/1.1 200 OK\r\n\r\nheld", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nheld", "HTTP/1.1 503 Busy\r\nX-Verdict: not-run\r\n\r\n",
		"HTTP/1.1 099 Odd\r\n\r\n", "HTTP/1.1 999 Odd\r\n\r\nx", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nx",
		"HTTP/1.1 101 Switching\r\n\r\nx", "HTTP/1.1 302 Away\r\nLocation: http://127.0.0.1:1/\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
	} {
		f.Add([]byte(raw))
	}

	s := serve(f)

	f.Fuzz(func(t *testing.T, raw []byte) {
		s.SetAnswerBytes(raw)

		before := s.Requests()
		answer, err := call(t, s, timeout)

		require.Equal(t, before+1, s.Requests())
		require.LessOrEqual(t, len(answer.Body), len(raw))

		var e *verdict.Error
		if err != nil {
			require.ErrorAs(t, err, &e)
		}

		if verdict.Of(err) == verdict.NotRun {
			require.Contains(t, strings.ToLower(string(raw)), "x-verdict")
		}
	})
}

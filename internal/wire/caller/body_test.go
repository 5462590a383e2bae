package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// dial opens a connection to s on which nothing may take longer than testTimeout.
func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()

	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))

	return c, bufio.NewReader(c)
}

func TestBodyThatStopsArrivingIsWaitedForWithoutEnd(t *testing.T) {
	for name, head := range map[string]string{
		"deadline of the request": "X-Request-Deadline: 300ms\r\nContent-Length: 100\r\n\r\n{",
		"chunked":                 "X-Request-Deadline: 300ms\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n",
		"deadline of the kind":    "X-Request-Kind: brief\r\nContent-Length: 100\r\n\r\n{",
	} {
		for _, path := range []string{textPath, "/v1/services/t/x"} {
			t.Run(name+path, func(t *testing.T) {
				s := newTestServer(t, caller.Options{}, fakes{})
				c, r := s.dial(t)

				_, err := io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h.example\r\n"+bearer+head)
				require.NoError(t, err)

				resp, err := http.ReadResponse(r, nil)
				require.NoError(t, err)

				defer resp.Body.Close()

				var p caller.Problem

				require.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
				require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
				require.Equal(t, verdict.CodeDeadline, p.Code)
				require.Equal(t, verdict.NotRun, p.Verdict)
				require.True(t, resp.Close)
			})
		}
	}
}

func TestLimitOnABodyCutsWhatFollows(t *testing.T) {
	const limit = 300 * time.Millisecond

	s := newTestServer(t, caller.Options{}, fakes{run: func(ctx context.Context, req entity.Request, ans *answers.Answer) {
		select {
		case <-time.After(2 * limit):
			ans.Append(event(req, "whole"))
			ans.Finish(nil)
		case <-ctx.Done():
			ans.Finish(verdict.From(context.Cause(ctx)))
		}
	}})
	c, r := s.dial(t)
	body := text("m", "hello", true)

	for range 2 {
		_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\n%sX-Request-Deadline: %v\r\nContent-Length: %d\r\n\r\n%s", textPath, bearer, limit, len(body), body)
		require.NoError(t, err)

		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)

		answer, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Contains(t, string(answer), "[DONE]")
		require.Nil(t, s.outcome(t).Problem)

		time.Sleep(2 * limit)
	}
}

package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// TestEarlierRefusalDoesNotCountForALaterRequest guards against a refusal that an engine sends once more on a kept connection and that is
// taken for the answer to the next request, which the engine runs.
func TestEarlierRefusalDoesNotCountForALaterRequest(t *testing.T) {
	const (
		timeout = 30 * time.Second
		refusal = "HTTP/1.1 503 Busy\r\nX-Verdict: not-run\r\nContent-Length: 0\r\n"
	)

	for name, tt := range map[string]struct {
		second  string
		verdict verdict.Verdict
	}{
		"no id":             {refusal + "\r\n", verdict.MayHaveRun},
		"id of another":     {refusal + "X-Request-Id: r-0\r\n\r\n", verdict.MayHaveRun},
		"id of the request": {refusal + "X-Request-Id: r-1\r\n\r\n", verdict.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)

			defer func() { _ = l.Close() }()

			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}

				defer func() { _ = conn.Close() }()

				r := bufio.NewReader(conn)

				for _, answer := range []string{refusal + "\r\n", tt.second} {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}

					_, _ = io.Copy(io.Discard, q.Body)
					_, _ = io.WriteString(conn, answer)
				}

				_, _ = io.Copy(io.Discard, r) // until the client closes the connection
			}()

			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()

			c := engine.NewClient(engine.Options{})
			send := func() error {
				target := entity.Target{ID: "engine-1", Address: l.Addr().String()}

				return c.Stream(ctx, target, engine.Request{ID: "r-1", Path: "/v1/completions", Body: []byte("{}")}, func(engine.Event) error { return nil })
			}

			require.Equal(t, verdict.NotRun, verdict.Of(send()), "the first answer on a connection")
			require.Equal(t, tt.verdict, verdict.Of(send()))
		})
	}
}

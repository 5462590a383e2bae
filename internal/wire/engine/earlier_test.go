package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/rawserver"
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
		"404 without an id": {"HTTP/1.1 404 Unknown\r\nX-Verdict: ran\r\nContent-Length: 0\r\n\r\n", verdict.MayHaveRun},
		"id of another":     {refusal + "X-Request-Id: r-0\r\n\r\n", verdict.MayHaveRun},
		"id of the request": {refusal + "X-Request-Id: r-1\r\n\r\n", verdict.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.ServeInTurn(refusal+"\r\n", tt.second)
			require.NoError(t, err)

			defer func() { _ = server.Close() }()

			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()

			c := engine.NewClient(engine.Options{})
			send := func(id entity.RequestID) error {
				target := entity.Target{ID: "engine-1", Address: server.Address()}

				return c.Stream(ctx, target, engine.Request{ID: id, Path: "/v1/completions", Body: []byte("{}")}, func(engine.Event) error { return nil })
			}

			require.Equal(t, verdict.NotRun, verdict.Of(send("r-0")), "the first answer on a connection")
			require.Equal(t, tt.verdict, verdict.Of(send("r-1")))
			require.EqualValues(t, 1, server.Connections())
		})
	}
}

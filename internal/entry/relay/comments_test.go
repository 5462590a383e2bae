package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
)

// commentBody sends a comment every 50 ms until ctx ends.
type commentBody struct{ ctx context.Context }

func (c commentBody) Read(p []byte) (int, error) {
	select {
	case <-c.ctx.Done():
		return 0, c.ctx.Err()
	case <-time.After(50 * time.Millisecond):
		return copy(p, ":\n\n"), nil
	}
}

func (commentBody) Close() error { return nil }

func TestReplicaThatSendsOnlyCommentsIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, resumable, 100)
		fx.targets.run = func(n int, ctx context.Context, _ relay.Send) (*relay.Answer, error) {
			a := answer(200, eventsFrom(1, 3))
			if n == 1 {
				a.Body = commentBody{ctx}
			}

			return a, nil
		}

		out := fx.serve(t.Context(), t)
		require.Len(t, fx.targets.runs, 2)
		require.Equal(t, eventsFrom(1, 3), out.body.String())
		require.False(t, out.broken)
	})
}

// TestStreamIsForwardedUnchanged checks whole streams, which arrive in reads of any size.
func TestStreamIsForwardedUnchanged(t *testing.T) {
	for name, body := range map[string]string{
		"events":                 eventsFrom(1, 40),
		"carriage returns":       strings.ReplaceAll(eventsFrom(1, 40), "\n", "\r\n"),
		"comments":               ": a\n\n" + eventsFrom(1, 2) + ": b\n\n:c\n" + eventsFrom(3, 4) + ": d\n\n",
		"empty lines":            "\n\n" + eventsFrom(1, 2) + "\n\n\n" + eventsFrom(3, 4) + "\n",
		"other fields":           "weight: 3\nid: 1\ndata: x\n\nevent: end\ndata\n\nretry: 5\n\n",
		"an event of many lines": "id: 1\n" + strings.Repeat("data: xyz\n", 5_000) + "\n" + eventsFrom(2, 3),
		"comments alone":         ": a\n\n: b\n\n",
		"nothing":                "",
	} {
		for read, reader := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "by byte": iotest.OneByteReader, "data with the end": iotest.DataErrReader,
		} {
			t.Run(name+"/"+read, func(t *testing.T) {
				fx := newFixture(t, plainStream, 100)
				fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
					a := answer(200, "")
					a.Body = io.NopCloser(reader(strings.NewReader(body)))

					return a, nil
				}

				out := fx.serve(t.Context(), t)
				require.Equal(t, 200, out.status)
				require.Equal(t, body, out.body.String())
				require.False(t, out.broken)
			})
		}
	}
}

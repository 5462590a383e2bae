package platform_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/memory"
	"github.com/dotterelflow/dotterelflow/internal/standin/rawserver"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	pieceBytes   = 64 << 10
	endMargin    = 5 * time.Second
	maxErrorText = 1 << 10 // limit on the text of an error, in bytes

	ok200     = "HTTP/1.1 200 OK\r\n"
	okChunked = ok200 + "Transfer-Encoding: chunked\r\n\r\n"
)

// TestEndlessAnswers checks the calls to a platform that sends bytes that are no answer until its connection is closed.
func TestEndlessAnswers(t *testing.T) {
	const (
		object = `{"key":"k","version":9}`
		list   = `[` + object + `]`
	)

	text := strings.Repeat("x", pieceBytes)
	reads := map[string]func(context.Context, *platform.Client) error{
		"get": func(ctx context.Context, c *platform.Client) error {
			_, err := c.Get(ctx, "k")

			return err
		},
		"list": func(ctx context.Context, c *platform.Client) error {
			_, err := c.List(ctx, "k")

			return err
		},
		"hosts": func(ctx context.Context, c *platform.Client) error {
			_, err := c.Hosts(ctx)

			return err
		},
	}
	writes := map[string]func(context.Context, *platform.Client) error{
		"put": func(ctx context.Context, c *platform.Client) error {
			_, err := c.Put(ctx, "k", 7, []byte("v"))

			return err
		},
		"delete": func(ctx context.Context, c *platform.Client) error { return c.Delete(ctx, "k", 7) },
	}

	for name, answer := range map[string]func(io.Writer){
		"no answer":             rawserver.Endless("", "\x00\xff"),
		"status line":           rawserver.Endless("HTTP/1.1 200 ", text),
		"header lines":          rawserver.Endless(ok200, "X: y\r\n"),
		"malformed line":        rawserver.Endless("", strings.Repeat("\xff", 40<<10)+"\r\n"),
		"interim answers":       rawserver.Endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
		"another protocol":      rawserver.Endless("HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", text),
		"spaces":                rawserver.Endless(okHeader, " "),
		"string":                rawserver.Endless(okHeader+`{"value":"`, text),
		"list":                  rawserver.Endless(okHeader+"["+object, ","+object),
		"empty objects":         rawserver.Endless(okHeader+"[{}", ",{}"),
		"object, spaces after":  rawserver.Endless(okHeader+object, " "),
		"list, spaces after":    rawserver.Endless(okHeader+list, " "),
		"object, noise after":   rawserver.Endless(okHeader+object, "\x00\xff"),
		"list, noise after":     rawserver.Endless(okHeader+list, "\x00\xff"),
		"object, trailers":      rawserver.Endless(okChunked+"17\r\n"+object+"\r\n0\r\n", "X: y\r\n"),
		"long version":          rawserver.Endless(okHeader+`{"version":1`+strings.Repeat("0", 1<<20)+"}", " "),
		"chunk extension":       rawserver.Endless(okChunked+"5;", "x"),
		"error status":          rawserver.Endless("HTTP/1.1 500 Broken\r\n\r\n", text),
		"error status, trailer": rawserver.Endless("HTTP/1.1 500 Broken\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
	} {
		check := func(call string, do func(context.Context, *platform.Client) error, want error) {
			t.Run(call+"/"+name, func(t *testing.T) {
				s, c := serveHostile(t)
				closed := make(chan struct{})

				var once sync.Once

				s.SetAnswer(func(w io.Writer) {
					answer(w)
					once.Do(func() { close(closed) })
				})

				defer memory.LimitAsHost()()
				peaks := memory.Sample()
				start := time.Now()
				err := do(t.Context(), c)
				took := time.Since(start)
				total := peaks().Total

				require.ErrorIs(t, err, want)
				require.Less(t, len(err.Error()), maxErrorText)
				require.Less(t, took, timeout+endMargin)
				require.Less(t, total, uint64(memory.HostBytes))

				if total > 64<<20 {
					t.Logf("peak %d MiB", total>>20)
				}

				select {
				case <-closed:
				case <-time.After(endMargin):
					require.Fail(t, "the connection is still open")
				}
			})
		}

		for call, do := range reads {
			check(call, do, platform.ErrUnavailable)
		}

		for call, do := range writes {
			check(call, do, platform.ErrUnknown)
		}
	}
}

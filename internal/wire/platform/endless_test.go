package platform_test

import (
	"context"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	hostMemory   = 184 << 20 // memory of the smallest host, in bytes
	limitPercent = 60        // soft limit of the Go runtime, as a host sets it
	pieceBytes   = 64 << 10
	endMargin    = 5 * time.Second
	maxErrorText = 1 << 10 // limit on the text of an error, in bytes

	ok200     = "HTTP/1.1 200 OK\r\n"
	okChunked = ok200 + "Transfer-Encoding: chunked\r\n\r\n"
)

// endless returns an answer that sends start and then unit, again and again, until a write fails.
func endless(start, unit string) func(io.Writer) {
	piece := []byte(strings.Repeat(unit, max(pieceBytes/len(unit), 1)))

	return func(w io.Writer) {
		_, err := io.WriteString(w, start)
		for err == nil {
			_, err = w.Write(piece)
		}
	}
}

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
		"no answer":             endless("", "\x00\xff"),
		"status line":           endless("HTTP/1.1 200 ", text),
		"header lines":          endless(ok200, "X: y\r\n"),
		"malformed line":        endless("", strings.Repeat("\xff", 40<<10)+"\r\n"),
		"interim answers":       endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
		"another protocol":      endless("HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", text),
		"spaces":                endless(okHeader, " "),
		"string":                endless(okHeader+`{"value":"`, text),
		"list":                  endless(okHeader+"["+object, ","+object),
		"empty objects":         endless(okHeader+"[{}", ",{}"),
		"object, spaces after":  endless(okHeader+object, " "),
		"list, spaces after":    endless(okHeader+list, " "),
		"object, noise after":   endless(okHeader+object, "\x00\xff"),
		"list, noise after":     endless(okHeader+list, "\x00\xff"),
		"object, trailers":      endless(okChunked+"17\r\n"+object+"\r\n0\r\n", "X: y\r\n"),
		"long version":          endless(okHeader+`{"version":1`+strings.Repeat("0", 1<<20)+"}", " "),
		"chunk extension":       endless(okChunked+"5;", "x"),
		"error status":          endless("HTTP/1.1 500 Broken\r\n\r\n", text),
		"error status, trailer": endless("HTTP/1.1 500 Broken\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
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

				defer debug.SetMemoryLimit(debug.SetMemoryLimit(hostMemory * limitPercent / 100))
				runtime.GC()
				debug.FreeOSMemory()

				peak := samplePeak()
				start := time.Now()
				err := do(t.Context(), c)
				took := time.Since(start)
				total := peak()

				require.ErrorIs(t, err, want)
				require.Less(t, len(err.Error()), maxErrorText)
				require.Less(t, took, timeout+endMargin)
				require.Less(t, total, uint64(hostMemory))

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

// samplePeak samples the memory that this process holds until the returned function is called, which returns the peak.
func samplePeak() func() uint64 {
	var (
		total   uint64
		ended   = make(chan struct{})
		sampled = make(chan struct{})
	)

	go func() {
		defer close(sampled)

		for {
			var m runtime.MemStats

			runtime.ReadMemStats(&m)
			total = max(total, m.Sys-m.HeapReleased)

			select {
			case <-ended:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()

	return func() uint64 {
		close(ended)
		<-sampled

		return total
	}
}

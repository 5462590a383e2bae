package engine_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/memory"
	"github.com/dotterelflow/dotterelflow/internal/standin/rawserver"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	pieceBytes     = 64 << 10
	endlessTimeout = time.Second
	endMargin      = 3 * time.Second // time for a busy machine to end a call after its deadline
	maxErrorText   = 1 << 10         // limit on the text of an error, in bytes

	ok200     = "HTTP/1.1 200 OK\r\n"
	okChunked = ok200 + "Transfer-Encoding: chunked\r\n\r\n"
)

func endlessAnswers() map[string]func(io.Writer) {
	text := strings.Repeat("x", pieceBytes)
	one := sse(0, `{"id":"r-1"}`)

	return map[string]func(io.Writer){
		"no answer":          rawserver.Endless("", "\x00\xff"),
		"status line":        rawserver.Endless("HTTP/1.1 200 ", text),
		"header line":        rawserver.Endless(ok200+"X: ", text),
		"header lines":       rawserver.Endless(ok200, "X: y\r\n"),
		"malformed line":     rawserver.Endless("", strings.Repeat("\xff", 40<<10)+"\r\n"),
		"interim answers":    rawserver.Endless("", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"),
		"another protocol":   rawserver.Endless("HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", one),
		"status below 100":   rawserver.Endless("HTTP/1.1 042 Odd\r\n\r\n", text),
		"chunk extension":    rawserver.Endless(okChunked+"5;", "x"),
		"trailers":           rawserver.Endless(okChunked+"0\r\n", "X: y\r\n"),
		"noise":              rawserver.Endless(head, "\x00\xff\x17"),
		"noise, empty lines": rawserver.Endless(head, "\x00\xff\x17\n\n"),
		"comments":           rawserver.Endless(head, ":\n\n"),
		"empty lines":        rawserver.Endless(head, "\n"),
		"one line":           rawserver.Endless(head+"data: ", text),
		"one event":          rawserver.Endless(head, "data: x\n"),
		"error status":       rawserver.Endless("HTTP/1.1 500 Broken\r\n\r\n", text),
		"spaces":             rawserver.Endless(head, " "),
		"JSON string":        rawserver.Endless(head+`{"boot":"`, text),
		"JSON fields":        rawserver.Endless(head+`{"a":1`, `,"a":1`),
		"JSON nesting":       rawserver.Endless(head, "["),
		"JSON, spaces after": rawserver.Endless(head+`{"at":"2030-01-01T00:00:00Z"}`, " "),
		"long number":        rawserver.Endless(head+`{"running":1`+strings.Repeat("0", 500<<10)+"}", "}"),
	}
}

// TestEndlessAnswers checks the calls to an engine that sends bytes that are no answer until its connection is closed.
func TestEndlessAnswers(t *testing.T) {
	calls := map[string]func(context.Context, *engine.Client, entity.Target) error{
		"stream": func(ctx context.Context, c *engine.Client, target entity.Target) error {
			return c.Stream(ctx, target, engine.Request{ID: "r-1", Path: "/v1/completions", Body: []byte("{}")}, func(engine.Event) error { return nil })
		},
		"load": func(ctx context.Context, c *engine.Client, target entity.Target) error {
			_, err := c.Load(ctx, target)

			return err
		},
		"state": func(ctx context.Context, c *engine.Client, target entity.Target) error {
			_, err := c.Orders().State(ctx, target)

			return err
		},
	}

	for name, answer := range endlessAnswers() {
		for call, do := range calls {
			t.Run(call+"/"+name, func(t *testing.T) {
				t.Parallel()

				s := serve(t)
				closed := make(chan struct{})
				s.SetAnswer(func(w io.Writer) {
					defer close(closed)

					answer(w)
				})

				ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
				defer cancel()

				start := time.Now()
				err := do(ctx, engine.NewClient(engine.Options{}), entity.Target{ID: "engine-1", Address: s.Address()})

				require.Error(t, err)
				require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
				require.Less(t, time.Since(start), endlessTimeout+endMargin)
				require.Less(t, len(err.Error()), maxErrorText)

				select {
				case <-closed:
				case <-time.After(endMargin):
					require.Fail(t, "the connection is still open")
				}
			})
		}
	}
}

// TestEndlessAnswersInBoundedMemory lets many engines send without end at once.
func TestEndlessAnswersInBoundedMemory(t *testing.T) {
	defer memory.LimitAsHost()()

	answers := endlessAnswers()

	for _, name := range []string{"one line", "one event", "comments", "error status", "header lines"} {
		for _, n := range []int{64, 256} {
			t.Run(fmt.Sprint(name, "/", n), func(t *testing.T) {
				var arrived atomic.Int64

				s := serve(t)
				all := make(chan struct{})
				s.SetAnswer(func(w io.Writer) {
					if arrived.Add(1) == int64(n) {
						close(all)
					}

					<-all
					answers[name](w)
				})

				c := engine.NewClient(engine.Options{})
				ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)

				defer cancel()
				peaks := memory.Sample()

				var streams sync.WaitGroup

				for range n {
					streams.Go(func() {
						err := c.Stream(ctx, entity.Target{ID: "engine-1", Address: s.Address()},
							engine.Request{ID: "r-1", Path: "/v1/completions", Body: []byte("{}")}, func(engine.Event) error { return nil })
						if err == nil {
							t.Error("an answer without end is complete")
						}
					})
				}

				streams.Wait()

				total := peaks().Total
				t.Logf("peak %d MiB", total>>20)
				require.Less(t, total, uint64(memory.HostBytes))
			})
		}
	}
}

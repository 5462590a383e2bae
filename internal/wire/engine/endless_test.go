package engine_test

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	hostMemory     = 184 << 20 // memory of the smallest host, in bytes
	limitPercent   = 60        // soft limit of the Go runtime, as a host sets it
	pieceBytes     = 64 << 10
	endlessTimeout = time.Second
	endMargin      = 3 * time.Second // time for a busy machine to end a call after its deadline
	maxErrorText   = 1 << 10         // limit on the text of an error, in bytes

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

func endlessAnswers() map[string]func(io.Writer) {
	text := strings.Repeat("x", pieceBytes)
	one := sse(0, `{"id":"r-1"}`)

	return map[string]func(io.Writer){
		"no answer":          endless("", "\x00\xff"),
		"status line":        endless("HTTP/1.1 200 ", text),
		"header line":        endless(ok200+"X: ", text),
		"header lines":       endless(ok200, "X: y\r\n"),
		"malformed line":     endless("", strings.Repeat("\xff", 40<<10)+"\r\n"),
		"interim answers":    endless("", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"),
		"another protocol":   endless("HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", one),
		"status below 100":   endless("HTTP/1.1 042 Odd\r\n\r\n", text),
		"chunk extension":    endless(okChunked+"5;", "x"),
		"trailers":           endless(okChunked+"0\r\n", "X: y\r\n"),
		"noise":              endless(head, "\x00\xff\x17"),
		"noise, empty lines": endless(head, "\x00\xff\x17\n\n"),
		"comments":           endless(head, ":\n\n"),
		"empty lines":        endless(head, "\n"),
		"one line":           endless(head+"data: ", text),
		"one event":          endless(head, "data: x\n"),
		"error status":       endless("HTTP/1.1 500 Broken\r\n\r\n", text),
		"spaces":             endless(head, " "),
		"JSON string":        endless(head+`{"boot":"`, text),
		"JSON fields":        endless(head+`{"a":1`, `,"a":1`),
		"JSON nesting":       endless(head, "["),
		"JSON, spaces after": endless(head+`{"at":"2030-01-01T00:00:00Z"}`, " "),
		"long number":        endless(head+`{"running":1`+strings.Repeat("0", 500<<10)+"}", "}"),
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
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(hostMemory * limitPercent / 100))

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
				runtime.GC()
				debug.FreeOSMemory()

				peak := samplePeak()

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

				total := peak()
				t.Logf("peak %d MiB", total>>20)
				require.Less(t, total, uint64(hostMemory))
			})
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

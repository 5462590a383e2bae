package service_test

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
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	hostMemory   = 184 << 20 // memory of the smallest host, in bytes
	limitPercent = 60        // soft limit of the Go runtime, as a host sets it
	pieceBytes   = 64 << 10
	endMargin    = 5 * time.Second
	maxErrorText = 1 << 10 // limit on the text of an error, in bytes

	ok200     = "HTTP/1.1 200 OK\r\n"
	okHead    = ok200 + "\r\n"
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

func TestEndlessAnswers(t *testing.T) {
	text := strings.Repeat("x", pieceBytes)

	for _, tt := range []struct {
		name    string
		answer  func(io.Writer)
		verdict verdict.Verdict
	}{
		{name: "no answer", answer: endless("", "\x00\xff")},
		{name: "status line", answer: endless("HTTP/1.1 200 ", text)},
		{name: "header line", answer: endless(ok200+"X: ", text)},
		{name: "header lines", answer: endless(ok200, "X: y\r\n")},
		{name: "malformed line", answer: endless("", strings.Repeat("\xff", 40<<10)+"\r\n")},
		{name: "interim answers", answer: endless("", "HTTP/1.1 100 Continue\r\n\r\n")},
		{name: "another protocol", answer: endless("HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", text)},
		{name: "status below 100", answer: endless("HTTP/1.1 042 Odd\r\n\r\n", text)},
		{name: "chunk size", answer: endless(okChunked, "0")},
		{name: "chunk extension", answer: endless(okChunked+"5;", "x")},
		{name: "trailers", answer: endless(okChunked+"0\r\n", "X: y\r\n")},
		{name: "body", answer: endless(okHead, text), verdict: verdict.Ran},
		{name: "error status", answer: endless("HTTP/1.1 500 Broken\r\n\r\n", text), verdict: verdict.Ran},
		{name: "refusal", answer: endless("HTTP/1.1 503 Busy\r\nX-Verdict: not-run\r\n\r\n", text), verdict: verdict.NotRun},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t)
			closed := make(chan struct{})
			s.SetAnswer(func(w io.Writer) {
				defer close(closed)

				tt.answer(w)
			})

			_, err := call(t, s, longTimeout)
			require.Error(t, err)
			require.Equal(t, tt.verdict, verdict.Of(err))
			require.Less(t, len(err.Error()), maxErrorText)

			select {
			case <-closed:
			case <-time.After(endMargin):
				require.Fail(t, "the connection is still open")
			}
		})
	}
}

// TestEndlessAnswersInBoundedMemory lets many services send without end at once.
func TestEndlessAnswersInBoundedMemory(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(hostMemory * limitPercent / 100))

	text := strings.Repeat("x", pieceBytes)

	for name, answer := range map[string]func(io.Writer){
		"body":         endless(okHead, text),
		"chunks":       endless(okChunked, "10000\r\n"+text+"\r\n"),
		"error status": endless("HTTP/1.1 500 Broken\r\n\r\n", text),
		"header lines": endless(ok200, "X: y\r\n"),
	} {
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
					answer(w)
				})

				c := service.NewClient(service.Options{})

				ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
				defer cancel()

				runtime.GC()
				debug.FreeOSMemory()

				peak := samplePeak()

				var sends sync.WaitGroup

				for range n {
					sends.Go(func() {
						_, err := c.Call(ctx, entity.Target{ID: "service-1", Address: s.Address()}, service.Request{ID: "r-1", Path: "/"})
						if err == nil {
							t.Error("an answer without end is complete")
						}
					})
				}

				sends.Wait()

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

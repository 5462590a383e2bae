package service_test

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
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	pieceBytes   = 64 << 10
	endMargin    = 5 * time.Second
	maxErrorText = 1 << 10 // limit on the text of an error, in bytes

	ok200     = "HTTP/1.1 200 OK\r\n"
	okHead    = ok200 + "\r\n"
	okChunked = ok200 + "Transfer-Encoding: chunked\r\n\r\n"
)

func TestEndlessAnswers(t *testing.T) {
	text := strings.Repeat("x", pieceBytes)

	for _, tt := range []struct {
		name    string
		answer  func(io.Writer)
		verdict verdict.Verdict
	}{
		{name: "no answer", answer: rawserver.Endless("", "\x00\xff")},
		{name: "status line", answer: rawserver.Endless("HTTP/1.1 200 ", text)},
		{name: "header line", answer: rawserver.Endless(ok200+"X: ", text)},
		{name: "header lines", answer: rawserver.Endless(ok200, "X: y\r\n")},
		{name: "malformed line", answer: rawserver.Endless("", strings.Repeat("\xff", 40<<10)+"\r\n")},
		{name: "interim answers", answer: rawserver.Endless("", "HTTP/1.1 100 Continue\r\n\r\n")},
		{name: "another protocol", answer: rawserver.Endless("HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", text)},
		{name: "status below 100", answer: rawserver.Endless("HTTP/1.1 042 Odd\r\n\r\n", text)},
		{name: "chunk size", answer: rawserver.Endless(okChunked, "0")},
		{name: "chunk extension", answer: rawserver.Endless(okChunked+"5;", "x")},
		{name: "trailers", answer: rawserver.Endless(okChunked+"0\r\n", "X: y\r\n")},
		{name: "body", answer: rawserver.Endless(okHead, text), verdict: verdict.Ran},
		{name: "error status", answer: rawserver.Endless("HTTP/1.1 500 Broken\r\n\r\n", text), verdict: verdict.Ran},
		{name: "refusal", answer: rawserver.Endless("HTTP/1.1 503 Busy\r\nX-Verdict: not-run\r\n\r\n", text), verdict: verdict.NotRun},
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
	defer memory.LimitAsHost()()

	text := strings.Repeat("x", pieceBytes)

	for name, answer := range map[string]func(io.Writer){
		"body":         rawserver.Endless(okHead, text),
		"chunks":       rawserver.Endless(okChunked, "10000\r\n"+text+"\r\n"),
		"error status": rawserver.Endless("HTTP/1.1 500 Broken\r\n\r\n", text),
		"header lines": rawserver.Endless(ok200, "X: y\r\n"),
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

				peaks := memory.Sample()

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

				total := peaks().Total
				t.Logf("peak %d MiB", total>>20)
				require.Less(t, total, uint64(memory.HostBytes))
			})
		}
	}
}

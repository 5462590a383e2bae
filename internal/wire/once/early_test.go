package once_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/once"
)

// uploadBytes is more than the sockets of a connection hold.
const uploadBytes = 8 << 20

// earlyServer answers each request with answer as soon as its head has arrived, and ends the connection after pause by end.
func earlyServer(t *testing.T, answer string, pause time.Duration, end func(c *net.TCPConn)) string {
	t.Helper()

	listen := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		// The connections take the size over. With it, an upload of a size that the platform allows is under way while the answer comes.
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10) })
	}}

	ln, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })

	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}

			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					_ = c.Close()

					return
				}

				_, _ = io.WriteString(c, answer)
				time.Sleep(pause)
				end(c.(*net.TCPConn))
			}()
		}
	}()

	return "http://" + ln.Addr().String() + "/"
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// upload sends a request with body and returns what was read of the answer.
func upload(t *testing.T, client *http.Client, url string, body io.Reader) (string, error) {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	require.NoError(t, err)

	resp, err := client.Do(r)
	if err != nil {
		return "", err
	}

	defer func() { _ = resp.Body.Close() }()

	content, err := io.ReadAll(resp.Body)

	return string(content), err
}

// TestOpenAnswerThatIsResetDuringTheUploadIsCut guards against a part of an answer that passes for the whole one: the system reports a reset once,
// and the write of the upload may get the report.
func TestOpenAnswerThatIsResetDuringTheUploadIsCut(t *testing.T) {
	const tries = 30

	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			url := earlyServer(t, "HTTP/1.1 200 OK\r\n\r\na part of the answer", pause, reset)
			client := once.NewClient(once.Options{Dial: once.ProbingDial(dialTimeout)})
			whole := 0

			for range tries {
				if _, err := upload(t, client, url, bytes.NewReader(make([]byte, uploadBytes))); err == nil {
					whole++
				}
			}

			require.Zero(t, whole, "of %d cut answers are taken for whole ones", tries)
		})
	}
}

// partedBody is a body of which a part comes after the answer.
type partedBody struct{ parts chan []byte }

func (b partedBody) Read(p []byte) (int, error) {
	part, ok := <-b.parts
	if !ok {
		return 0, io.EOF
	}

	return copy(p, part), nil
}

// TestOpenAnswerThatEndsProperlyIsWhole guards against whole answers that are taken for cut ones: the target ends them by closing its side, also
// before the whole request has come.
func TestOpenAnswerThatEndsProperlyIsWhole(t *testing.T) {
	const tries = 50

	closeSide := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
	closeSideAndReadNoMore := func(c *net.TCPConn) {
		_ = c.CloseWrite()

		time.Sleep(20 * time.Millisecond)
		reset(c)
	}

	for name, tt := range map[string]struct {
		body func() io.Reader
		end  func(*net.TCPConn)
	}{
		"no body":                       {func() io.Reader { return http.NoBody }, closeSide},
		"small body":                    {func() io.Reader { return bytes.NewReader(make([]byte, 1000)) }, closeSide},
		"upload":                        {func() io.Reader { return bytes.NewReader(make([]byte, uploadBytes)) }, closeSide},
		"upload that nobody reads":      {func() io.Reader { return bytes.NewReader(make([]byte, uploadBytes)) }, closeSideAndReadNoMore},
		"upload of a caller that waits": {heldBody, closeSide},
	} {
		t.Run(name, func(t *testing.T) {
			var counts once.Counts

			url := earlyServer(t, "HTTP/1.1 200 OK\r\n\r\nthe answer", 0, tt.end)
			client := once.NewClient(once.Options{Dial: once.ProbingDial(dialTimeout), Counts: &counts})

			for range tries {
				content, err := upload(t, client, url, tt.body())
				require.NoError(t, err)
				require.Equal(t, "the answer", content)
			}

			require.Zero(t, counts.Cut.Load())
		})
	}
}

// heldBody returns a body of which nothing comes after the first part for a while.
func heldBody() io.Reader {
	parts := make(chan []byte, 1)
	parts <- []byte("begin")

	time.AfterFunc(10*time.Millisecond, func() { close(parts) })

	return partedBody{parts}
}

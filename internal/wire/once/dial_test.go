package once_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/dotterelflow/dotterelflow/internal/wire/once"
)

const dialTimeout = 200 * time.Millisecond

// lateReader serves one connection. It leaves the body of a request unread for silence. If early, its answer begins before, with an
// event every 100 ms. It returns the URL.
func lateReader(t *testing.T, silence time.Duration, early bool) string {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })

	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}

		defer func() { _ = c.Close() }()

		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}

		_, _ = io.WriteString(c, map[bool]string{true: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}[early])

		for end := time.Now().Add(silence); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			_, _ = io.WriteString(c, map[bool]string{true: "6\r\nevent\n\r\n"}[early])
		}

		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, map[bool]string{true: "0\r\n\r\n", false: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}[early])
	}()

	return "http://" + ln.Addr().String() + "/"
}

func TestTargetThatReadsALongBodyLateIsLost(t *testing.T) {
	t.Parallel()

	for _, early := range []bool{false, true} {
		for _, size := range []int{16 << 10, 64 << 10, 256 << 10, 1 << 20, 4 << 20} {
			t.Run(fmt.Sprintf("answers early %v, %d KiB", early, size>>10), func(t *testing.T) {
				t.Parallel()

				client := once.NewClient(once.Options{Dial: once.ProbingDial(dialTimeout)})
				defer client.CloseIdleConnections()

				url := lateReader(t, 5*time.Second, early)
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(make([]byte, size)))
				require.NoError(t, err)

				resp, err := client.Do(r)
				require.NoError(t, err)

				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
			})
		}
	}
}

// TestUserTimeoutHoldsAgainAfterALongRequest reads TCP_USER_TIMEOUT while requests of several lengths share a connection.
func TestUserTimeoutHoldsAgainAfterALongRequest(t *testing.T) {
	t.Parallel()

	var dialed net.Conn

	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		require.Nil(t, dialed, "one connection")

		c, err := once.ProbingDial(dialTimeout)(ctx, network, address)
		dialed = c

		return c, err
	}

	server := newClosingServer(t)
	client := once.NewClient(once.Options{Dial: dial})

	defer client.CloseIdleConnections()

	for _, length := range []int{0, 100 << 10, 10, 100 << 10, 200 << 10, 0} {
		resp, err := client.Post(server.url+"/warm", "text/plain", bytes.NewReader(make([]byte, length)))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())

		raw, err := dialed.(syscall.Conn).SyscallConn()
		require.NoError(t, err)
		require.NoError(t, raw.Control(func(fd uintptr) {
			ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			require.NoError(t, err)
			require.Equal(t, length < 32<<10, ms > 0, "%d bytes: %d ms", length, ms)
		}))
	}
}

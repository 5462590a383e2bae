package once_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
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

// received returns the number of bytes that the system has received on c and its program has not read.
func received(t *testing.T, c net.Conn) int {
	t.Helper()

	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)

	n := 0

	require.NoError(t, raw.Control(func(fd uintptr) {
		n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	}))
	require.NoError(t, err)

	return n
}

// accepted returns a client of one server, with the URL and the connections of the server.
func accepted(t *testing.T) (client *http.Client, url string, conns <-chan net.Conn) {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })

	accepted := make(chan net.Conn, 1)

	go func() {
		if c, err := ln.Accept(); err == nil {
			accepted <- c
		}
	}()

	client = once.NewClient(once.Options{Dial: once.ProbingDial(dialTimeout)})
	t.Cleanup(client.CloseIdleConnections)

	return client, "http://" + ln.Addr().String() + "/", accepted
}

// TestBytesOfARequestThatWasGivenUpAreNotSentLater guards against requests that reach a target seconds after their end, from the send
// buffer of the connection.
func TestBytesOfARequestThatWasGivenUpAreNotSentLater(t *testing.T) {
	t.Parallel()

	client, url, conns := accepted(t)

	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(make([]byte, 64<<20)))
	require.NoError(t, err)

	resp, err := client.Do(r)
	if err == nil {
		_ = resp.Body.Close()
	}

	require.ErrorIs(t, err, context.DeadlineExceeded)

	c := <-conns

	defer func() { _ = c.Close() }()

	time.Sleep(100 * time.Millisecond) // the reset arrives

	before := received(t, c)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))

	n, err := io.Copy(io.Discard, c)
	require.LessOrEqual(t, n, int64(before), "bytes that arrived after the request had ended")
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestTargetLearnsThatADeliveredRequestWasGivenUp guards against resets, which are sent once and can be lost, where nothing is held up.
func TestTargetLearnsThatADeliveredRequestWasGivenUp(t *testing.T) {
	t.Parallel()

	for name, answer := range map[string]string{
		"no answer":        "",
		"half an answer":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"whole and idle":   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull",
		"whole and closed": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nfull",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			client, url, conns := accepted(t)
			ended := make(chan error, 1)

			go func() {
				c := <-conns

				defer func() { _ = c.Close() }()

				b := bufio.NewReader(c)
				if _, err := http.ReadRequest(b); err != nil {
					ended <- err

					return
				}

				_, _ = io.WriteString(c, answer)
				_, err := b.ReadByte()
				ended <- err
			}()

			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()

			r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			require.NoError(t, err)

			resp, err := client.Do(r)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, resp.Body.Close())
			}

			require.True(t, err == nil || errors.Is(err, context.DeadlineExceeded), "%v", err)
			client.CloseIdleConnections()

			select {
			case err := <-ended:
				require.ErrorIs(t, err, io.EOF)
			case <-time.After(5 * time.Second):
				require.Fail(t, "the connection stays open")
			}
		})
	}
}

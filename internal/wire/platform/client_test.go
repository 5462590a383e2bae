package platform_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// TestWriteReadThenDropped checks that a write is sent only once and has an unknown outcome if the platform reads it on
// a reused connection and closes the connection without an answer.
func TestWriteReadThenDropped(t *testing.T) {
	for _, value := range [][]byte{nil, []byte("value")} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)

		var writes atomic.Int64

		go dropWrites(ln, &writes)

		c := platform.NewClient(ln.Addr().String(), platform.Options{})

		_, err = c.Get(t.Context(), "warm")
		require.NoError(t, err)

		_, err = c.Put(t.Context(), "key", 1, value)
		require.ErrorIs(t, err, platform.ErrUnknown)
		require.EqualValues(t, 1, writes.Load())

		_, err = c.Get(t.Context(), "warm")
		require.NoError(t, err)
		require.ErrorIs(t, c.Delete(t.Context(), "key", 1), platform.ErrUnknown)
		require.EqualValues(t, 2, writes.Load())
		require.NoError(t, ln.Close())
	}
}

// dropWrites answers reads. It counts each write, then closes its connection without an answer.
func dropWrites(ln net.Listener, writes *atomic.Int64) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}

		go func() {
			defer func() { _ = conn.Close() }()

			for br := bufio.NewReader(conn); ; {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}

				_, _ = io.Copy(io.Discard, r.Body)

				if r.Method != http.MethodGet {
					writes.Add(1)

					return
				}

				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			}
		}()
	}
}

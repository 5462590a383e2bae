package serving_test

import (
	"errors"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Stop removed the deadline that the handler had set for the rest of a body.
func TestStopKeepsTheDeadlineOfABody(t *testing.T) {
	s, callersURL, _ := start(t, func() bool { return true }, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(1200 * time.Millisecond))

		if _, err := io.ReadAll(r.Body); errors.Is(err, os.ErrDeadlineExceeded) {
			w.Header().Set("Connection", "close")

			_, _ = io.WriteString(w, "late")
		}
	})

	c, r := dial(t, callersURL)

	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8\r\n\r\nhalf")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)

	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(2 * time.Second) }()

	require.Equal(t, "late", exchange(t, c, r, ""))
	require.NoError(t, <-stopped)
}

// net/http keeps a connection open for a while after an answer that it gave before the end of the body.
func TestStopDoesNotCountAnAnsweredRequestAsCut(t *testing.T) {
	s, callersURL, _ := start(t, func() bool { return true }, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4)); err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})

	c, r := dial(t, callersURL)

	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8\r\n\r\ntoo long")
	require.NoError(t, err)

	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)

	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the answer has ended")
	require.NoError(t, s.Stop(300*time.Millisecond))
}

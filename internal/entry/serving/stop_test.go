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

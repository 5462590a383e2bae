package logging_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/site/logging"
)

// blockedWriter blocks each write until released is closed.
type blockedWriter struct {
	released chan struct{}
	buf      bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released

	return w.buf.Write(p)
}

func TestLoggingNeverBlocksAndKeepsFailures(t *testing.T) {
	out := &blockedWriter{released: make(chan struct{})}
	b := logging.NewBoundedWriter(out)
	l := logging.NewWithWriter(b, "info", "h1")

	const lines = 10_000
	for range lines {
		l.Info().Msg("answered")
	}

	require.Greater(t, b.Dropped(), uint64(lines/2))

	for range 500 {
		l.Warn().Msg("failed")
	}

	close(out.released)
	b.Close()
	require.Equal(t, 500, bytes.Count(out.buf.Bytes(), []byte("failed")), "part of the queue is reserved for failures")
	require.Contains(t, out.buf.String(), `"host":"h1"`)
}

func TestOutputThatFailsIsCounted(t *testing.T) {
	r, w := io.Pipe()
	require.NoError(t, r.Close())

	b := logging.NewBoundedWriter(w)
	logging.NewWithWriter(b, "info", "h").Error().Msg("x")
	b.Close()
	require.Equal(t, uint64(1), b.Dropped())
}

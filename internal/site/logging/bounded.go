package logging

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

const (
	// queueLength is the maximum number of lines waiting to be written. A line has about 300 bytes.
	queueLength = 4096
	// reservedForFailures is the number of lines in the queue that are reserved for warnings and errors.
	reservedForFailures = 1024
)

// BoundedWriter is a log.Writer that writes lines in the background and never blocks its caller. If the output does
// not keep up, it drops and counts lines, those below Warn first. Use NewBoundedWriter to create one.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	failed  atomic.Uint64
}

var _ log.Writer = (*BoundedWriter)(nil)

// NewBoundedWriter returns a BoundedWriter that writes to out until Close.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}

	go b.run()

	return b
}

// NewWithWriter returns a logger like New that writes to w.
func NewWithWriter(w log.Writer, level, host string) *log.Logger {
	l := New(io.Discard, level, host)
	l.Writer = w

	return l
}

// WriteEntry implements log.Writer. It never returns an error; Dropped counts the lines that are lost.
func (b *BoundedWriter) WriteEntry(e *log.Entry) (int, error) {
	line := e.Value()

	if e.Level < log.WarnLevel && len(b.lines) >= queueLength-reservedForFailures {
		b.dropped.Add(1)

		return len(line), nil
	}

	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}

	return len(line), nil
}

// Dropped returns the number of lines lost because the queue was full or the output failed.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() + b.failed.Load() }

// Close writes the lines in the queue and waits until that is done. WriteEntry must not be called afterwards.
func (b *BoundedWriter) Close() {
	close(b.lines)
	<-b.done
}

func (b *BoundedWriter) run() {
	defer close(b.done)

	for line := range b.lines {
		if _, err := b.out.Write(line); err != nil {
			b.failed.Add(1) // counted only, since the log itself failed
		}
	}
}

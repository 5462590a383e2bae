package logging

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

const (
	// queueLength bounds the lines that wait to be written; a line has about 300 bytes.
	queueLength = 4096
	// keptForFailures is the part of the queue, in lines, that only warnings and errors may fill.
	keptForFailures = 1024
)

// Bounded writes lines in the background and never blocks its caller. Where the output does not keep up,
// lines are dropped and counted, those below Warn first. Make it with NewBounded.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	failed  atomic.Uint64
}

var _ log.Writer = (*Bounded)(nil)

// NewBounded returns a Bounded that writes to out.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}

	go b.run()

	return b
}

// NewWith returns a logger like New that writes to w.
func NewWith(w log.Writer, level, host string) *log.Logger {
	l := New(io.Discard, level, host)
	l.Writer = w

	return l
}

// WriteEntry implements log.Writer. It never fails; see Dropped.
func (b *Bounded) WriteEntry(e *log.Entry) (int, error) {
	line := e.Value()

	if e.Level < log.WarnLevel && len(b.lines) >= queueLength-keptForFailures {
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

// Dropped returns the number of lines that were not written, for want of room or since the output failed.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() + b.failed.Load() }

// Close writes what waits. No line may be written later.
func (b *Bounded) Close() {
	close(b.lines)
	<-b.done
}

func (b *Bounded) run() {
	defer close(b.done)

	for line := range b.lines {
		if _, err := b.out.Write(line); err != nil {
			b.failed.Add(1) // there is nowhere to log it
		}
	}
}

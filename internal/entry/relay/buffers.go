package relay

import (
	"errors"
	"io"
	"sync"

	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	defaultBufferBytes = 64 << 20
	// freeBufferBytes is the size up to which the buffer of one answer is not charged to the budget. Most answers of plain
	// services have a few KB, and events less.
	freeBufferBytes = 32 << 10
	// minBufferBytes is the first size of the buffer of an answer.
	minBufferBytes = 4 << 10
)

var errNoBuffer = errors.New("no memory is left for the buffer of the answer")

// bufferBudget bounds the memory of the answers that a Relay buffers at the same time. It is safe for concurrent use.
type bufferBudget struct {
	mu   sync.Mutex
	free int // in bytes
}

func newBufferBudget(bytes int) *bufferBudget {
	return &bufferBudget{free: bytes}
}

// take reserves n bytes. It grants at most half of what is free, so that a few large answers leave memory for many small
// ones.
func (b *bufferBudget) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if n > b.free/2 {
		return false
	}

	b.free -= n

	return true
}

func (b *bufferBudget) giveBack(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.free += n
}

// buffer holds the buffered part of one answer. Its memory beyond freeBufferBytes is charged to budget until release.
type buffer struct {
	budget  *bufferBudget
	b       []byte
	charged int
}

// readFrom appends the bytes of one read of r. It fails with errNoBuffer if the budget has no memory for them.
func (b *buffer) readFrom(r io.Reader) (int, error) {
	if len(b.b) == cap(b.b) && !b.grow() {
		return 0, errNoBuffer
	}

	n, err := r.Read(b.b[len(b.b):cap(b.b)])
	b.b = b.b[:len(b.b)+n]

	return n, err
}

// grow doubles the capacity, up to that for the largest answer.
func (b *buffer) grow() bool {
	size := min(max(2*cap(b.b), minBufferBytes), maxAnswerBytes+minBufferBytes)

	if charge := max(size-freeBufferBytes, 0); charge > b.charged {
		if !b.budget.take(charge - b.charged) {
			return false
		}

		b.charged = charge
	}

	b.b = append(make([]byte, 0, size), b.b...)

	return true
}

// discard removes the first n bytes.
func (b *buffer) discard(n int) {
	b.b = append(b.b[:0], b.b[n:]...)
}

// release ends the use of b.
func (b *buffer) release() {
	b.budget.giveBack(b.charged)
	b.b, b.charged = nil, 0
}

// readBody reads the whole body of an answer into b. It fails if the body breaks off, exceeds maxAnswerBytes or the memory
// that is left.
func readBody(r io.Reader, b *buffer) ([]byte, error) {
	for {
		_, err := b.readFrom(r)
		if errors.Is(err, io.EOF) {
			return b.b, nil
		}

		if err == nil && len(b.b) > maxAnswerBytes {
			err = verdict.New(verdict.Ran, verdict.CodeAnswerTooLarge, "the answer is too large")
		}

		if err != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTruncated, "the answer was cut off").WithCause(err)
		}
	}
}

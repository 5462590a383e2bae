package buffers

import (
	"errors"
	"io"
	"sync"
)

var (
	// ErrTooLong is the error of contents that exceed the limit of a Buffer.
	ErrTooLong = errors.New("the answer is too long")
	// ErrNoMemory is the error of a Buffer whose Budget grants it no more memory.
	ErrNoMemory = errors.New("no memory is left for the answer")
)

const (
	// FreeBytes is the size up to which the memory of a Buffer is not charged to its Budget.
	FreeBytes = 32 << 10
	// minBytes is the first size of a Buffer.
	minBytes = 4 << 10
)

// Budget bounds the memory of Buffers that are in use at the same time. It is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	free int // in bytes
}

// NewBudget returns a Budget of the given number of bytes.
func NewBudget(bytes int) *Budget {
	return &Budget{free: bytes}
}

// take reserves n bytes. It grants at most half of what is free, so that a few large answers leave memory for many small
// ones.
func (b *Budget) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if n > b.free/2 {
		return false
	}

	b.free -= n

	return true
}

func (b *Budget) giveBack(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.free += n
}

// Buffer holds an answer, or the part of a stream that was not passed on yet.
type Buffer struct {
	Budget *Budget // bounds the memory beyond FreeBytes; may be nil
	Limit  int     // limit on the contents, in bytes

	bytes   []byte
	charged int
}

// Bytes returns the contents, which are valid until the next call of Fill, Discard or Release.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Fill appends the bytes of one read of r and returns their number. The contents may exceed Limit by one byte, by which
// the caller recognises that they are too long. Fill fails with ErrTooLong if they do already, and with ErrNoMemory.
func (b *Buffer) Fill(r io.Reader) (int, error) {
	if len(b.bytes) > b.Limit {
		return 0, ErrTooLong
	}

	if len(b.bytes) == cap(b.bytes) && !b.grow() {
		return 0, ErrNoMemory
	}

	n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
	b.bytes = b.bytes[:len(b.bytes)+n]

	return n, err
}

// grow doubles the capacity, up to one byte more than Limit. It reports false if Budget does not grant the memory.
func (b *Buffer) grow() bool {
	size := min(max(2*cap(b.bytes), minBytes), b.Limit+1)

	if charge := size - FreeBytes; b.Budget != nil && charge > b.charged {
		if !b.Budget.take(charge - b.charged) {
			return false
		}

		b.charged = charge
	}

	b.bytes = append(make([]byte, 0, size), b.bytes...)

	return true
}

// Discard removes the first n bytes.
func (b *Buffer) Discard(n int) {
	b.bytes = append(b.bytes[:0], b.bytes[n:]...)
}

// Release empties b and stops counting its memory. A second call has no effect. What ReadAll returned stays valid.
func (b *Buffer) Release() {
	if b.Budget != nil {
		b.Budget.giveBack(b.charged)
	}

	b.bytes, b.charged = nil, 0
}

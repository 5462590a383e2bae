package buffers

import (
	"errors"
	"io"
	"slices"
	"sync"
	"time"
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
	// smallBytes is the size up to which a Buffer may use the eighth of its Budget that larger ones leave free.
	smallBytes       = 64 << 10
	smallPartDivisor = 8
	// minBytes is the first size of a Buffer.
	minBytes = 4 << 10
)

// Budget bounds the memory of Buffers that are in use at the same time. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	total   int           // in bytes
	free    int           // in bytes
	over    *Buffer       // the Buffer that is allowed more than there is; nil if there is none
	beyond  int           // bytes of over that are not taken from free
	waiting []*waiter     // the longest waiting first
	changed chan struct{} // closed once memory has been given back
}

type waiter struct{ since time.Time }

// NewBudget returns a Budget of the given number of bytes.
func NewBudget(bytes int) *Budget {
	return &Budget{total: bytes, free: bytes, changed: make(chan struct{})}
}

// Used returns the number of bytes that are in use beyond FreeBytes of each Buffer.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.total - b.free + b.beyond
}

// Waiting returns the number of Buffers that wait for memory.
func (b *Budget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return len(b.waiting)
}

// Waited returns how long a Buffer has been waiting for memory, the longest if there are several, and zero if none is.
func (b *Budget) Waited() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()

	if len(b.waiting) == 0 {
		return 0
	}

	return time.Since(b.waiting[0].since)
}

// take reserves n bytes for buf. It grants at most half of what is free, so that a few large answers leave memory for many small ones. If
// that is not enough and buf may wait, it waits for memory. The Buffer that has waited longest is then allowed all that its limit allows, one at
// a time and not counted against the others, so that waiting answers cannot keep each other from their end.
func (b *Budget) take(buf *Buffer, n int) bool {
	var w *waiter

	for {
		b.mu.Lock()

		fits := b.fits(buf, n)
		if b.over == nil && buf.Done != nil && !fits && (len(b.waiting) == 0 || b.waiting[0] == w) {
			b.over = buf
		}

		granted, begins := true, false

		if b.over == buf {
			b.beyond += n
		} else if granted = fits; granted {
			b.free -= n
		} else if buf.Done != nil && w == nil {
			w = &waiter{since: time.Now()}
			b.waiting = append(b.waiting, w)
			begins = true
		}

		changed := b.changed
		b.mu.Unlock()

		if granted || buf.Done == nil {
			b.leave(buf, w)

			return granted
		}

		if begins && buf.OnWait != nil {
			buf.OnWait(true)
		}

		select {
		case <-buf.Done:
			b.leave(buf, w)

			return false
		case <-changed:
		}
	}
}

// fits reports whether buf may take n more bytes of what is free. b.mu is held.
func (b *Budget) fits(buf *Buffer, n int) bool {
	free := b.free
	if buf.charged+n > smallBytes {
		free -= b.total / smallPartDivisor
	}

	return n <= free/2
}

// leave ends the wait w of buf, which may be nil.
func (b *Budget) leave(buf *Buffer, w *waiter) {
	if w == nil {
		return
	}

	if buf.OnWait != nil {
		defer buf.OnWait(false)
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	b.waiting = slices.DeleteFunc(b.waiting, func(other *waiter) bool { return other == w })
	b.wake()
}

// wake lets all that wait look again. b.mu is held.
func (b *Budget) wake() {
	if len(b.waiting) > 0 {
		close(b.changed)
		b.changed = make(chan struct{})
	}
}

// giveBack gives back the n bytes of buf.
func (b *Budget) giveBack(buf *Buffer, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.over == buf {
		n -= b.beyond
		b.over, b.beyond = nil, 0
	}

	b.free += n

	b.wake()
}

// Buffer holds an answer, or the part of a stream that was not passed on yet.
type Buffer struct {
	Budget *Budget // bounds the memory beyond FreeBytes; may be nil
	Limit  int     // limit on the contents, in bytes
	// Done ends a wait for memory when it is closed. Nil means that the Buffer does not wait.
	Done <-chan struct{}
	// OnWait is called by Fill when a wait for memory begins and when it ends. Nil means no call.
	OnWait func(waiting bool)

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
		if !b.Budget.take(b, charge-b.charged) {
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
	if b.Budget != nil && b.charged > 0 {
		b.Budget.giveBack(b, b.charged)
	}

	b.bytes, b.charged = nil, 0
}

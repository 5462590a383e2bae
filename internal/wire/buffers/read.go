package buffers

import (
	"errors"
	"io"
)

// Read reads r to its end. It fails with ErrTooLong if there are more than limit bytes.
func Read(r io.Reader, limit int) ([]byte, error) {
	return (&Buffer{Limit: limit}).ReadAll(r)
}

// ReadAll reads r to its end and returns the contents of b. It fails with ErrTooLong if they exceed b.Limit, and with
// ErrNoMemory.
func (b *Buffer) ReadAll(r io.Reader) ([]byte, error) {
	for {
		_, err := b.Fill(r)

		if len(b.bytes) > b.Limit {
			return nil, ErrTooLong
		}

		if errors.Is(err, io.EOF) {
			return b.bytes, nil
		}

		if err != nil {
			return nil, err
		}
	}
}

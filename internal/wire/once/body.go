package once

import (
	"errors"
	"io"
)

// ErrTooLong is the error of an answer that exceeds the limit of its reader.
var ErrTooLong = errors.New("the answer is too long")

const minBodyBuffer = 4 << 10

// ReadBody reads r to its end. It fails with ErrTooLong if there are more than limit bytes, and uses a buffer that is not
// much larger than limit.
func ReadBody(r io.Reader, limit int) ([]byte, error) {
	body := make([]byte, 0, min(minBodyBuffer, limit+1))

	for {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*cap(body), limit+1)), body...)
		}

		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]

		if len(body) > limit {
			return nil, ErrTooLong
		}

		if errors.Is(err, io.EOF) {
			return body, nil
		}

		if err != nil {
			return nil, err
		}
	}
}

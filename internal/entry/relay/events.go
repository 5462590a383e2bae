package relay

import (
	"bytes"
	"errors"
	"io"
)

// errPartialEvent is the error of a stream that ended in the middle of an event.
var errPartialEvent = errors.New("the stream ended in the middle of an event")

// maxEventBytes bounds the buffered part of an incomplete event.
const maxEventBytes = 1 << 20

// events splits a stream of server-sent events at event boundaries. It does not change any byte.
type events struct {
	body  io.Reader
	buf   []byte
	used  int // length of the start of buf that next has returned
	chunk [16 << 10]byte
}

// next returns the bytes of one or more whole events and the value of their last id field, or "" if they have none. The
// bytes are valid until the next call.
// It returns io.EOF at the end of a stream that ended after a whole event, and errPartialEvent for one that ended
// within an event. An event of more than maxEventBytes is an error too.
func (e *events) next() ([]byte, string, error) {
	e.buf = append(e.buf[:0], e.buf[e.used:]...)
	e.used = 0

	for {
		if n := wholeEvents(e.buf); n > 0 {
			e.used = n

			return e.buf[:n], lastID(e.buf[:n]), nil
		}

		if len(e.buf) > maxEventBytes {
			return nil, "", errors.New("an event of the stream is too large")
		}

		n, err := e.body.Read(e.chunk[:])
		e.buf = append(e.buf, e.chunk[:n]...)

		if n > 0 || err == nil {
			continue
		}

		if errors.Is(err, io.EOF) && len(e.buf) > 0 {
			err = errPartialEvent
		}

		return nil, "", err
	}
}

// wholeEvents returns the length in bytes of the whole events at the start of p.
func wholeEvents(p []byte) int {
	lf, crlf := bytes.LastIndex(p, []byte("\n\n")), bytes.LastIndex(p, []byte("\r\n\r\n"))

	end := 0
	if lf >= 0 {
		end = lf + 2
	}

	if crlf >= 0 {
		end = max(end, crlf+4)
	}

	return end
}

// lastID returns the value of the last id field in p, or "" if there is none.
func lastID(p []byte) string {
	id := ""

	for line := range bytes.Lines(p) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}

	return id
}

package once

import (
	"io"
	"unicode/utf8"
)

// maxErrorBytes bounds the text of an error that may quote what a target has sent.
const maxErrorBytes = 256

// Brief returns err if its text is short, else an error that wraps err and has only the beginning of its text. Errors of
// net/http and encoding/json can quote a whole line or value that was received.
func Brief(err error) error {
	if err == nil || len(err.Error()) <= maxErrorBytes {
		return err
	}

	return briefError{err}
}

type briefError struct{ err error }

func (e briefError) Error() string {
	text := e.err.Error()

	end := min(maxErrorBytes, len(text))
	for end > 0 && end < len(text) && !utf8.RuneStart(text[end]) {
		end--
	}

	return text[:end] + "…"
}

func (e briefError) Unwrap() error { return e.err }

// briefBody is the body of an answer with brief errors.
type briefBody struct {
	io.ReadCloser

	conn   *conn // nil if it is not known
	reused bool  // the connection had carried another request before
	open   bool  // the answer ends with its connection
	counts *Counts
}

// Read implements io.Reader. The end of an answer that ends with its connection is an error unless the target has closed the connection.
func (b briefBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)

	if err == io.EOF && b.open && (b.conn == nil || !b.conn.endedByClose()) {
		b.counts.Cut.Add(1)

		err = io.ErrUnexpectedEOF
	}

	return n, Brief(err)
}

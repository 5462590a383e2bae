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
}

func (b briefBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)

	return n, Brief(err)
}

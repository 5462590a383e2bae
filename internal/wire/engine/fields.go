package engine

import (
	"bytes"
	"io"
)

// maxNameBytes is more than the length of each known field name.
const maxNameBytes = 8

// fieldReader reads a stream of server-sent events and fails at the first line that is neither a field that the format knows nor a
// comment. A parser would ignore it, but it shows that the body holds something else, such as another answer.
type fieldReader struct {
	r    io.Reader
	name []byte // start of the present line, up to its colon and maxNameBytes
	done bool   // the line has its colon
	err  error  // set once such a line was read
}

func (f *fieldReader) Read(p []byte) (int, error) {
	if f.err != nil {
		return 0, f.err
	}

	n, err := f.r.Read(p)
	start := 0 // of the present line in p

	for i, b := range p[:n] {
		switch {
		case b == '\n' || b == '\r':
			if !f.isKnown() {
				f.err = Error.New("the stream holds a line that is no field of an event")

				return start, f.err
			}

			f.name, f.done = f.name[:0], false
			start = i + 1
		case b == ':':
			f.done = true
		case !f.done && len(f.name) < maxNameBytes:
			f.name = append(f.name, b)
		}
	}

	return n, err
}

func (f *fieldReader) isKnown() bool {
	switch string(bytes.TrimPrefix(f.name, []byte("\xef\xbb\xbf"))) {
	case "", "data", "id", "event", "retry":
		return true
	default:
		return false
	}
}

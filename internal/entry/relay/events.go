package relay

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
)

var (
	errPartialEvent = errors.New("the stream ended in the middle of an event")
	errNotAfter     = errors.New("the id of an event is not greater than the one before")
	errNoEvents     = errors.New("the stream holds lines that belong to no event")
)

// maxEventBytes bounds the buffered part of an incomplete event, with the comments before it.
const maxEventBytes = 1 << 20

// events splits a stream of server-sent events at event boundaries. It does not change any byte.
//
// Only a block of lines that has a data or id field is an event. Blocks of comments and of the other fields that the format knows are
// returned together with the event that follows them, so that a stream of them alone neither reaches the caller nor counts as progress.
// Fields that the format does not know are allowed before the data and id of an event. Elsewhere they are an error, as another answer may
// have got into a body that ends with its connection.
type events struct {
	body io.Reader
	buf  *buffers.Buffer

	returned  int    // bytes of buf that the last call of next returned
	lineStart int    // start of the first line in buf that has not been scanned
	inBlock   bool   // the block of that line has a line before it
	isEvent   bool   // that block has a data or id field
	isUnknown bool   // that block has a field that the format does not know
	blockID   string // value of the last id field of that block
	end       int    // end of the last whole event in buf
	id        string // value of the last id field before end
	count     int    // whole events so far
	lastID    string // id of the last event that had one, at first that of the last event which the caller has; empty for none
	unnamed   bool   // the last whole event had no id
	err       error  // why the line before lineStart cannot be part of the stream; nil if it can
}

// next returns the bytes of one or more whole events, which are valid until the next call, and the value of their last id
// field, or "" if they have none. It returns io.EOF at the end of a stream that ended after a whole event, and
// errPartialEvent for one that ended within an event. An event whose id is a number not greater than the one before is an error. Lines that
// belong to no event are an error once the events before them have been returned, and so is an event of more than maxEventBytes.
func (e *events) next() ([]byte, string, error) {
	e.discardReturned()

	for {
		e.scan()

		if e.end > 0 {
			return e.take(e.end)
		}

		if e.err != nil {
			return nil, "", e.err
		}

		n, err := e.buf.Fill(e.body)
		if n > 0 || err == nil {
			continue
		}

		if !errors.Is(err, io.EOF) || len(e.buf.Bytes()) == 0 {
			return nil, "", err
		}

		if e.inBlock || e.lineStart < len(e.buf.Bytes()) {
			return nil, "", errPartialEvent
		}

		return e.take(len(e.buf.Bytes()))
	}
}

// take returns the first n bytes of the buffer and the id of the events in them.
func (e *events) take(n int) ([]byte, string, error) {
	id := e.id
	e.returned, e.end, e.id = n, 0, ""

	return e.buf.Bytes()[:n], id, nil
}

// discardReturned removes the bytes that the last call of next returned.
func (e *events) discardReturned() {
	e.buf.Discard(e.returned)
	e.lineStart -= e.returned
	e.returned = 0
}

// scan scans the whole lines that have not been scanned, up to one that cannot be part of the stream.
func (e *events) scan() {
	for e.err == nil {
		n := bytes.IndexByte(e.buf.Bytes()[e.lineStart:], '\n')
		if n < 0 {
			return
		}

		line := bytes.TrimSuffix(e.buf.Bytes()[e.lineStart:e.lineStart+n], []byte("\r"))
		e.lineStart += n + 1

		if len(line) > 0 {
			e.scanField(line)

			continue
		}

		if e.isUnknown && !e.isEvent {
			e.err = errNoEvents

			return
		}

		if e.blockID != "" && !isAfter(e.blockID, e.lastID) {
			e.err = errNotAfter

			return
		}

		if e.isEvent {
			e.end = e.lineStart
			e.count++
			e.unnamed = e.blockID == ""
		}

		if e.blockID != "" {
			e.id, e.lastID, e.blockID = e.blockID, e.blockID, ""
		}

		e.inBlock, e.isEvent, e.isUnknown = false, false, false
	}
}

// isAfter reports whether an event with id may follow one with last. Ids that are not numbers may be in any order.
func isAfter(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}

	before, err := strconv.ParseUint(last, 10, 64)

	return err != nil || n > before
}

func (e *events) scanField(line []byte) {
	e.inBlock = true

	name, value, hasValue := bytes.Cut(line, []byte(":"))

	switch string(name) {
	case "", "event", "retry": // a line without a name is a comment
	case "data":
		e.isEvent = true
	case "id":
		e.isEvent = true
		e.blockID = string(bytes.TrimSpace(value))
	default:
		e.isUnknown = true

		if !hasValue || e.isEvent {
			e.err = errNoEvents
		}
	}
}

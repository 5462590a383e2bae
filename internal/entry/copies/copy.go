// Package copies carries state of any size from one entry host to others. A copy of the state is compressed and fetched in
// parts of bounded size, so that a fixed time limit for each part fits copies of all sizes. What has arrived is kept when
// the sender is lost: other hosts that hold the same state make the same copy and send the rest.
package copies

import (
	"bytes"
	"compress/gzip"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
)

// Error is the class of this package's errors.
var Error = errs.Class("copies")

const (
	// partBytes is the size of a part. A link of 10 Mbit/s carries it in 13 ms.
	partBytes = 16 << 10
	// maxBytes bounds a copy, before and after it is compressed.
	maxBytes = 64 << 20
)

// ID identifies a copy by its bytes. Zero stands for none.
type ID uint64

// Copy is an encoded state. It does not change.
type Copy struct {
	id         ID
	data       []byte
	compressed bool
}

// New returns a copy of state, which must not change afterwards. A state that does not fit into one part is compressed.
func New(state []byte) (*Copy, error) {
	if len(state) <= partBytes {
		return &Copy{id: checksum(state), data: state}, nil
	}

	var b bytes.Buffer

	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}

	if _, err := w.Write(state); err != nil {
		return nil, Error.Wrap(err)
	}

	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}

	return &Copy{id: checksum(b.Bytes()), data: b.Bytes(), compressed: true}, nil
}

// checksum returns the ID of a copy that consists of data.
func checksum(data []byte) ID { return max(ID(xxhash.Sum64(data)), 1) }

// Size returns the number of bytes that the copy takes on a link.
func (c *Copy) Size() int { return len(c.data) }

// State returns the state of which c is a copy. It fails if the copy was not made by New.
func (c *Copy) State() ([]byte, error) {
	if !c.compressed {
		return c.data, nil
	}

	r, err := gzip.NewReader(bytes.NewReader(c.data))
	if err != nil {
		return nil, Error.Wrap(err)
	}

	state, err := buffers.Read(r, maxBytes)
	if err != nil {
		return nil, Error.Wrap(err)
	}

	return state, Error.Wrap(r.Close())
}

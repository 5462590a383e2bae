package burnrate

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/gob"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// maxDecodedBytes bounds the decompressed size of an encoded ledger.
	maxDecodedBytes = 32 << 20
	// flushMarkTTL is how long an object keeps the mark of a host's last flush.
	flushMarkTTL = 24 * time.Hour
)

// wireSeries is the encoded form of a series.
type wireSeries struct {
	Account string
	Kind    string
	Buckets [windowCount][]bucket
}

// flushMark identifies the last flush of one host that an object contains.
type flushMark struct {
	Sequence uint64
	At       int64 // Unix seconds
}

// stored is the encoded value of a shared object, or of a ledger that is sent to another host. Flushes
// is keyed by host ID and set only in shared objects.
type stored struct {
	Series  []wireSeries
	Flushes map[string]flushMark
}

// Encode returns l in the form that Decode reads, to be sent to another host.
func (l *Ledger) Encode() ([]byte, error) {
	return encode(l, nil)
}

// Decode returns the ledger that Encode wrote, and an empty one for empty data. Damaged or oversized
// data is an error.
func Decode(data []byte) (*Ledger, error) {
	l, _, err := decode(data)

	return l, err
}

func encode(l *Ledger, flushes map[string]flushMark) ([]byte, error) {
	l.mu.Lock()
	v := stored{Series: make([]wireSeries, 0, len(l.series)), Flushes: flushes}

	for k, s := range l.series {
		v.Series = append(v.Series, wireSeries{string(k.Account), string(k.Kind), *s})
	}
	l.mu.Unlock()

	slices.SortFunc(v.Series, func(a, b wireSeries) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Kind, b.Kind))
	})

	var out bytes.Buffer

	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}

	if err := gob.NewEncoder(w).Encode(v); err != nil {
		return nil, Error.Wrap(err)
	}

	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}

	return out.Bytes(), nil
}

func decode(data []byte) (*Ledger, map[string]flushMark, error) {
	l := &Ledger{}
	if len(data) == 0 {
		return l, map[string]flushMark{}, nil
	}

	var v stored

	r := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecodedBytes)
	if err := gob.NewDecoder(r).Decode(&v); err != nil {
		return nil, nil, Error.Wrap(err)
	}

	for _, from := range v.Series {
		s := l.seriesOf(Key{entity.AccountID(from.Account), entity.KindName(from.Kind)})

		for w, list := range from.Buckets {
			for i := range list {
				s.add(w, list[i].Slot, &list[i].Counts)
			}
		}
	}

	if v.Flushes == nil {
		v.Flushes = map[string]flushMark{}
	}

	return l, v.Flushes, nil
}

// dropOldFlushes deletes the marks of hosts that have not flushed for flushMarkTTL.
func dropOldFlushes(flushes map[string]flushMark, now time.Time) {
	oldest := now.Add(-flushMarkTTL).Unix()
	maps.DeleteFunc(flushes, func(_ string, m flushMark) bool { return m.At < oldest })
}

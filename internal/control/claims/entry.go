package claims

import (
	"encoding/json"
	"strconv"
)

// pageDocument is the encoded form of a Page. Keys stand apart from the records, so that a reader
// finds one record without decoding the others.
type pageDocument struct {
	Bucket  Bucket            `json:"bucket"`
	Writes  int               `json:"writes"`
	Keys    []string          `json:"keys"`
	Records []json.RawMessage `json:"records"`
}

// pageBytes bounds the encoded size of a Page without its entries.
const pageBytes = 128

// entry is a record in one or both of its forms; most records of a page stay encoded from one
// write to the next.
type entry struct {
	key     string
	quoted  json.RawMessage // key as a JSON string; nil until needed
	record  *Record         // nil until asked for
	encoded json.RawMessage // nil after a change
}

func newEntry(r Record) entry {
	return entry{key: r.Key.String(), record: &r}
}

// size bounds the encoded size of e, in bytes, with its separators.
func (e *entry) size() int {
	if e.encoded != nil {
		return len(e.key) + len(e.encoded) + len(`"",,`)
	}

	return e.record.size()
}

func (e *entry) decode() (*Record, error) {
	if e.record != nil {
		return e.record, nil
	}

	r := new(Record)
	if err := json.Unmarshal(e.encoded, r); err != nil {
		return nil, Error.Wrap(err)
	}

	if r.Key.String() != e.key {
		return nil, Error.New("record of %s stands under %s", r.Key, e.key)
	}

	e.record = r

	return r, nil
}

func (e *entry) encode() error {
	var err error

	if e.quoted == nil {
		e.quoted, err = json.Marshal(e.key)
	}

	if e.encoded == nil && err == nil {
		e.encoded, err = json.Marshal(e.record)
	}

	return Error.Wrap(err)
}

// encode writes the form of pageDocument, in which an encoded record needs no second look.
func encode(bucket Bucket, writes int, entries []entry, size int) ([]byte, error) {
	value := make([]byte, 0, size+pageBytes)
	value = append(value, `{"bucket":`...)
	value = strconv.AppendInt(value, int64(bucket), 10)
	value = append(value, `,"writes":`...)
	value = strconv.AppendInt(value, int64(writes), 10)
	value = append(value, `,"keys":[`...)

	for i := range entries {
		if err := entries[i].encode(); err != nil {
			return nil, err
		}

		value = separate(value, i)
		value = append(value, entries[i].quoted...)
	}

	value = append(value, `],"records":[`...)

	for i := range entries {
		value = separate(value, i)
		value = append(value, entries[i].encoded...)
	}

	return append(value, "]}"...), nil
}

func separate(value []byte, i int) []byte {
	if i == 0 {
		return value
	}

	return append(value, ',')
}

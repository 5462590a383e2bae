package claims

import (
	"encoding/json"
	"strconv"
)

// pageDocument is the encoded form of a Page. Keys are stored apart from the records, so that a
// reader finds one record without decoding the others.
type pageDocument struct {
	Bucket  Bucket            `json:"bucket"`
	Writes  int               `json:"writes"`
	Keys    []string          `json:"keys"`
	Records []json.RawMessage `json:"records"`
}

// pageOverheadBytes is an upper bound of the encoded size of a Page without its entries.
const pageOverheadBytes = 128

// entry is a record in decoded form, encoded form or both. Most records of a page stay encoded from
// one write to the next, which saves decoding and encoding them.
type entry struct {
	key       string
	quotedKey json.RawMessage // key as a JSON string; nil until needed
	record    *Record         // nil until decoded
	encoded   json.RawMessage // JSON of the record; nil if the record is new or has changed
}

func newEntry(r Record) entry {
	return entry{key: r.Key.String(), record: &r}
}

// size returns an upper bound of the encoded size of e and its separators, in bytes.
func (e *entry) size() int {
	if e.encoded != nil {
		return len(e.key) + len(e.encoded) + len(`"",,`)
	}

	return e.record.size()
}

// decode returns the record of e, decoding it on the first call. The record's key must match the entry's.
func (e *entry) decode() (*Record, error) {
	if e.record != nil {
		return e.record, nil
	}

	r := new(Record)
	if err := json.Unmarshal(e.encoded, r); err != nil {
		return nil, Error.Wrap(err)
	}

	if r.Key.String() != e.key {
		return nil, Error.New("record of key %s is stored under key %s", r.Key, e.key)
	}

	e.record = r

	return r, nil
}

// encode sets quotedKey and encoded where they are missing.
func (e *entry) encode() error {
	var err error

	if e.quotedKey == nil {
		e.quotedKey, err = json.Marshal(e.key)
	}

	if e.encoded == nil && err == nil {
		e.encoded, err = json.Marshal(e.record)
	}

	return Error.Wrap(err)
}

// encodePage returns the JSON of a pageDocument. It is written by hand because json.Marshal would parse
// the encoded records again. size is the expected size of the result, in bytes.
func encodePage(bucket Bucket, writes int, entries []entry, size int) ([]byte, error) {
	value := make([]byte, 0, size+pageOverheadBytes)
	value = append(value, `{"bucket":`...)
	value = strconv.AppendInt(value, int64(bucket), 10)
	value = append(value, `,"writes":`...)
	value = strconv.AppendInt(value, int64(writes), 10)
	value = append(value, `,"keys":[`...)

	for i := range entries {
		if err := entries[i].encode(); err != nil {
			return nil, err
		}

		value = appendSeparator(value, i)
		value = append(value, entries[i].quotedKey...)
	}

	value = append(value, `],"records":[`...)

	for i := range entries {
		value = appendSeparator(value, i)
		value = append(value, entries[i].encoded...)
	}

	return append(value, "]}"...), nil
}

func appendSeparator(value []byte, i int) []byte {
	if i == 0 {
		return value
	}

	return append(value, ',')
}

package origins

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// Lifetime is how long a record is kept after its stream began or was last taken up: longer than callers wait for a
	// stream, all their tries together.
	Lifetime = time.Minute
	// maxRecords bounds the records of a Table, at about 150 bytes each. Of more, those used least recently are dropped.
	maxRecords = 16_384
)

// StreamID identifies a stream by a hash of its service and of the id of the caller's attempt that began it.
type StreamID uint64

// StreamIDOf returns the id of the stream of service that the request began.
func StreamIDOf(service entity.ServiceName, request entity.RequestID) StreamID {
	var d xxhash.Digest

	d.Reset()

	// Writing to a digest never fails.
	_, _ = d.WriteString(string(service))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(request))

	return StreamID(d.Sum64())
}

// Record states at which version a stream is generated.
type Record struct {
	Stream  StreamID
	Version entity.SoftwareVersion
	// Change counts how often the version was changed, which is possible until the caller has the first event. Of two
	// records of one stream the one with more changes holds.
	Change uint32
	// Left is the time until the record expires.
	Left time.Duration
}

// Origin is what a Table knows of one stream.
type Origin struct {
	Record

	Age time.Duration // how long ago the record was last renewed, at this host or where it came from
}

// entry is a record that expires at until.
type entry struct {
	version entity.SoftwareVersion
	change  uint32
	until   time.Time
}

// Table holds the records of streams. It is safe for concurrent use. Make it with NewTable.
type Table struct {
	mu      sync.Mutex
	entries *lru.Cache[StreamID, entry]
}

// NewTable returns an empty Table.
func NewTable() *Table {
	entries, err := lru.New[StreamID, entry](maxRecords)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &Table{entries: entries}
}

// Set records that stream is generated at version from now on, and returns the record.
func (t *Table) Set(now time.Time, stream StreamID, version entity.SoftwareVersion) Record {
	t.mu.Lock()
	defer t.mu.Unlock()

	e, known := t.live(now, stream)
	if known && e.version != version {
		e.change++
	}

	e.version, e.until = version, now.Add(Lifetime)
	t.entries.Add(stream, e)

	return Record{Stream: stream, Version: version, Change: e.change, Left: Lifetime}
}

// Merge adds a record from another host, unless this host knows of later changes. It reports whether the record was added.
func (t *Table) Merge(now time.Time, r Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	e, known := t.live(now, r.Stream)
	until := now.Add(min(r.Left, Lifetime))

	if r.Left <= 0 || known && (e.change > r.Change || e.change == r.Change && !until.After(e.until)) {
		return false
	}

	t.entries.Add(r.Stream, entry{version: r.Version, change: r.Change, until: until})

	return true
}

// Find returns the origin of stream. It reports false if there is no record that has not expired.
func (t *Table) Find(now time.Time, stream StreamID) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e, ok := t.live(now, stream)
	if !ok {
		return Origin{}, false
	}

	left := e.until.Sub(now)

	return Origin{Record: Record{Stream: stream, Version: e.version, Change: e.change, Left: left}, Age: Lifetime - left}, true
}

// Records returns the records that have not expired.
func (t *Table) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()

	var records []Record

	for _, stream := range t.entries.Keys() {
		if e, ok := t.entries.Peek(stream); ok && now.Before(e.until) {
			records = append(records, Record{Stream: stream, Version: e.version, Change: e.change, Left: e.until.Sub(now)})
		}
	}

	return records
}

// Len returns the number of records, expired ones included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.entries.Len()
}

// live returns the entry of stream if it has not expired. The caller holds mu.
func (t *Table) live(now time.Time, stream StreamID) (entry, bool) {
	e, ok := t.entries.Get(stream)
	if !ok || !now.Before(e.until) {
		return entry{}, false
	}

	return e, true
}

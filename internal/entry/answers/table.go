package answers

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	defaultHold     = 2 * time.Minute
	defaultMaxBytes = 64 << 20
)

// ID names an answer to a keyed request.
type ID struct {
	Account table.AccountID
	Key     string
}

// Options tune a Table. The zero value works.
type Options struct {
	Clock    clockwork.Clock // nil means the real clock
	Hold     time.Duration   // how long an ended answer is kept; zero means 2 min
	MaxBytes int             // bound on the events of ended answers; zero means 64 MiB
}

// Table finds the answers to keyed requests. It is safe for concurrent use.
type Table struct {
	opts Options

	mu       sync.Mutex
	entries  map[ID]*entry
	endedIDs []ID // oldest first
	bytes    int
}

type entry struct {
	answer      *Answer
	fingerprint string
	expires     time.Time // zero while the answer is being produced
	bytes       int
}

// NewTable returns an empty Table.
func NewTable(opts Options) *Table {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Hold == 0 {
		opts.Hold = defaultHold
	}

	if opts.MaxBytes == 0 {
		opts.MaxBytes = defaultMaxBytes
	}

	return &Table{opts: opts, entries: map[ID]*entry{}}
}

// Start returns the answer held for id, or puts a new one there. The second result is true when
// the answer is new, so that the caller has to produce it; the third is false when the held
// answer belongs to a request with another fingerprint.
func (t *Table) Start(id ID, fingerprint string) (a *Answer, started, same bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire()

	if e, ok := t.entries[id]; ok {
		return e.answer, false, e.fingerprint == fingerprint
	}

	e := &entry{answer: New(), fingerprint: fingerprint}
	t.entries[id] = e

	return e.answer, true, true
}

// Find returns the answer held for id.
func (t *Table) Find(id ID) (*Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire()

	e, ok := t.entries[id]
	if !ok {
		return nil, false
	}

	return e.answer, true
}

// Ended starts the hold time of id's answer.
func (t *Table) Ended(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e, ok := t.entries[id]
	if !ok || !e.expires.IsZero() {
		return
	}

	e.expires = t.opts.Clock.Now().Add(t.opts.Hold)
	e.bytes = e.answer.Bytes()
	t.bytes += e.bytes
	t.endedIDs = append(t.endedIDs, id)
	t.expire()
}

// Forget drops id's answer at once, so that the next request with id starts anew.
func (t *Table) Forget(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if e, ok := t.entries[id]; ok {
		t.bytes -= e.bytes
		delete(t.entries, id)
	}
}

// expire drops ended answers that are too old or too many; the caller holds mu.
func (t *Table) expire() {
	now := t.opts.Clock.Now()

	for len(t.endedIDs) > 0 {
		id := t.endedIDs[0]
		e, ok := t.entries[id]

		if ok && e.expires.After(now) && t.bytes <= t.opts.MaxBytes {
			return
		}

		// An id that was forgotten and started anew is not in its ended state.
		if ok && !e.expires.IsZero() {
			t.bytes -= e.bytes
			delete(t.entries, id)
		}

		t.endedIDs = t.endedIDs[1:]
	}
}

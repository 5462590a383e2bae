package answers

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	defaultHold     = 2 * time.Minute
	defaultMaxBytes = 64 << 20
)

// ID identifies the answer to a keyed request. Keys of different accounts are independent.
type ID struct {
	Account entity.AccountID
	Key     string
}

// Options configure a Table. The zero value is valid.
type Options struct {
	Clock    clockwork.Clock // nil means the real clock
	Hold     time.Duration   // how long an ended answer is kept; zero means 2 min
	MaxBytes int             // bound on the memory of the ended answers' events; zero means 64 MiB
}

// Table holds the answers to keyed requests, by ID. It is safe for concurrent use.
type Table struct {
	opts Options

	mu       sync.Mutex
	entries  map[ID]*entry
	endedIDs []ID // in the order of MarkEnded calls; may name entries that were forgotten since
	bytes    int  // memory of the ended answers' events
}

// entry is an answer with what the Table needs to match and expire it.
type entry struct {
	answer      *Answer
	fingerprint string
	expires     time.Time // zero while the answer is being produced
	bytes       int       // memory of the answer's events, once the answer has ended
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

// Start returns the answer held for id, or adds an empty one. started is true if the answer is new: the caller then has
// to produce it. same is false if the held answer belongs to a request with another fingerprint.
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

// Find returns the answer held for id, and whether there is one.
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

// MarkEnded starts the hold time of id's answer, which must have ended. Further calls and unknown ids have no effect.
func (t *Table) MarkEnded(id ID) {
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

// Forget drops id's answer at once, so that the next request with id is run again.
func (t *Table) Forget(id ID) {
	t.ForgetAfter(id, func() {})
}

// ForgetAfter is like Forget, and calls giveUp first. No request can join the answer after the call of giveUp, which must
// neither block nor use the Table.
func (t *Table) ForgetAfter(id ID, giveUp func()) {
	t.mu.Lock()
	defer t.mu.Unlock()

	giveUp()

	if e, ok := t.entries[id]; ok {
		t.bytes -= e.bytes
		delete(t.entries, id)
	}
}

// expire drops the ended answers whose hold time is over, and the oldest ones beyond MaxBytes; the caller holds mu.
func (t *Table) expire() {
	now := t.opts.Clock.Now()

	for len(t.endedIDs) > 0 {
		id := t.endedIDs[0]
		e, ok := t.entries[id]

		if ok && e.expires.After(now) && t.bytes <= t.opts.MaxBytes {
			return
		}

		// After Forget and another Start, id may belong to an answer that has not ended.
		if ok && !e.expires.IsZero() {
			t.bytes -= e.bytes
			delete(t.entries, id)
		}

		t.endedIDs = t.endedIDs[1:]
	}
}

package answers

import (
	"context"
	"sync"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Meta describes an answer beside its events. Status and ContentType are set for services.
type Meta struct {
	Status      int
	ContentType string
	Target      table.TargetID
}

// MaxBytes bounds the memory of one answer's events.
const MaxBytes = 16 << 20

// eventOverhead is the memory of an event beside its data.
const eventOverhead = 24

// Answer collects the events of one request. It is safe for one writer and many readers.
type Answer struct {
	mu        sync.Mutex
	firstSeq  uint64 // sequence number of events[0]
	events    [][]byte
	bytes     int
	meta      Meta
	delivered bool // a reader has been given an event
	ended     bool
	problem   *verdict.Error
	changed   chan struct{} // closed and replaced on each change
}

// New returns an Answer without events.
func New() *Answer {
	return &Answer{changed: make(chan struct{})}
}

// NewFrom returns an Answer whose first event will have the sequence number first: the rest of an
// answer of which somebody else holds the start.
func NewFrom(first uint64) *Answer {
	a := New()
	a.firstSeq = first

	return a
}

// Append adds the next event and reports whether it was taken. It is not after the end; one beyond
// MaxBytes ends the answer with an error, as a part of it must never pass for the whole.
func (a *Answer) Append(data []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.ended {
		return false
	}

	if a.bytes+len(data)+eventOverhead > MaxBytes {
		a.end(verdict.New(verdict.Ran, verdict.CodeAnswerTooLarge, "the answer exceeds %d bytes", MaxBytes))

		return false
	}

	a.events = append(a.events, data)
	a.bytes += len(data) + eventOverhead
	a.signal()

	return true
}

// SetMeta replaces the description of the answer.
func (a *Answer) SetMeta(m Meta) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.meta = m
}

// Meta returns the description of the answer.
func (a *Answer) Meta() Meta {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.meta
}

// Next returns the sequence number of the next event to append.
func (a *Answer) Next() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.firstSeq + uint64(len(a.events))
}

// Events returns the events so far. The caller must not change them.
func (a *Answer) Events() [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.events
}

// Bytes returns the memory of the events held.
func (a *Answer) Bytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.bytes
}

// Restart drops the events so far if no reader has seen any, and reports whether it did.
func (a *Answer) Restart() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.delivered || a.ended {
		return false
	}

	a.events = nil
	a.bytes = 0

	return true
}

// Finish ends the answer: whole for a nil problem, else with the problem. Only the first call counts.
func (a *Answer) Finish(problem *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if !a.ended {
		a.end(problem)
	}
}

// end marks the end of the answer; the caller holds mu.
func (a *Answer) end(problem *verdict.Error) {
	a.ended = true
	a.problem = problem
	a.signal()
}

// Ended reports whether the answer has ended, and its problem if it did not end whole.
func (a *Answer) Ended() (bool, *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.ended, a.problem
}

// signal wakes the readers; the caller holds mu.
func (a *Answer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Read passes the events from sequence number from on to emit, waiting for those to come, and
// returns nil after the last event of a whole answer. It fails with the answer's problem, an
// error of emit or ctx's error.
func (a *Answer) Read(ctx context.Context, from uint64, emit func(seq uint64, data []byte) error) error {
	for {
		batch, ended, changed := a.eventsFrom(from)

		for _, data := range batch {
			if err := emit(from, data); err != nil {
				return err
			}

			from++
		}

		if ended {
			return a.finalError()
		}

		if len(batch) > 0 {
			continue
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Wait waits for the end of the answer and returns its events. Until it returns, the answer can
// still be restarted.
func (a *Answer) Wait(ctx context.Context) ([][]byte, error) {
	for {
		a.mu.Lock()
		ended, events, changed := a.ended, a.events, a.changed
		a.mu.Unlock()

		if ended {
			return events, a.finalError()
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

func (a *Answer) eventsFrom(from uint64) ([][]byte, bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if from < a.firstSeq || from >= a.firstSeq+uint64(len(a.events)) {
		return nil, a.ended, a.changed
	}

	a.delivered = true
	batch := a.events[from-a.firstSeq:]

	return batch, a.ended, a.changed
}

func (a *Answer) finalError() error {
	a.mu.Lock()
	defer a.mu.Unlock()

	// A nil *verdict.Error must not become a non-nil error.
	if a.problem == nil {
		return nil
	}

	return a.problem
}

package answers

import (
	"context"
	"sync"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Meta is the part of an answer other than its events. Status and ContentType are only set for the answers of services,
// not of models.
type Meta struct {
	Status      int
	ContentType string
	Target      entity.TargetID        // target that produces the answer
	Version     entity.SoftwareVersion // software version of Target; does not change once there is an event
}

// MaxBytes bounds the memory of one answer's events, in bytes.
const MaxBytes = 16 << 20

// eventOverhead is the memory of an event besides its data, in bytes: its slice header.
const eventOverhead = 24

// Answer collects the events of one request. It is safe for one writer and many readers.
type Answer struct {
	mu        sync.Mutex
	firstSeq  uint64 // sequence number of events[0]
	events    [][]byte
	bytes     int // data and eventOverhead of all events
	meta      Meta
	delivered bool // an event was passed to a reader, so that Restart is no longer possible
	ended     bool
	withheld  bool           // readers do not see the end yet
	problem   *verdict.Error // why the answer is not whole; nil if it is, or has not ended
	changed   chan struct{}  // closed and replaced on each change
}

// New returns an Answer without events.
func New() *Answer {
	return &Answer{changed: make(chan struct{})}
}

// NewFrom returns an Answer whose first event will have the sequence number first. It is for the rest of an answer
// whose earlier events are held elsewhere.
func NewFrom(first uint64) *Answer {
	a := New()
	a.firstSeq = first

	return a
}

// Append adds the next event and reports whether it was added. The Answer keeps data. After the end, nothing is added.
// An event that would exceed MaxBytes ends the answer with a problem, so that a truncated answer is never taken for a
// whole one.
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

// SetMeta replaces the answer's Meta.
func (a *Answer) SetMeta(m Meta) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.meta = m
}

// Meta returns the answer's Meta, as last set by SetMeta.
func (a *Answer) Meta() Meta {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.meta
}

// NextSeq returns the sequence number that the next appended event will have.
func (a *Answer) NextSeq() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.firstSeq + uint64(len(a.events))
}

// Events returns the events so far. The caller must not modify them.
func (a *Answer) Events() [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.events
}

// Bytes returns the memory of the events so far, in bytes.
func (a *Answer) Bytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.bytes
}

// CanRestart reports whether Restart is possible at present.
func (a *Answer) CanRestart() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.canRestart()
}

// canRestart is CanRestart for a caller that holds mu.
func (a *Answer) canRestart() bool {
	return !a.delivered && !a.ended
}

// Restart drops the events so far and reports true, unless the answer has ended or a reader has received an event.
func (a *Answer) Restart() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if !a.canRestart() {
		return false
	}

	a.events = nil
	a.bytes = 0

	return true
}

// Finish ends the answer. A nil problem means that the answer is whole. An answer that has ended is not changed.
func (a *Answer) Finish(problem *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if !a.ended {
		a.end(problem)
	}
}

// WithholdEnd hides the end of the answer from Read and Wait until ReleaseEnd is called. It must be called before the
// answer ends.
func (a *Answer) WithholdEnd() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.withheld = true
}

// ReleaseEnd shows readers the end that WithholdEnd hides.
func (a *Answer) ReleaseEnd() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.withheld = false
	a.signal()
}

// end marks the end of the answer; the caller holds mu.
func (a *Answer) end(problem *verdict.Error) {
	a.ended = true
	a.problem = problem
	a.signal()
}

// Ended reports whether the answer has ended, and its problem, which is nil for a whole answer. It also reports an end
// that is withheld from readers.
func (a *Answer) Ended() (bool, *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.ended, a.problem
}

// signal wakes the goroutines that wait for a change; the caller holds mu.
func (a *Answer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Read passes each event from sequence number from on to emit, waits for further events, and returns nil after the
// last event of a whole answer. Otherwise it returns the answer's problem, the first error of emit, or the cause of
// ctx's end.
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

// Wait waits for the end of the answer and returns its events, with the answer's problem or the cause of ctx's end as
// the error. Unlike Read, it does not prevent a Restart while it waits.
func (a *Answer) Wait(ctx context.Context) ([][]byte, error) {
	for {
		a.mu.Lock()
		ended, events, changed := a.endVisible(), a.events, a.changed
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

// eventsFrom returns the events from sequence number from on, or none if from precedes the first event held. It also
// returns whether readers may see the end of the answer, and a channel that is closed on the next change. If it returns events, the
// answer can't be restarted any more.
func (a *Answer) eventsFrom(from uint64) ([][]byte, bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if from < a.firstSeq || from >= a.firstSeq+uint64(len(a.events)) {
		return nil, a.endVisible(), a.changed
	}

	a.delivered = true
	batch := a.events[from-a.firstSeq:]

	return batch, a.endVisible(), a.changed
}

// endVisible reports whether the answer has ended and its end is not withheld; the caller holds mu.
func (a *Answer) endVisible() bool {
	return a.ended && !a.withheld
}

// finalError returns the answer's problem as an error, or nil if there is none.
func (a *Answer) finalError() error {
	a.mu.Lock()
	defer a.mu.Unlock()

	// A nil *verdict.Error in an error interface would not equal nil.
	if a.problem == nil {
		return nil
	}

	return a.problem
}

package relay

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// searchInterval is the time between two searches for a successor of a silent target.
	searchInterval = 100 * time.Millisecond
	// stallTolerance is the lateness of a timer from which this process may have been stalled. What the target has sent
	// meanwhile may be unread, so the target gets that much more time.
	stallTolerance = 50 * time.Millisecond
)

// watch ends the run of a target that has been silent for longer than a given time, but only once it has a successor.
// Until then the target may go on, and the search is repeated.
//
// Searches use the state of the job, in a goroutine of their own. The goroutine that serves the job must call pause or
// stop before it uses that state. A nil watch has no effect.
type watch struct {
	watchOptions

	ctx    context.Context // of the request
	cancel context.CancelFunc

	mu         sync.Mutex
	timer      clockwork.Timer
	timerAt    time.Time // when timer fires
	due        time.Time // when the target has been silent for too long, or the next search begins
	silent     bool      // onSilence was called for the present silence
	paused     bool
	stopped    bool
	stopSearch context.CancelFunc // nil while no search is under way
	searchDone chan struct{}      // closed at the end of the search under way
	found      *successor
}

type watchOptions struct {
	clock     clockwork.Clock
	panics    panics.Recorder
	request   entity.RequestID                     // for the record of a panic
	onSilence func()                               // called once per silence, before the first search
	onKept    func()                               // called once per silence, if the first search finds no successor
	search    func(ctx context.Context) *successor // returns nil if there is no successor now
	endRun    context.CancelFunc
}

// startWatch returns a watch of a target that may be silent for patience from now on.
func startWatch(ctx context.Context, patience time.Duration, opts watchOptions) *watch {
	w := &watch{watchOptions: opts}
	w.ctx, w.cancel = context.WithCancel(ctx)

	w.mu.Lock()
	defer w.mu.Unlock()

	w.due = w.clock.Now().Add(patience)
	w.timerAt = w.due
	w.timer = w.clock.AfterFunc(patience, w.onTimer)

	return w
}

// pause ends the search under way, if any, and begins none until resume is called. A successor that was found is kept.
func (w *watch) pause() {
	if w == nil {
		return
	}

	w.mu.Lock()
	w.paused = true
	stopSearch, searchDone := w.stopSearch, w.searchDone
	w.mu.Unlock()

	if stopSearch != nil {
		stopSearch()
		<-searchDone
	}
}

// resume lets the target be silent for patience from now on.
func (w *watch) resume(now time.Time, patience time.Duration) {
	if w == nil {
		return
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	w.paused, w.silent = false, false
	w.due = now.Add(patience)

	if w.due.Before(w.timerAt) {
		w.setTimer(now, patience)
	}
}

// stop ends the watch. A search under way is ended if its result is not needed, else finished. stop returns the
// successor, if one was found, and whether that has ended the run of the target.
func (w *watch) stop(needed bool) (found *successor, endedRun bool) {
	if w == nil {
		return nil, false
	}

	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	endedRun = w.found != nil
	stopSearch, searchDone := w.stopSearch, w.searchDone
	w.mu.Unlock()

	if stopSearch != nil {
		if !needed {
			stopSearch()
		}

		<-searchDone
	}

	w.cancel()

	return w.found, endedRun
}

// setTimer lets the timer fire after d. The caller holds mu.
func (w *watch) setTimer(now time.Time, d time.Duration) {
	w.timerAt = now.Add(d)
	w.timer.Reset(d)
}

// onTimer searches for a successor if the target has been silent for too long.
func (w *watch) onTimer() {
	search := w.beginSearch()
	if search == nil {
		return
	}

	found := w.runSearch(search)

	w.mu.Lock()
	defer w.mu.Unlock()

	w.found = found
	if found != nil {
		w.endRun()
	} else if !w.stopped {
		now := w.clock.Now()
		w.due = now.Add(searchInterval)
		w.setTimer(now, searchInterval)
	}

	w.stopSearch()
	w.stopSearch = nil
	close(w.searchDone)
}

// runSearch returns the successor that a search finds. If the search panics, it returns nil and no search follows, so that the
// target may go on.
func (w *watch) runSearch(ctx context.Context) (found *successor) {
	defer w.panics.Recover(w.request, func(*verdict.Error) { w.cancel() })

	first := !w.silent
	if first {
		w.silent = true // not used by other goroutines during a search
		w.onSilence()
	}

	found = w.search(ctx)
	if first && found == nil && ctx.Err() == nil {
		w.onKept()
	}

	return found
}

// beginSearch returns the context of a search that begins now, or nil if none is due.
func (w *watch) beginSearch() context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.stopped || w.found != nil || w.ctx.Err() != nil {
		return nil
	}

	now := w.clock.Now()

	switch late := now.Sub(w.due); {
	case w.paused:
		w.setTimer(now, searchInterval)

		return nil
	case late < 0:
		w.setTimer(now, -late)

		return nil
	case late >= stallTolerance:
		w.due = now.Add(stallTolerance)
		w.setTimer(now, stallTolerance)

		return nil
	}

	search, stopSearch := context.WithCancel(w.ctx)
	w.stopSearch, w.searchDone = stopSearch, make(chan struct{})

	return search
}

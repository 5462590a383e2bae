package engine

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
)

// answer is the generation of one request, which continues whether or not a client reads it.
type answer struct {
	path   string
	prompt prompt
	phase  entity.Role // Prefill, Decode, or Mixed for both
	// version is the software version that the tokens show: that of the engine, after that of the KV cache if it is another.
	version entity.SoftwareVersion

	mu        sync.Mutex
	generated int // events generated so far
	ended     bool
	changed   chan struct{} // closed and replaced on each change
	cancelled chan struct{} // closed on cancel or crash
	faulted   bool          // one of the faults that occur once per request has occurred
}

// startAnswer registers a, a new answer, for the request id and starts its generation. A restarted request replaces its
// former answer.
func (s *Server) startAnswer(id entity.RequestID, a *answer) *answer {
	a.changed, a.cancelled = make(chan struct{}), make(chan struct{})

	s.mu.Lock()
	if a.phase == entity.Prefill {
		s.prefills[id]++
	} else {
		s.runs[id]++
	}

	s.answers[id] = a
	s.mu.Unlock()

	go func() {
		defer s.orderEngine.Finish()

		s.generate(id, a)
	}()

	return a
}

// generate advances a until it is complete or cancelled. A complete answer is dropped after Options.AnswerTTL, the KV
// cache of a prefill by runPrefill.
func (s *Server) generate(id entity.RequestID, a *answer) {
	wait := time.NewTimer(s.promptTime(a))
	defer wait.Stop()

	if a.phase == entity.Prefill {
		s.runPrefill(id, a, wait)

		return
	}

	for n := range a.prompt.outputTokens() + 1 {
		select {
		case <-wait.C:
		case <-a.cancelled:
			return
		}

		a.advance(n+1, n == a.prompt.outputTokens())
		wait.Reset(s.opts.TokenTime)
	}

	time.AfterFunc(s.opts.AnswerTTL, func() { s.cancel(id) })
}

// advance sets the progress of a and wakes its readers.
func (a *answer) advance(ready int, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.generated = ready
	a.ended = ended
	close(a.changed)
	a.changed = make(chan struct{})
}

// resume writes the events of a known request, starting at the event index from.
func (s *Server) resume(w http.ResponseWriter, r *http.Request, id entity.RequestID, from string) {
	offset, err := strconv.Atoi(from)

	s.mu.Lock()
	a, ok := s.answers[id]
	s.mu.Unlock()

	if err != nil || !ok {
		// No verdict: the engine may have dropped the request, so it cannot say whether the request ran.
		http.Error(w, "no such request", http.StatusNotFound)

		return
	}

	s.writeEvents(w, r, id, a, offset)
}

// writeEvents writes the events of a from index next on as they become ready, and pings in between.
func (s *Server) writeEvents(w http.ResponseWriter, r *http.Request, id entity.RequestID, a *answer, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)

	rc := http.NewResponseController(w)
	_ = rc.Flush()

	ping := time.NewTicker(pingInterval)
	defer ping.Stop()

	for {
		a.mu.Lock()
		ready, ended, changed := a.generated, a.ended, a.changed
		a.mu.Unlock()

		for ; next < ready; next++ {
			s.writeEvent(w, id, a, next)
		}

		if ended {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, engine.Done)

			return
		}

		_ = rc.Flush()

		select {
		case <-changed:
		case <-ping.C:
			s.writePing(w)
		case <-a.cancelled:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// writePing writes an SSE comment that keeps the connection alive, unless Faults.Silent is set.
func (s *Server) writePing(w io.Writer) {
	s.mu.Lock()
	silent := s.faults.Silent
	s.mu.Unlock()

	if !silent {
		_, _ = io.WriteString(w, ": ping\n\n")
	}
}

// writeEvent writes event n of a with the simulated failures.
func (s *Server) writeEvent(w io.Writer, id entity.RequestID, a *answer, n int) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()

	if f.Silent {
		return
	}

	data := eventData(string(id), a, n)

	a.mu.Lock()
	unfaulted := !a.faulted
	a.faulted = a.faulted || (f.SilentAfter > 0 && n >= f.SilentAfter) || (f.CutAfter > 0 && n >= f.CutAfter) ||
		(f.SkipEvent > 0 && n >= f.SkipEvent) || (f.WrongRequestID && n > 0)
	inject := unfaulted && a.faulted
	pastFirstDecode := a.phase == entity.Decode && n > 0
	a.mu.Unlock()

	if f.CrashDecode && pastFirstDecode {
		f.CrashDecode = false
		s.SetFaults(f)
		s.crash()
		panic(http.ErrAbortHandler)
	}

	if inject && f.CutAfter > 0 {
		panic(http.ErrAbortHandler)
	}

	if inject && f.SilentAfter > 0 {
		<-a.cancelled // this connection stays silent; the client has to resume on a new one
	}

	if inject && f.SkipEvent > 0 {
		return
	}

	if inject && f.WrongRequestID {
		data = eventData("another-request", a, n)
	}

	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)

	if f.Duplicate {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
	}
}

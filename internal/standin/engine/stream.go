package engine

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
)

// answer is one request's generation, which goes on whether or not anybody reads it.
type answer struct {
	path   string
	prompt prompt
	phase  table.Role // Mixed for both

	mu      sync.Mutex
	ready   int // events generated so far
	ended   bool
	changed chan struct{} // closed and replaced on each change
	gone    chan struct{} // closed on cancel or crash
	cutOnce bool
}

func (s *Server) start(id table.RequestID, path string, p prompt, phase table.Role) *answer {
	a := &answer{path: path, prompt: p, phase: phase, changed: make(chan struct{}), gone: make(chan struct{})}

	s.mu.Lock()
	if phase == table.Prefill {
		s.prefills[id]++
	} else {
		s.runs[id]++
	}

	s.answers[id] = a
	s.mu.Unlock()

	go func() {
		defer s.orders.Finish()

		s.generate(id, a)
	}()

	return a
}

// generate advances a until it is whole or gone, and forgets it after the keep time.
func (s *Server) generate(id table.RequestID, a *answer) {
	wait := time.NewTimer(s.promptTime(a))
	defer wait.Stop()

	if a.phase == table.Prefill {
		s.fill(id, a, wait)

		return
	}

	for n := range a.prompt.output() + 1 {
		select {
		case <-wait.C:
		case <-a.gone:
			return
		}

		a.advance(n+1, n == a.prompt.output())
		wait.Reset(s.opts.TokenTime)
	}

	time.AfterFunc(s.opts.Keep, func() { s.cancel(id) })
}

func (a *answer) advance(ready int, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.ready = ready
	a.ended = ended
	close(a.changed)
	a.changed = make(chan struct{})
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request, id table.RequestID, from string) {
	offset, err := strconv.Atoi(from)

	s.mu.Lock()
	a, ok := s.answers[id]
	s.mu.Unlock()

	if err != nil || !ok {
		// The engine has lost its memory of the request, so it cannot tell whether it ran.
		http.Error(w, "no such request", http.StatusNotFound)

		return
	}

	s.send(w, r, id, a, offset)
}

// send writes the events of a from next on as they become ready.
func (s *Server) send(w http.ResponseWriter, r *http.Request, id table.RequestID, a *answer, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)

	rc := http.NewResponseController(w)
	_ = rc.Flush()

	ping := time.NewTicker(pingEvery)
	defer ping.Stop()

	for {
		a.mu.Lock()
		ready, ended, changed := a.ready, a.ended, a.changed
		a.mu.Unlock()

		for ; next < ready; next++ {
			s.event(w, id, a, next)
		}

		if ended {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, engine.Done)

			return
		}

		_ = rc.Flush()

		select {
		case <-changed:
		case <-ping.C:
			s.ping(w)
		case <-a.gone:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) ping(w io.Writer) {
	s.mu.Lock()
	silent := s.faults.Silent
	s.mu.Unlock()

	if !silent {
		_, _ = io.WriteString(w, ": ping\n\n")
	}
}

// event writes event n of a, as the fault switches bend it.
func (s *Server) event(w io.Writer, id table.RequestID, a *answer, n int) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()

	if f.Silent {
		return
	}

	data := chunk(string(id), a.path, a.prompt, n)

	a.mu.Lock()
	first := !a.cutOnce
	a.cutOnce = a.cutOnce || (f.SilentAfter > 0 && n >= f.SilentAfter) || (f.CutAfter > 0 && n >= f.CutAfter) || (f.Gap > 0 && n >= f.Gap) || (f.Cross && n > 0)
	hit := first && a.cutOnce
	decoding := a.phase == table.Decode && n > 0
	a.mu.Unlock()

	if f.CrashDecode && decoding {
		f.CrashDecode = false
		s.SetFaults(f)
		s.crash()
		panic(http.ErrAbortHandler)
	}

	if hit && f.CutAfter > 0 {
		panic(http.ErrAbortHandler)
	}

	if hit && f.SilentAfter > 0 {
		<-a.gone // for good: only a new connection helps
	}

	if hit && f.Gap > 0 {
		return
	}

	if hit && f.Cross {
		data = chunk("another-request", a.path, a.prompt, n)
	}

	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)

	if f.Duplicate {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
	}
}

package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// stream passes the answer's events on as server-sent events, from the first that the caller has not seen. A stream
// that cannot be made whole ends with an "error" event that holds a problem document, never with a
// clean close.
func (s *Server) stream(ctx iris.Context, req table.Request, ans *answers.Answer) {
	out := s.newEventWriter(ctx, req)
	defer out.unbound()

	reading, cancel := context.WithCancel(ctx.Request().Context())
	defer cancel()

	pinging := make(chan struct{})

	go func() {
		defer close(pinging)

		out.ping(reading, cancel)
	}()

	err := ans.Read(reading, req.Seen, out.event)

	cancel()
	<-pinging

	problem := s.unlessGone(ctx, verdict.From(err))
	if out.failed != nil {
		problem = verdict.New(verdict.Of(err), verdict.CodeCallerGone, "the caller takes no events").Because(out.failed)
	}

	if problem == nil && req.Seen > ans.Next() {
		problem = verdict.New(verdict.Ran, verdict.CodeBadRequest, "%s is beyond the last event of this answer", HeaderResume)
	}

	s.observe(req, problem, out.first, out.events)
	out.end(problem)
}

// boundWrites bounds the writes of an answer and returns a function that lifts the bound, for the
// next call on the connection.
func (s *Server) boundWrites(ctx iris.Context) func() {
	rc := http.NewResponseController(ctx.ResponseWriter().Naive())
	_ = rc.SetWriteDeadline(time.Now().Add(s.opts.WriteLimit)) // not every ResponseWriter can

	return func() { _ = rc.SetWriteDeadline(time.Time{}) }
}

// eventWriter writes the events of one stream.
type eventWriter struct {
	s   *Server
	req table.Request
	w   http.ResponseWriter
	rc  *http.ResponseController

	mu     sync.Mutex
	events int
	first  time.Duration
	latest time.Time // begin of the last write
	failed error     // first error of a write
}

func (s *Server) newEventWriter(ctx iris.Context, req table.Request) *eventWriter {
	w := ctx.ResponseWriter()

	return &eventWriter{s: s, req: req, w: w, rc: http.NewResponseController(w.Naive())}
}

// event writes one event of the answer.
func (e *eventWriter) event(seq uint64, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.events == 0 {
		e.first = e.s.opts.Clock.Since(e.req.Arrived)
		startStream(e.w)
	}

	e.events++

	return e.write("id: %d\ndata: %s\n\n", seq, data)
}

// bound gives the caller the time of WriteLimit to take the next write.
func (e *eventWriter) bound() {
	_ = e.rc.SetWriteDeadline(time.Now().Add(e.s.opts.WriteLimit)) // not every ResponseWriter can
}

// unbound lifts the bound for the next call on the connection.
func (e *eventWriter) unbound() {
	_ = e.rc.SetWriteDeadline(time.Time{})
}

// write sends a piece of the stream to the caller; the caller of write holds mu.
func (e *eventWriter) write(format string, args ...any) error {
	if e.failed != nil {
		return e.failed
	}

	e.bound()
	e.latest = e.s.opts.Clock.Now()

	_, err := fmt.Fprintf(e.w, format, args...)
	if err == nil {
		err = e.rc.Flush()
	}

	e.failed = err

	return err
}

// ping sends a comment whenever the stream has been idle, so that neither end takes the other for
// dead, until ctx ends or the caller takes no more.
func (e *eventWriter) ping(ctx context.Context, gone context.CancelFunc) {
	tick := e.s.opts.Clock.NewTicker(e.s.opts.Ping)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
		}

		if e.pingOnce() != nil {
			gone()

			return
		}
	}
}

func (e *eventWriter) pingOnce() error {
	e.mu.Lock()
	defer e.mu.Unlock()

	// Before the first event the call can still be refused with a status of its own.
	if e.events == 0 || e.s.opts.Clock.Since(e.latest) < e.s.opts.Ping/2 {
		return nil
	}

	return e.write(": ping\n\n")
}

// end finishes the stream: whole for a nil problem.
func (e *eventWriter) end(problem *verdict.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.bound()

	switch {
	case problem == nil:
		if e.events == 0 {
			startStream(e.w)
		}

		_ = e.write("data: %s\n\n", engine.Done)
	case problem.Code == verdict.CodeCallerGone:
	case e.events == 0:
		writeProblem(e.w, problem, string(e.req.ID))
	default:
		doc, _ := json.Marshal(newProblem(problem, string(e.req.ID)))
		_ = e.write("event: error\ndata: {\"error\":%s}\n\n", doc)
	}
}

func startStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
}

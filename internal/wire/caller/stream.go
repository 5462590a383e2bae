package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// writeStream writes the answer's events as server-sent events, beginning with the first that the caller has not
// received. If the answer cannot be completed, the caller gets an error response or, once an event was written, a last
// event "error" that holds a problem document. So the caller never takes the stream for complete.
func (s *Server) writeStream(ctx iris.Context, req entity.Request, ans *answers.Answer) {
	out := s.newEventWriter(ctx, req)
	defer out.clearWriteDeadline()

	readCtx, cancel := context.WithCancel(ctx.Request().Context())
	pingDone := make(chan struct{})

	go func() {
		defer close(pingDone)
		defer s.opts.Panics.Recover(req.ID, func(*verdict.Error) { cancel() })

		out.pingWhileIdle(readCtx, cancel)
	}()

	stopPings := func() {
		cancel()
		<-pingDone
	}
	defer stopPings()

	err := ans.Read(readCtx, req.EventsSeen, func(seq uint64, data []byte) error {
		if seq == req.EventsSeen {
			if problem := s.checkVersion(req, ans); problem != nil {
				return problem
			}
		}

		return out.writeEvent(eventID(seq, ans.Meta().Version), data)
	})

	stopPings()

	problem := s.orCallerGone(ctx, verdict.From(err))
	if out.writeErr != nil {
		problem = verdict.New(verdict.Of(err), verdict.CodeCallerGone, "writing to the caller failed").WithCause(out.writeErr)
	}

	if problem == nil && req.EventsSeen > ans.NextSeq() {
		problem = verdict.New(verdict.Ran, verdict.CodeBadRequest, "%s is beyond the last event of this answer", HeaderResume)
	}

	if problem == nil && out.events == 0 {
		problem = s.checkVersion(req, ans)
	}

	s.observe(req, problem, out.timeToFirst, out.events)
	out.finish(problem)
}

// checkVersion returns a problem if the events that the caller of req has seen were generated at another software version
// than ans.
func (s *Server) checkVersion(req entity.Request, ans *answers.Answer) *verdict.Error {
	version := ans.Meta().Version
	if req.EventsSeen == 0 || version == req.SeenVersion {
		return nil
	}

	s.opts.Log.Info().Str("request", string(req.ID)).Str("seen-version", string(req.SeenVersion)).Str("version", string(version)).
		Msg("an answer cannot go on at another version")

	return verdict.New(verdict.MayHaveRun, verdict.CodeOtherVersion,
		"the answer that is held is of version %q and does not continue one of version %q; send the request without %s", version, req.SeenVersion, HeaderResume)
}

// limitWriteTime bounds the writes of the answer to req that follow. It returns a function that removes the bound, so that
// the next call on the connection is not affected.
func (s *Server) limitWriteTime(ctx iris.Context, req entity.Request) func() {
	rc := http.NewResponseController(ctx.ResponseWriter().Naive())
	_ = rc.SetWriteDeadline(s.writeDeadline(req)) // not every ResponseWriter supports this

	return func() { _ = rc.SetWriteDeadline(time.Time{}) }
}

// writeDeadline returns the deadline of req, or the end of WriteTimeout if that is later, on the clock of the system.
func (s *Server) writeDeadline(req entity.Request) time.Time {
	return time.Now().Add(max(req.Deadline.Sub(s.opts.Clock.Now()), s.opts.WriteTimeout))
}

// eventWriter writes one stream of server-sent events. mu serializes the writes of events and pings.
type eventWriter struct {
	s   *Server
	req entity.Request
	w   http.ResponseWriter
	rc  *http.ResponseController

	mu          sync.Mutex
	events      int           // number of events of the answer, the one being written included
	timeToFirst time.Duration // time from the arrival of the request to the first event
	lastWrite   time.Time     // start of the last write
	writeErr    error         // first error of a write; later writes fail with it
}

func (s *Server) newEventWriter(ctx iris.Context, req entity.Request) *eventWriter {
	w := ctx.ResponseWriter()

	e := &eventWriter{s: s, req: req, w: w, rc: http.NewResponseController(w.Naive())}
	e.setWriteDeadline()

	return e
}

// writeEvent writes one event of the answer; the first one also starts the response.
func (e *eventWriter) writeEvent(id string, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.events == 0 {
		e.timeToFirst = e.s.opts.Clock.Since(e.req.Arrived)
		startStream(e.w)
	}

	e.events++

	return e.write("id: %s\ndata: %s\n\n", id, data)
}

// setWriteDeadline bounds the writes that follow.
func (e *eventWriter) setWriteDeadline() {
	_ = e.rc.SetWriteDeadline(e.s.writeDeadline(e.req)) // not every ResponseWriter supports this
}

// clearWriteDeadline clears the deadline, so that the next call on the connection is not affected.
func (e *eventWriter) clearWriteDeadline() {
	_ = e.rc.SetWriteDeadline(time.Time{})
}

// write formats and flushes a part of the stream. mu must be held.
func (e *eventWriter) write(format string, args ...any) error {
	if e.writeErr != nil {
		return e.writeErr
	}

	e.lastWrite = e.s.opts.Clock.Now()

	_, err := fmt.Fprintf(e.w, format, args...)
	if err == nil {
		err = e.rc.Flush()
	}

	e.writeErr = err

	return err
}

// pingWhileIdle checks the stream once per Options.PingInterval and sends a comment if it has been idle, so that neither
// end takes the connection for dead. It runs until ctx ends or a write fails; in the latter case it calls cancel.
func (e *eventWriter) pingWhileIdle(ctx context.Context, cancel context.CancelFunc) {
	tick := e.s.opts.Clock.NewTicker(e.s.opts.PingInterval)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
		}

		if e.pingIfIdle() != nil {
			cancel()

			return
		}
	}
}

// pingIfIdle sends a comment if an event was written, but nothing for half of Options.PingInterval.
func (e *eventWriter) pingIfIdle() error {
	e.mu.Lock()
	defer e.mu.Unlock()

	// A ping before the first event would fix the status as 200, and the call could not be refused any more.
	if e.events == 0 || e.s.opts.Clock.Since(e.lastWrite) < e.s.opts.PingInterval/2 {
		return nil
	}

	return e.write(": ping\n\n")
}

// finish ends the stream: with the final event if problem is nil, else with an error response or error event. A caller
// that has gone gets nothing.
func (e *eventWriter) finish(problem *verdict.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.setWriteDeadline()

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

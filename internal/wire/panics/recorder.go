package panics

import (
	"errors"
	"fmt"
	"net/http"
	"runtime"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Name is the name of the counter of panics in a metrics registry.
const Name = "panics"

// Limits on the size of what is logged of one panic.
const (
	maxStackBytes = 16 << 10
	maxValueBytes = 1 << 10
)

// Recorder logs and counts panics. Its zero value logs to the default logger and counts nothing. It is safe for concurrent
// use.
type Recorder struct {
	Log   *log.Logger     // nil means the default logger
	Count metrics.Counter // number of panics; nil counts nothing
}

// New returns a Recorder that logs to l and counts in registry.
func New(l *log.Logger, registry metrics.Registry) Recorder {
	return Recorder{Log: l, Count: metrics.GetOrRegisterCounter(Name, registry)}
}

// Recover stops a panic, records it and calls end with the error of the request id, which may be empty. It does nothing if
// there is no panic. It has no effect unless a defer statement calls it directly.
func (r Recorder) Recover(id entity.RequestID, end func(*verdict.Error)) {
	if v := recover(); v != nil {
		end(r.Record(v, id))
	}
}

// RecoverHandler is Recover for the handler of an HTTP call whose request has the id that id returns. It calls answer with
// the error, or closes the connection before the end of the answer if begun reports that a part of it was written. It
// passes on http.ErrAbortHandler without a record.
func (r Recorder) RecoverHandler(id func() entity.RequestID, begun func() bool, answer func(*verdict.Error)) {
	v := recover()
	if v == nil {
		return
	}

	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}

	problem := r.Record(v, id())

	if begun() {
		panic(http.ErrAbortHandler)
	}

	answer(problem)
}

// Record logs and counts a panic with the value v that was recovered by its caller while the request id was served. It
// returns the error of that request, which has the verdict MayHaveRun. An empty id is not logged.
func (r Recorder) Record(v any, id entity.RequestID) *verdict.Error {
	l := r.Log
	if l == nil {
		l = &log.DefaultLogger
	}

	if r.Count != nil {
		r.Count.Inc(1)
	}

	value := fmt.Sprint(v)
	value = value[:min(len(value), maxValueBytes)]
	stack := make([]byte, maxStackBytes)
	stack = stack[:runtime.Stack(stack, false)]

	entry := l.Error()
	if id != "" {
		entry = entry.Str("request", string(id))
	}

	entry.Str("panic", value).Bytes("stack", stack).Msg("request panicked")

	return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "unexpected failure").WithCause(fmt.Errorf("panic: %s", value))
}

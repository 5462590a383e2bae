package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/kataras/iris/v12"
	irisctx "github.com/kataras/iris/v12/context"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	defaultMaxBodyBytes    = 4 << 20
	defaultMaxOpenRequests = 4096
	overloadedRetryAfter   = time.Second
	defaultWriteTimeout    = 15 * time.Second
)

// DefaultPingInterval is the default time between two checks of a stream. If the stream has been idle, the check sends a
// comment as a keepalive.
const DefaultPingInterval = 10 * time.Second

// Requests runs requests. Submit returns the answer to read, or an error if req is refused.
type Requests interface {
	Submit(ctx context.Context, req entity.Request) (*answers.Answer, error)
}

// Configuration returns the configuration in force, or nil if there is none yet.
type Configuration interface {
	Current() *entity.Snapshot
}

// Outcome describes a finished call, for service-level statistics.
type Outcome struct {
	Request    entity.Request
	Problem    *verdict.Error // nil if the answer was complete
	FirstToken time.Duration  // time from arrival to the first write of the answer; zero if nothing was written
	Total      time.Duration  // time from arrival to the end of the call
	Events     int            // number of events of the answer
}

// Options configures a Server. Requests and Configuration are required.
type Options struct {
	Clock           clockwork.Clock // nil means the real clock
	Requests        Requests
	Configuration   Configuration
	Ready           func() error    // returns why the host is not ready, nil if it is; a nil Ready means always ready
	Observe         func(Outcome)   // called at the end of each call that reached Requests; may be nil
	Metrics         http.Handler    // nil means that /metrics is not served
	Log             *log.Logger     // nil means the default logger
	Panics          panics.Recorder // records panics of requests
	MaxBodyBytes    int64           // limit on the size of a request body, in bytes; zero means 4 MiB
	MaxOpenRequests int64           // limit on the number of open requests; zero means 4,096
	PingInterval    time.Duration   // time between two checks whether a stream is idle; zero means DefaultPingInterval
	WriteTimeout    time.Duration   // time for writes that begin near or after the deadline of their request; zero means 15 s
}

// Server is the http.Handler of the callers' API. It is safe for concurrent use.
type Server struct {
	opts Options
	app  *iris.Application
	open atomic.Int64
}

// NewServer returns a Server.
func NewServer(opts Options) (*Server, error) {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = defaultMaxBodyBytes
	}

	if opts.MaxOpenRequests == 0 {
		opts.MaxOpenRequests = defaultMaxOpenRequests
	}

	if opts.PingInterval == 0 {
		opts.PingInterval = DefaultPingInterval
	}

	if opts.WriteTimeout == 0 {
		opts.WriteTimeout = defaultWriteTimeout
	}

	s := &Server{opts: opts, app: iris.New().Configure(
		iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithFireMethodNotAllowed,
		iris.WithoutPathCorrection)}
	s.app.Logger().SetLevel("disable")
	s.routes()

	return s, s.app.Build()
}

func (s *Server) routes() {
	s.app.UseRouter(s.recoverPanics)
	s.app.Post("/v1/chat/completions", s.authenticated(s.complete))
	s.app.Post("/v1/completions", s.authenticated(s.complete))
	s.app.Get("/v1/models", s.authenticated(s.models))
	s.app.Post("/v1/services/{service}/{path:path}", s.authenticated(s.serve))
	s.app.Get("/healthz", func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	s.app.Get("/readyz", s.readyz)

	if s.opts.Metrics != nil {
		s.app.Get("/metrics", iris.FromStd(s.opts.Metrics))
	}

	s.app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		writeProblem(ctx.ResponseWriter(), refuse(verdict.CodeNotFound, "there is nothing at %s", ctx.Path()), "")
	})

	s.app.OnErrorCode(http.StatusMethodNotAllowed, func(ctx iris.Context) {
		allow := ctx.ResponseWriter().Header().Get("Allow")
		writeProblem(ctx.ResponseWriter(), refuse(verdict.CodeMethodNotAllowed, "%s answers only to %s", ctx.Path(), allow), "")
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.app.ServeHTTP(w, r)
}

// Open returns the number of open requests of callers.
func (s *Server) Open() int64 {
	return s.open.Load()
}

// recoverPanics answers a call whose handler panics with an error of the verdict MayHaveRun. If the answer has begun, it
// closes the connection before the end of the answer, so that the caller cannot take it for complete.
func (s *Server) recoverPanics(ctx iris.Context) {
	w := ctx.ResponseWriter()
	id := func() entity.RequestID { return entity.RequestID(w.Header().Get(HeaderID)) }

	defer s.opts.Panics.RecoverHandler(id, func() bool { return hasBegun(ctx) }, func(problem *verdict.Error) {
		writeProblem(w, problem, string(id()))
	})

	ctx.Next()
}

// hasBegun reports whether a part of the answer to ctx was written.
func hasBegun(ctx iris.Context) bool {
	return ctx.ResponseWriter().Written() != irisctx.NoWritten
}

// readyz answers with status 503 and the error while the host is not ready.
func (s *Server) readyz(ctx iris.Context) {
	if s.opts.Ready == nil {
		return
	}

	if err := s.opts.Ready(); err != nil {
		http.Error(ctx.ResponseWriter(), err.Error(), http.StatusServiceUnavailable)
	}
}

// authenticated returns a handler that enforces MaxOpenRequests, refuses calls while there is no configuration, looks up
// the client account of the bearer key and calls h.
func (s *Server) authenticated(h func(iris.Context, *entity.Account)) iris.Handler {
	return func(ctx iris.Context) {
		defer s.open.Add(-1)

		if s.open.Add(1) > s.opts.MaxOpenRequests {
			writeProblem(ctx.ResponseWriter(), refuse(verdict.CodeOverloaded, "too many open requests").WithRetryAfter(overloadedRetryAfter), "")

			return
		}

		snapshot := s.opts.Configuration.Current()
		if snapshot == nil {
			writeProblem(ctx.ResponseWriter(), refuse(verdict.CodeNotReady, "no configuration yet").WithRetryAfter(overloadedRetryAfter), "")

			return
		}

		account, ok := snapshot.AccountByKey(bearer(ctx.Request()))
		if !ok {
			ctx.Header("WWW-Authenticate", "Bearer")
			writeProblem(ctx.ResponseWriter(), refuse(verdict.CodeUnauthorized, "the bearer key is missing or unknown"), "")

			return
		}

		h(ctx, account)
	}
}

// models lists the models of the account's request kinds.
func (s *Server) models(ctx iris.Context, account *entity.Account) {
	type model struct {
		ID     entity.Model `json:"id"`
		Object string       `json:"object"`
		Owner  string       `json:"owned_by"`
	}

	models := []model{}

	for _, kind := range account.Kinds {
		m := model{ID: kind.Model, Object: "model", Owner: "operator"}
		if kind.Model != "" && !slices.Contains(models, m) {
			models = append(models, m)
		}
	}

	slices.SortFunc(models, func(a, b model) int { return compare(a.ID, b.ID) })

	ctx.ContentType("application/json")
	_ = json.NewEncoder(ctx.ResponseWriter()).Encode(map[string]any{"object": "list", "data": models})
}

func compare(a, b entity.Model) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// complete serves a chat or text completion.
func (s *Server) complete(ctx iris.Context, account *entity.Account) {
	w := ctx.ResponseWriter()

	body, problem := readBody(ctx, account, s.opts.MaxBodyBytes)
	if problem != nil {
		writeProblem(w, problem, "")

		return
	}

	req, stream, problem := s.completionRequest(ctx.Request(), account, body)
	if problem != nil {
		writeProblem(w, problem, "")

		return
	}

	req.EventsSeen, req.SeenVersion, problem = resumeFrom(ctx.Request(), req.Key, stream)
	if problem != nil {
		writeProblem(w, problem, "")

		return
	}

	if stream {
		s.answer(ctx, req, s.writeStream)

		return
	}

	s.answer(ctx, req, s.writeWhole)
}

// serve serves a call to a plain service.
func (s *Server) serve(ctx iris.Context, account *entity.Account) {
	w := ctx.ResponseWriter()
	name := entity.ServiceName(ctx.Params().Get("service"))

	body, problem := readBody(ctx, account, s.opts.MaxBodyBytes)
	if problem != nil {
		writeProblem(w, problem, "")

		return
	}

	kind, problem := kindOf(account, ctx.GetHeader(HeaderKind), fmt.Sprintf("service %q", name), func(k entity.Kind) bool {
		return k.Service != "" && k.Service == name
	})
	if problem != nil {
		writeProblem(w, problem, "")

		return
	}

	req, problem := s.baseRequest(ctx.Request(), account, kind, servicePath(ctx.Request()), body)
	if problem != nil {
		writeProblem(w, problem, "")

		return
	}

	s.answer(ctx, req, s.writeServiceAnswer)
}

// answer submits req and calls write with its answer. If one of them panics, req fails with the verdict MayHaveRun.
func (s *Server) answer(ctx iris.Context, req entity.Request, write func(iris.Context, entity.Request, *answers.Answer)) {
	defer s.opts.Panics.Recover(req.ID, func(problem *verdict.Error) {
		if hasBegun(ctx) {
			s.observe(req, problem, 0, 0)
			panic(http.ErrAbortHandler)
		}

		s.fail(ctx, req, problem)
	})

	if ans, ok := s.submit(ctx, req); ok {
		write(ctx, req, ans)
	}
}

// submit submits req. If req is refused, it writes the error response and returns false.
func (s *Server) submit(ctx iris.Context, req entity.Request) (*answers.Answer, bool) {
	ctx.Header(HeaderID, string(req.ID))

	ans, err := s.opts.Requests.Submit(ctx.Request().Context(), req)
	if err != nil {
		s.fail(ctx, req, verdict.From(err))

		return nil, false
	}

	return ans, true
}

// fail passes problem to observe and writes it as the response. If the caller has gone, it reports CodeCallerGone
// instead and writes nothing.
func (s *Server) fail(ctx iris.Context, req entity.Request, problem *verdict.Error) {
	problem = s.orCallerGone(ctx, problem)
	s.observe(req, problem, 0, 0)

	if problem.Code != verdict.CodeCallerGone {
		defer s.limitWriteTime(ctx, req)()

		writeProblem(ctx.ResponseWriter(), problem, string(req.ID))
	}
}

// orCallerGone returns problem, or an Error that wraps it if the call was ended: of CodeCallerGone if the caller has ended it, or with
// the code of the cause if this host has, and the caller is still there.
func (s *Server) orCallerGone(ctx iris.Context, problem *verdict.Error) *verdict.Error {
	call := ctx.Request().Context()
	if problem == nil || call.Err() == nil {
		return problem
	}

	if cause, ok := errors.AsType[*verdict.Error](context.Cause(call)); ok {
		return verdict.New(problem.Verdict, cause.Code, "%s", cause.Message).WithCause(problem)
	}

	return verdict.New(problem.Verdict, verdict.CodeCallerGone, "the caller went away").WithCause(problem)
}

// observe reports the outcome of req to Options.Observe. timeToFirst is zero if nothing of the answer was written.
func (s *Server) observe(req entity.Request, problem *verdict.Error, timeToFirst time.Duration, events int) {
	if s.opts.Observe == nil {
		return
	}

	s.opts.Observe(Outcome{
		Request: req, Problem: problem, FirstToken: timeToFirst,
		Total: s.opts.Clock.Since(req.Arrived), Events: events,
	})
}

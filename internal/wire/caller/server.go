package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/kataras/iris/v12"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	defaultMaxBody    = 4 << 20
	defaultMaxOpen    = 4096
	overloadedWait    = time.Second
	defaultWriteLimit = 15 * time.Second
)

// DefaultPing is the silence of a stream after which a comment is sent.
const DefaultPing = 10 * time.Second

// Requests takes requests and returns the answers to read.
type Requests interface {
	Submit(ctx context.Context, req table.Request) (*answers.Answer, error)
}

// Configuration gives the configuration in force, or nil when there is none yet.
type Configuration interface {
	Current() *table.Snapshot
}

// Outcome describes an ended call, for service-level counts.
type Outcome struct {
	Request    table.Request
	Problem    *verdict.Error // nil for a whole answer
	FirstToken time.Duration  // from arrival to the first event
	Total      time.Duration
	Events     int
}

// Options are the parts and bounds of a Server. Requests and Configuration are required.
type Options struct {
	Clock         clockwork.Clock // nil means the real clock
	Requests      Requests
	Configuration Configuration
	Ready         func() error  // nil means always ready
	Observe       func(Outcome) // nil means that nobody counts
	Metrics       http.Handler  // nil means that /metrics is not served
	Log           *log.Logger   // nil means the default logger
	MaxBody       int64         // bytes of a request body; zero means 4 MiB
	MaxOpen       int64         // requests open at a time; zero means 4,096
	Ping          time.Duration // silence of a stream after which a comment is sent; zero means DefaultPing
	WriteLimit    time.Duration // bound on a write that the caller does not take; zero means 15 s
}

// Server is the callers' API, an http.Handler that is safe for concurrent use.
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

	if opts.MaxBody == 0 {
		opts.MaxBody = defaultMaxBody
	}

	if opts.MaxOpen == 0 {
		opts.MaxOpen = defaultMaxOpen
	}

	if opts.Ping == 0 {
		opts.Ping = DefaultPing
	}

	if opts.WriteLimit == 0 {
		opts.WriteLimit = defaultWriteLimit
	}

	s := &Server{opts: opts, app: iris.New().Configure(
		iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithFireMethodNotAllowed,
		iris.WithoutPathCorrection)}
	s.app.Logger().SetLevel("disable")
	s.routes()

	return s, s.app.Build()
}

func (s *Server) routes() {
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
		writeProblem(ctx.ResponseWriter(), refuse(verdict.CodeMethod, "%s answers only to %s", ctx.Path(), allow), "")
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.app.ServeHTTP(w, r)
}

// Open returns the number of callers' requests that are open.
func (s *Server) Open() int64 {
	return s.open.Load()
}

func (s *Server) readyz(ctx iris.Context) {
	if s.opts.Ready == nil {
		return
	}

	if err := s.opts.Ready(); err != nil {
		http.Error(ctx.ResponseWriter(), err.Error(), http.StatusServiceUnavailable)
	}
}

// authenticated wraps h with the bound on open requests and the look-up of the client account.
func (s *Server) authenticated(h func(iris.Context, *table.Account)) iris.Handler {
	return func(ctx iris.Context) {
		defer s.open.Add(-1)

		if s.open.Add(1) > s.opts.MaxOpen {
			writeProblem(ctx.ResponseWriter(), refuse(verdict.CodeOverloaded, "too many open requests").After(overloadedWait), "")

			return
		}

		snapshot := s.opts.Configuration.Current()
		if snapshot == nil {
			writeProblem(ctx.ResponseWriter(), refuse(verdict.CodeNotReady, "no configuration yet").After(overloadedWait), "")

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

func (s *Server) models(ctx iris.Context, account *table.Account) {
	type model struct {
		ID     table.Model `json:"id"`
		Object string      `json:"object"`
		Owner  string      `json:"owned_by"`
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

func compare(a, b table.Model) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (s *Server) complete(ctx iris.Context, account *table.Account) {
	w := ctx.ResponseWriter()

	body, problem := readBody(w, ctx.Request(), s.opts.MaxBody)
	if problem != nil {
		writeProblem(w, problem, "")

		return
	}

	req, stream, problem := s.completionRequest(ctx.Request(), account, body)
	if problem != nil {
		writeProblem(w, problem, "")

		return
	}

	req.Seen, problem = resumeFrom(ctx.Request(), req.Key, stream)
	if problem != nil {
		writeProblem(w, problem, "")

		return
	}

	ans, ok := s.submit(ctx, req)
	if !ok {
		return
	}

	if stream {
		s.stream(ctx, req, ans)

		return
	}

	s.whole(ctx, req, ans)
}

func (s *Server) serve(ctx iris.Context, account *table.Account) {
	w := ctx.ResponseWriter()
	name := table.ServiceName(ctx.Params().Get("service"))

	body, problem := readBody(w, ctx.Request(), s.opts.MaxBody)
	if problem != nil {
		writeProblem(w, problem, "")

		return
	}

	kind, problem := kindOf(account, ctx.GetHeader(HeaderKind), fmt.Sprintf("service %q", name), func(k table.Kind) bool {
		return k.Service != "" && k.Service == name
	})
	if problem != nil {
		writeProblem(w, problem, "")

		return
	}

	req, problem := s.base(ctx.Request(), account, kind, servicePath(ctx.Request()), body)
	if problem != nil {
		writeProblem(w, problem, "")

		return
	}

	ans, ok := s.submit(ctx, req)
	if !ok {
		return
	}

	s.passThrough(ctx, req, ans)
}

// submit hands req over and answers a refusal itself.
func (s *Server) submit(ctx iris.Context, req table.Request) (*answers.Answer, bool) {
	ctx.Header(HeaderID, string(req.ID))

	ans, err := s.opts.Requests.Submit(ctx.Request().Context(), req)
	if err != nil {
		s.fail(ctx, req, verdict.From(err))

		return nil, false
	}

	return ans, true
}

// fail answers with problem. A caller that has gone is neither answered nor counted as a failure.
func (s *Server) fail(ctx iris.Context, req table.Request, problem *verdict.Error) {
	problem = s.unlessGone(ctx, problem)
	s.observe(req, problem, 0, 0)

	if problem.Code != verdict.CodeCallerGone {
		writeProblem(ctx.ResponseWriter(), problem, string(req.ID))
	}
}

// unlessGone returns problem, or one that says that the caller ended the call.
func (s *Server) unlessGone(ctx iris.Context, problem *verdict.Error) *verdict.Error {
	if problem == nil || ctx.Request().Context().Err() == nil {
		return problem
	}

	return verdict.New(problem.Verdict, verdict.CodeCallerGone, "the caller went away").Because(problem)
}

func (s *Server) observe(req table.Request, problem *verdict.Error, first time.Duration, events int) {
	if s.opts.Observe == nil {
		return
	}

	s.opts.Observe(Outcome{
		Request: req, Problem: problem, FirstToken: first,
		Total: s.opts.Clock.Since(req.Arrived), Events: events,
	})
}

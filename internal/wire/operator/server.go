package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/kataras/iris/v12"
	irisctx "github.com/kataras/iris/v12/context"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	maxBodyBytes        = 8 << 20
	maxWait             = time.Minute
	defaultApplyTimeout = 15 * time.Second
	confirmPollInterval = 100 * time.Millisecond
)

// Backend implements the operations of the API. Its methods are called concurrently.
type Backend interface {
	// Contents returns the configuration in force on this host, or nil if there is none yet.
	Contents() *configuration.Contents
	// Apply makes an edit; see configuration.Editor.
	Apply(ctx context.Context, e configuration.Edit) (entity.Generation, error)
	// Status returns the state of the system as this host sees it. Its Hosts include this host.
	Status(ctx context.Context) (Status, error)
	// Plans returns the unfinished plans and the recently finished ones.
	Plans(ctx context.Context) ([]Plan, error)
	// Declare records a plan that was already validated. If the ID is known, it records nothing.
	Declare(ctx context.Context, p Plan) (Plan, error)
	// Cancel cancels a plan. It fails with ErrNotFound if the id is unknown.
	Cancel(ctx context.Context, id string) error
	// Burn returns the report on how fast the accounts use up their service-level error budgets, which is encoded as
	// JSON.
	Burn(ctx context.Context) (any, error)
}

// Options configure the API that Handler returns. KeyHash is required.
type Options struct {
	KeyHash string          // hex SHA-256 of the operators' bearer key
	Clock   clockwork.Clock // nil means the real clock
	Panics  panics.Recorder // records panics of requests

	ApplyTimeout time.Duration // limit on applying one edit, with its retries; zero means 15 s
}

// Handler returns the API as an http.Handler. It fails if opts.KeyHash is empty.
func Handler(b Backend, opts Options) (http.Handler, error) {
	if opts.KeyHash == "" {
		return nil, Error.New("the hash of the operator key is missing")
	}

	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.ApplyTimeout == 0 {
		opts.ApplyTimeout = defaultApplyTimeout
	}

	h := &handlers{backend: b, opts: opts}

	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutServerError(iris.ErrServerClosed), iris.WithoutPathCorrectionRedirection)
	app.UseRouter(h.recoverPanics, h.authenticate)
	app.OnErrorCode(iris.StatusNotFound, func(c iris.Context) {
		h.fail(c, newProblem(iris.StatusNotFound, CodeNotFound, "there is no %s", c.Path()))
	})
	app.OnErrorCode(iris.StatusMethodNotAllowed, func(c iris.Context) {
		h.fail(c, newProblem(iris.StatusMethodNotAllowed, CodeBadRequest, "%s does not allow the method %s", c.Path(), c.Method()))
	})

	v1 := app.Party("/v1")
	v1.Get("/items/{kind}", h.list)
	v1.Get("/items/{kind}/{name}", h.item)
	v1.Post("/edits", h.apply)
	v1.Post("/diff", h.diff)
	v1.Get("/plans", h.plans)
	v1.Post("/plans", h.declare)
	v1.Delete("/plans/{id}", h.cancel)
	v1.Get("/status", h.status)
	v1.Get("/burn", h.burn)

	return app, Error.Wrap(app.Build())
}

type handlers struct {
	backend Backend
	opts    Options
}

// recoverPanics answers a request whose handler panics with CodeInternal. If the answer has begun, it closes the connection
// before the end of the answer.
func (h *handlers) recoverPanics(c iris.Context) {
	begun := func() bool { return c.ResponseWriter().Written() != irisctx.NoWritten }

	defer h.opts.Panics.RecoverHandler(func() entity.RequestID { return "" }, begun, func(problem *verdict.Error) {
		detail := problem.Message
		if c.Method() != http.MethodGet {
			detail += "; a change may come into force"
		}

		h.fail(c, newProblem(http.StatusInternalServerError, CodeInternal, "%s", detail))
	})

	c.Next()
}

// authenticate rejects requests without the operator key. It runs before any handler and compares the hashes in
// constant time.
func (h *handlers) authenticate(c iris.Context) {
	key, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !ok || subtle.ConstantTimeCompare([]byte(entity.HashKey(key)), []byte(h.opts.KeyHash)) != 1 {
		c.Header("WWW-Authenticate", "Bearer")
		h.fail(c, newProblem(http.StatusUnauthorized, CodeUnauthorized, "a valid operator key is required"))

		return
	}

	c.Next()
}

// fail writes the error response for err and stops the processing of the request.
func (h *handlers) fail(c iris.Context, err error) {
	p := problemOf(err)

	c.StatusCode(p.Status)
	h.write(c, "application/problem+json", p)
	c.StopExecution()
}

// answer writes v as JSON, or the error response if err is not nil.
func (h *handlers) answer(c iris.Context, v any, err error) {
	if err != nil {
		h.fail(c, err)

		return
	}

	h.write(c, "application/json", v)
}

func (h *handlers) write(c iris.Context, contentType string, v any) {
	c.ResponseWriter().Header().Set("Content-Type", contentType)

	// An error here means that the client has gone, and the status may have been sent already.
	_ = json.NewEncoder(c.ResponseWriter()).Encode(v)
}

// read decodes the JSON body of c into v. Unknown fields are an error.
func (h *handlers) read(c iris.Context, v any) error {
	dec := json.NewDecoder(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, maxBodyBytes))
	dec.DisallowUnknownFields()

	err := dec.Decode(v)
	if err == nil {
		return nil
	}

	if p := problemOf(err); p.Code == CodeTooLarge {
		return p
	}

	return newProblem(http.StatusBadRequest, CodeBadRequest, "the body is not the expected JSON: %v", err)
}

package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	maxTries       = 3
	defaultResumes = 4
	noTargetWait   = 2 * time.Second
)

// Engines runs requests on model engines.
type Engines interface {
	Stream(ctx context.Context, t table.Target, req engine.Request, emit func(engine.Event) error) error
	Cancel(ctx context.Context, t table.Target, id table.RequestID) error
}

// Services runs requests on plain services.
type Services interface {
	Call(ctx context.Context, t table.Target, req service.Request) (service.Answer, error)
}

// Peers runs requests in other data centres.
type Peers interface {
	// Forward fails with CodePeerLost when the entry hosts of dc cannot be reached or were lost.
	Forward(ctx context.Context, dc table.DataCentre, t table.TargetID, req table.Request, ans *answers.Answer) error
}

// Router picks targets. Begin and End bracket the use of one; Begin reports false, without effect,
// for new work on a target that has begun to leave since Pick.
type Router interface {
	Pick(req table.Request, tried []table.TargetID) (table.Target, bool)
	Target(id table.TargetID) (table.Target, bool)
	Begin(t table.TargetID, req table.Request) bool
	End(t table.TargetID, req table.Request, err error)
}

// Retries decides whether a failed request may be tried again.
type Retries interface {
	Allow(req table.Request, failed error) bool
}

// Guard keeps requests that crash engines from running on many of them.
type Guard interface {
	// Begin waits until req may run and names the engine to use, the given one or another.
	Begin(ctx context.Context, req table.Request, t table.TargetID) (table.TargetID, error)
	// Ended is told the end of each run that Begin allowed.
	Ended(ctx context.Context, req table.Request, t table.TargetID, err error)
}

// Options are the parts that a Runner works with. Engines, Services and Router are required.
type Options struct {
	Clock    clockwork.Clock // nil means the real clock
	Home     table.DataCentre
	Engines  Engines
	Services Services
	Peers    Peers   // nil means that no request is forwarded
	Retries  Retries // nil allows each retry that the verdict allows
	Guard    Guard   // nil lets each request run anywhere
	Phases   Phases  // nil runs each request on one engine
	Router   Router
	Log      *log.Logger // nil means the default logger
	Resumes  int         // resumes of one stream; zero means 4
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	opts Options
	open atomic.Int64
}

// New returns a Runner.
func New(opts Options) *Runner {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	if opts.Resumes == 0 {
		opts.Resumes = defaultResumes
	}

	return &Runner{opts: opts}
}

// Run runs req, collects its answer in ans and finishes ans.
//
// The problem of ans is NotRun only if no attempt can have run. Run returns when ans is final;
// it ends early when ctx does, and then cancels the work on the engine.
func (r *Runner) Run(ctx context.Context, req table.Request, ans *answers.Answer) {
	r.open.Add(1)
	defer r.open.Add(-1)

	ctx, cancel := clockwork.WithDeadline(ctx, r.opts.Clock, req.Deadline)
	defer cancel()

	ans.Finish(r.run(ctx, req, ans))
}

// Open returns the number of requests that are being run.
func (r *Runner) Open() int {
	return int(r.open.Load())
}

func (r *Runner) run(ctx context.Context, req table.Request, ans *answers.Answer) *verdict.Error {
	var (
		tried  []table.TargetID
		worst  = verdict.NotRun
		latest *verdict.Error
	)

	// A request that may be running already stays so, whatever this run meets.
	if req.Resume {
		worst = verdict.MayHaveRun
	}

	for try := range maxTries {
		t, ok := r.opts.Router.Pick(req, tried)
		if !ok {
			return final(worst, latest, noTarget(req))
		}

		tried = append(tried, t.ID)
		err := r.attempt(ctx, req, t, ans)

		if err == nil {
			return nil
		}

		// An answer may end by itself, when it grows too large.
		if ended, problem := ans.Ended(); ended {
			return problem
		}

		latest = verdict.From(err)
		r.opts.Log.Warn().Str("request", string(req.ID)).Str("target", string(t.ID)).
			Str("verdict", latest.Verdict.String()).Err(err).Msg("attempt failed")

		if latest.Verdict != verdict.NotRun {
			worst = verdict.MayHaveRun
		}

		if ctx.Err() != nil {
			return final(worst, nil, ended(ctx))
		}

		if latest.Code == verdict.CodeBadRequest || latest.Verdict == verdict.Ran {
			return latest
		}

		if !r.mayRetry(req, latest, ans, try+1 < maxTries) {
			break
		}
	}

	return final(worst, latest, noTarget(req))
}

// mayRetry reports whether req goes to another target after err, and takes that retry from its budget.
func (r *Runner) mayRetry(req table.Request, err *verdict.Error, ans *answers.Answer, triesLeft bool) bool {
	if err.Verdict != verdict.NotRun && req.Kind.AtMostOnce {
		return false
	}

	// What a reader has seen cannot be taken back, and another engine would generate other words.
	if !ans.Restart() {
		return false
	}

	return triesLeft && (r.opts.Retries == nil || r.opts.Retries.Allow(req, err))
}

// attempt runs req on t, or on the engine that the guard names instead.
func (r *Runner) attempt(ctx context.Context, req table.Request, t table.Target, ans *answers.Answer) error {
	if r.splits(req, t) {
		return r.split(ctx, req, t, ans)
	}

	return r.guarded(ctx, req, t, func(t table.Target) error { return r.bracketed(ctx, req, t, ans) })
}

// guarded calls use with t, or with the engine that the guard names instead.
func (r *Runner) guarded(ctx context.Context, req table.Request, t table.Target, use func(table.Target) error) error {
	if r.opts.Guard == nil || t.Type != table.Engine || t.DataCentre != r.opts.Home || req.Resume {
		return use(t)
	}

	id, err := r.opts.Guard.Begin(ctx, req, t.ID)
	if err != nil {
		return err
	}

	if id != t.ID {
		var ok bool

		if t, ok = r.opts.Router.Target(id); !ok {
			r.opts.Guard.Ended(ctx, req, id, noTarget(req))

			return noTarget(req)
		}
	}

	err = use(t)
	r.opts.Guard.Ended(ctx, req, t.ID, err)

	return err
}

func (r *Runner) bracketed(ctx context.Context, req table.Request, t table.Target, ans *answers.Answer) error {
	if !r.opts.Router.Begin(t.ID, req) {
		return leaving(t)
	}

	err := r.use(ctx, req, t, ans)

	r.opts.Router.End(t.ID, req, err)

	return err
}

func (r *Runner) use(ctx context.Context, req table.Request, t table.Target, ans *answers.Answer) error {
	if t.DataCentre == r.opts.Home || r.opts.Peers == nil || req.Forwarded {
		return r.direct(ctx, req, t, ans)
	}

	ans.SetMeta(answers.Meta{Target: t.ID})

	err := r.opts.Peers.Forward(ctx, t.DataCentre, t.ID, req, ans)

	if !mayBeRunning(req, t, err) || ctx.Err() != nil {
		return err
	}

	req.Resume = true

	return r.direct(ctx, req, r.producer(t, ans), ans)
}

// mayBeRunning reports whether the engine t may be producing req's answer although the entry hosts
// of its data centre are lost.
func mayBeRunning(req table.Request, t table.Target, err error) bool {
	e := verdict.From(err)

	return e != nil && e.Code == verdict.CodePeerLost && t.Type == table.Engine && (req.Resume || e.Verdict != verdict.NotRun)
}

func noTarget(req table.Request) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeNoTarget, "no target can take kind %q now", req.Kind.Name).After(noTargetWait)
}

func ended(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline has passed")
	}

	return verdict.New(verdict.NotRun, verdict.CodeStopping, "the request was cancelled").Because(context.Cause(ctx))
}

// final returns latest, or otherwise fallback, with a verdict no milder than worst.
func final(worst verdict.Verdict, latest, fallback *verdict.Error) *verdict.Error {
	if latest == nil {
		latest = fallback
	}

	e := *latest
	if worst != verdict.NotRun {
		e.Verdict = worst
	}

	if e.RetryAfter == 0 && e.Verdict == verdict.NotRun {
		e.RetryAfter = noTargetWait
	}

	return &e
}

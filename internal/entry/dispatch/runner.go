package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	maxTries           = 3 // most targets that one request is tried on
	defaultMaxStreams  = 4
	noTargetRetryAfter = 2 * time.Second

	defaultServiceSilence = 10 * time.Second
)

// Engines runs requests on model engines.
type Engines interface {
	Stream(ctx context.Context, t entity.Target, req engine.Request, emit func(engine.Event) error) error
	Cancel(ctx context.Context, t entity.Target, id entity.RequestID) error
}

// Services runs requests on plain services.
type Services interface {
	Call(ctx context.Context, t entity.Target, req service.Request) (service.Answer, error)
}

// Peers runs requests in other data centres.
type Peers interface {
	// Forward runs req on the target t of the data centre dc through an entry host there, and collects the
	// answer in ans. It fails with CodePeerLost if no entry host of dc can be reached, or if those that it
	// used were lost.
	Forward(ctx context.Context, dc entity.DataCentre, t entity.TargetID, req entity.Request, ans *answers.Answer) error
}

// Router picks targets and counts the requests in flight on each. Begin counts the start of a request on
// a target, and End counts its end. Begin reports false and counts nothing if the request is new work and
// the target has started to leave service since Pick.
type Router interface {
	Pick(req entity.Request, tried []entity.TargetID) (entity.Target, bool)
	Target(id entity.TargetID) (entity.Target, bool)
	// MayAppear reports whether Pick may find a target for req later, though it finds none now. Refreshed returns a channel that is
	// closed once Pick may find others.
	MayAppear(req entity.Request) bool
	Refreshed() <-chan struct{}
	Begin(t entity.TargetID, req entity.Request) bool
	End(t entity.TargetID, req entity.Request, err error)
}

// Retries decides whether a failed request may be tried again.
type Retries interface {
	Allow(req entity.Request, failed error) bool
}

// Guard limits how many engines a request that crashes them can run on.
type Guard interface {
	// Begin waits until req may run and returns the engine to use, which is t or another one.
	Begin(ctx context.Context, req entity.Request, t entity.TargetID) (entity.TargetID, error)
	// Ended ends what Begin allowed on t. It is called once for each Begin that succeeded, with the error of
	// the run or nil.
	Ended(ctx context.Context, req entity.Request, t entity.TargetID, err error)
}

// Versions learns the software versions of engines.
type Versions interface {
	// SetVersion records that t has just stated the software version v; empty if it states none.
	SetVersion(t entity.TargetID, v entity.SoftwareVersion)
}

// Options configure a Runner. Engines, Services and Router are required.
type Options struct {
	Clock    clockwork.Clock   // nil means the real clock
	Home     entity.DataCentre // data centre of this host
	Engines  Engines
	Services Services
	Peers    Peers       // nil forwards no request
	Retries  Retries     // nil allows each retry that the verdict allows
	Guard    Guard       // nil lets each request run on any engine
	Phases   PhaseRouter // nil runs each request on one engine
	Versions Versions    // nil records no versions
	Router   Router
	Log      *log.Logger     // nil means the default logger
	Panics   panics.Recorder // records panics of calls of services
	// MaxStreams is the number of successive streams without a new event after which a call may move to another target;
	// zero means 4.
	MaxStreams int
	// ServiceSilence is the time without an answer after which a call of a service may move to another target; zero means
	// 10 s.
	ServiceSilence time.Duration
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	opts     Options
	inFlight atomic.Int64
}

// New returns a Runner.
func New(opts Options) *Runner {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	if opts.MaxStreams == 0 {
		opts.MaxStreams = defaultMaxStreams
	}

	if opts.ServiceSilence == 0 {
		opts.ServiceSilence = defaultServiceSilence
	}

	return &Runner{opts: opts}
}

// Errors with which a run that panics is counted as ended. They show nothing about its target.
var (
	errPanicked           = errors.New("the run panicked")
	errNothingShown error = verdict.New(verdict.NotRun, verdict.CodeTargetLost, "the run panicked")
)

// Run runs req, collects its answer in ans and finishes ans before it returns. If it panics, req counts as ended on its
// target, and ans may not be finished.
//
// The problem of ans has the verdict NotRun only if no attempt can have run. When ctx ends or the
// deadline of req passes, Run cancels the work on the engine and ends.
func (r *Runner) Run(ctx context.Context, req entity.Request, ans *answers.Answer) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)

	ctx, cancel := clockwork.WithDeadline(ctx, r.opts.Clock, req.Deadline)
	defer cancel()

	ans.Finish(r.run(ctx, req, ans))
}

// InFlight returns the number of requests in flight.
func (r *Runner) InFlight() int {
	return int(r.inFlight.Load())
}

func (r *Runner) run(ctx context.Context, req entity.Request, ans *answers.Answer) *verdict.Error {
	var (
		tried  []entity.TargetID
		worst  = verdict.NotRun
		latest *verdict.Error
	)

	// The request may be running already, so no failure of this run can make it NotRun.
	if req.Resume {
		worst = verdict.MayHaveRun
	}

	next := &handover{}

	for try := range maxTries {
		t, ok := next.target, next.secured
		if !ok {
			t, ok = r.pick(ctx, req, tried)
		}

		if !ok && ctx.Err() != nil {
			return finalError(worst, nil, contextError(ctx))
		}

		if !ok {
			return finalError(worst, latest, noTargetError(req))
		}

		tried = append(tried, t.ID)
		next = &handover{runner: r, req: req, ans: ans, tried: tried, first: ans.NextSeq(), triesLeft: try+1 < maxTries}
		err := r.attempt(ctx, req, t, ans, next)

		if err == nil {
			return nil
		}

		// An answer that exceeds its size limit has ended with a problem already.
		if ended, problem := ans.Ended(); ended {
			return problem
		}

		latest = verdict.From(err)
		r.opts.Log.Warn().Str("request", string(req.ID)).Str("target", string(t.ID)).
			Str("version", string(ans.Meta().Version)).Str("verdict", latest.Verdict.String()).Err(err).Msg("attempt failed")

		if latest.Verdict != verdict.NotRun {
			worst = verdict.MayHaveRun
		}

		if ctx.Err() != nil {
			return finalError(worst, nil, contextError(ctx))
		}

		if next.deferred {
			return silentError(t, err)
		}

		if latest.Code == verdict.CodeBadRequest || latest.Verdict == verdict.Ran {
			return latest
		}

		if !next.secured && !r.mayRetry(req, latest, ans, try+1 < maxTries) {
			break
		}
	}

	return finalError(worst, latest, noTargetError(req))
}

// pick picks a target for req that is not among tried. It waits for one while one may appear, until ctx ends.
func (r *Runner) pick(ctx context.Context, req entity.Request, tried []entity.TargetID) (entity.Target, bool) {
	for {
		refreshed := r.opts.Router.Refreshed() // before Pick, so that no refresh is missed

		t, ok := r.opts.Router.Pick(req, tried)
		if ok || !r.opts.Router.MayAppear(req) {
			return t, ok
		}

		select {
		case <-refreshed:
		case <-ctx.Done():
			return entity.Target{}, false
		}
	}
}

// mayRetry reports whether req may be tried again after err: its kind allows that, no reader has received an event,
// tries are left, and the retry budget allows it. If so, the retry has been charged to the budget, and ans has no
// events.
func (r *Runner) mayRetry(req entity.Request, err *verdict.Error, ans *answers.Answer, triesLeft bool) bool {
	if err.Verdict != verdict.NotRun && req.Kind.AtMostOnce {
		return false
	}

	// Another run would generate different text, which cannot follow what a reader has already received.
	if !ans.Restart() {
		return false
	}

	return triesLeft && (r.opts.Retries == nil || r.opts.Retries.Allow(req, err))
}

// attempt makes one attempt at req, on t or on another engine that the guard chooses, in two phases if shouldSplit
// reports true.
func (r *Runner) attempt(ctx context.Context, req entity.Request, t entity.Target, ans *answers.Answer, next *handover) error {
	if r.shouldSplit(req, t) {
		next.split = true

		return r.runSplit(ctx, req, t, ans, next)
	}

	return r.withGuard(ctx, req, t, func(t entity.Target) error { return r.runCounted(ctx, req, t, ans, next) })
}

// withGuard calls run with t, or with the engine that the guard chooses instead. It bypasses the guard for
// services, targets of other data centres and resumed requests.
func (r *Runner) withGuard(ctx context.Context, req entity.Request, t entity.Target, run func(entity.Target) error) error {
	if r.opts.Guard == nil || t.Type != entity.Engine || t.DataCentre != r.opts.Home || req.Resume {
		return run(t)
	}

	id, err := r.opts.Guard.Begin(ctx, req, t.ID)
	if err != nil {
		return err
	}

	if id != t.ID {
		var ok bool

		if t, ok = r.opts.Router.Target(id); !ok {
			r.opts.Guard.Ended(ctx, req, id, noTargetError(req))

			return noTargetError(req)
		}
	}

	err = errNothingShown // in case of a panic
	defer func() { r.opts.Guard.Ended(ctx, req, t.ID, err) }()

	err = run(t)

	return err
}

// runCounted runs req on t and counts it at the router while it runs.
func (r *Runner) runCounted(ctx context.Context, req entity.Request, t entity.Target, ans *answers.Answer, next *handover) error {
	if !r.opts.Router.Begin(t.ID, req) {
		return leavingError(t)
	}

	err := errPanicked
	defer func() { r.opts.Router.End(t.ID, req, err) }()

	err = r.runOrForward(ctx, req, t, ans, next)

	return err
}

// runOrForward forwards req to an entry host of t's data centre if that is another one and req has not been
// forwarded yet, and otherwise runs req on t from here. If the entry hosts there are lost while an engine may
// be producing the answer, it resumes the answer on that engine directly.
func (r *Runner) runOrForward(ctx context.Context, req entity.Request, t entity.Target, ans *answers.Answer, next *handover) error {
	if t.DataCentre == r.opts.Home || r.opts.Peers == nil || req.Forwarded {
		return r.runOnTarget(ctx, req, t, ans, next)
	}

	setTarget(ans, t.ID)

	if t.Type == entity.Service {
		return r.watchService(ctx, t, ans, next, func(ctx context.Context, ans *answers.Answer) error {
			return r.opts.Peers.Forward(ctx, t.DataCentre, t.ID, req, ans)
		})
	}

	err := r.forward(ctx, &req, t, ans, next)

	if !mayBeRunning(req, t, err) || ctx.Err() != nil {
		return err
	}

	req.Resume = true

	return r.runOnTarget(ctx, req, r.producingTarget(t, ans), ans, next)
}

// forward forwards req to t, again while t is silent and no other target is at hand. It then sets req.Resume.
func (r *Runner) forward(ctx context.Context, req *entity.Request, t entity.Target, ans *answers.Answer, next *handover) error {
	var gap silence

	err := r.opts.Peers.Forward(ctx, t.DataCentre, t.ID, *req, ans)

	for hasCode(err, verdict.CodeTargetSilent) {
		if next.leave(t, err, false) {
			return lostError(t, err)
		}

		now := r.opts.Clock.Now()
		// The time of the forward does not count, as it may have held many short streams.
		gap.add(now, now, err)

		if !r.waitToResume(ctx, gap.pause.End().Sub(now)) {
			r.cancel(t, req.ID)

			return err
		}

		req.Resume = true
		err = r.opts.Peers.Forward(ctx, t.DataCentre, t.ID, *req, ans)
	}

	if hasCode(err, verdict.CodeNotFound) && req.Resume && !next.req.Resume {
		return lostError(t, err)
	}

	return err
}

// mayBeRunning reports whether err means that the entry hosts of t's data centre are lost while t, an
// engine, may still be producing the answer of req.
func mayBeRunning(req entity.Request, t entity.Target, err error) bool {
	e := verdict.From(err)

	return e != nil && e.Code == verdict.CodePeerLost && t.Type == entity.Engine && (req.Resume || e.Verdict != verdict.NotRun)
}

func noTargetError(req entity.Request) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeNoTarget, "no target can take a request of kind %q now", req.Kind.Name).WithRetryAfter(noTargetRetryAfter)
}

// contextError returns a NotRun error with the reason why ctx has ended. Its verdict does not cover earlier attempts.
func contextError(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline has passed")
	}

	return verdict.New(verdict.NotRun, verdict.CodeStopping, "the request was cancelled").WithCause(context.Cause(ctx))
}

// finalError returns a copy of latest, or of fallback if latest is nil. Its verdict is worst unless worst
// is NotRun. A NotRun error without a retry delay gets noTargetRetryAfter.
func finalError(worst verdict.Verdict, latest, fallback *verdict.Error) *verdict.Error {
	if latest == nil {
		latest = fallback
	}

	e := *latest
	if worst != verdict.NotRun {
		e.Verdict = worst
	}

	if e.RetryAfter == 0 && e.Verdict == verdict.NotRun {
		e.RetryAfter = noTargetRetryAfter
	}

	return &e
}

package relay

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/crashers"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/retries"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// noTargetRetry is when a request that found no target may come back: the time that a replica
	// takes to start again or to change its role.
	noTargetRetry = time.Second
	// maxSends bounds the targets that one request is offered to, those that refused it included.
	maxSends = 4
	// enoughPart is the part of a route's objective above which the wait for a replica is compared with that
	// for others. The rest is needed to generate the first event.
	enoughPart = 2
	// releaseBound bounds the call that frees a KV cache.
	releaseBound = time.Second
)

// Options are the parts of a Relay. All are required but Clock, Log, Prompts and Observe.
type Options struct {
	Clock    clockwork.Clock // nil means the real clock
	Log      *log.Logger     // nil means the default logger
	Home     table.DataCentre
	Catalog  func() *catalog.Catalog
	Fleet    func() *fleet.Snapshot
	Board    *placing.Board
	Prompts  Prompts // nil means that this host places all prompts itself
	Retries  *retries.Window
	Crashers *crashers.Table // requests that take down their targets
	Targets  Targets
	Observe  func(Outcome) // nil for nobody
}

// Relay serves requests.
type Relay struct {
	opts Options
}

// New returns a Relay.
func New(opts Options) *Relay {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	if opts.Prompts == nil {
		opts.Prompts = Here(opts.Clock, opts.Board)
	}

	if opts.Observe == nil {
		opts.Observe = func(Outcome) {}
	}

	return &Relay{opts: opts}
}

// Outcome is how a request ended.
type Outcome struct {
	Route   catalog.Route
	Problem *verdict.Error // nil for an answer of a target
	Status  int            // of a target's answer
	First   time.Duration  // from arrival to the answer or its first event; zero for none
	Total   time.Duration
}

// Serve takes r to its final answer. ctx ends when the caller has gone.
func (l *Relay) Serve(ctx context.Context, r *Request, w Reply) {
	c := l.opts.Catalog()
	if c == nil {
		l.refuse(r, w, verdict.New(verdict.NotRun, verdict.CodeNotReady, "no configuration yet").After(noTargetRetry))

		return
	}

	route, ok := c.Match(r.Host, r.Path)
	if !ok {
		l.refuse(r, w, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route"))

		return
	}

	j := l.job(r, route, c)
	l.opts.Retries.Seen(r.Arrived, j.service.Name)

	// The deadline is counted from the arrival, on the monotonic clock.
	ctx, cancel := clockwork.WithDeadline(ctx, l.opts.Clock, j.deadline)
	defer cancel()

	if after, refused := l.opts.Crashers.Refuses(r.Arrived, j.print); refused {
		j.refuse(w, verdict.New(verdict.NotRun, verdict.CodeQuarantined, "targets were lost to this request").After(after))
	} else if route.Streaming {
		j.stream(ctx, w)
	} else {
		j.call(ctx, w)
	}

	j.finish()
}

// job is the state of one request on its way.
type job struct {
	*Relay
	r        *Request
	route    catalog.Route
	service  catalog.Service
	deadline time.Time
	version  catalog.Version
	print    crashers.Fingerprint

	sends int              // that count as arrivals at a target
	read  bool             // a replica has read the prompt; the first time does not count as an arrival
	tried []table.TargetID // not to be tried again
	first time.Duration
	out   Outcome
}

func (l *Relay) job(r *Request, route catalog.Route, c *catalog.Catalog) *job {
	service, _ := c.Service(route.ServiceFor(r.ID))

	limit := route.Timeout
	if r.Limit > 0 && (limit == 0 || r.Limit < limit) {
		limit = r.Limit
	}

	if limit == 0 {
		limit = defaultLimit
	}

	return &job{
		Relay: l, r: r, route: route, service: service, deadline: r.Arrived.Add(limit), version: c.Version,
		print: crashers.Of(r.Host, r.URI, r.Body),
	}
}

// defaultLimit bounds a request that neither its caller nor its route bounds.
const defaultLimit = 30 * time.Second

func (j *job) now() time.Time { return j.opts.Clock.Now() }

func (j *job) left() time.Duration { return j.deadline.Sub(j.now()) }

func (j *job) work() placing.Job {
	return placing.Job{
		ID: j.r.ID, Prompt: j.r.Prompt, Output: j.r.Output, Parts: j.r.Parts, Rank: j.route.Rank, Near: j.opts.Home, Avoid: j.tried,
		Enough: j.route.Objective / enoughPart,
	}
}

// candidates returns the targets of the service in role; Mixed stands for any.
func (j *job) candidates(role table.Role) []fleet.Target {
	if role == table.Mixed {
		return j.opts.Fleet().Of(j.service.Name)
	}

	return j.opts.Fleet().InRole(j.service.Name, role)
}

// maySend reports whether one more send is allowed, and counts it.
func (j *job) maySend() bool {
	if j.sends >= maxSends {
		return false
	}

	if _, refused := j.opts.Crashers.Refuses(j.now(), j.print); refused {
		return false
	}

	if j.sends > 0 && !j.opts.Retries.Take(j.now(), j.service.Name) {
		return false
	}

	j.sends++

	return true
}

// failed notes a send that ended with err and returns its verdict.
func (j *job) failed(t fleet.Target, err error) verdict.Verdict {
	j.tried = append(j.tried, t.ID)

	v := verdict.Of(err)
	if !errors.Is(err, context.Canceled) {
		j.opts.Board.Note(j.now(), t, placing.Lost)

		// Silence is no sign of a crash.
		if v == verdict.MayHaveRun && !errors.Is(err, context.DeadlineExceeded) {
			j.opts.Crashers.Lost(j.now(), crashers.Loss{Request: j.print, Target: t.ID})
		}
	}

	j.opts.Log.Info().Str("request", string(j.r.ID)).Str("route", j.route.Name).Str("target", string(t.ID)).
		Str("verdict", v.String()).Err(err).Msg("target did not answer")

	return v
}

// refused notes a target's word that it has not run the request.
func (j *job) refused(t fleet.Target, status int) {
	j.tried = append(j.tried, t.ID)
	j.opts.Board.Note(j.now(), t, placing.Refused)
	j.opts.Log.Info().Str("request", string(j.r.ID)).Str("route", j.route.Name).Str("target", string(t.ID)).
		Int("status", status).Msg("target refused")
}

func (j *job) refuse(w Reply, err *verdict.Error) {
	j.out.Problem = err
	w.Refuse(err)
}

func (j *job) finish() {
	j.out.Route = j.route
	j.out.First = j.first
	j.out.Total = j.now().Sub(j.r.Arrived)
	j.opts.Observe(j.out)

	if j.out.Problem == nil {
		j.opts.Log.Debug().Str("request", string(j.r.ID)).Str("route", j.route.Name).Int("status", j.out.Status).
			Dur("first", j.out.First).Dur("total", j.out.Total).Int("sends", j.sends).Msg("answered")

		return
	}

	j.opts.Log.Info().Str("request", string(j.r.ID)).Str("route", j.route.Name).Uint64("configuration", uint64(j.version)).
		Str("code", string(j.out.Problem.Code)).Str("verdict", j.out.Problem.Verdict.String()).
		Dur("retry-after", j.out.Problem.RetryAfter).Dur("total", j.out.Total).Int("sends", j.sends).Err(j.out.Problem.Err).
		Msg("failed")
}

func (l *Relay) refuse(r *Request, w Reply, err *verdict.Error) {
	l.opts.Log.Info().Str("request", string(r.ID)).Str("host", r.Host).Str("path", r.Path).
		Str("code", string(err.Code)).Msg("refused")
	l.opts.Observe(Outcome{Problem: err, Total: l.opts.Clock.Since(r.Arrived)})
	w.Refuse(err)
}

// ended returns the error for a request whose time is up or whose caller has gone, or nil.
func (j *job) ended(ctx context.Context, ran verdict.Verdict) *verdict.Error {
	if ctx.Err() == nil && j.left() > 0 {
		return nil
	}

	if j.left() > 0 {
		return verdict.New(ran, verdict.CodeCallerGone, "the caller has gone")
	}

	return verdict.New(ran, verdict.CodeDeadline, "the time for this request is over")
}

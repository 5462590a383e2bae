package relay

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/reach"
	"github.com/dotterelflow/dotterelflow/internal/control/retries"
	"github.com/dotterelflow/dotterelflow/internal/control/targetlimits"
	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// noTargetRetryAfter is the retry delay sent to callers when no target is available. A replica takes about as long
	// to restart or to change its role.
	noTargetRetryAfter = time.Second
	// maxSends bounds the sends of one request. Refused sends count; the first prefill that succeeds and runs that did
	// not reach their target do not.
	maxSends = 4
	// acceptableWaitDivisor divides a route's objective: if the expected wait at a replica exceeds the result, further
	// replicas are considered. The rest of the objective is needed to generate the first event.
	acceptableWaitDivisor = 2
	// maxLossesPerRequest is the number of lost targets that are recorded for one request ID, one less than the number at
	// which a request is refused. The sends of one request follow each other so closely that all may meet one failure of many targets;
	// the caller's retry shows whether the request is the cause.
	maxLossesPerRequest = 2
	defaultBufferBytes  = 64 << 20
	// releaseTimeout bounds the call that frees a KV cache.
	releaseTimeout = time.Second
)

// Options configure a Relay. All fields are required, except those whose comment says what nil means.
type Options struct {
	Clock      clockwork.Clock         // nil means the real clock
	Log        *log.Logger             // nil means the default logger
	Panics     panics.Recorder         // records panics of searches for another target; its zero value counts none
	Home       entity.DataCentre       // data centre of this host, whose replicas are preferred
	Catalog    func() *catalog.Catalog // returns the configuration in force, nil before the first one
	Fleet      func() *fleet.Snapshot
	TargetsAge func() time.Duration // returns how long ago the targets were last known to be current; nil means unknown
	// Belief returns what this host believes of a target. A send on the strength of an odd one is logged. Nil means that none is.
	Belief       func(entity.TargetID) fleet.Belief
	Board        *placing.Board
	PromptPlacer PromptPlacer        // nil means that this host places all prompts itself, by Board
	Retries      *retries.Limiter    // bound on repeated sends
	Limits       *targetlimits.Table // limits that targets state; nil means that they have none
	Crashers     *crashtracker.Table // requests that crash their targets
	Reach        *reach.Tracker      // services that this host reaches; nil means all
	Forwarder    Forwarder           // serves requests through other hosts; nil means that there are none
	Origins      Origins             // versions of streams; nil means that streams are taken up only while there is one version
	Targets      Targets
	// KeysStale reports whether the keys in force may have been taken away longer ago than allowed, so that this host serves no
	// request that needs one; nil means never.
	KeysStale func() bool
	// Began is called once for each request of an account that began to run at a target: a stream at its first event, any other when
	// the target answers as having run it, and each when its answer is lost with the connection. Nil means no call.
	Began   func(entity.AccountID)
	Observe func(Outcome) // called once a request has ended; nil means no call
	// Answers bounds the memory of answers that are buffered at the same time, together with others that use it. Nil means a bound of
	// BufferBytes.
	Answers *buffers.Budget
	// BufferBytes bounds the memory of the answers and events that are buffered at the same time, beyond buffers.FreeBytes each.
	// Zero means 64 MiB.
	BufferBytes int
}

// Relay serves requests. It is safe for concurrent use.
type Relay struct {
	opts      Options
	budget    *buffers.Budget
	sizes     answerSizes
	endChecks sync.Map // targets of which it is checked whether they have ended
}

// New returns a Relay with opts, whose zero optional fields are replaced by their defaults.
func New(opts Options) *Relay {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	if opts.PromptPlacer == nil {
		opts.PromptPlacer = NewLocalPlacer(opts.Clock, opts.Board)
	}

	if opts.Origins == nil {
		opts.Origins = soleVersion{opts.Fleet}
	}

	if opts.TargetsAge == nil {
		opts.TargetsAge = func() time.Duration { return -1 }
	}

	if opts.KeysStale == nil {
		opts.KeysStale = func() bool { return false }
	}

	if opts.Began == nil {
		opts.Began = func(entity.AccountID) {}
	}

	if opts.Observe == nil {
		opts.Observe = func(Outcome) {}
	}

	if opts.Answers == nil {
		opts.Answers = buffers.NewBudget(cmp.Or(opts.BufferBytes, defaultBufferBytes))
	}

	return &Relay{opts: opts, budget: opts.Answers, sizes: answerSizes{large: map[routeKey]float64{}}}
}

// Outcome describes how a request ended. Route is zero if there was no configuration yet or no route matched.
type Outcome struct {
	Route       catalog.Route
	Problem     *verdict.Error // nil if the answer of a target was delivered whole
	Status      int            // status of the target's answer; zero if Problem is not nil
	TimeToFirst time.Duration  // from arrival to the answer, or to the first event of a stream; zero if neither was sent
	Total       time.Duration  // from arrival to the end of the request
	Silences    int            // number of times that a target was silent for longer than its patience
	Replaced    int            // number of times that another target replaced a silent one
	Late        LateCause      // why a stream was later than its route allows; empty if it was not
}

// Serve serves r and returns when w has its final answer. ctx must end when the caller disconnects. If the host ends the request for
// another reason, the cause of ctx must be a *verdict.Error, whose code the caller then gets.
func (l *Relay) Serve(ctx context.Context, r *Request, w Reply) {
	c := l.opts.Catalog()
	if c == nil {
		l.refuseUnrouted(r, w, verdict.New(verdict.NotRun, verdict.CodeNotReady, "no configuration yet").WithRetryAfter(noTargetRetryAfter))

		return
	}

	if r.Handover != nil && c.Version < r.Handover.Configuration {
		l.refuseUnrouted(r, w, verdict.New(verdict.NotRun, verdict.CodeNotReady, "the configuration of the request is not known here yet"))

		return
	}

	route, ok := c.Match(r.Host, r.Path)
	if !ok {
		l.refuseUnrouted(r, w, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route matches the host and path"))

		return
	}

	account, err := l.accountOf(c, route, r)
	if err != nil {
		l.refuseUnrouted(r, w, err)

		return
	}

	j := l.newJob(r, route, c)
	j.account = account
	defer j.releaseBuffers()

	// The deadline is relative to the arrival, on the monotonic clock.
	ctx, cancel := clockwork.WithDeadline(ctx, l.opts.Clock, j.deadline)
	defer cancel()

	defer j.finish()

	if j.isQuarantined(r.Arrived) {
		j.count()
		j.refuse(w, j.quarantineError())

		return
	}

	if l.lacksMemory(route) {
		j.count()
		j.refuse(w, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no memory is left for the answer").WithRetryAfter(noTargetRetryAfter))

		return
	}

	if l.opts.Reach.CutOff(j.service.Name) {
		if r.Handover != nil {
			j.refuse(w, verdict.New(verdict.NotRun, verdict.CodeNotReady, "this host reaches no target of the service either"))

			return
		}

		if j.forward(ctx, w) {
			return
		}
	}

	j.count()

	if route.Streaming {
		j.stream(ctx, w)
	} else {
		j.call(ctx, w)
	}
}

// accountOf returns the account of r, found by its key unless another host has done so. It fails if r needs an account and names
// none. The account is zero if r needs none.
func (l *Relay) accountOf(c *catalog.Catalog, route catalog.Route, r *Request) (catalog.Account, *verdict.Error) {
	switch {
	case !c.HasAccounts() || route.Public:
		return catalog.Account{}, nil
	case r.Handover != nil && r.Handover.Account != "":
		return catalog.Account{ID: r.Handover.Account, Rank: r.Handover.Rank, HasRank: true}, nil
	case l.opts.KeysStale():
		return catalog.Account{}, verdict.New(verdict.NotRun, verdict.CodeNotReady, "keys may have been taken away since this host last heard of them").
			WithRetryAfter(noTargetRetryAfter)
	}

	a, ok := c.AccountOf(r.Key)
	if !ok {
		return catalog.Account{}, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the request names no account by a key that is in force")
	}

	return a, nil
}

// job is the state of one request while it is served. Only one goroutine uses it at a time: the one that serves the
// request, or that of a watch.
type job struct {
	*Relay
	r           *Request
	route       catalog.Route
	service     catalog.Service
	account     catalog.Account // zero if the request needs none
	deadline    time.Time
	version     catalog.Version
	at          streamVersion
	fingerprint crashtracker.Fingerprint // identifies the request, whatever its id
	parts       partsOfJob
	quarantine  time.Duration // how long the request is refused; set by isQuarantined

	counted       bool              // the request is counted towards the retry budget
	began         bool              // Options.Began was called
	forwarded     bool              // another host has served the request
	sends         int               // sends so far that count towards maxSends and the retry budget
	prefilled     bool              // a replica has prefilled the prompt; the first prefill is not counted in sends
	tried         []entity.TargetID // targets that are not tried again
	losses        int               // recorded losses of targets
	reserved      int               // repeats that the retry budget has counted for the next sends
	reservedAt    time.Time         // when it has counted them
	reservedRun   entity.TargetID   // target whose limit has counted a run that is not placed yet; empty for none
	reservedRunAt time.Time         // when it has counted the run
	limitWait     time.Duration     // time until a limit admits the request, if lack is lackLimit
	left          []entity.TargetID // silent targets from which the request was taken over and that may be sound
	notReturned   int               // repeated attempts to return the request to a target of left
	lack          lack              // why the last attempt to send to another target failed
	sentAt        time.Time         // when the request was last sent to a target; zero if it was not
	lastHeard     time.Time         // when a target last sent something; zero if none has
	deafUntil     time.Time         // end of the last wait for memory, during which no target is heard; zero if there was none
	silent        entity.TargetID   // silent target that has not been replaced yet; empty for none
	held          []*buffers.Buffer // buffers of answers, which the job releases at its end
	timeToFirst   time.Duration     // as Outcome.TimeToFirst
	timing        timing            // where the time of a stream went
	outcome       Outcome
}

// newJob returns the state of a request that has not been sent to any target.
func (l *Relay) newJob(r *Request, route catalog.Route, c *catalog.Catalog) *job {
	service, _ := c.Service(route.ServiceFor(r.ID))

	timeout := route.Timeout
	if r.Timeout > 0 && (timeout == 0 || r.Timeout < timeout) {
		timeout = r.Timeout
	}

	if timeout == 0 {
		timeout = catalog.DefaultTimeout
	}

	j := &job{
		Relay: l, r: r, route: route, service: service, deadline: r.Arrived.Add(timeout), version: c.Version,
		fingerprint: crashtracker.FingerprintOf(r.Host, r.URI, r.Body), parts: partsOfJob{shared: sharedParts(service.Name, r.Parts)},
	}

	if h := r.Handover; h != nil {
		j.tried, j.counted, j.prefilled = slices.Clone(h.Avoid), h.Counted, h.Prefilled
	}

	return j
}

// newBuffer returns a buffer for limit bytes that is released at the end of the job, or before. It waits for memory until ctx ends. Meanwhile
// its target cannot be heard, so that silence pauses.
func (j *job) newBuffer(ctx context.Context, limit int, silence *watch) *buffers.Buffer {
	b := &buffers.Buffer{Budget: j.budget, Limit: limit, Done: ctx.Done(), OnWait: func(waiting bool) {
		if waiting {
			silence.pause()
			j.noteSize(limit) // it is large, and may end too late to tell so

			return
		}

		j.deafUntil = j.now()
		silence.resume(j.deafUntil, j.patience())
	}}
	j.held = append(j.held, b)

	return b
}

func (j *job) releaseBuffers() {
	for _, b := range j.held {
		b.Release()
	}
}

func (j *job) now() time.Time { return j.opts.Clock.Now() }

// remaining returns the time until the deadline, negative after it.
func (j *job) remaining() time.Duration { return j.deadline.Sub(j.now()) }

// placingJob returns the request as a job of package placing.
func (j *job) placingJob() placing.Job {
	job := placing.Job{
		ID: j.r.ID, Prompt: j.r.Prompt, Output: j.r.Output, Parts: j.r.Parts, Rank: j.rank(), Near: j.opts.Home, Avoid: j.tried,
		Gap: j.route.Gap, AcceptableWait: j.route.Objective / acceptableWaitDivisor,
	}

	if j.at.chosen {
		version := j.at.version
		job.Version = &version
	}

	return job
}

// candidates returns the targets of the service in role, or all its targets for entity.Mixed. Once the version of a stream
// is chosen, they are those of that version.
func (j *job) candidates(role entity.Role) []fleet.Target {
	switch {
	case role == entity.Mixed:
		return j.opts.Fleet().Of(j.service.Name)
	case j.at.chosen:
		return j.opts.Fleet().AtVersion(j.service.Name, role, j.at.version)
	}

	return j.opts.Fleet().InRole(j.service.Name, role)
}

// maySend reports whether one more send is allowed: maxSends is not reached, the request is not quarantined and,
// after the first send, the retry budget allows another. If so, it counts the send, and charges it to the retry
// budget unless it is the first. A request that was taken over from a silent target may be sent once more, so that it
// can return there. Attempts to return that are repeated do not count, see noteNotRun.
func (j *job) maySend() bool {
	if j.sends >= maxSends+min(len(j.left), 1) {
		j.lack = lackSends

		return false
	}

	if j.isQuarantined(j.now()) {
		j.lack = lackQuarantine

		return false
	}

	switch {
	case j.sends == 0:
	case j.reserved > 0:
		j.reserved--
		j.opts.Retries.Postpone(j.now(), j.reservedAt, j.service.Name)
	case !j.opts.Retries.Take(j.now(), j.service.Name):
		j.lack = lackBudget

		return false
	}

	j.sends++

	return true
}

// noteSend logs a send to t, which was chosen before, if this host does not believe now that t serves.
func (j *job) noteSend(t fleet.Target) {
	if j.opts.Belief == nil {
		return
	}

	b := j.opts.Belief(t.ID)
	if !b.Odd() {
		return
	}

	j.opts.Log.Info().Str("request", string(j.r.ID)).Str("target", string(t.ID)).Bool("listed", b.Listed).Bool("leaving", b.Leaving).
		Bool("kept", b.Kept).Uint64("revision", b.Revision).Dur("targets-age", b.Age).Str("from", b.Source).Dur("since-arrival", j.now().Sub(j.r.Arrived)).
		Msg("request sent on the strength of an odd belief")
}

// noteFailure records that a send to t ended with err, and returns the verdict of err. A cancelled send, or one that the
// deadline has ended before t was silent for long, only excludes t from further tries, and so does an answer for which this host has no memory.
func (j *job) noteFailure(t fleet.Target, err error) verdict.Verdict {
	j.tried = append(j.tried, t.ID)
	v := verdict.Of(err)

	if errors.Is(err, buffers.ErrNoMemory) {
		j.opts.Log.Info().Str("request", string(j.r.ID)).Str("route", j.route.Name).Str("target", string(t.ID)).
			Str("verdict", v.String()).Err(err).Msg("answer given up for want of memory")

		return v
	}

	switch {
	case errors.Is(err, context.Canceled):
	case !endedHere(err) || v == verdict.NotRun:
		j.opts.Board.RecordOutcome(j.now(), t, placing.Lost)
		j.noteUnreached(t)
	case j.silent == "" && j.silentFor() >= j.patience():
		j.noteSilence(t, j.patience())
	}

	if v != verdict.NotRun && !endedHere(err) {
		j.noteRan() // targets lose their answers more often than they crash before they begin
	}

	j.noteLoss(t, err)
	j.opts.Log.Info().Str("request", string(j.r.ID)).Str("route", j.route.Name).Str("target", string(t.ID)).
		Str("verdict", v.String()).Str("fingerprint", j.fingerprint.String()).Int("losses", j.opts.Crashers.Losses(j.now(), j.fingerprint)).
		Dur("targets-age", j.opts.TargetsAge()).Err(err).Msg("target did not answer")

	return v
}

// endedHere reports whether err is that of a send which this host has ended, or that of a dial that took too long.
func endedHere(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// noteLoss records that t may have crashed on the request, whose send ended with err. A timeout or a cancellation alone is
// no evidence of a crash.
func (j *job) noteLoss(t fleet.Target, err error) {
	if verdict.Of(err) != verdict.MayHaveRun || j.losses >= maxLossesPerRequest {
		return
	}

	// While this host is cut off, a failure says nothing about the target.
	if j.opts.Reach.CutOff(j.service.Name) {
		return
	}

	j.losses++

	loss := crashtracker.Loss{Request: j.fingerprint, Target: t.ID}
	if endedHere(err) {
		j.opts.Crashers.RecordSilence(j.now(), loss)
	} else {
		j.opts.Crashers.RecordLoss(j.now(), loss)
	}
}

// noteRan records that a target has begun to run the request.
func (j *job) noteRan() {
	if !j.began && j.account.ID != "" {
		j.opts.Began(j.account.ID)
	}

	j.began = true
}

// noteCompletion records that t has answered with status and sent its whole answer.
func (j *job) noteCompletion(t fleet.Target, status int) {
	j.noteReached()

	outcome := placing.Served
	if status >= 500 {
		outcome = placing.Failed
	}

	j.opts.Board.RecordOutcome(j.now(), t, outcome)

	if status < 300 {
		j.opts.Crashers.RecordCompletion(j.now(), j.fingerprint)
	}
}

// noteRefusal records that t answered with status and states that it has not run the request.
func (j *job) noteRefusal(t fleet.Target, status int) {
	j.noteReached()

	j.tried = append(j.tried, t.ID)
	j.opts.Board.RecordOutcome(j.now(), t, placing.Refused)
	j.opts.Log.Info().Str("request", string(j.r.ID)).Str("route", j.route.Name).Str("target", string(t.ID)).
		Int("status", status).Dur("targets-age", j.opts.TargetsAge()).Msg("target refused")
}

// refuse sends err to the caller as this host's final answer.
func (j *job) refuse(w Reply, err *verdict.Error) {
	j.outcome.Problem = err
	w.Refuse(err)
}

// finish logs the outcome and reports it to Observe.
func (j *job) finish() {
	j.returnReserve()
	j.returnReservedRun()

	j.outcome.Route = j.route
	j.outcome.TimeToFirst = j.timeToFirst
	j.outcome.Total = j.now().Sub(j.r.Arrived)
	j.noteLate()
	j.opts.Observe(j.outcome)

	if j.outcome.Problem == nil {
		j.opts.Log.Debug().Str("request", string(j.r.ID)).Str("route", j.route.Name).Int("status", j.outcome.Status).
			Dur("first", j.outcome.TimeToFirst).Dur("total", j.outcome.Total).Int("sends", j.sends).Bool("forwarded", j.forwarded).
			Dur("targets-age", j.opts.TargetsAge()).Msg("answered")

		return
	}

	j.opts.Log.Info().Str("request", string(j.r.ID)).Str("route", j.route.Name).Uint64("configuration", uint64(j.version)).
		Str("code", string(j.outcome.Problem.Code)).Str("verdict", j.outcome.Problem.Verdict.String()).
		Dur("retry-after", j.outcome.Problem.RetryAfter).Dur("total", j.outcome.Total).Int("sends", j.sends).
		Int("silences", j.outcome.Silences).Int("replaced", j.outcome.Replaced).Dur("last-heard", j.sinceLastHeard()).Str("lack", string(j.lack)).Bool("forwarded", j.forwarded).
		Str("fingerprint", j.fingerprint.String()).Str("part", j.parts.refused()).Err(j.outcome.Problem.Err).Msg("failed")
}

// refuseUnrouted refuses a request for which no job exists, as there is no configuration or no route for it.
func (l *Relay) refuseUnrouted(r *Request, w Reply, err *verdict.Error) {
	l.opts.Log.Info().Str("request", string(r.ID)).Str("host", r.Host).Str("path", r.Path).
		Str("code", string(err.Code)).Msg("refused")
	l.opts.Observe(Outcome{Problem: err, Total: l.opts.Clock.Since(r.Arrived)})
	w.Refuse(err)
}

// endError returns an error with verdict ran if the deadline has passed, the caller has disconnected or the host stops, else nil. The
// timer of ctx may fire before the clock reads the deadline.
func (j *job) endError(ctx context.Context, ran verdict.Verdict) *verdict.Error {
	switch {
	case ctx.Err() == nil && j.remaining() > 0:
		return nil
	case errors.Is(ctx.Err(), context.Canceled) && j.remaining() > 0:
		// The caller is still there if the cause says why this host ends the request.
		if cause, ok := errors.AsType[*verdict.Error](context.Cause(ctx)); ok {
			return verdict.New(ran, cause.Code, "%s", cause.Message)
		}

		return verdict.New(ran, verdict.CodeCallerGone, "the caller disconnected")
	default:
		return verdict.New(ran, verdict.CodeDeadline, "the deadline of the request has passed")
	}
}

package dispatch

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/backoff"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// resumeDelay and maxResumeDelay are the first and the longest delay before a stream without a new event is resumed.
	resumeDelay    = 100 * time.Millisecond
	maxResumeDelay = 2 * time.Second
	// refusedTime is how long an engine must refuse connections before it counts as ended, and its answers as lost.
	refusedTime   = 5 * time.Second
	cancelTimeout = time.Second
)

// runOnTarget sends req from this host to t, without another entry host in between.
func (r *Runner) runOnTarget(ctx context.Context, req entity.Request, t entity.Target, ans *answers.Answer, next *handover) error {
	setTarget(ans, t.ID)

	if t.Type == entity.Service {
		return r.watchService(ctx, t, ans, next, func(ctx context.Context, ans *answers.Answer) error {
			return r.callService(ctx, req, t, ans)
		})
	}

	return r.streamWithResume(ctx, engineRequest(req), t, ans, next)
}

// watchService runs call, which collects the answer of the service t, and copies that to ans once it is whole. It ends
// call early only if next has secured another target, which it tries each time that another ServiceSilence has passed.
func (r *Runner) watchService(
	ctx context.Context, t entity.Target, ans *answers.Answer, next *handover, call func(context.Context, *answers.Answer) error,
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	own := answers.New() // a handover must not find a part of the answer in ans
	done := make(chan error, 1)

	go func() {
		defer r.opts.Panics.Recover(next.req.ID, func(problem *verdict.Error) { done <- problem })

		done <- call(ctx, own)
	}()

	err := r.awaitService(t, next, cancel, done)
	if ended, problem := own.Ended(); ended {
		return problem
	}

	if err != nil {
		return err
	}

	ans.SetMeta(own.Meta())

	for _, data := range own.Events() {
		if !ans.Append(data) {
			return errAnswerEnded
		}
	}

	return nil
}

// awaitService returns the result of a call to t from done, and cancels the call once next has secured another target.
func (r *Runner) awaitService(t entity.Target, next *handover, cancel context.CancelFunc, done <-chan error) error {
	ticker := r.opts.Clock.NewTicker(r.opts.ServiceSilence)
	defer ticker.Stop()

	for kept := false; ; kept = true {
		select {
		case err := <-done:
			return err
		case <-ticker.Chan():
		}

		if next.secure(t.ID, silentError(t, nil), false) {
			cancel()

			return <-done
		}

		if !kept {
			r.opts.Log.Warn().Str("request", string(next.req.ID)).Str("target", string(t.ID)).Msg("silent service kept")
		}
	}
}

// callService calls the service t and appends its response body to ans as one event.
func (r *Runner) callService(ctx context.Context, req entity.Request, t entity.Target, ans *answers.Answer) error {
	// A service can't resume, so the call would run the request again.
	if req.Resume && req.Kind.AtMostOnce {
		return lostError(t, nil)
	}

	answer, err := r.opts.Services.Call(ctx, t, service.Request{
		ID: req.ID, Key: req.Key, Path: req.Path, ContentType: req.ContentType, Body: req.Body,
	})
	if err != nil {
		return err
	}

	ans.SetMeta(answers.Meta{Status: answer.Status, ContentType: answer.ContentType, Target: t.ID})

	if !ans.Append(answer.Body) {
		return errAnswerEnded
	}

	return nil
}

// errAnswerEnded stops a stream when its answer has ended and accepts no more events.
var errAnswerEnded = errors.New("the answer has ended")

// engineRequest returns req as a request to an engine, without a phase.
func engineRequest(req entity.Request) engine.Request {
	return engine.Request{
		ID: req.ID, Path: req.Path, Body: req.Body, Urgency: req.Kind.Urgency, Resume: req.Resume, Version: req.SeenVersion,
	}
}

// setTarget names t as the target that produces ans. An answer that has events keeps their software version.
func setTarget(ans *answers.Answer, t entity.TargetID) {
	meta := answers.Meta{Target: t}
	if ans.NextSeq() > 0 {
		meta.Version = ans.Meta().Version
	}

	ans.SetMeta(meta)
}

// recordVersion records the software version that the engine t states, also in ans unless that has events.
func (r *Runner) recordVersion(t entity.TargetID, v entity.SoftwareVersion, ans *answers.Answer) {
	if r.opts.Versions != nil {
		r.opts.Versions.SetVersion(t, v)
	}

	if ans.NextSeq() == 0 {
		meta := ans.Meta()
		meta.Version = v
		ans.SetMeta(meta)
	}
}

// streamWithResume runs call on the engine t and appends the events to ans. When the stream breaks, it resumes the call on
// t until ctx ends, since an engine that has fallen silent may go on. It gives t up earlier only if next has secured
// another target, or if t has ended, no longer holds the call or cannot go on with it at its software version. It does not
// resume a new call that fails with NotRun. If ans or ctx ends, it cancels the call on t.
func (r *Runner) streamWithResume(ctx context.Context, call engine.Request, t entity.Target, ans *answers.Answer, next *handover) error {
	var (
		firstErr          error
		resumesEarlierRun = call.Resume
		gap               = silence{firstDelay: next.firstDelay()}
	)

	call.Stated = func(v entity.SoftwareVersion) { r.recordVersion(t.ID, v, ans) }

	for {
		began := r.opts.Clock.Now()
		call.ResumeFrom = ans.NextSeq()
		if call.ResumeFrom > 0 {
			call.Version = ans.Meta().Version
		}

		err := r.opts.Engines.Stream(ctx, t, call, func(ev engine.Event) error {
			if !ans.Append(ev.Data) {
				return errAnswerEnded
			}

			return nil
		})
		if err == nil {
			return nil
		}

		if errors.Is(err, errAnswerEnded) {
			r.cancel(t, call.ID)

			return err
		}

		if verdict.From(err).Code == verdict.CodeOtherVersion {
			if !call.Resume && verdict.Of(err) != verdict.NotRun {
				r.cancel(t, call.ID)
			}

			return withResumeVerdict(call, err)
		}

		if firstErr == nil {
			firstErr = err
		}

		if ctx.Err() != nil {
			r.cancel(t, call.ID)

			return withResumeVerdict(call, firstErr)
		}

		if verdict.Of(err) == verdict.NotRun && !call.Resume {
			return err
		}

		if isNotFound(err) && resumesEarlierRun {
			return verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "%s has no such request", t.ID).WithCause(err)
		}

		if isNotFound(err) || call.Resume && hasCode(err, verdict.CodeBadRequest) {
			break
		}

		if ans.NextSeq() > call.ResumeFrom {
			gap = silence{}
		}

		now := r.opts.Clock.Now()
		gap.add(began, now, err)
		call.Resume = true

		if gap.refused(now) || gap.streams >= r.opts.MaxStreams && next.leave(t, err, gap.refuses()) {
			break
		}

		if gap.streams == r.opts.MaxStreams {
			r.opts.Log.Warn().Str("request", string(call.ID)).Str("target", string(t.ID)).Uint64("next-event", ans.NextSeq()).
				Err(err).Msg("silent engine kept")
		}

		if !r.waitToResume(ctx, gap.pause.End().Sub(now)) {
			r.cancel(t, call.ID)

			return withResumeVerdict(call, firstErr)
		}
	}

	return lostError(t, firstErr)
}

// silence is a series of streams of one call without a new event.
type silence struct {
	streams      int
	refusedSince time.Time     // start of the first of the latest streams that were all refused; zero if the last was not
	firstDelay   time.Duration // zero means resumeDelay
	pause        backoff.Backoff
}

// add records that a stream from began until now failed with err.
func (s *silence) add(began, now time.Time, err error) {
	s.streams++

	if !engine.IsRefused(err) {
		s.refusedSince = time.Time{}
	} else if s.refusedSince.IsZero() {
		s.refusedSince = began
	}

	// A stream that was open for long needs no further delay to bound the rate.
	if now.Sub(began) >= maxResumeDelay {
		s.pause, s.firstDelay = backoff.Backoff{}, 0
	}

	s.pause.Fail(now, cmp.Or(s.firstDelay, resumeDelay), maxResumeDelay)
}

// refuses reports whether the engine refused the latest connection.
func (s *silence) refuses() bool { return !s.refusedSince.IsZero() }

// refused reports whether the engine has refused connections for refusedTime.
func (s *silence) refused(now time.Time) bool {
	return s.refuses() && now.Sub(s.refusedSince) >= refusedTime
}

// lostError returns the error for a call that the engine t no longer runs or that has left t.
func lostError(t entity.Target, cause error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "%s lost the request", t.ID).WithCause(cause)
}

// withResumeVerdict returns err, with NotRun raised to MayHaveRun if call resumes an earlier run: the
// verdict NotRun covers only the call that failed, and the earlier run may have taken place.
func withResumeVerdict(call engine.Request, err error) error {
	e := verdict.From(err)
	if !call.Resume || e.Verdict != verdict.NotRun {
		return err
	}

	raised := *e
	raised.Verdict = verdict.MayHaveRun

	return &raised
}

// isNotFound reports whether err means that the engine has no such request.
func isNotFound(err error) bool {
	return hasCode(err, verdict.CodeNotFound)
}

// waitToResume waits for delay, and reports false if ctx ends first.
func (r *Runner) waitToResume(ctx context.Context, delay time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.opts.Clock.After(delay):
		return true
	}
}

// cancel makes the engine t stop working on the request id. A failure is only logged.
func (r *Runner) cancel(t entity.Target, id entity.RequestID) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()

	if err := r.opts.Engines.Cancel(ctx, t, id); err != nil {
		r.opts.Log.Debug().Str("request", string(id)).Str("target", string(t.ID)).Err(err).Msg("cancel failed")
	}
}

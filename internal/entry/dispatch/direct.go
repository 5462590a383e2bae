package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	resumePause = 100 * time.Millisecond
	cancelBound = time.Second
)

// direct runs req on the target itself.
func (r *Runner) direct(ctx context.Context, req table.Request, t table.Target, ans *answers.Answer) error {
	ans.SetMeta(answers.Meta{Target: t.ID})

	if t.Type == table.Service {
		return r.call(ctx, req, t, ans)
	}

	return r.stream(ctx, callOf(req), t, ans)
}

func (r *Runner) call(ctx context.Context, req table.Request, t table.Target, ans *answers.Answer) error {
	answer, err := r.opts.Services.Call(ctx, t, service.Request{
		ID: req.ID, Key: req.Key, Path: req.Path, ContentType: req.ContentType, Body: req.Body,
	})
	if err != nil {
		return err
	}

	ans.SetMeta(answers.Meta{Status: answer.Status, ContentType: answer.ContentType, Target: t.ID})

	if !ans.Append(answer.Body) {
		return errEnded
	}

	return nil
}

// errEnded stops a stream whose answer takes no more.
var errEnded = errors.New("the answer has ended")

func callOf(req table.Request) engine.Request {
	return engine.Request{ID: req.ID, Path: req.Path, Body: req.Body, Urgency: req.Kind.Urgency, Resume: req.Resume}
}

// stream runs call on the engine t and resumes it there when the stream breaks off.
func (r *Runner) stream(ctx context.Context, call engine.Request, t table.Target, ans *answers.Answer) error {
	var (
		first   error
		resumed = call.Resume
	)

	for range r.opts.Resumes {
		call.ResumeFrom = ans.Next()

		err := r.opts.Engines.Stream(ctx, t, call, func(ev engine.Event) error {
			if !ans.Append(ev.Data) {
				return errEnded
			}

			return nil
		})
		if err == nil {
			return nil
		}

		if errors.Is(err, errEnded) {
			r.cancel(t, call.ID)

			return err
		}

		if first == nil {
			first = err
		}

		if ctx.Err() != nil {
			r.cancel(t, call.ID)

			return maybeRunning(call, first)
		}

		if verdict.Of(err) == verdict.NotRun && !call.Resume {
			return err
		}

		if forgotten(err) && resumed {
			return verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "%s does not know the request", t.ID).Because(err)
		}

		if forgotten(err) {
			break
		}

		call.Resume = true

		if !r.pause(ctx) {
			break
		}
	}

	return verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "%s lost the request", t.ID).Because(first)
}

// maybeRunning returns err with the verdict that is true of a call that resumes: that the engine did
// not take the call says nothing of the run that it was to resume.
func maybeRunning(call engine.Request, err error) error {
	e := verdict.From(err)
	if !call.Resume || e.Verdict != verdict.NotRun {
		return err
	}

	worse := *e
	worse.Verdict = verdict.MayHaveRun

	return &worse
}

// forgotten reports whether the engine answered that it does not know the request.
func forgotten(err error) bool {
	var e *verdict.Error

	return errors.As(err, &e) && e.Code == verdict.CodeNotFound
}

func (r *Runner) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.opts.Clock.After(resumePause):
		return true
	}
}

// cancel stops the work on an engine after the caller has gone or the deadline has passed.
func (r *Runner) cancel(t table.Target, id table.RequestID) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelBound)
	defer cancel()

	if err := r.opts.Engines.Cancel(ctx, t, id); err != nil {
		r.opts.Log.Debug().Str("request", string(id)).Str("target", string(t.ID)).Err(err).Msg("cancel failed")
	}
}

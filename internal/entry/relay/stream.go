package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// progress is how much of a stream has been served.
type progress struct {
	begun       bool   // the status and header were sent to the caller
	lastEventID string // id of the last event that the caller has
	runs        int    // sends after which a target may have run the request
	cause       error  // error of the last failed send
}

func (j *job) pacing() placing.Pacing {
	return placing.Pacing{Objective: j.route.Objective, Gap: j.route.Gap}
}

// stream serves a request to a model: one replica prefills the prompt, another generates the answer (decode). If a
// replica fails, a resumable stream goes on at another one after the last event that the caller has.
func (j *job) stream(ctx context.Context, w Reply) {
	p := progress{lastEventID: j.r.LastEventID}

	if j.resumes() {
		if err := j.takeUp(ctx); err != nil {
			j.refuse(w, err)

			return
		}
	}

	for p.runs < j.route.MaxTargets && j.endError(ctx, verdict.MayHaveRun) == nil {
		done, err := j.streamOnce(ctx, w, &p)
		if done {
			return
		}

		if err != nil {
			j.endStream(ctx, w, p, err)

			return
		}
	}

	j.endStream(ctx, w, p, nil)
}

// endStream ends a stream that no target has completed. A stream that has begun is aborted. Otherwise refusal, if not
// nil, is sent to the caller unless a target may have run the request.
func (j *job) endStream(ctx context.Context, w Reply, p progress, refusal *verdict.Error) {
	if p.begun {
		j.outcome.Problem = verdict.New(verdict.MayHaveRun, verdict.CodeTruncated, "the stream was cut off").WithCause(p.cause)
		w.Abort()

		return
	}

	if refusal != nil && p.runs == 0 {
		j.refuse(w, refusal)

		return
	}

	ran := verdict.NotRun
	if p.runs > 0 {
		ran = verdict.MayHaveRun
	}

	j.fail(ctx, w, ran, p.cause)
}

// streamOnce tries to serve the stream with one prefill replica and one decode replica, or another decode replica
// where one refuses or was not reached. It reports whether the stream has ended. An error means that the request must
// not be sent any further.
func (j *job) streamOnce(ctx context.Context, w Reply, p *progress) (bool, *verdict.Error) {
	if !p.begun && !j.resumes() {
		j.chooseVersion()
	}

	handle, refusal := j.prefill(ctx, p)
	if refusal != nil {
		return false, refusal
	}

	for range maxSends {
		near := j.opts.Home
		if handle != nil {
			near = handle.Target.DataCentre
		}

		placingJob := j.placingJob()
		placingJob.Near = near

		placement, ok := j.opts.Board.PlaceDecode(j.now(), j.candidates(entity.Decode), placingJob, j.kvCapacity())
		if !ok || !j.maySend() {
			placement.Claim.Release()
			j.releaseKV(handle)

			return false, j.noTargetError()
		}

		retry, done := j.generate(ctx, w, placement, handle, p)
		placement.Claim.Release()

		if done || !retry {
			return done, nil
		}
	}

	j.releaseKV(handle)

	return false, j.noTargetError()
}

func (j *job) noTargetError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeNoTarget, "no replica accepts the request now").WithRetryAfter(noTargetRetryAfter)
}

// kvCapacity returns the KV cache size of each replica of the service, or zero if the service is not a model.
func (j *job) kvCapacity() entity.Tokens {
	if j.service.Engine == nil {
		return 0
	}

	return j.service.Engine.KVCapacity
}

// prefill makes a replica prefill the prompt. If no prefill replica accepts the prompt, both results are nil and the
// decode replica has to prefill the prompt itself. An error means that the request must not be sent any further.
func (j *job) prefill(ctx context.Context, p *progress) (*KVHandle, *verdict.Error) {
	for tries := 0; ; tries++ {
		prompt, ok := j.opts.PromptPlacer.Place(ctx, j.service.Name, j.candidates(entity.Prefill), j.placingJob(), j.pacing().ReplaceAfter())
		if !ok {
			return nil, nil
		}

		placement := prompt.Placement()

		if tries == 0 && p.runs == 0 {
			j.opts.Board.AddDemand(j.now(), j.service.Name, j.r.Prompt-placement.Cached)
		}

		if !p.begun && !j.inTime(placement.Wait) {
			prompt.End(placing.PromptResult{})

			if j.passOver() {
				continue
			}

			return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the first event would come too late").WithRetryAfter(placement.Wait)
		}

		if !j.maySend() {
			prompt.End(placing.PromptResult{})

			return nil, j.noTargetError()
		}

		handle, result := j.prefillOnce(ctx, placement, p)
		prompt.End(result)

		if handle != nil && !j.prefilled {
			j.prefilled = true
			j.sends--
		}

		if handle != nil || !result.Sent {
			return handle, j.endError(ctx, verdict.NotRun)
		}
	}
}

// inTime reports whether a first event that is expected after wait is early enough. A stream that is taken up can go on
// only at its version, so it waits for as long as its caller does.
func (j *job) inTime(wait time.Duration) bool {
	if j.resumes() {
		return wait < j.remaining()
	}

	return j.pacing().Worthwhile(wait, j.now().Sub(j.r.Arrived))
}

// prefillOnce sends the prompt to one replica. If the caller disconnects or the deadline passes meanwhile, the result
// is that of a prompt that was not sent, since the failure is not the replica's.
func (j *job) prefillOnce(ctx context.Context, placement placing.Placement, p *progress) (*KVHandle, placing.PromptResult) {
	prefillCtx, cancel := context.WithTimeout(ctx, placement.Wait+j.pacing().ReplaceAfter())
	defer cancel()

	sentAt := j.now()

	handle, answer, err := j.opts.Targets.Prefill(prefillCtx, j.r, Send{
		Target: placement.Target, Rank: j.rank(), Timeout: j.remaining(), LastEventID: p.lastEventID,
	})

	switch {
	case err != nil && ctx.Err() != nil:
		p.cause = err
		j.noteLoss(placement.Target, err)

		return nil, placing.PromptResult{}
	case err != nil:
		p.cause = err
		j.noteFailure(placement.Target, err)

		return nil, placing.PromptResult{Sent: true, Outcome: placing.Lost}
	case answer != nil:
		_ = answer.Body.Close() // only the status is used
		j.noteRefusal(placement.Target, answer.Status)

		return nil, placing.PromptResult{Sent: true, Outcome: placing.Refused}
	}

	took := j.now().Sub(sentAt)
	j.opts.Board.RecordPrefill(placement, j.r.Parts, took)
	j.opts.Log.Debug().Str("request", string(j.r.ID)).Str("target", string(placement.Target.ID)).Int64("prompt", int64(j.r.Prompt)).
		Int64("cached", int64(placement.Cached)).Dur("expected", placement.Wait).Dur("took", took).Interface("parts", j.r.Parts).
		Msg("prompt prefilled")

	return handle, placing.PromptResult{Sent: true, Outcome: placing.Served, PrefillTime: took}
}

// generate makes one replica generate the answer and forwards it to the caller. It reports whether the same handle
// may be sent to another replica, and whether the stream has ended.
func (j *job) generate(ctx context.Context, w Reply, placement placing.Placement, handle *KVHandle, p *progress) (retry, done bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	silenceTimer := j.opts.Clock.AfterFunc(j.firstEventTimeout(handle), cancel)
	defer silenceTimer.Stop()

	answer, err := j.opts.Targets.Run(ctx, j.r, Send{
		Target: placement.Target, Rank: j.rank(), Timeout: j.remaining(), LastEventID: p.lastEventID, KVCache: handle,
	})
	if err != nil {
		p.cause = err

		if j.noteFailure(placement.Target, err) == verdict.NotRun {
			j.sends-- // the request did not reach the target

			return true, false
		}

		p.runs++

		return false, false
	}

	defer func() { _ = answer.Body.Close() }() // the answer was read to its end, or is of no use

	if answer.NotRun {
		j.noteRefusal(placement.Target, answer.Status)

		return true, false
	}

	p.runs++

	if answer.Status >= 300 {
		return false, j.passErrorAnswer(w, answer, p)
	}

	return false, j.passEvents(ctx, w, answer, placement, p, silenceTimer.Reset)
}

// firstEventTimeout returns how long a replica may take to send its first event. A replica that has no KV cache to
// fetch has to prefill the prompt itself and gets at least Pacing.AbandonAfter.
func (j *job) firstEventTimeout(handle *KVHandle) time.Duration {
	if handle == nil {
		return max(j.silenceTimeout(), j.pacing().AbandonAfter())
	}

	return j.silenceTimeout()
}

// silenceTimeout returns how long a replica may send no event. If the stream cannot be resumed at another replica,
// that is the time until the deadline.
func (j *job) silenceTimeout() time.Duration {
	if j.route.Repeat != catalog.Resumable {
		return j.remaining()
	}

	return j.pacing().ReplaceAfter()
}

// passErrorAnswer forwards a replica's error status and up to maxAnswerBytes of the body to the caller and reports
// true. It reports false if the stream has begun or the body could not be read.
func (j *job) passErrorAnswer(w Reply, answer *Answer, p *progress) bool {
	if p.begun {
		p.cause = errors.New("a replica refused to resume the stream")

		return false
	}

	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		p.cause = err

		return false
	}

	j.deliver(w, answer, body)

	return true
}

// passEvents forwards events as they arrive. It reports whether the stream has ended: the answer is complete or the
// caller cannot be written to. reset restarts the timer that cancels a silent replica.
func (j *job) passEvents(ctx context.Context, w Reply, answer *Answer, placement placing.Placement, p *progress, reset func(time.Duration) bool) bool {
	stream := &events{body: answer.Body}

	for {
		event, id, err := stream.next()
		if errors.Is(err, io.EOF) {
			j.noteCompletion(placement.Target, answer.Status)
			j.outcome.Status = answer.Status

			if !p.begun {
				j.beginReply(w, answer, p)
			}

			return true
		}

		if err != nil {
			return j.noteBreak(placement, p, err)
		}

		if !p.begun {
			j.awaitRecord(ctx)
			j.beginReply(w, answer, p)
		}

		reset(j.silenceTimeout())

		if id != "" {
			p.lastEventID = id
		}

		if err := w.WriteEvent(event); err != nil {
			j.outcome.Problem = verdict.New(verdict.Ran, verdict.CodeCallerGone, "the caller disconnected").WithCause(err)

			return true
		}
	}
}

// beginReply sends the status and header to the caller and records the time to the first event.
func (j *job) beginReply(w Reply, answer *Answer, p *progress) {
	p.begun = true
	j.timeToFirst = j.now().Sub(j.r.Arrived)
	w.Begin(answer.Status, answer.Header)
}

// noteBreak records that a replica's stream broke off with err, and returns false: the stream has not ended. Unless
// the route is resumable, no other replica is tried.
func (j *job) noteBreak(placement placing.Placement, p *progress, err error) bool {
	p.cause = err
	j.noteFailure(placement.Target, err)

	if j.route.Repeat != catalog.Resumable {
		p.runs = j.route.MaxTargets
	}

	return false
}

// releaseKV frees a KV cache that no replica will fetch. It does so in the background, as the answer must not wait
// for it. A nil handle has no effect.
func (j *job) releaseKV(handle *KVHandle) {
	if handle == nil {
		return
	}

	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()

		if err := j.opts.Targets.Release(ctx, *handle); err != nil {
			j.opts.Log.Info().Str("request", string(j.r.ID)).Str("target", string(handle.Target.ID)).Err(err).
				Msg("KV cache not freed; it will expire")
		}
	}()
}

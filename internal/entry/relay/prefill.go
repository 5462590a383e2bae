package relay

import (
	"context"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// prefill makes a replica prefill the prompt. If no prefill replica accepts the prompt, all results are nil and the
// decode replica has to prefill the prompt itself. If a prefill replica was silent and there is no other, the successor is
// a place to run the request without it. An error means that the request must not be sent any further.
func (j *job) prefill(ctx context.Context, p *progress) (*KVHandle, *successor, *verdict.Error) {
	var next *successor // replaces a silent replica

	for tries := 0; ; tries++ {
		if next == nil {
			var refusal *verdict.Error
			if next, refusal = j.placePrompt(ctx, p, tries == 0); next == nil {
				return nil, nil, refusal
			}
		}

		prompt := next.prompt
		j.noteReplacement(prompt.Placement().Target)

		handle, result, replacement := j.prefillOnce(ctx, prompt, p, true)
		j.notePrefilled(handle)

		if handle != nil || !result.Sent {
			j.giveUp(replacement)

			return handle, nil, j.endError(ctx, verdict.NotRun)
		}

		if next = replacement; next != nil && next.prompt == nil {
			return nil, next, nil
		}
	}
}

// placePrompt places the prompt on a prefill replica. All results are nil if no replica accepts it. first states that the
// prompt has not been placed before. An error means that the request must not be sent any further.
func (j *job) placePrompt(ctx context.Context, p *progress, first bool) (*successor, *verdict.Error) {
	prompt, ok := j.placePromptOn(ctx, j.placingJob())
	if !ok {
		return nil, nil
	}

	placement := prompt.Placement()

	if first && len(p.ran) == 0 {
		j.opts.Board.AddDemand(j.now(), j.service.Name, j.r.Prompt-placement.Cached)
	}

	if !p.begun && !j.inTime(placement.Wait) {
		j.unplacePrompt(prompt)

		if j.passOver() {
			return j.placePrompt(ctx, p, false)
		}

		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the first event would come too late").WithRetryAfter(placement.Wait)
	}

	if !j.reserveRun() {
		j.unplacePrompt(prompt)
		j.noteNoTarget(entity.Decode)

		return nil, j.noTargetError()
	}

	if !j.maySend() {
		j.unplacePrompt(prompt)

		return nil, j.noTargetError()
	}

	return &successor{prompt: prompt, paidAt: j.now()}, nil
}

// inTime reports whether a first event that is expected after wait is early enough. A stream that is taken up can go on
// only at its version, so it waits for as long as its caller does.
func (j *job) inTime(wait time.Duration) bool {
	if j.resumes() {
		return wait < j.remaining()
	}

	return j.pacing().Worthwhile(wait, j.now().Sub(j.r.Arrived))
}

// prefillOnce sends the prompt to the replica at which it is placed, and ends its place. If the replica is silent for too long, the send is ended; if replaceable,
// only once there is a successor, which is returned. If the caller disconnects or the deadline passes meanwhile, the
// result is that of a prompt that was not sent, since the failure is not the replica's.
func (j *job) prefillOnce(
	ctx context.Context, prompt PlacedPrompt, p *progress, replaceable bool,
) (handle *KVHandle, result placing.PromptResult, next *successor) {
	defer func() { j.endPrompt(prompt, result) }() // also after a panic

	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()

	var silence *watch

	placement := prompt.Placement()
	target := placement.Target
	patience := placement.Wait + j.pacing().ReplaceAfter()

	sentAt := j.now()

	if replaceable {
		j.sentAt = sentAt
		silence = j.watchRun(ctx, target, patience, cancel, func(ctx context.Context) *successor { return j.replacePrefill(ctx, p, target) })
	} else {
		timer := j.opts.Clock.AfterFunc(patience, cancel)
		defer timer.Stop()
	}

	j.noteSend(target)

	handle, answer, err := j.opts.Targets.Prefill(runCtx, j.r, Send{
		Target: target, Rank: j.rank(), Account: j.account.ID, Timeout: j.deadline.Sub(sentAt), LastEventID: p.lastEventID,
	})
	next, endedRun := silence.stop(err != nil)

	switch {
	case err != nil && ctx.Err() != nil:
		if replaceable {
			p.cause = err
			j.noteLoss(target, err)
		}

		return nil, placing.PromptResult{}, next
	case err != nil:
		p.cause = err

		timedOut := !replaceable && runCtx.Err() != nil
		if timedOut {
			j.noteSilence(target, patience)
		}

		outcome := placing.Lost
		if timedOut || endedRun {
			outcome = placing.Silent
		}

		j.noteFailure(target, err)

		return nil, placing.PromptResult{Sent: true, Outcome: outcome}, next
	case answer != nil:
		_ = answer.Body.Close() // only the status is used
		j.noteRefusal(target, answer.Status)

		return nil, placing.PromptResult{Sent: true, Outcome: placing.Refused}, next
	}

	if replaceable {
		j.silent = ""
	}

	doneAt := j.now()
	if replaceable && j.lastHeard.IsZero() {
		j.timing.prompt, j.timing.promptSent, j.timing.promptDone = placement, sentAt, doneAt
	}

	took := doneAt.Sub(sentAt)
	j.opts.Board.RecordPrefill(placement, j.r.Parts, took)
	j.opts.Log.Debug().Str("request", string(j.r.ID)).Str("target", string(target.ID)).Int64("prompt", int64(j.r.Prompt)).
		Int64("cached", int64(placement.Cached)).Dur("expected", placement.Wait).Dur("took", took).Interface("parts", j.r.Parts).
		Msg("prompt prefilled")

	return handle, placing.PromptResult{Sent: true, Outcome: placing.Served, PrefillTime: took}, next
}

// endPrompt ends the place of prompt. While this host may be cut off, it does not report the replica as lost, since the host
// that has placed the prompt may reach it.
func (j *job) endPrompt(prompt PlacedPrompt, result placing.PromptResult) {
	lost := result.Outcome == placing.Lost || result.Outcome == placing.Silent
	if lost && j.opts.Reach.Doubtful(j.now(), j.service.Name) {
		result = placing.PromptResult{}
	}

	prompt.End(result)
}

// notePrefilled records that a replica has prefilled the prompt, unless handle is nil. The first such send does not count.
func (j *job) notePrefilled(handle *KVHandle) {
	if handle != nil && !j.prefilled {
		j.prefilled = true
		j.sends--
	}
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

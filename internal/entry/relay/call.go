package relay

import (
	"context"
	"io"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/retries"
	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// maxAnswerBytes bounds an answer that is read to its end before it is forwarded.
	maxAnswerBytes = 8 << 20
	// maxRefusalBytes bounds what is read of the body of an answer that states that the request has not run.
	maxRefusalBytes = 4 << 10
	// silentObjectives bounds the time to the whole answer of a repeatable request, as a multiple of the route's
	// latency objective. After that time, another target is tried.
	silentObjectives = 4
	// minSilence is the lower bound of that time: several times the delay between data centres.
	minSilence = 150 * time.Millisecond
)

// call serves a request to a plain service: it tries targets in turn until one has run it with a status below 500 or
// no retry is allowed. An error status ends the tries too unless the route is repeatable. If all targets fail, the
// caller gets the last error status that a target answered with, if any.
func (j *job) call(ctx context.Context, w Reply) {
	var (
		next        *successor
		runs        int
		ran         = verdict.NotRun
		cause       error
		lastFailure *Answer // the last error status that a target answered with
		failureBody []byte
	)

	for j.endError(ctx, ran) == nil {
		if next == nil {
			if next = j.placeCall(runs); next == nil {
				if lastFailure == nil && j.waitForPlace(ctx) {
					continue
				}

				break
			}
		}

		place := next
		target := place.placement.Target
		j.noteReplacement(target)

		r := j.callOnce(ctx, place, runs+1 < j.route.MaxTargets)
		next = r.next

		switch {
		case r.err != nil:
			v := j.noteFailedCall(target, r)
			cause = r.err

			if v == verdict.NotRun {
				j.noteNotRun(place, false)
				j.waitToReturn(ctx, place, next)

				continue
			}

			ran = v
			runs++

			if !retries.Permits(v, j.route.Repeat == catalog.AtMostOnce) {
				j.giveUp(next)
				j.fail(ctx, w, ran, cause)

				return
			}
		case r.answer.NotRun:
			j.noteRefusal(target, r.answer.Status)
			j.noteNotRun(place, true)
			j.waitToReturn(ctx, place, next)
		case r.answer.Status >= 500 && j.route.Repeat == catalog.Repeatable:
			j.noteRan()
			j.noteCompletion(target, r.answer.Status)
			j.tried = append(j.tried, target.ID)
			lastFailure, failureBody = r.answer, r.body
			runs++
		default:
			j.noteRan()
			j.noteCompletion(target, r.answer.Status)
			j.giveUp(next)
			j.deliver(w, r.answer, r.body)

			return
		}
	}

	j.giveUp(next)

	if lastFailure != nil {
		j.deliver(w, lastFailure, failureBody)

		return
	}

	j.fail(ctx, w, ran, cause)
}

// placeCall returns a place for the next run of a request to a plain service, or nil if there is none. runs is the number
// of targets that may have run it. If no other target is permitted or known, a silent one that the request was taken
// over from gets it again.
func (j *job) placeCall(runs int) *successor {
	if runs < j.route.MaxTargets {
		placement, ok := j.placeCallOn(j.placingJob())
		if ok && j.sends < maxSends && j.maySend() {
			return &successor{placement: placement, paidAt: j.now()}
		}

		j.unplace(placement)

		if !ok {
			j.noteNoTarget(entity.Mixed)
		}
	} else {
		j.lack = lackAttempts
	}

	next, _ := j.placeWhereLeft(entity.Mixed, j.opts.Board.PlaceCall)

	return next
}

// deliver sends a whole answer of a target to the caller.
func (j *job) deliver(w Reply, a *Answer, body []byte) {
	j.timeToFirst = j.now().Sub(j.r.Arrived)
	j.outcome.Status = a.Status
	w.Respond(a.Status, a.Header, body)
}

// callResult is the result of one send of a request to a plain service: a whole answer or an error.
type callResult struct {
	answer    *Answer
	body      []byte
	err       error
	next      *successor // successor of the target, if it was silent
	takenOver bool       // this host ended the send in favour of next
}

// callOnce sends the request to the target of s, reads the whole answer and releases the claim of s. moreTargets states
// that another target may be tried afterwards. A repeatable request is then taken over from a silent target by another
// one, if the time until then is less than half the time to the deadline, so that it leaves time for the next one.
func (j *job) callOnce(ctx context.Context, s *successor, moreTargets bool) callResult {
	defer s.placement.Claim.Release()

	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()

	var silence *watch

	target, remaining := s.placement.Target, j.remaining()
	j.sentAt = j.now()

	if patience := j.patience(); moreTargets && j.route.Repeat == catalog.Repeatable && patience < remaining/2 {
		silence = j.watchRun(ctx, target, patience, cancel, func(context.Context) *successor { return j.replaceCall(target) })
	}

	j.noteSend(target)

	r := callResult{}
	r.answer, r.err = j.opts.Targets.Run(runCtx, j.r, Send{Target: target, Rank: j.account.RankOn(j.route), Account: j.account.ID, Timeout: remaining})

	if r.err == nil {
		r.body, r.err = j.readAnswer(runCtx, r.answer, silence)
	}

	r.next, r.takenOver = silence.stop(r.err != nil)

	return r
}

// readAnswer reads the whole body of answer and closes it. If there is no memory for it, it waits until ctx ends, and silence, which may be nil,
// pauses. The body of a refusal is of no use and not returned.
func (j *job) readAnswer(ctx context.Context, answer *Answer, silence *watch) ([]byte, error) {
	defer func() { _ = answer.Body.Close() }() // the answer was read to its end, or is of no use

	if answer.NotRun {
		// The connection can be reused only if the body has been read.
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusalBytes))

		return nil, nil
	}

	buf := j.newBuffer(ctx, maxAnswerBytes, silence)

	body, err := readBody(answer.Body, buf)
	if err != nil {
		buf.Release()

		return nil, err
	}

	j.noteSize(len(body))

	return body, nil
}

// readBody reads the whole body of an answer into b.
func readBody(r io.Reader, b *buffers.Buffer) ([]byte, error) {
	body, err := b.ReadAll(r)
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTruncated, "the answer was cut off").WithCause(err)
	}

	return body, nil
}

// replaceCall returns a successor of t, which runs a repeatable request to a plain service, or nil if there is none.
func (j *job) replaceCall(t fleet.Target) *successor {
	if !j.mayReplace(1) {
		return nil
	}

	placement, ok := j.placeCallOn(j.avoiding(t))
	if !ok || placement.Paused { // a paused target is likelier to be silent too than t is to stay so
		j.unplace(placement)

		j.lack = lackTarget

		return nil
	}

	if !j.maySend() {
		j.unplace(placement)

		return nil
	}

	return &successor{placement: placement, paidAt: j.now()}
}

// noteFailedCall records that a send to t failed, and returns the verdict.
func (j *job) noteFailedCall(t fleet.Target, r callResult) verdict.Verdict {
	if r.takenOver {
		j.noteTakenOver(t)

		return verdict.MayHaveRun
	}

	return j.noteFailure(t, r.err)
}

// fail refuses a request that no target has answered. cause is the error of the last send, or nil.
func (j *job) fail(ctx context.Context, w Reply, v verdict.Verdict, cause error) {
	if err := j.endError(ctx, v); err != nil {
		j.refuse(w, err.WithCause(cause))

		return
	}

	if v == verdict.NotRun {
		if j.forwardAfterFailure(ctx, w, cause) {
			return
		}

		j.refuse(w, j.noTargetError().WithCause(cause))

		return
	}

	j.refuse(w, verdict.New(v, verdict.CodeTargetLost, "the target did not answer").WithCause(cause))
}

package relay

import (
	"context"
	"io"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
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
		runs        int
		ran         = verdict.NotRun
		cause       error
		lastFailure *Answer // the last error status that a target answered with
		failureBody []byte
	)

	for runs < j.route.MaxTargets {
		if j.endError(ctx, ran) != nil {
			break
		}

		placement, ok := j.opts.Board.PlaceCall(j.now(), j.candidates(entity.Mixed), j.placingJob())
		if !ok || !j.maySend() {
			placement.Claim.Release()

			break
		}

		answer, body, err := j.callOnce(ctx, placement, runs+1 < j.route.MaxTargets)
		placement.Claim.Release()

		switch {
		case err != nil:
			v := j.noteFailure(placement.Target, err)
			cause = err

			if v == verdict.NotRun {
				j.sends-- // the request did not reach the target

				continue
			}

			ran = v
			runs++

			if !retries.Permits(v, j.route.Repeat == catalog.AtMostOnce) {
				j.fail(ctx, w, ran, cause)

				return
			}
		case answer.NotRun:
			j.noteRefusal(placement.Target, answer.Status)
		case answer.Status >= 500 && j.route.Repeat == catalog.Repeatable:
			j.noteCompletion(placement.Target, answer.Status)
			j.tried = append(j.tried, placement.Target.ID)
			lastFailure, failureBody = answer, body
			runs++
		default:
			j.noteCompletion(placement.Target, answer.Status)
			j.deliver(w, answer, body)

			return
		}
	}

	if lastFailure != nil {
		j.deliver(w, lastFailure, failureBody)

		return
	}

	j.fail(ctx, w, ran, cause)
}

// deliver sends a whole answer of a target to the caller.
func (j *job) deliver(w Reply, a *Answer, body []byte) {
	j.timeToFirst = j.now().Sub(j.r.Arrived)
	j.outcome.Status = a.Status
	w.Respond(a.Status, a.Header, body)
}

// callOnce sends the request to one target and reads the whole answer. moreTargets states that another target may be
// tried afterwards. A repeatable request then gets a shorter timeout, if that is less than half the time to the
// deadline, so that a silent target leaves time for the next one. The body of a refusal is of no use and not returned.
func (j *job) callOnce(ctx context.Context, placement placing.Placement, moreTargets bool) (*Answer, []byte, error) {
	remaining := j.remaining()

	if timeout := max(silentObjectives*j.route.Objective, minSilence); moreTargets &&
		j.route.Repeat == catalog.Repeatable && timeout < remaining/2 {
		var cancel context.CancelFunc

		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}

	answer, err := j.opts.Targets.Run(ctx, j.r, Send{Target: placement.Target, Rank: j.route.Rank, Timeout: remaining})
	if err != nil {
		return nil, nil, err
	}

	defer func() { _ = answer.Body.Close() }() // the answer was read to its end, or is of no use

	if answer.NotRun {
		// The connection can be reused only if the body has been read.
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusalBytes))

		return answer, nil, nil
	}

	buf := j.newBuffer(maxAnswerBytes)

	body, err := readBody(answer.Body, buf)
	if err != nil {
		buf.Release()

		return nil, nil, err
	}

	return answer, body, nil
}

// readBody reads the whole body of an answer into b.
func readBody(r io.Reader, b *buffers.Buffer) ([]byte, error) {
	body, err := b.ReadAll(r)
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTruncated, "the answer was cut off").WithCause(err)
	}

	return body, nil
}

// fail refuses a request that no target has answered. cause is the error of the last send, or nil.
func (j *job) fail(ctx context.Context, w Reply, v verdict.Verdict, cause error) {
	if err := j.endError(ctx, v); err != nil {
		j.refuse(w, err.WithCause(cause))

		return
	}

	if v == verdict.NotRun {
		j.refuse(w, verdict.New(v, verdict.CodeNoTarget, "no target accepts the request now").
			WithRetryAfter(noTargetRetryAfter).WithCause(cause))

		return
	}

	j.refuse(w, verdict.New(v, verdict.CodeTargetLost, "the target did not answer").WithCause(cause))
}

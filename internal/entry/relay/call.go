package relay

import (
	"context"
	"io"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/retries"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// maxBody bounds an answer that is read before it is passed on, in bytes.
	maxBody = 8 << 20
	// silence is how many objectives a target of a repeatable request may stay silent before another is asked.
	silence = 4
	// leastSilence is the least such time: several times the delay between data centres.
	leastSilence = 150 * time.Millisecond
)

// call serves a request to a plain service.
func (j *job) call(ctx context.Context, w Reply) {
	var (
		runs    int
		ran     = verdict.NotRun
		cause   error
		kept    *Answer // the last failure that a target answered
		content []byte
	)

	for runs < j.route.MaxTargets {
		if j.ended(ctx, ran) != nil {
			break
		}

		p, ok := j.opts.Board.ForCall(j.now(), j.candidates(table.Mixed), j.work())
		if !ok || !j.maySend() {
			p.Claim.Release()

			break
		}

		answer, body, err := j.callOnce(ctx, p, runs+1 < j.route.MaxTargets)
		p.Claim.Release()

		switch {
		case err != nil:
			v := j.failed(p.Target, err)
			cause = err

			if v == verdict.NotRun {
				j.sends-- // nothing has arrived there

				continue
			}

			ran = v
			runs++

			if !retries.Permits(v, j.route.Repeat == catalog.AtMostOnce) {
				j.fail(ctx, w, ran, cause)

				return
			}
		case answer.NotRun:
			j.refused(p.Target, answer.Status)
		case answer.Status >= 500 && j.route.Repeat == catalog.Repeatable:
			j.opts.Board.Note(j.now(), p.Target, placing.Failed)
			j.tried = append(j.tried, p.Target.ID)
			kept, content = answer, body
			runs++
		default:
			j.opts.Board.Note(j.now(), p.Target, outcomeOf(answer.Status))
			j.deliver(w, answer, body)

			return
		}
	}

	if kept != nil {
		j.deliver(w, kept, content)

		return
	}

	j.fail(ctx, w, ran, cause)
}

func outcomeOf(status int) placing.Outcome {
	if status >= 500 {
		return placing.Failed
	}

	return placing.Served
}

func (j *job) deliver(w Reply, a *Answer, body []byte) {
	j.first = j.now().Sub(j.r.Arrived)
	j.out.Status = a.Status
	w.Whole(a.Status, a.Header, body)
}

// callOnce sends the request to one target and reads its whole answer. If another target may be asked
// after this one, a silent target is given up early.
func (j *job) callOnce(ctx context.Context, p placing.Placement, another bool) (*Answer, []byte, error) {
	limit := j.left()

	if patience := max(silence*j.route.Objective, leastSilence); another && j.route.Repeat == catalog.Repeatable && patience < limit/2 {
		var cancel context.CancelFunc

		ctx, cancel = context.WithTimeout(ctx, patience)
		defer cancel()
	}

	answer, err := j.opts.Targets.Run(ctx, j.r, Send{Target: p.Target, Rank: j.route.Rank, Limit: limit})
	if err != nil {
		return nil, nil, err
	}

	defer func() { _ = answer.Body.Close() }() // the answer has been read or given up

	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = verdict.New(verdict.Ran, verdict.CodeAnswerTooLarge, "the answer is too large")
	}

	if err != nil {
		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.CodeTruncated, "the answer broke off").Because(err)
	}

	return answer, body, nil
}

// fail ends a request that no target has answered.
func (j *job) fail(ctx context.Context, w Reply, v verdict.Verdict, cause error) {
	if err := j.ended(ctx, v); err != nil {
		j.refuse(w, err.Because(cause))

		return
	}

	if v == verdict.NotRun {
		j.refuse(w, verdict.New(v, verdict.CodeNoTarget, "no target takes the request now").After(noTargetRetry).Because(cause))

		return
	}

	j.refuse(w, verdict.New(v, verdict.CodeTargetLost, "the target did not answer").Because(cause))
}

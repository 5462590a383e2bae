package relay

import (
	"context"
	"net/http"
	"slices"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Forwarder serves requests through other hosts.
type Forwarder interface {
	// Forward makes a host that reaches targets of service serve r, of which h says what has been done, and passes its answer
	// to w. It reports false if no host has taken the request. Nothing has then been written to w, and the request has not run.
	Forward(ctx context.Context, service entity.ServiceName, r *Request, h Handover, w Reply) bool
}

// count counts the request towards the retry budget, once over all hosts.
func (j *job) count() {
	if !j.counted {
		j.counted = true
		j.opts.Retries.CountRequest(j.r.Arrived, j.service.Name)
	}
}

// forward lets another host serve the request, if no send of it has reached a target and it has not come from another host.
// It reports whether the request has its final answer.
func (j *job) forward(ctx context.Context, w Reply) bool {
	if j.opts.Forwarder == nil || j.r.Handover != nil || j.sends > 0 {
		return false
	}

	r := *j.r
	r.Timeout = j.remaining()

	if r.Timeout <= 0 || ctx.Err() != nil {
		return false
	}

	j.forwarded = j.opts.Forwarder.Forward(ctx, j.service.Name, &r, Handover{
		Configuration: j.version, Avoid: append(slices.Clone(j.opts.Fleet().Leaving()), j.opts.Limits.Leaving(j.now())...), Counted: j.counted, Prefilled: j.prefilled,
		Account: j.account.ID, Rank: j.account.RankOn(j.route),
	}, &forwardedReply{w, ctx, j})

	return j.forwarded
}

// forwardAfterFailure does what forward does for a request that has failed with cause, unless this host reaches targets.
func (j *job) forwardAfterFailure(ctx context.Context, w Reply, cause error) bool {
	return cause != nil && j.opts.Reach.Doubtful(j.now(), j.service.Name) && j.forward(ctx, w)
}

// forwardedReply passes the answer of another host to the caller and records the outcome.
type forwardedReply struct {
	Reply

	ctx context.Context
	job *job
}

// Respond implements Reply.
func (r *forwardedReply) Respond(status int, header http.Header, body []byte) {
	r.job.timeToFirst = r.job.now().Sub(r.job.r.Arrived)
	r.job.outcome.Status = status
	r.Reply.Respond(status, header, body)
}

// Begin implements Reply.
func (r *forwardedReply) Begin(status int, header http.Header) {
	r.job.timeToFirst = r.job.now().Sub(r.job.r.Arrived)
	r.job.outcome.Status = status
	r.Reply.Begin(status, header)
}

// WriteEvent implements Reply.
func (r *forwardedReply) WriteEvent(p []byte) error {
	err := r.Reply.WriteEvent(p)
	if err != nil {
		r.job.outcome.Problem = verdict.New(verdict.MayHaveRun, verdict.CodeCallerGone, "the caller disconnected").WithCause(err)
	}

	return err
}

// Abort implements Reply.
func (r *forwardedReply) Abort() {
	if r.job.outcome.Problem == nil {
		r.job.outcome.Problem = verdict.New(verdict.MayHaveRun, verdict.CodeTruncated, "the stream was cut off at another host")
	}

	r.Reply.Abort()
}

// Refuse implements Reply. The end of the call to the other host may only show that the caller has left or that the deadline
// has passed.
func (r *forwardedReply) Refuse(err *verdict.Error) {
	if end := r.job.endError(r.ctx, err.Verdict); end != nil && err.Code == verdict.CodePeerLost {
		err = end.WithCause(err)
	}

	r.job.refuse(r.Reply, err)
}

// noteReached records that a target of the service has answered.
func (j *job) noteReached() { j.opts.Reach.RecordReached(j.now(), j.service.Name) }

// noteUnreached records that t could not be reached or did not answer.
func (j *job) noteUnreached(t fleet.Target) {
	j.opts.Reach.RecordFailed(j.now(), j.service.Name, t.ID, len(j.opts.Fleet().Of(j.service.Name)))
}

// reaches waits until it is known whether this host is cut off from service, and reports whether it is not.
func (l *Relay) reaches(ctx context.Context, service entity.ServiceName) bool {
	for l.opts.Reach.Doubtful(l.opts.Clock.Now(), service) {
		if l.opts.Reach.CutOff(service) {
			return false
		}

		select {
		case <-ctx.Done():
			return false
		case <-l.opts.Clock.After(searchInterval):
		}
	}

	return true
}

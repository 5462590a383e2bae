package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// eventsPerToken and extraEvents bound the events of an answer.
	eventsPerToken = 4
	extraEvents    = 256

	eventStream = "text/event-stream" // media type of streams of events
)

var (
	errTooManyEvents = errors.New("the stream has more events than the request allows tokens")
	errNoEvent       = errors.New("the connection was closed before the first event")
)

// progress is how much of a stream has been served.
type progress struct {
	begun       bool              // the status and header were sent to the caller
	status      int               // that status
	mediaType   string            // media type in that header; empty for none
	lastEventID string            // id of the last event that the caller has
	ran         []entity.TargetID // replicas that may have run the request
	final       bool              // the request may not be run again
	cause       error             // error of the last failed send
}

// permitsOther reports whether a replica other than t and those that may have run the request may run it, if at most n
// replicas may run it.
func (p *progress) permitsOther(t fleet.Target, n int) bool {
	runs := len(p.ran)
	if !slices.Contains(p.ran, t.ID) {
		runs++
	}

	return !p.final && runs < n
}

// continues returns an error if answer cannot go on with the stream that has begun.
func (p *progress) continues(answer *Answer) error {
	switch t := mediaType(answer.Header); {
	case !p.begun:
		return nil
	case answer.Status != p.status:
		return fmt.Errorf("a replica answered with status %d", answer.Status)
	case t != p.mediaType && t != eventStream:
		return fmt.Errorf("a replica answered with media type %.64q", t)
	}

	return nil
}

// mediaType returns the media type that h states, without its parameters, or "" if h states none.
func mediaType(h http.Header) string {
	t, _, _ := strings.Cut(h.Get("Content-Type"), ";")

	return strings.ToLower(strings.TrimSpace(t))
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

	var (
		next    *successor
		handle  *KVHandle // KV cache of the prompt that no replica has fetched
		refusal *verdict.Error
		done    bool
	)

	for j.endError(ctx, verdict.MayHaveRun) == nil {
		if next == nil {
			if next, handle, refusal = j.nextPlace(ctx, &p, handle); refusal != nil {
				if j.waitForPlace(ctx) {
					continue
				}

				break
			}
		}

		place := next
		j.noteReplacement(place.placement.Target)

		if next, handle, done = j.generate(ctx, w, place, &p); done {
			return
		}

		j.waitToReturn(ctx, place, next)

		if next != nil {
			j.releaseKV(handle)
			handle = nil
		}
	}

	j.giveUp(next)
	j.releaseKV(handle)
	j.endStream(ctx, w, p, refusal)
}

// nextPlace returns a place for the next run of the request. handle is the KV cache of the prompt, or nil; it is returned
// if it is still unused. An error means that there is no place now.
func (j *job) nextPlace(ctx context.Context, p *progress, handle *KVHandle) (*successor, *KVHandle, *verdict.Error) {
	if !p.final && (len(p.ran) >= j.route.MaxTargets || j.sends >= maxSends) {
		if next, ok := j.placeWhereLeft(entity.Decode, j.placeDecode); ok {
			j.releaseKV(handle)

			return next, nil, nil
		}
	}

	if p.final || len(p.ran) >= j.route.MaxTargets {
		j.lack = lackAttempts

		return nil, handle, j.noTargetError()
	}

	if handle == nil && !p.begun && !j.resumes() {
		j.chooseVersion()
	}

	// A prefill is of no use if no send is left for the run.
	if handle == nil && j.sends+2 <= maxSends {
		var (
			next    *successor
			refusal *verdict.Error
		)

		if handle, next, refusal = j.prefill(ctx, p); next != nil || refusal != nil {
			return next, handle, refusal
		}
	}

	placingJob := j.placingJob()
	if handle != nil {
		placingJob.Near = handle.Target.DataCentre
	}

	placement, ok := j.placeRun(placingJob)
	if !ok {
		j.noteNoTarget(entity.Decode)

		if next, ok := j.placeWhereLeft(entity.Decode, j.placeDecode); ok {
			j.releaseKV(handle)

			return next, nil, nil
		}
	}

	if !ok || !j.maySend() {
		j.unplace(placement)

		return nil, handle, j.noTargetError()
	}

	return &successor{placement: placement, handle: handle, paidAt: j.now()}, nil, nil
}

// endStream ends a stream that no target has completed. A stream that has begun is aborted. Otherwise refusal, if not
// nil, is sent to the caller unless a target may have run the request.
func (j *job) endStream(ctx context.Context, w Reply, p progress, refusal *verdict.Error) {
	if p.begun {
		j.outcome.Problem = verdict.New(verdict.MayHaveRun, verdict.CodeTruncated, "the stream was cut off").WithCause(p.cause)
		w.Abort()

		return
	}

	if refusal != nil && len(p.ran) == 0 {
		if j.forwardAfterFailure(ctx, w, p.cause) {
			return
		}

		j.refuse(w, refusal)

		return
	}

	ran := verdict.NotRun
	if len(p.ran) > 0 {
		ran = verdict.MayHaveRun
	}

	j.fail(ctx, w, ran, p.cause)
}

// noTargetError returns the error for a request for which there is no target, or that may not be sent any more.
func (j *job) noTargetError() *verdict.Error {
	switch j.lack {
	case lackQuarantine:
		return j.quarantineError()
	case lackLimit:
		return j.limitError()
	default:
	}

	return verdict.New(verdict.NotRun, verdict.CodeNoTarget, "no replica accepts the request now").WithRetryAfter(noTargetRetryAfter)
}

// kvCapacity returns the KV cache size of each replica of the service, or zero if the service is not a model.
func (j *job) kvCapacity() entity.Tokens {
	if j.service.Engine == nil {
		return 0
	}

	return j.service.Engine.KVCapacity
}

// generate makes the replica of s generate the answer and forwards it to the caller. It reports whether the stream has
// ended. Otherwise it returns the successor of the replica, if there is one, and the KV cache of s, if it is unused.
func (j *job) generate(ctx context.Context, w Reply, s *successor, p *progress) (next *successor, handle *KVHandle, done bool) {
	defer s.placement.Claim.Release()

	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()

	target := s.placement.Target
	patience := j.firstEventTimeout(s.handle)
	j.sentAt = j.now()
	j.parts.begun = false

	var silence *watch // nil if no other replica may continue the stream
	if j.route.Repeat == catalog.Resumable {
		silence = j.watchRun(ctx, target, patience, cancel, func(ctx context.Context) *successor { return j.replaceDecode(ctx, p, target) })
	}

	j.noteSend(target)

	answer, err := j.opts.Targets.Run(runCtx, j.r, Send{
		Target: target, Rank: j.rank(), Account: j.account.ID, Timeout: j.remaining(), LastEventID: p.lastEventID, KVCache: s.handle,
	})
	if err != nil {
		next, endedRun := silence.stop(true)

		if j.noteFailedRun(target, err, endedRun, p) == verdict.NotRun {
			j.noteNotRun(s, false)

			return next, s.handle, false
		}

		j.noteRun(p, target)

		return next, nil, false
	}

	defer func() { _ = answer.Body.Close() }() // the answer was read to its end, or is of no use

	silence.pause()
	j.noteReached()

	if answer.NotRun {
		j.noteRefusal(target, answer.Status)
		j.noteNotRun(s, true)

		next, _ = silence.stop(true)

		return next, s.handle, false
	}

	j.noteRun(p, target)

	if err := p.continues(answer); err != nil || answer.Status >= 300 {
		p.cause = err
		next, _ = silence.stop(false)

		if done = j.passErrorAnswer(ctx, w, answer, p); done {
			j.giveUp(next)
			next = nil
		}

		return next, nil, done
	}

	silence.resume(j.now(), patience)

	done, err = j.passEvents(ctx, w, answer, target, p, silence)
	next, endedRun := silence.stop(!done)

	if done {
		j.giveUp(next)

		return nil, nil, true
	}

	j.noteFailedRun(target, err, endedRun, p)

	return next, nil, false
}

// noteFailedRun records that the run of t ended with err, and returns the verdict of err. takenOver states that this host
// ended the run in favour of a successor.
func (j *job) noteFailedRun(t fleet.Target, err error, takenOver bool, p *progress) verdict.Verdict {
	p.cause = err
	j.noteBrokenRun(t, err)

	if takenOver {
		j.noteTakenOver(t)

		return verdict.MayHaveRun
	}

	return j.noteFailure(t, err)
}

// firstEventTimeout returns how long a replica may take to send its first event. A replica that has no KV cache to
// fetch has to prefill the prompt itself and gets at least Pacing.AbandonAfter.
func (j *job) firstEventTimeout(handle *KVHandle) time.Duration {
	if handle == nil {
		return j.pacing().AbandonAfter()
	}

	return j.patience()
}

// passErrorAnswer forwards a replica's error status with the whole body to the caller and reports true. It reports false
// if the stream has begun, the body could not be read, or the replica failed to serve a request that was taken over from
// a silent one, which may still serve it.
func (j *job) passErrorAnswer(ctx context.Context, w Reply, answer *Answer, p *progress) bool {
	if p.begun {
		return false
	}

	if answer.Status >= 500 && len(j.left) > 0 {
		p.cause = fmt.Errorf("a replica answered with status %d", answer.Status)

		return false
	}

	body, err := j.readAnswer(ctx, answer, nil)
	if err != nil {
		p.cause = err

		return false
	}

	j.deliver(w, answer, body)

	return true
}

// passEvents forwards events as they arrive. It reports whether the stream has ended: the answer is complete or the
// caller cannot be written to. Otherwise it returns the error of the replica t, whose silences silence watches.
func (j *job) passEvents(ctx context.Context, w Reply, answer *Answer, t fleet.Target, p *progress, silence *watch) (bool, error) {
	stream := &events{body: answer.Body, buf: j.newBuffer(ctx, maxEventBytes, silence)}
	defer stream.buf.Release()

	if j.route.Repeat == catalog.Resumable {
		stream.lastID = p.lastEventID
	}

	limit := j.maxEvents()
	mayBeEmpty := !answer.Open || !p.begun && p.lastEventID != ""

	// A target may send what the caller has missed of a stream that is taken up faster than it generates.
	pace := pace{skip: p.lastEventID != ""}

	for {
		event, id, err := stream.next()
		readAt := j.now()

		silence.pause()

		if j.deafUntil.After(j.lastHeard) {
			pace.skip = true // the wait was not the target's
		}

		// A replica that is lost closes its connections too. One that has nothing left to send to a caller who takes a stream up
		// sends no event, and that caller could not get the end of its stream otherwise.
		if errors.Is(err, io.EOF) && stream.count == 0 && !mayBeEmpty {
			err = errNoEvent
		}

		if errors.Is(err, io.EOF) {
			j.noteCompletion(t, answer.Status)
			j.outcome.Status = answer.Status

			if !p.begun {
				j.beginReply(w, answer, p)
			}

			return true, nil
		}

		if err == nil && limit > 0 && stream.count > limit {
			err = errTooManyEvents
		}

		if err != nil {
			return false, err
		}

		j.noteBegun()
		j.noteRan()

		if !p.begun {
			j.awaitRecord(ctx)
			j.beginReply(w, answer, p)
		}

		if id != "" {
			p.lastEventID = id
		}

		// A run that goes on at lastEventID would send the events without an id again.
		p.final = j.route.Repeat != catalog.Resumable || stream.unnamed

		j.noteEvent(readAt, t, stream.count, &pace)

		if err := w.WriteEvent(event); err != nil {
			j.outcome.Problem = verdict.New(verdict.Ran, verdict.CodeCallerGone, "the caller disconnected").WithCause(err)
			w.Abort()

			return true, nil
		}

		j.silent, j.lastHeard = "", j.now()

		if j.lastHeard.Sub(readAt) > blockedWrite {
			pace.since = time.Time{}
		}

		silence.resume(j.lastHeard, j.patience())
	}
}

// maxEvents returns the number of events beyond which an answer is not one to the request, as each event has at least one
// token, or zero if the request does not limit the tokens. Events that carry no token are allowed for.
func (j *job) maxEvents() int {
	if j.r.Output == 0 {
		return 0
	}

	return eventsPerToken*int(j.r.Output) + extraEvents
}

// beginReply sends the status and header to the caller and records the time to the first event.
func (j *job) beginReply(w Reply, answer *Answer, p *progress) {
	p.begun, p.status, p.mediaType = true, answer.Status, mediaType(answer.Header)
	j.timeToFirst = j.now().Sub(j.r.Arrived)
	w.Begin(answer.Status, answer.Header)
}

// noteRun records that t may have run the request. Unless the route is resumable, no replica runs it again.
func (j *job) noteRun(p *progress, t fleet.Target) {
	if !slices.Contains(p.ran, t.ID) {
		p.ran = append(p.ran, t.ID)
	}

	p.final = j.route.Repeat != catalog.Resumable
}

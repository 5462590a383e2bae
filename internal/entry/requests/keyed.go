package requests

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	finishTimeout = time.Minute // bound on recording the result in a claim or withdrawing the claim
	// maxFreshKeyAge is the age up to which a key counts as sent for the first time. A request whose key is older, or
	// dated further in the future, may be a repeat: when it is refused, an earlier run can be ruled out only by reading
	// the claim.
	maxFreshKeyAge = 2 * time.Second
	joinRetryAfter = time.Second // retry delay sent to a caller whose answer was lost or is not held any more

	maxClaimantChecks     = 4
	claimantCheckInterval = 500 * time.Millisecond
)

// keyedRequest is a request with its parsed idempotency key and the answer to finish.
type keyedRequest struct {
	req entity.Request
	key claims.Key
	ans *answers.Answer
}

// claimAndRun claims the key of c and runs the request if this host gets the claim. If another run holds the claim,
// it follows that run. If the claim fails because the platform is unavailable, a kind that may run twice is run
// without a claim; any other failure ends c.ans. It finishes c.ans in all cases.
func (s *Service) claimAndRun(ctx context.Context, c keyedRequest) {
	ctx, cancel := s.withDeadline(ctx, c.req)
	defer cancel()

	target := s.chooseTargets(&c.req)

	age := s.opts.Clock.Since(c.key.Time())

	out, err := s.opts.Claims.Claim(ctx, ledger.Request{
		Key: c.key, Fingerprint: fingerprintOf(c.req), Nonce: claims.NewNonce(),
		Claimant: s.opts.Host, DataCentre: s.opts.Home, Request: c.req.ID, Target: target,
		// Only a patient request that must not run without a claim waits for the platform.
		Patient: c.req.Kind.AtMostOnce && c.req.Kind.Urgency == entity.Patient, Repeat: age > maxFreshKeyAge || age < -maxFreshKeyAge,
	})

	switch {
	case err == nil && out.Mine:
		s.runAndRecord(ctx, c, out.Record)
	case err == nil:
		s.followClaim(ctx, c, out.Record)
	case !c.req.Kind.AtMostOnce && verdict.From(err).Code == verdict.CodePlatformUnavailable:
		// This kind may run twice, so it is served without a claim while the platform is unavailable.
		s.admitAndRun(ctx, c.req, c.ans)
	default:
		c.ans.Finish(verdict.From(err))
	}
}

// chooseTargets sets the preferred targets of req and returns the one that will generate its answer, or "" if
// there is none.
func (s *Service) chooseTargets(req *entity.Request) entity.TargetID {
	t, ok := s.opts.Router.Pick(*req, nil)
	if !ok {
		return ""
	}

	req.Preferred = t.ID

	if s.opts.Phases == nil || t.Type != entity.Engine || s.opts.Phases.Role(t.ID) != entity.Prefill {
		return t.ID
	}

	if d, ok := s.opts.Phases.PickDecode(*req, t.DataCentre, nil); ok {
		req.PreferredDecode = d.ID
	}

	return cmp.Or(req.PreferredDecode, t.ID)
}

// fingerprintOf returns a hash of req that detects the use of one key for different requests.
func fingerprintOf(req entity.Request) claims.Fingerprint {
	return claims.FingerprintOf(req.Kind.Name, append([]byte(req.Path+"\n"), req.Body...))
}

// runAndRecord runs a request whose claim this host holds. It then records the result in the claim, or withdraws
// the claim if a repeat may run.
func (s *Service) runAndRecord(ctx context.Context, c keyedRequest, record claims.Record) {
	s.admitAndRun(ctx, c.req, c.ans)

	_, problem := c.ans.Ended()

	// The caller has its answer already, so the claim is updated in the background.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)

	go func() {
		defer cancel()

		if problem != nil && mayRunAgain(c.req, problem) {
			s.logFailure(c.req, "withdraw the claim", s.opts.Claims.Abandon(ctx, record))

			return
		}

		s.logFailure(c.req, "record the result", s.opts.Claims.Finish(ctx, record, resultOf(c.ans, problem)))
	}()
}

// mayRunAgain reports whether the claim of req is withdrawn after problem, so that a repeat can claim the key and run.
// That is so if nothing can have run. It is also so for a kind that may run twice if the caller already has a part of
// an earlier answer, since admitAndRun has then refused req.
func mayRunAgain(req entity.Request, problem *verdict.Error) bool {
	return problem.Verdict == verdict.NotRun || req.EventsSeen > 0 && !req.Kind.AtMostOnce
}

// followClaim finishes c.ans with the answer of the run that holds the claim: from the recorded result, from
// the host that holds the claim, or from the engine. It never runs a kind that runs at most once.
func (s *Service) followClaim(ctx context.Context, c keyedRequest, record claims.Record) {
	if record.State == claims.Done {
		if finishFromResult(c.ans, record.Result) {
			return
		}
	}

	if s.opts.Peers != nil && record.Claimant != s.opts.Host {
		if s.awaitClaimant(ctx, c, record) {
			return
		}

		err := s.opts.Peers.Join(ctx, record.Claimant, c.req.Account, c.req.Key, c.ans)
		if err == nil {
			c.ans.Finish(nil)

			return
		}

		if e := verdict.From(err); isFinalJoinError(e.Code) {
			c.ans.Finish(e)

			return
		}
	}

	s.resumeOnEngine(ctx, c, record)
}

// awaitClaimant waits, for at most maxClaimantChecks checks, until the claimant counts as alive, since a host
// that has just started may not have received a heartbeat from it yet. It reports true if the claim was
// completed meanwhile and its recorded result has finished c.ans.
func (s *Service) awaitClaimant(ctx context.Context, c keyedRequest, record claims.Record) bool {
	for range maxClaimantChecks {
		if s.opts.Peers.Alive(record.Claimant) {
			return false
		}

		select {
		case <-ctx.Done():
			return false
		case <-s.opts.Clock.After(claimantCheckInterval):
		}

		current, ok, err := s.opts.Claims.Lookup(ctx, record.Key)
		if err == nil && ok && current.State == claims.Done && finishFromResult(c.ans, current.Result) {
			return true
		}
	}

	return false
}

// isFinalJoinError reports whether a Join error with this code is the outcome of the joined request itself.
// The other codes mean that the host could not be reached, failed, or does not hold the answer.
func isFinalJoinError(code verdict.Code) bool {
	switch code {
	case verdict.CodeNotFound, verdict.CodePeerLost, verdict.CodeInternal:
		return false
	default:
		return true
	}
}

// resumeOnEngine resumes the answer on the engine that the claim names, after the host that ran the request was lost or
// has dropped the answer. If that fails, a kind that may run twice is run again, unless a reader has received events.
// A request to a service, or whose claim names no target, ends with a problem.
func (s *Service) resumeOnEngine(ctx context.Context, c keyedRequest, record claims.Record) {
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "the entry host that ran this request was lost").WithRetryAfter(joinRetryAfter)

	if record.State == claims.Done {
		lost = verdict.New(record.Result.Verdict, verdict.CodeTargetLost, "the request has ended; its answer is no longer held")
	}

	if c.req.Kind.Model == "" || record.Target == "" {
		c.ans.Finish(lost)

		return
	}

	resumed := c.req
	resumed.ID = record.Request
	resumed.Pinned = record.Target
	resumed.Resume = true

	ans := answers.NewFrom(c.ans.NextSeq())

	// Events that have come from another host name the engine that generated them, which may not be the one of the claim.
	if meta := c.ans.Meta(); ans.NextSeq() > 0 && meta.Target != "" {
		resumed.Pinned, resumed.SeenVersion = meta.Target, meta.Version
		ans.SetMeta(meta)
	}

	s.opts.Runner.Run(ctx, resumed, ans)

	_, problem := ans.Ended()
	if problem == nil {
		copyAnswer(c.ans, ans)
		s.logFailure(c.req, "record the result", s.finishClaim(ctx, record, resultOf(c.ans, nil)))

		return
	}

	otherVersion := problem.Code == verdict.CodeOtherVersion

	if c.req.Kind.AtMostOnce || otherVersion && c.req.EventsSeen > 0 || !c.ans.Restart() {
		if !otherVersion {
			problem = lost.WithCause(problem)
		}

		c.ans.Finish(problem)

		return
	}

	// The engine cannot continue the answer either, but this kind may run twice.
	s.admitAndRun(ctx, c.req, c.ans)

	if _, problem = c.ans.Ended(); problem == nil {
		s.logFailure(c.req, "record the result", s.finishClaim(ctx, record, resultOf(c.ans, nil)))
	}
}

// finishClaim records res in the claim. It is no error if the claim has since passed to another attempt or has
// been dropped.
func (s *Service) finishClaim(ctx context.Context, record claims.Record, res claims.Result) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()

	err := s.opts.Claims.Finish(ctx, record, res)
	if errors.Is(err, claims.ErrClaimNotHeld) {
		return nil
	}

	return err
}

// logFailure logs err, unless it is nil, as a failure of action.
func (s *Service) logFailure(req entity.Request, action string, err error) {
	if err != nil {
		s.opts.Log.Warn().Str("request", string(req.ID)).Err(err).Msg("could not " + action)
	}
}

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
// without a claim; any other failure ends c.ans. It finishes c.ans in all cases. The returned function gives up the
// claim if a repeat may run, and must be called before readers see the end of c.ans.
func (s *Service) claimAndRun(ctx context.Context, c keyedRequest) (giveUp func()) {
	ctx, cancel := s.withDeadline(ctx, c.req)
	defer cancel()

	target := s.chooseTargets(&c.req)

	age := s.opts.Clock.Since(c.key.Time())

	claim := ledger.Request{
		Key: c.key, Fingerprint: fingerprintOf(c.req), Nonce: claims.NewNonce(),
		Claimant: s.opts.Host, DataCentre: s.opts.Home, Request: c.req.ID, Target: target,
		// Only a patient request that must not run without a claim waits for the platform.
		Patient: c.req.Kind.AtMostOnce && c.req.Kind.Urgency == entity.Patient, Repeat: age > maxFreshKeyAge || age < -maxFreshKeyAge,
	}

	out, err := s.opts.Claims.Claim(ctx, claim)

	switch {
	case err == nil && out.Mine:
		return s.runAndRecord(ctx, c, out.Record)
	case err == nil:
		return s.followClaim(ctx, c, claim, out.Record)
	case !c.req.Kind.AtMostOnce && verdict.From(err).Code == verdict.CodePlatformUnavailable:
		// This kind may run twice, so it is served without a claim while the platform is unavailable.
		s.admitAndRun(ctx, c.req, c.ans)
	default:
		c.ans.Finish(verdict.From(err))
	}

	return func() {}
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

// runAndRecord runs a request whose claim this host holds. It then records the result in the claim, unless a repeat
// may run: the returned function gives up the claim in that case.
func (s *Service) runAndRecord(ctx context.Context, c keyedRequest, record claims.Record) (giveUp func()) {
	s.admitAndRun(ctx, c.req, c.ans)

	_, problem := c.ans.Ended()
	if problem != nil && mayRunAgain(c.req, problem) {
		return func() { s.giveUp(ctx, c.req, record) }
	}

	s.updateClaim(ctx, c.req, "record the result", func(ctx context.Context) error {
		return s.opts.Claims.Finish(ctx, record, resultOf(c.ans, problem))
	})

	return func() {}
}

// giveUp lets repeats claim the key of record, and withdraws the claim in the background.
func (s *Service) giveUp(ctx context.Context, req entity.Request, record claims.Record) {
	s.logFailure(req, "give up the claim", s.opts.Claims.GiveUp(record))

	s.updateClaim(ctx, req, "withdraw the claim", func(ctx context.Context) error {
		return ignoreNotHeld(s.opts.Claims.Abandon(ctx, record))
	})
}

// updateClaim calls update in the background, since the caller does not wait for it, and logs its failure as one of
// action.
func (s *Service) updateClaim(ctx context.Context, req entity.Request, action string, update func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)

	go func() {
		defer cancel()
		defer s.opts.Panics.Recover(req.ID, func(problem *verdict.Error) { s.logFailure(req, action, problem) })

		s.logFailure(req, action, update(ctx))
	}()
}

// ignoreNotHeld returns err, or nil if err means that the claim has since passed to another attempt or has been dropped.
func ignoreNotHeld(err error) error {
	if errors.Is(err, claims.ErrClaimNotHeld) {
		return nil
	}

	return err
}

// mayRunAgain reports whether the claim of req is withdrawn after problem, so that a repeat can claim the key and run.
// That is so if nothing can have run. It is also so for a kind that may run twice if the caller already has a part of
// an earlier answer, since admitAndRun has then refused req.
func mayRunAgain(req entity.Request, problem *verdict.Error) bool {
	return problem.Verdict == verdict.NotRun || req.EventsSeen > 0 && !req.Kind.AtMostOnce
}

// followClaim finishes c.ans with the answer of the run that holds the claim: from the recorded result, from
// the host that holds the claim, or from the engine. If the claimant has given up the claim, it claims the key again and
// runs the request, and returns the function that claimAndRun returns. Otherwise it never runs a kind that runs at most
// once.
func (s *Service) followClaim(ctx context.Context, c keyedRequest, claim ledger.Request, record claims.Record) (giveUp func()) {
	for {
		ended, claimantHasNone := s.followRun(ctx, c, record)
		if ended {
			return func() {}
		}

		if !claimantHasNone {
			break
		}

		claim.Nonce = claims.NewNonce()

		out, err := s.opts.Claims.ClaimAt(ctx, record.Claimant, claim)
		if err == nil && out.Mine {
			return s.runAndRecord(ctx, c, out.Record)
		}

		s.logFailure(c.req, "ask the claimant for its claim", err)

		if err != nil || out.Record.Nonce == record.Nonce && out.Record.State == record.State {
			break
		}

		record = out.Record
	}

	s.resumeOnEngine(ctx, c, record)

	return func() {}
}

// followRun finishes c.ans from the recorded result or from the host that holds the claim, and reports whether it could.
// If not, claimantHasNone reports that the claim is not done although the claimant, which can be reached, holds no answer.
func (s *Service) followRun(ctx context.Context, c keyedRequest, record claims.Record) (ended, claimantHasNone bool) {
	if record.State == claims.Done && finishFromResult(c.ans, record.Result) {
		return true, false
	}

	if record.Claimant == s.opts.Host {
		return false, record.State == claims.Claimed
	}

	if s.opts.Peers == nil {
		return false, false
	}

	if s.awaitClaimant(ctx, c, record) {
		return true, false
	}

	err := s.opts.Peers.Join(ctx, record.Claimant, c.req.Account, c.req.Key, c.ans)
	if err == nil {
		c.ans.Finish(nil)

		return true, false
	}

	e := verdict.From(err)
	if isFinalJoinError(e.Code) {
		c.ans.Finish(e)

		return true, false
	}

	return false, record.State == claims.Claimed && e.Code == verdict.CodeNotFound && c.ans.NextSeq() == 0
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
		s.recordResumed(ctx, c, record)

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
		s.recordResumed(ctx, c, record)
	}
}

// recordResumed records the whole answer in record, the claim of another run.
func (s *Service) recordResumed(ctx context.Context, c keyedRequest, record claims.Record) {
	s.updateClaim(ctx, c.req, "record the result", func(ctx context.Context) error {
		return ignoreNotHeld(s.opts.Claims.Finish(ctx, record, resultOf(c.ans, nil)))
	})
}

// logFailure logs err, unless it is nil, as a failure of action.
func (s *Service) logFailure(req entity.Request, action string, err error) {
	if err != nil {
		s.opts.Log.Warn().Str("request", string(req.ID)).Err(err).Msg("could not " + action)
	}
}

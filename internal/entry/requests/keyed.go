package requests

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	finishBound = time.Minute
	// freshKey is the age up to which a key counts as sent for the first time. A refusal of an
	// older one cannot rule out an earlier run unless the claim has been read.
	freshKey = 2 * time.Second
	joinWait = time.Second

	claimantTries = 4
	claimantPause = 500 * time.Millisecond
)

// claimed is a keyed request on its way through its claim.
type claimed struct {
	req table.Request
	key claims.Key
	ans *answers.Answer
}

// produceClaimed claims req's key and then runs req, or follows the run that holds the key.
func (s *Service) produceClaimed(ctx context.Context, c claimed) {
	ctx, cancel := s.bounded(ctx, c.req)
	defer cancel()

	target := s.choose(&c.req)

	age := s.opts.Clock.Since(c.key.Time())

	out, err := s.opts.Claims.Claim(ctx, ledger.Request{
		Key: c.key, Fingerprint: fingerprintOf(c.req), Nonce: claims.NewNonce(),
		Claimant: s.opts.Host, DataCentre: s.opts.Home, Request: c.req.ID, Target: target,
		// Only a request that must be claimed waits for the platform.
		Patient: c.req.Kind.AtMostOnce && c.req.Kind.Urgency == table.Patient, Repeat: age > freshKey || age < -freshKey,
	})

	switch {
	case err == nil && out.Mine:
		s.runClaimed(ctx, c, out.Record)
	case err == nil:
		s.follow(ctx, c, out.Record)
	case !c.req.Kind.AtMostOnce && verdict.From(err).Code == verdict.CodeNoPlatform:
		// Running such a request twice does no harm, so it is served without the platform.
		s.produce(ctx, c.req, c.ans)
	default:
		c.ans.Finish(verdict.From(err))
	}
}

// choose names the targets that req should run on and returns the one that will hold its answer.
func (s *Service) choose(req *table.Request) table.TargetID {
	t, ok := s.opts.Router.Pick(*req, nil)
	if !ok {
		return ""
	}

	req.Preferred = t.ID

	if s.opts.Phases == nil || t.Type != table.Engine || s.opts.Phases.Role(t.ID) != table.Prefill {
		return t.ID
	}

	if d, ok := s.opts.Phases.PickDecode(*req, t.DataCentre, nil); ok {
		req.HandOver = d.ID
	}

	return cmp.Or(req.HandOver, t.ID)
}

// fingerprintOf tells requests apart that share a key by mistake.
func fingerprintOf(req table.Request) claims.Fingerprint {
	return claims.FingerprintOf(req.Kind.Name, append([]byte(req.Path+"\n"), req.Body...))
}

// runClaimed runs a request whose claim this host holds and records what it came to.
func (s *Service) runClaimed(ctx context.Context, c claimed, record claims.Record) {
	s.produce(ctx, c.req, c.ans)

	_, problem := c.ans.Ended()

	// The caller has its answer already; the claim is settled behind it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishBound)

	go func() {
		defer cancel()

		if problem != nil && mayRunAgain(c.req, problem) {
			s.logged(c.req, "withdraw the claim", s.opts.Claims.Abandon(ctx, record))

			return
		}

		s.logged(c.req, "record the result", s.opts.Claims.Finish(ctx, record, resultOf(c.ans, problem)))
	}()
}

// mayRunAgain reports whether a repeat of req may claim its key again after problem.
func mayRunAgain(req table.Request, problem *verdict.Error) bool {
	return problem.Verdict == verdict.NotRun || req.Seen > 0 && !req.Kind.AtMostOnce
}

// follow finds the answer of a request that another attempt holds. It never runs a kind that runs
// at most once.
func (s *Service) follow(ctx context.Context, c claimed, record claims.Record) {
	if record.State == claims.Done {
		if done(c.ans, record.Result) {
			return
		}
	}

	if s.opts.Peers != nil && record.Claimant != s.opts.Host {
		if s.settled(ctx, c, record) {
			return
		}

		err := s.opts.Peers.Join(ctx, record.Claimant, c.req.Account, c.req.Key, c.ans)
		if err == nil {
			c.ans.Finish(nil)

			return
		}

		if e := verdict.From(err); fromTarget(e.Code) {
			c.ans.Finish(e)

			return
		}
	}

	s.resume(ctx, c, record)
}

// settled waits a little for a claimant that is not known here: a host that has just started may
// not have heard of it yet. It reports whether the claim's result has ended the request.
func (s *Service) settled(ctx context.Context, c claimed, record claims.Record) bool {
	for range claimantTries {
		if s.opts.Peers.Alive(record.Claimant) {
			return false
		}

		select {
		case <-ctx.Done():
			return false
		case <-s.opts.Clock.After(claimantPause):
		}

		now, ok, err := s.opts.Claims.Lookup(ctx, record.Key)
		if err == nil && ok && now.State == claims.Done && done(c.ans, now.Result) {
			return true
		}
	}

	return false
}

// fromTarget tells the end of a joined request from a failure to reach the host that runs it.
func fromTarget(code verdict.Code) bool {
	switch code {
	case verdict.CodeNotFound, verdict.CodePeerLost, verdict.CodeInternal:
		return false
	default:
		return true
	}
}

// resume takes up the answer on the engine after the host that ran the request was lost.
func (s *Service) resume(ctx context.Context, c claimed, record claims.Record) {
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "the entry host that ran this request was lost").After(joinWait)

	if record.State == claims.Done {
		lost = verdict.New(record.Result.Verdict, verdict.CodeTargetLost, "the request has ended; its answer is no longer held")
	}

	if c.req.Kind.Model == "" || record.Target == "" {
		c.ans.Finish(lost)

		return
	}

	again := c.req
	again.ID = record.Request
	again.Pinned = record.Target
	again.Resume = true

	ans := answers.NewFrom(c.ans.Next())
	s.opts.Runner.Run(ctx, again, ans)

	_, problem := ans.Ended()
	if problem == nil {
		copyInto(c.ans, ans)
		s.logged(c.req, "record the result", s.finish(ctx, record, resultOf(c.ans, nil)))

		return
	}

	if c.req.Kind.AtMostOnce || !c.ans.Restart() {
		c.ans.Finish(lost.Because(problem))

		return
	}

	// The engine has lost it as well; this kind may run again.
	s.produce(ctx, c.req, c.ans)

	if _, problem = c.ans.Ended(); problem == nil {
		s.logged(c.req, "record the result", s.finish(ctx, record, resultOf(c.ans, nil)))
	}
}

func (s *Service) finish(ctx context.Context, record claims.Record, res claims.Result) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishBound)
	defer cancel()

	err := s.opts.Claims.Finish(ctx, record, res)
	if errors.Is(err, claims.ErrOtherNonce) {
		return nil
	}

	return err
}

func (s *Service) logged(req table.Request, what string, err error) {
	if err != nil {
		s.opts.Log.Warn().Str("request", string(req.ID)).Err(err).Msg("could not " + what)
	}
}

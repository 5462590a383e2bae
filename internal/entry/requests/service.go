package requests

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Runner runs an admitted request and finishes its answer.
type Runner interface {
	Run(ctx context.Context, req entity.Request, ans *answers.Answer)
}

// Router picks the target that a request would be sent to now.
type Router interface {
	Pick(req entity.Request, tried []entity.TargetID) (entity.Target, bool)
}

// PhaseRouter returns the roles of engines, and picks the engine that generates the answer when the first target
// runs only the prompt.
type PhaseRouter interface {
	Role(t entity.TargetID) entity.Role
	PickDecode(req entity.Request, near entity.DataCentre, tried []entity.TargetID) (entity.Target, bool)
}

// Admission waits until a request may start. Its error is a *verdict.Error with verdict NotRun. The returned
// function must be called once, when the request has ended.
type Admission interface {
	Admit(ctx context.Context, req entity.Request) (release func(*answers.Answer), err error)
}

// Claims records which host runs a keyed request, and the result of the run.
type Claims interface {
	Claim(ctx context.Context, req ledger.Request) (ledger.Outcome, error)
	// ClaimAt is Claim through host, which knows the claims of its own that it has given up before all others do.
	ClaimAt(ctx context.Context, host entity.HostID, req ledger.Request) (ledger.Outcome, error)
	Finish(ctx context.Context, r claims.Record, res claims.Result) error
	// GiveUp lets a repeat through this host claim the key of r at once. Abandon stores that for all hosts.
	GiveUp(r claims.Record) error
	Abandon(ctx context.Context, r claims.Record) error
	Lookup(ctx context.Context, k claims.Key) (claims.Record, bool, error)
}

// Peers follows the answer of a keyed request that another entry host produces or holds.
type Peers interface {
	// Alive reports whether host is a live peer.
	Alive(host entity.HostID) bool
	Join(ctx context.Context, host entity.HostID, account entity.AccountID, key string, ans *answers.Answer) error
}

// Quarantine refuses requests that have crashed targets. Its error is a *verdict.Error.
type Quarantine interface {
	Check(req entity.Request) error
}

// Options configure a Service. Runner, Router, Claims and Answers are required.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	Host       entity.HostID
	Home       entity.DataCentre // data centre of this host
	Runner     Runner
	Router     Router
	Claims     Claims
	Answers    *answers.Table
	Phases     PhaseRouter     // nil means that each target runs both phases
	Peers      Peers           // nil means that there are no other hosts
	Admission  Admission       // nil admits every request
	Quarantine Quarantine      // nil refuses no request
	Log        *log.Logger     // nil means the default logger
	Panics     panics.Recorder // records panics of requests
}

// Service accepts requests. It is safe for concurrent use.
type Service struct {
	opts Options
}

// New returns a Service.
func New(opts Options) *Service {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	return &Service{opts: opts}
}

// Submit starts req, or joins a request with the same account and key, and returns the answer to read. An
// error is a *verdict.Error and means that nothing was started.
func (s *Service) Submit(ctx context.Context, req entity.Request) (*answers.Answer, error) {
	if req.Key == "" {
		return s.submitPlain(ctx, req)
	}

	key, err := claims.ParseKey(req.Account, req.Key)
	if err != nil && req.Kind.AtMostOnce {
		return nil, err
	}

	id := answers.ID{Account: req.Account, Key: req.Key}
	ans, started, same := s.opts.Answers.Start(id, req.Fingerprint)

	if !same {
		return nil, verdict.New(verdict.NotRun, verdict.CodeKeyReused, "the idempotency key was used with another request")
	}

	if !started {
		return ans, nil
	}

	ctx = context.WithoutCancel(ctx)

	// A caller that has seen a refusal may repeat the request at once, and the repeat must run.
	ans.WithholdEnd()

	go func() {
		defer ans.ReleaseEnd()
		defer s.opts.Panics.Recover(req.ID, func(problem *verdict.Error) {
			ans.Finish(problem)
			s.opts.Answers.Forget(id)
		})

		giveUp := func() {}

		// A key without a time cannot be claimed, so only this host recognises repeats of it.
		if err != nil {
			s.admitAndRun(ctx, req, ans)
		} else {
			giveUp = s.claimAndRun(ctx, keyedRequest{req: req, key: key, ans: ans})
		}

		s.holdOrForget(id, ans, giveUp)
	}()

	return ans, nil
}

// submitPlain starts a request without an idempotency key. The request is cancelled when ctx ends.
func (s *Service) submitPlain(ctx context.Context, req entity.Request) (*answers.Answer, error) {
	if req.Kind.AtMostOnce {
		return nil, verdict.New(verdict.NotRun, verdict.CodeKeyRequired,
			"kind %q runs at most once and needs a UUIDv7 in the Idempotency-Key header", req.Kind.Name)
	}

	ans := answers.New()

	go s.admitAndRun(ctx, req, ans)

	return ans, nil
}

// holdOrForget keeps a whole answer for repeats of its request. It gives up the claim of an answer that ended with a
// problem and forgets the answer, so that a repeat is claimed or looked up anew.
func (s *Service) holdOrForget(id answers.ID, ans *answers.Answer, giveUp func()) {
	if _, problem := ans.Ended(); problem != nil {
		s.opts.Answers.ForgetAfter(id, giveUp)

		return
	}

	s.opts.Answers.MarkEnded(id)
}

// admitAndRun admits and runs req, and finishes ans. It refuses a quarantined request. It also refuses a caller that
// has already received a part of an earlier run's answer, because the rest of a new answer would not match that part. A
// panic finishes ans with the verdict MayHaveRun.
func (s *Service) admitAndRun(ctx context.Context, req entity.Request, ans *answers.Answer) {
	defer s.opts.Panics.Recover(req.ID, ans.Finish)

	if req.EventsSeen > 0 {
		ans.Finish(verdict.New(verdict.MayHaveRun, verdict.CodeTruncated,
			"the answer of which the caller has a part is not held any more; send the request without the last event's id").WithRetryAfter(joinRetryAfter))

		return
	}

	if s.opts.Quarantine != nil {
		if err := s.opts.Quarantine.Check(req); err != nil {
			ans.Finish(verdict.From(err))

			return
		}
	}

	if s.opts.Admission == nil {
		s.opts.Runner.Run(ctx, req, ans)

		return
	}

	release, err := s.opts.Admission.Admit(ctx, req)
	if err != nil {
		ans.Finish(verdict.From(err))

		return
	}

	defer release(ans)

	s.opts.Runner.Run(ctx, req, ans)
}

// withDeadline returns a context that ends with ctx or at the deadline of req.
func (s *Service) withDeadline(ctx context.Context, req entity.Request) (context.Context, context.CancelFunc) {
	return clockwork.WithDeadline(ctx, s.opts.Clock, req.Deadline)
}

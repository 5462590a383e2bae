package requests

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Runner runs an admitted request and finishes its answer.
type Runner interface {
	Run(ctx context.Context, req table.Request, ans *answers.Answer)
}

// Admission lets a request start. Its error is a *verdict.Error with verdict NotRun. The returned
// function must be called once, when the request has ended.
type Admission interface {
	Admit(ctx context.Context, req table.Request) (release func(*answers.Answer), err error)
}

// Options are the parts that a Service works with. Runner and Answers are required.
type Options struct {
	Clock     clockwork.Clock // nil means the real clock
	Runner    Runner
	Answers   *answers.Table
	Admission Admission   // nil admits everything
	Log       *log.Logger // nil means the default logger
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

// Submit starts req, or joins the request of the same account and key, and returns the answer to
// read. An error is a *verdict.Error and means that nothing was started.
func (s *Service) Submit(ctx context.Context, req table.Request) (*answers.Answer, error) {
	if req.Key == "" {
		if req.Kind.AtMostOnce {
			return nil, verdict.New(verdict.NotRun, verdict.CodeKeyRequired,
				"kind %q runs at most once and needs an Idempotency-Key header", req.Kind.Name)
		}

		ans := answers.New()

		go s.produce(ctx, req, ans)

		return ans, nil
	}

	id := answers.ID{Account: req.Account, Key: req.Key}
	ans, started, same := s.opts.Answers.Start(id, req.Fingerprint)

	if !same {
		return nil, verdict.New(verdict.NotRun, verdict.CodeKeyReused, "the idempotency key was used with another request")
	}

	if started {
		go s.produceKeyed(context.WithoutCancel(ctx), id, req, ans)
	}

	return ans, nil
}

func (s *Service) produceKeyed(ctx context.Context, id answers.ID, req table.Request, ans *answers.Answer) {
	s.produce(ctx, req, ans)

	// A request that did not run may be sent again with the same key.
	if _, problem := ans.Ended(); problem != nil && problem.Verdict == verdict.NotRun {
		s.opts.Answers.Forget(id)

		return
	}

	s.opts.Answers.Ended(id)
}

func (s *Service) produce(ctx context.Context, req table.Request, ans *answers.Answer) {
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

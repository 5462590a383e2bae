package dispatch

import (
	"context"
	"errors"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// maxDecodeTries limits how often one attempt at a split request, which runs its two phases on different engines, tries
// the decode phase.
const maxDecodeTries = 2

// errPromptOnly is the error that Guard.Ended gets after a successful prefill. A nil error would mean that the request
// is harmless, and another error could mean that it crashes engines; a prefill alone shows neither.
var errPromptOnly = verdict.New(verdict.NotRun, verdict.CodeTargetLost, "only the prompt has run")

// PhaseRouter returns the roles of engines and picks the engine for the decode phase of a split request.
type PhaseRouter interface {
	// Role returns the role that an engine last reported, or its configured role before the first report.
	Role(t entity.TargetID) entity.Role
	// PickDecode chooses an engine in the data centre near that may run the decode phase of req, whose prompt runs on
	// req.Preferred, and is not among tried. It reports false if there is none.
	PickDecode(req entity.Request, near entity.DataCentre, tried []entity.TargetID) (entity.Target, bool)
}

// shouldSplit reports whether this host runs req in two phases, with the prefill on t and the decode on another
// engine. That is so if t is an engine for prefills only, req does not resume an earlier run, and this host does not
// forward req to another data centre.
func (r *Runner) shouldSplit(req entity.Request, t entity.Target) bool {
	if r.opts.Phases == nil || t.Type != entity.Engine || req.Resume {
		return false
	}

	runsHere := t.DataCentre == r.opts.Home || r.opts.Peers == nil || req.Forwarded

	return runsHere && r.opts.Phases.Role(t.ID) == entity.Prefill
}

// runSplit runs the prefill of req on t and the decode on an engine in the same data centre.
//
// A failed prefill keeps its verdict, even MayHaveRun, since an engine that ignores the phase could have
// generated tokens. Once t has confirmed the prefill, nothing is generated until a decode engine accepts
// the request. A decode that fails with NotRun therefore leaves the whole request NotRun.
func (r *Runner) runSplit(ctx context.Context, req entity.Request, t entity.Target, ans *answers.Answer, next *handover) error {
	var (
		tried  []entity.TargetID
		worst  = verdict.NotRun
		source string // address of the engine that holds the KV cache; empty for none
		latest *verdict.Error
		try    int
	)

	for try < maxDecodeTries {
		if source == "" {
			holder, version, err := r.prefill(ctx, req, t, next)
			if err != nil {
				return finalError(worst, verdict.From(err), nil)
			}

			t, source = holder, holder.Address
			req.Preferred, req.SeenVersion = holder.ID, version
		}

		d, ok := r.opts.Phases.PickDecode(req, t.DataCentre, tried)
		if !ok {
			break
		}

		err := r.decode(ctx, req, d, source, ans, next)
		if err == nil {
			return nil
		}

		latest = verdict.From(err)
		r.opts.Log.Warn().Str("request", string(req.ID)).Str("prefill", string(t.ID)).Str("decode", string(d.ID)).
			Str("verdict", latest.Verdict.String()).Err(err).Msg("decode failed")

		if latest.Verdict != verdict.NotRun {
			worst = verdict.MayHaveRun
		}

		// The refusal told the version of d, so it is no try: there may be many such engines after a release.
		if latest.Code == verdict.CodeOtherVersion && latest.Verdict == verdict.NotRun && ctx.Err() == nil {
			tried = append(tried, d.ID)

			continue
		}

		if ctx.Err() != nil || next.secured || !r.mayRetry(req, latest, ans, try+1 < maxDecodeTries) {
			break
		}

		if latest.Code != verdict.CodeKVLost {
			tried = append(tried, d.ID)
		}

		// An engine that accepted the request may have fetched the KV cache already, and the source then no
		// longer holds it.
		if latest.Code == verdict.CodeKVLost || latest.Verdict != verdict.NotRun {
			source = ""
		}

		try++
	}

	r.cancel(t, req.ID)

	return finalError(worst, latest, noTargetError(req))
}

// prefill runs the prefill of req on t, or on the engine that the guard chooses instead, and returns the
// engine that then holds the KV cache and its software version.
func (r *Runner) prefill(
	ctx context.Context, req entity.Request, t entity.Target, next *handover,
) (entity.Target, entity.SoftwareVersion, error) {
	req.Decode, req.Phase, req.SeenVersion = 0, entity.Prefill, ""
	output := answers.New() // stays empty, as a prefill generates nothing

	err := r.withGuard(ctx, req, t, func(chosen entity.Target) error {
		t = chosen

		if err := r.prefillOn(ctx, req, t, output, next); err != nil {
			return err
		}

		return errPromptOnly
	})
	if errors.Is(err, errPromptOnly) {
		return t, output.Meta().Version, nil
	}

	return t, "", err
}

// prefillOn runs the prefill of req on t. It fails if t generates anything in output.
func (r *Runner) prefillOn(ctx context.Context, req entity.Request, t entity.Target, output *answers.Answer, next *handover) error {
	if !r.opts.Router.Begin(t.ID, req) {
		return leavingError(t)
	}

	err := errPanicked
	defer func() { r.opts.Router.End(t.ID, req, err) }()

	call := engineRequest(req)
	call.Phase = entity.Prefill

	err = r.streamWithResume(ctx, call, t, output, next)
	if err == nil && output.NextSeq() > 0 {
		err = verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "%s generated tokens although only the prompt was to run", t.ID)
	}

	return err
}

// decode runs the decode phase of req on d, or on the engine that the guard chooses instead. That engine
// fetches the KV cache from the address source.
func (r *Runner) decode(ctx context.Context, req entity.Request, d entity.Target, source string, ans *answers.Answer, next *handover) error {
	req.Prefill, req.Prefix, req.Phase = 0, 0, entity.Decode

	return r.withGuard(ctx, req, d, func(d entity.Target) error {
		if !r.opts.Router.Begin(d.ID, req) {
			return leavingError(d)
		}

		err := errPanicked
		defer func() { r.opts.Router.End(d.ID, req, err) }()

		setTarget(ans, d.ID)

		call := engineRequest(req)
		call.Phase, call.KVSource = entity.Decode, source
		err = r.streamWithResume(ctx, call, d, ans, next)

		return err
	})
}

// producingTarget returns the target that ans names as its producer, or t if that target is not configured.
func (r *Runner) producingTarget(t entity.Target, ans *answers.Answer) entity.Target {
	if d, ok := r.opts.Router.Target(ans.Meta().Target); ok {
		return d
	}

	return t
}

// leavingError returns the error for new work on a target that is being taken out of service.
func leavingError(t entity.Target) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeNoTarget, "%s takes no new work", t.ID).WithRetryAfter(noTargetRetryAfter)
}

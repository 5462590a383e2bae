package dispatch

import (
	"context"
	"errors"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// decodeTries bounds the decode engines that one attempt tries.
const decodeTries = 2

// errPromptOnly ends the guard's view of a prompt that went well. It proves neither that the
// request is harmless nor that it crashes engines.
var errPromptOnly = verdict.New(verdict.NotRun, verdict.CodeTargetLost, "only the prompt has run")

// Phases knows the roles of engines and picks those that run the second phase.
type Phases interface {
	// Role returns the role that an engine last reported, or its configured one before a report.
	Role(t table.TargetID) table.Role
	// PickDecode chooses an engine in the data centre near, not among tried, that may run the decode.
	PickDecode(req table.Request, near table.DataCentre, tried []table.TargetID) (table.Target, bool)
}

// splits reports whether this host runs req in two phases that begin with the prompt on t.
func (r *Runner) splits(req table.Request, t table.Target) bool {
	if r.opts.Phases == nil || t.Type != table.Engine || req.Resume {
		return false
	}

	here := t.DataCentre == r.opts.Home || r.opts.Peers == nil || req.Forwarded

	return here && r.opts.Phases.Role(t.ID) == table.Prefill
}

// split runs the prompt of req on t and the decode on an engine near it.
//
// A prompt that was lost on its way keeps its verdict, since an engine that ignores the phase could
// have generated. Once t has confirmed the prompt, nothing is generated until a decode engine
// takes the request, so a decode that was refused as not run leaves the request not run.
func (r *Runner) split(ctx context.Context, req table.Request, t table.Target, ans *answers.Answer) error {
	var (
		tried  []table.TargetID
		worst  = verdict.NotRun
		source string // address of the engine that holds the KV cache; empty for none
		latest *verdict.Error
	)

	for try := range decodeTries {
		if source == "" {
			held, err := r.prefill(ctx, req, t)
			if err != nil {
				return final(worst, verdict.From(err), nil)
			}

			t, source = held, held.Address
		}

		d, ok := r.opts.Phases.PickDecode(req, t.DataCentre, tried)
		if !ok {
			break
		}

		err := r.decode(ctx, req, d, source, ans)
		if err == nil {
			return nil
		}

		latest = verdict.From(err)
		r.opts.Log.Warn().Str("request", string(req.ID)).Str("prefill", string(t.ID)).Str("decode", string(d.ID)).
			Str("verdict", latest.Verdict.String()).Err(err).Msg("decode failed")

		if latest.Verdict != verdict.NotRun {
			worst = verdict.MayHaveRun
		}

		if ctx.Err() != nil || !r.mayRetry(req, latest, ans, try+1 < decodeTries) {
			break
		}

		if latest.Code != verdict.CodeKVLost {
			tried = append(tried, d.ID)
		}

		// An engine that took the request may have taken the KV cache with it.
		if latest.Code == verdict.CodeKVLost || latest.Verdict != verdict.NotRun {
			source = ""
		}
	}

	r.cancel(t, req.ID)

	return final(worst, latest, noTarget(req))
}

// prefill runs the prompt on t, or on the engine that the guard names instead, and returns the
// engine that holds the KV cache.
func (r *Runner) prefill(ctx context.Context, req table.Request, t table.Target) (table.Target, error) {
	req.Decode, req.Phase = 0, table.Prefill

	err := r.guarded(ctx, req, t, func(named table.Target) error {
		t = named

		if err := r.prompt(ctx, req, t); err != nil {
			return err
		}

		return errPromptOnly
	})
	if errors.Is(err, errPromptOnly) {
		return t, nil
	}

	return t, err
}

func (r *Runner) prompt(ctx context.Context, req table.Request, t table.Target) error {
	if !r.opts.Router.Begin(t.ID, req) {
		return leaving(t)
	}

	call := callOf(req)
	call.Phase = table.Prefill
	nothing := answers.New()

	err := r.stream(ctx, call, t, nothing)
	if err == nil && nothing.Next() > 0 {
		err = verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "%s generated although it was asked for the prompt alone", t.ID)
	}

	r.opts.Router.End(t.ID, req, err)

	return err
}

// decode generates the answer of req on d, which fetches the KV cache from source.
func (r *Runner) decode(ctx context.Context, req table.Request, d table.Target, source string, ans *answers.Answer) error {
	req.Prefill, req.Prefix, req.Phase = 0, 0, table.Decode

	return r.guarded(ctx, req, d, func(d table.Target) error {
		if !r.opts.Router.Begin(d.ID, req) {
			return leaving(d)
		}

		ans.SetMeta(answers.Meta{Target: d.ID})

		call := callOf(req)
		call.Phase, call.KVSource = table.Decode, source
		err := r.stream(ctx, call, d, ans)

		r.opts.Router.End(d.ID, req, err)

		return err
	})
}

// producer returns the engine that the events of ans last named, or t.
func (r *Runner) producer(t table.Target, ans *answers.Answer) table.Target {
	if d, ok := r.opts.Router.Target(ans.Meta().Target); ok {
		return d
	}

	return t
}

func leaving(t table.Target) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeNoTarget, "%s takes no new work", t.ID).After(noTargetWait)
}

package relay

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// admitted returns the targets whose limits admit a further request of the job. A target at which the job has reserved a run
// is the only one if it is among them.
func (j *job) admitted(targets []fleet.Target) []fleet.Target {
	if i := slices.IndexFunc(targets, func(t fleet.Target) bool { return t.ID == j.reservedRun }); i >= 0 {
		return targets[i : i+1]
	}

	now, limits := j.now(), j.opts.Limits
	if !limits.Any() {
		return targets
	}

	first := slices.IndexFunc(targets, func(t fleet.Target) bool { return !limits.Admits(now, t.ID, j.rank()) })
	if first < 0 {
		return targets
	}

	return slices.DeleteFunc(slices.Clone(targets), func(t fleet.Target) bool { return !limits.Admits(now, t.ID, j.rank()) })
}

// place places the request on one of candidates by choose, and counts it towards the limit of the target.
func (j *job) place(candidates func() []fleet.Target, choose func([]fleet.Target) (placing.Placement, bool)) (placing.Placement, bool) {
	for {
		placement, ok := choose(j.admitted(candidates()))
		if !ok || j.takeLimit(placement.Target.ID) {
			return placement, ok
		}

		placement.Claim.Release() // another request has been sent to the target meanwhile
	}
}

// placePromptOn does what place does, by the placer of prompts.
func (j *job) placePromptOn(ctx context.Context, job placing.Job) (PlacedPrompt, bool) {
	avoid := job.Avoid

	for {
		all := j.candidates(entity.Prefill)
		candidates := j.admitted(all)

		// Another host that places the prompt does not know what this one may send.
		job.Avoid = slices.Clone(avoid)
		for _, t := range all {
			if len(candidates) < len(all) && !slices.ContainsFunc(candidates, func(c fleet.Target) bool { return c.ID == t.ID }) {
				job.Avoid = append(job.Avoid, t.ID)
			}
		}

		prompt, ok := j.opts.PromptPlacer.Place(ctx, j.service.Name, candidates, job, j.pacing().ReplaceAfter())
		if !ok || j.takeLimit(prompt.Placement().Target.ID) {
			return prompt, ok
		}

		prompt.End(placing.PromptResult{})
	}
}

// takeLimit counts a send towards the limit of target and reports true, or reports false if the limit does not admit it. A
// send that the job has reserved is counted already.
func (j *job) takeLimit(target entity.TargetID) bool {
	if target == j.reservedRun {
		j.reservedRun = ""

		return true
	}

	return j.opts.Limits.Take(j.now(), target, j.rank())
}

// unplace frees a place that was just taken, and to which nothing is sent. The zero placement has no effect.
func (j *job) unplace(p placing.Placement) {
	p.Claim.Release()

	if p.Target.ID != "" {
		j.opts.Limits.Return(j.now(), j.now(), p.Target.ID)
	}
}

// unplacePrompt does what unplace does, for a prompt.
func (j *job) unplacePrompt(p PlacedPrompt) {
	target := p.Placement().Target.ID
	p.End(placing.PromptResult{})
	j.opts.Limits.Return(j.now(), j.now(), target)
}

// reserveRun counts the run that follows a prefill towards the limit of its target, if all targets that may run the request
// have limits: the prompt would otherwise be prefilled for nothing. It reports false if none of them admits the run.
func (j *job) reserveRun() bool {
	if j.reservedRun != "" {
		return true
	}

	now, limits := j.now(), j.opts.Limits
	unlimited := func(t fleet.Target) bool { return !slices.Contains(j.tried, t.ID) && !limits.Limits(now, t.ID) }

	targets := j.candidates(entity.Decode)
	if len(targets) == 0 || slices.ContainsFunc(targets, unlimited) {
		return true
	}

	place, ok := j.placeRun(j.placingJob())
	place.Claim.Release()

	if ok {
		j.reservedRun, j.reservedRunAt = place.Target.ID, now
	}

	return ok
}

// returnReservedRun takes back the run that reserveRun has counted, unless it has been placed.
func (j *job) returnReservedRun() {
	if j.reservedRun != "" {
		j.opts.Limits.Return(j.now(), j.reservedRunAt, j.reservedRun)
		j.reservedRun = ""
	}
}

// placeRun places the run of a request to a model.
func (j *job) placeRun(job placing.Job) (placing.Placement, bool) {
	return j.place(func() []fleet.Target { return j.candidates(entity.Decode) }, func(targets []fleet.Target) (placing.Placement, bool) {
		return j.placeDecode(j.now(), targets, job)
	})
}

// placeCallOn places a request to a plain service.
func (j *job) placeCallOn(job placing.Job) (placing.Placement, bool) {
	return j.place(func() []fleet.Target { return j.candidates(entity.Mixed) }, func(targets []fleet.Target) (placing.Placement, bool) {
		return j.opts.Board.PlaceCall(j.now(), targets, job)
	})
}

// noteNoTarget records that no target in role can be chosen, and for how long if only what targets state prevents it. A target
// that was tried counts if it has stated for how long it refuses requests.
func (j *job) noteNoTarget(role entity.Role) {
	j.lack, j.limitWait = lackTarget, 0

	for _, t := range j.candidates(role) {
		tried := slices.Contains(j.tried, t.ID) && !j.opts.Limits.Refuses(j.now(), t.ID)
		if tried || j.opts.Limits.Leaves(j.now(), t.ID) {
			continue
		}

		wait := j.opts.Limits.Wait(j.now(), t.ID, j.rank())
		if wait == 0 {
			continue
		}

		if wait < 0 {
			wait = noTargetRetryAfter // another host may have a share
		}

		if j.lack != lackLimit || wait < j.limitWait {
			j.lack, j.limitWait = lackLimit, wait
		}
	}
}

// limitError returns the error for a request that the limits of all its targets hold back.
func (j *job) limitError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the targets admit no further request now, as they state").
		WithRetryAfter(max(j.limitWait, minLimitRetryAfter))
}

// minLimitRetryAfter keeps callers from returning before other requests that wait for the same share.
const minLimitRetryAfter = 100 * time.Millisecond

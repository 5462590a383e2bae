package relay

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
)

// fullPlaceFraction is the fraction of the time after which the caller is expected to leave, from which on a silent
// replica may be replaced by one that is full or paused. Before, it is likelier to go on than the other one to accept the request.
const fullPlaceFraction = 0.7

// maxNotReturned bounds the attempts to return a request to a silent target that are repeated because they failed.
const maxNotReturned = 2

// successor is a place for a request: a target with a claim, and the permission to send. A successor that is not used
// must be given up.
type successor struct {
	placement placing.Placement
	handle    *KVHandle    // KV cache of the prompt; nil if the replica has to prefill the prompt itself
	prompt    PlacedPrompt // set if the prompt is to be prefilled there; placement is not used then
	paidAt    time.Time    // when the send was counted by the retry budget
	returned  bool         // the request was taken over from this target before
}

// reserve takes n repeats from the retry budget, which the next sends use.
func (j *job) reserve(n int) bool {
	j.returnReserve()

	if !j.opts.Retries.TakeAll(j.now(), j.service.Name, n) {
		j.lack = lackBudget

		return false
	}

	j.reserved, j.reservedAt = n, j.now()

	return true
}

// returnReserve returns the reserved repeats to the retry budget.
func (j *job) returnReserve() {
	if j.reserved > 0 {
		j.opts.Retries.Return(j.now(), j.reservedAt, j.service.Name, j.reserved)
		j.reserved = 0
	}
}

// giveUp frees what a successor that is not used holds. A nil successor has no effect.
func (j *job) giveUp(s *successor) {
	if s == nil {
		return
	}

	target := s.placement.Target.ID

	if s.prompt != nil {
		target = s.prompt.Placement().Target.ID
		s.prompt.End(placing.PromptResult{})
	}

	s.placement.Claim.Release()
	j.opts.Limits.Return(j.now(), s.paidAt, target)
	j.releaseKV(s.handle)

	j.sends--
	j.opts.Retries.Return(j.now(), s.paidAt, j.service.Name, 1)
	j.returnReserve()
}

// mayReplace reports whether n more sends are permitted by all bounds but the retry budget.
func (j *job) mayReplace(n int) bool {
	switch {
	case j.sends+n > maxSends:
		j.lack = lackSends
	case j.isQuarantined(j.now()):
		j.lack = lackQuarantine
	default:
		return true
	}

	return false
}

// avoiding returns the request as a job of package placing that also avoids t.
func (j *job) avoiding(t fleet.Target) placing.Job {
	placingJob := j.placingJob()
	placingJob.Avoid = append(slices.Clone(placingJob.Avoid), t.ID)

	return placingJob
}

// canPrefill reports whether a prefill replica other than those that job avoids is known.
func (j *job) canPrefill(placingJob placing.Job) bool {
	return slices.ContainsFunc(j.candidates(entity.Prefill), func(t fleet.Target) bool { return !slices.Contains(placingJob.Avoid, t.ID) })
}

// placeToReplace places the run of the request on a replica other than those that placingJob avoids, unless that replica
// is full or paused and the caller has still time.
func (j *job) placeToReplace(placingJob placing.Job) (placing.Placement, bool) {
	placement, ok := j.placeRun(placingJob)
	urgent := time.Duration(fullPlaceFraction * float64(j.pacing().AbandonAfter()))

	if !ok || (placement.Full || placement.Paused) && j.sinceLastHeard() < urgent {
		j.unplace(placement)

		j.lack = lackTarget

		return placing.Placement{}, false
	}

	return placement, true
}

// replaceDecode returns a successor of t, which runs the request: the prompt has been prefilled, if a prefill replica
// accepts it, and the run is placed and permitted. It returns nil if there is none.
func (j *job) replaceDecode(ctx context.Context, p *progress, t fleet.Target) *successor {
	if !p.permitsOther(t, j.route.MaxTargets) {
		j.lack = lackAttempts

		return nil
	}

	placingJob := j.avoiding(t)

	sends := 1
	if j.sends+2 <= maxSends && j.canPrefill(placingJob) {
		sends = 2
	}

	if !j.mayReplace(sends) {
		return nil
	}

	// The prompt is not prefilled before there is a replica to run the request.
	place, ok := j.placeToReplace(placingJob)
	j.unplace(place)

	if !ok || !j.reserve(sends) {
		return nil
	}

	defer j.returnReserve()

	var handle *KVHandle

	if sends > 1 {
		if handle, ok = j.prefillToReplace(ctx, p, placingJob); !ok {
			return nil
		}
	}

	if handle != nil {
		placingJob.Near = handle.Target.DataCentre
	}

	if place, ok = j.placeToReplace(placingJob); !ok || ctx.Err() != nil || !j.maySend() {
		j.unplace(place)
		j.releaseKV(handle)

		return nil
	}

	return &successor{placement: place, handle: handle, paidAt: j.now()}
}

// prefillToReplace makes a replica prefill the prompt. It reports false if the replica did not. The handle is nil if no
// replica accepts the prompt.
func (j *job) prefillToReplace(ctx context.Context, p *progress, placingJob placing.Job) (*KVHandle, bool) {
	prompt, ok := j.placePromptOn(ctx, placingJob)
	if !ok {
		return nil, true
	}

	if ctx.Err() != nil || !j.maySend() {
		j.unplacePrompt(prompt)

		return nil, false
	}

	handle, _, _ := j.prefillOnce(ctx, prompt, p, false)
	j.notePrefilled(handle)

	if handle == nil {
		j.lack = lackPrefill
	}

	return handle, handle != nil
}

// replacePrefill returns a successor of t, which prefills the prompt: another prefill replica, or if there is none, a
// replica that runs the request without a KV cache. It returns nil if there is none.
func (j *job) replacePrefill(ctx context.Context, p *progress, t fleet.Target) *successor {
	placingJob := j.avoiding(t)

	if !j.canPrefill(placingJob) {
		if !j.mayReplace(1) {
			return nil
		}

		placement, ok := j.placeToReplace(placingJob)
		if !ok || !j.reserve(1) || !j.maySend() {
			j.unplace(placement)

			return nil
		}

		return &successor{placement: placement, paidAt: j.now()}
	}

	if !j.mayReplace(2) || !j.reserve(2) {
		return nil
	}

	prompt, ok := j.placePromptOn(ctx, placingJob)

	switch {
	case !ok:
		j.lack = lackTarget
	case ctx.Err() != nil:
		j.unplacePrompt(prompt)
	case !p.begun && !j.inTime(prompt.Placement().Wait):
		j.unplacePrompt(prompt)

		j.lack = lackTarget
	case !j.maySend():
		j.unplacePrompt(prompt)
	default:
		return &successor{prompt: prompt, paidAt: j.now()}
	}

	j.returnReserve()

	return nil
}

// watchRun returns a watch of t that ends its run by endRun once search has found a successor.
func (j *job) watchRun(
	ctx context.Context, t fleet.Target, patience time.Duration, endRun context.CancelFunc, search func(context.Context) *successor,
) *watch {
	return startWatch(ctx, patience, watchOptions{
		clock: j.opts.Clock, panics: j.opts.Panics, request: j.r.ID, endRun: endRun, search: search,
		onSilence: func() {
			j.silent = t.ID
			j.noteSilence(t, patience)
		},
		onKept: func() { j.noteKept(t) },
	})
}

// noteTakenOver records that the request was taken over from t, which was silent and may be sound.
func (j *job) noteTakenOver(t fleet.Target) {
	j.tried = append(j.tried, t.ID)
	j.left = append(j.left, t.ID)

	if j.losses < maxLossesPerRequest {
		j.losses++
		j.opts.Crashers.RecordSilence(j.now(), crashtracker.Loss{Request: j.fingerprint, Target: t.ID})
	}
}

// placeFunc places a request on one of candidates.
type placeFunc func(now time.Time, candidates []fleet.Target, placingJob placing.Job) (placing.Placement, bool)

// placeWhereLeft returns a place at a silent target in role that the request was taken over from, if there is one. Each
// such target runs the request once more at most.
func (j *job) placeWhereLeft(role entity.Role, place placeFunc) (*successor, bool) {
	if len(j.left) == 0 {
		return nil, false
	}

	candidates := slices.DeleteFunc(slices.Clone(j.candidates(role)), func(t fleet.Target) bool { return !slices.Contains(j.left, t.ID) })

	placingJob := j.placingJob()
	placingJob.Avoid = nil

	placement, ok := j.place(func() []fleet.Target { return candidates }, func(targets []fleet.Target) (placing.Placement, bool) {
		return place(j.now(), targets, placingJob)
	})
	if !ok {
		return nil, false
	}

	if !j.maySend() {
		j.unplace(placement)

		return nil, false
	}

	j.left = slices.DeleteFunc(j.left, func(id entity.TargetID) bool { return id == placement.Target.ID })

	return &successor{placement: placement, paidAt: j.now(), returned: true}, true
}

// noteNotRun records that the target of s, which the request reached, has not run it, or that the request did not reach it.
// If the request was returned to the target, it may be again after a while, since the place of the run that was ended may
// not be free yet. A stream that has begun could otherwise only be cut off, so it is returned until it reaches the target.
// The attempt does not count towards maxSends then, nor towards the retry budget if it has not reached the target.
func (j *job) noteNotRun(s *successor, reached bool) {
	cutOtherwise := !reached && !j.lastHeard.IsZero() && j.callerWaits()

	mayReturn := s.returned && (j.notReturned < maxNotReturned || cutOtherwise)
	if mayReturn {
		j.left = append(j.left, s.placement.Target.ID)
	}

	if mayReturn && !cutOtherwise {
		j.notReturned++
	}

	if mayReturn && !reached {
		j.opts.Retries.Return(j.now(), s.paidAt, j.service.Name, 1)
	}

	if mayReturn || !reached {
		j.sends--
	}
}

// waitToReturn waits for a while if the request was returned to the target of s, which has not run it and may get it again,
// and there is no other place next.
func (j *job) waitToReturn(ctx context.Context, s, next *successor) {
	if next == nil && s.returned && slices.Contains(j.left, s.placement.Target.ID) {
		j.waitForPlace(ctx)
	}
}

// placeDecode places the run of a request to a model on one of candidates.
func (j *job) placeDecode(now time.Time, candidates []fleet.Target, placingJob placing.Job) (placing.Placement, bool) {
	return j.opts.Board.PlaceDecode(now, candidates, placingJob, j.kvCapacity())
}

// callerWaits reports whether the caller is not expected to have left.
func (j *job) callerWaits() bool {
	return !j.route.Streaming || j.sinceLastHeard() < j.pacing().AbandonAfter()
}

// waitForPlace waits for a while before the next attempt to place a request that was taken over from a silent target
// which may be sound. It returns false if the caller is expected to have left, or ctx ends.
func (j *job) waitForPlace(ctx context.Context) bool {
	if len(j.left) == 0 || !j.callerWaits() {
		return false
	}

	select {
	case <-j.opts.Clock.After(searchInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

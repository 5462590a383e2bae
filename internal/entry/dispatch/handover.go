package dispatch

import (
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// handover secures who goes on with a request before a target that has fallen silent is given up, since the target may
// be sound. It belongs to one attempt.
type handover struct {
	runner    *Runner
	req       entity.Request
	ans       *answers.Answer
	tried     []entity.TargetID // the target of the attempt included
	first     uint64            // sequence number of the first event of ans
	triesLeft bool
	split     bool // the attempt runs in two phases

	target   entity.Target // target of the next attempt, if secured
	secured  bool          // target was picked, the retry is charged, and ans has no events
	deferred bool          // the entry host that forwarded the request decides
}

// secure reports whether the target from, which failed with err, may be given up. The target refuses connections if refuses
// is set.
func (h *handover) secure(from entity.TargetID, err error, refuses bool) bool {
	if h.req.Kind.AtMostOnce || !h.ans.CanRestart() {
		return false
	}

	if h.req.Forwarded {
		// A service can't resume a call, so the forwarding host watches it and ends it only once it has secured a target.
		// Refusals show after a while that an engine has ended, which takes this host to see them in a row.
		if h.req.Kind.Service != "" || refuses {
			return false
		}

		// In two phases, the forwarding host does not know which engine holds the answer.
		h.deferred = !h.split && h.ans.Restart()

		return h.deferred
	}

	fresh := h.req
	fresh.Resume, fresh.Pinned = false, ""

	t, ok := h.runner.opts.Router.Pick(fresh, append(slices.Clip(h.tried), from))
	if !ok {
		return false
	}

	// Package requests runs a resumed request again, unless its caller has a part of the answer or may get one from where the
	// earlier events are held.
	if h.req.Resume {
		return h.req.EventsSeen == 0 && h.first == 0
	}

	if !h.triesLeft || h.runner.opts.Retries != nil && !h.runner.opts.Retries.Allow(h.req, err) {
		return false
	}

	h.target, h.secured = t, h.ans.Restart()

	return h.secured
}

// leave is secure for the engine t, and cancels the work of t on the request if this host began it and no host may resume
// it.
func (h *handover) leave(t entity.Target, err error, refuses bool) bool {
	if !h.secure(t.ID, err, refuses) {
		return false
	}

	// A resumed request may still have readers at the host that began it. The cancel is awaited because t may run the
	// decode of the next attempt under the same id.
	if !h.deferred && !h.req.Resume {
		h.runner.cancel(t, h.req.ID)
	}

	return true
}

// firstDelay returns the first delay before a stream without a new event is resumed; zero means resumeDelay.
func (h *handover) firstDelay() time.Duration {
	// The delays of a request that is forwarded again do not begin anew.
	if h.req.Forwarded && h.req.Resume {
		return maxResumeDelay
	}

	return 0
}

// silentError returns the error of a request that the forwarding host may move away from t, or forward again.
func silentError(t entity.Target, cause error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeTargetSilent, "%s is silent", t.ID).WithCause(cause)
}

// hasCode reports whether err has the code.
func hasCode(err error, code verdict.Code) bool {
	e := verdict.From(err)

	return e != nil && e.Code == code
}

package relay

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// endCheckDelay is the time between a run that breaks off and the check whether its target has ended, so that a process that
	// is ending has closed its port.
	endCheckDelay   = 20 * time.Millisecond
	endCheckTimeout = time.Second
)

// partsOfJob is what a job knows of those parts of its prompt that other requests may have.
type partsOfJob struct {
	shared  []crashtracker.Fingerprint
	begun   bool // the present run has sent an event
	verdict crashtracker.PartVerdict
}

// sharedParts returns the fingerprints of parts without the last one, which belongs to one request or session.
func sharedParts(service entity.ServiceName, parts []placing.Part) []crashtracker.Fingerprint {
	if len(parts) < 2 {
		return nil
	}

	shared := make([]crashtracker.Fingerprint, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
		shared = append(shared, crashtracker.FingerprintOfPart(service, p.ID))
	}

	return shared
}

// refused returns the part for which the request is refused, or "" for none.
func (p *partsOfJob) refused() string {
	if !p.verdict.Refused {
		return ""
	}

	return p.verdict.Part.String()
}

// isQuarantined reports whether the request may not be sent at now since it, or a part of its prompt, has crashed targets.
func (j *job) isQuarantined(now time.Time) bool {
	left, refused := j.opts.Crashers.Refuses(now, j.fingerprint)
	if refused || j.parts.verdict.Trial {
		j.quarantine = left

		return refused
	}

	j.parts.verdict = j.opts.Crashers.JudgeParts(now, j.parts.shared)
	j.quarantine = j.parts.verdict.Left

	if j.parts.verdict.Trial {
		j.opts.Log.Info().Str("request", string(j.r.ID)).Str("part", j.parts.verdict.Part.String()).
			Msg("a request with a part that has crashed targets is tried")
	}

	return j.parts.verdict.Refused
}

// quarantineError returns the error for a request that isQuarantined has refused.
func (j *job) quarantineError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "targets crashed on this request or a part of its prompt").WithRetryAfter(j.quarantine)
}

// noteBegun records that the present run has sent an event.
func (j *job) noteBegun() {
	if !j.parts.begun {
		j.parts.begun = true
		j.opts.Crashers.RecordBegin(j.now(), j.parts.shared)
	}
}

// noteBrokenRun records that the run on t ended with err. If t may have crashed as it began to write the answer, the shared parts
// of the prompt are suspected, and it is checked whether t has ended.
func (j *job) noteBrokenRun(t fleet.Target, err error) {
	if errors.Is(err, buffers.ErrNoMemory) {
		return // t has sent more than this host could take
	}

	if j.parts.begun || len(j.parts.shared) == 0 || verdict.Of(err) != verdict.MayHaveRun || j.opts.Reach.CutOff(j.service.Name) {
		return
	}

	j.opts.Crashers.RecordBrokenRun(j.now(), t.ID, j.parts.shared)

	// A run that was ended here says nothing about its target, whose end the platform's list shows.
	if !endedHere(err) {
		j.checkEnd(t)
	}
}

// checkEnd checks in the background whether t has ended.
func (l *Relay) checkEnd(t fleet.Target) {
	if _, running := l.endChecks.LoadOrStore(t.ID, true); running {
		return
	}

	go func() {
		defer l.endChecks.Delete(t.ID)

		l.opts.Clock.Sleep(endCheckDelay)

		ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
		defer cancel()

		// Connections are refused as well if this host is cut off.
		if l.opts.Targets.HasEnded(ctx, t) && l.reaches(ctx, t.Service) {
			l.opts.Log.Info().Str("target", string(t.ID)).Msg("target has crashed")
			l.opts.Crashers.RecordCrash(l.opts.Clock.Now(), t.ID)
		}
	}()
}

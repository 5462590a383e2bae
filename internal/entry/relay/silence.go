package relay

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
)

// lack is why a request could not be sent to another target.
type lack string

const (
	lackTarget     lack = "no-target"
	lackBudget     lack = "no-budget"
	lackSends      lack = "sends-used"
	lackAttempts   lack = "attempts-used"
	lackPrefill    lack = "prefill-failed"
	lackQuarantine lack = "quarantined"
	lackLimit      lack = "limited" // the limits of targets admit no further request
)

// noteSilence records that t has sent nothing for the time that it may be silent.
func (j *job) noteSilence(t fleet.Target, patience time.Duration) {
	j.outcome.Silences++
	j.noteUnreached(t)
	j.opts.Board.RecordOutcome(j.now(), t, placing.Silent)
	j.opts.Log.Info().Str("request", string(j.r.ID)).Str("route", j.route.Name).Str("target", string(t.ID)).
		Dur("patience", patience).Dur("last-heard", j.sinceLastHeard()).Int("sends", j.sends).Msg("target silent")
}

// noteKept records that there is no successor of the silent target t now.
func (j *job) noteKept(t fleet.Target) {
	j.opts.Log.Info().Str("request", string(j.r.ID)).Str("route", j.route.Name).Str("target", string(t.ID)).
		Str("lack", string(j.lack)).Dur("last-heard", j.sinceLastHeard()).Msg("silent target kept")
}

// noteReplacement records that the request is sent to t, which replaces the silent target if there is one.
func (j *job) noteReplacement(t fleet.Target) {
	if j.silent == "" {
		return
	}

	j.outcome.Replaced++
	j.opts.Log.Info().Str("request", string(j.r.ID)).Str("route", j.route.Name).Str("target", string(j.silent)).
		Str("replacement", string(t.ID)).Dur("last-heard", j.sinceLastHeard()).Msg("silent target replaced")
	j.silent = ""
}

// sinceLastHeard returns how long ago a target last sent something, or the age of the request if none has.
func (j *job) sinceLastHeard() time.Duration {
	if j.lastHeard.IsZero() {
		return j.now().Sub(j.r.Arrived)
	}

	return j.now().Sub(j.lastHeard)
}

// silentFor returns how long the target that the request was last sent to has sent nothing, although it could be heard.
func (j *job) silentFor() time.Duration {
	since := j.sentAt

	for _, t := range []time.Time{j.lastHeard, j.deafUntil} {
		if t.After(since) {
			since = t
		}
	}

	return j.now().Sub(since)
}

// patience returns how long a target that runs the request may send nothing before it counts as silent.
func (j *job) patience() time.Duration {
	if j.route.Streaming {
		return j.pacing().ReplaceAfter()
	}

	return max(silentObjectives*j.route.Objective, minSilence)
}

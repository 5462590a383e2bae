package relay

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
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
)

// noteSilence records that t has sent nothing for the time that it may be silent.
func (j *job) noteSilence(t fleet.Target, patience time.Duration) {
	j.outcome.Silences++
	j.opts.Log.Info().Str("request", string(j.r.ID)).Str("route", j.route.Name).Str("target", string(t.ID)).
		Dur("patience", patience).Dur("last-heard", j.sinceLastHeard()).Int("sends", j.sends).Msg("target silent")
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

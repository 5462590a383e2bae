package relay

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
)

// LateCause is the cause for which a stream that was delivered whole came later than its route allows; empty if it was in time.
type LateCause string

const (
	// LateRepeat means that the first event came late, and an earlier send to a target had failed or was refused.
	LateRepeat LateCause = "repeat"
	// LatePlace means that the first event came late, most of the time before the prompt was sent to a target.
	LatePlace LateCause = "place"
	// LateReader means that the first event came late, most of the time while the prefill replica was busy with other prompts.
	LateReader LateCause = "reader"
	// LateSharedPart means that the first event came late, most of the time while the replica prefilled a part that other requests have too.
	LateSharedPart LateCause = "shared-part"
	// LatePrompt means that the first event came late, most of the time while the replica prefilled the rest of the prompt.
	LatePrompt LateCause = "prompt"
	// LateStart means that the first event came late, most of the time after the run was sent: the KV cache was moved, or a slot was not free.
	LateStart LateCause = "start"
	// LatePauseSlow means that a pause was longer than the route allows, on a target that is slower than others.
	LatePauseSlow LateCause = "pause-slow"
	// LatePauseFull means that a pause was too long on a target with few free slots.
	LatePauseFull LateCause = "pause-full"
	// LatePauseMoved means that a pause was too long since the stream went on at another target.
	LatePauseMoved LateCause = "pause-moved"
	// LatePause means that a pause was too long on a target that is neither slow nor full.
	LatePause LateCause = "pause-other"
)

const (
	// nearlyFull is the fraction of the slots in use from which a target counts as full in LatePauseFull.
	nearlyFull = 0.9
	// slowTarget is the speed, as a multiple of the time that targets usually take, from which a target counts as slow in LatePauseSlow.
	slowTarget = 1.25
	// minStretch is the time over which events of a stream are counted before their pace is recorded: as long as spells in
	// which a target is slow, so that each spell is seen.
	minStretch = 400 * time.Millisecond
	// blockedWrite is the time that passing an event on may take. After a longer one, the next event may have waited in this host,
	// so the pace of the target is not known.
	blockedWrite = 5 * time.Millisecond
)

// timing is where the time of a stream went.
type timing struct {
	prompt     placing.Placement // place of the last prefill that succeeded
	promptSent time.Time         // when that prompt was sent; zero if no prefill succeeded
	promptDone time.Time
	runSent    time.Time // when the run that sent the first event was sent
	first      time.Time // when the first event came

	pause       time.Duration // longest pause between two events
	pauseTarget fleet.Target
	pauseLoad   float64 // used fraction of the slots of pauseTarget
	pausePace   float64 // speed of pauseTarget as a multiple of the usual time, 1 if unknown
	pauseMoved  bool    // the event after the pause came from another run than that before
}

// pace counts the events of one run, to record how fast its target is.
type pace struct {
	since  time.Time // first event of the present stretch; zero if there is none
	last   time.Time // last event of the run; zero before the first one
	before int       // events of the run until since
	skip   bool      // the present stretch does not count
}

// noteEvent records that an event of t came at now, when its run had sent count of them.
func (j *job) noteEvent(now time.Time, t fleet.Target, count int, p *pace) {
	if !j.lastHeard.IsZero() {
		j.notePause(now, t, p.last.IsZero())
	} else {
		j.timing.first, j.timing.runSent = now, j.sentAt
	}

	p.last = now

	if p.since.IsZero() {
		p.since, p.before = now, count

		return
	}

	if now.Sub(p.since) >= minStretch {
		if !p.skip {
			j.opts.Board.RecordPace(now, t, now.Sub(p.since)/time.Duration(max(count-p.before, 1)))
		}

		p.since, p.before, p.skip = now, count, false
	}
}

// notePause keeps the longest pause.
func (j *job) notePause(now time.Time, t fleet.Target, moved bool) {
	m := &j.timing

	pause := now.Sub(j.lastHeard)
	if pause <= m.pause {
		return
	}

	m.pause, m.pauseMoved, m.pauseTarget = pause, moved, t
	if j.route.Gap > 0 && pause > j.route.Gap {
		m.pauseLoad, m.pausePace = j.opts.Board.SpeedOf(j.now(), t)
	}
}

// lateCause returns why the stream was late.
func (j *job) lateCause() LateCause {
	switch {
	case !j.route.Streaming || j.outcome.Problem != nil:
		return ""
	case j.route.Objective > 0 && j.timeToFirst > j.route.Objective:
		return j.lateStartCause()
	case j.route.Gap == 0 || j.timing.pause <= j.route.Gap:
		return ""
	case j.timing.pauseMoved:
		return LatePauseMoved
	case j.timing.pausePace > slowTarget:
		return LatePauseSlow
	case j.timing.pauseLoad > nearlyFull:
		return LatePauseFull
	}

	return LatePause
}

// lateStartCause returns why the first event was late: where most of the time before it went.
func (j *job) lateStartCause() LateCause {
	m := &j.timing
	if len(j.tried) > 0 || j.outcome.Silences > 0 {
		return LateRepeat
	}

	begun := m.runSent
	if !m.promptSent.IsZero() {
		begun = m.promptSent
	}

	before, prefill, start := begun.Sub(j.r.Arrived), m.promptDone.Sub(m.promptSent), m.first.Sub(m.runSent)

	switch {
	case start >= max(before, prefill):
		return LateStart
	case before >= prefill:
		return LatePlace
	}

	own := j.r.Prompt - m.prompt.Cached

	alone := m.prompt.Wait // what the prompt would have taken without others
	if m.prompt.PrefillTokens > own {
		alone = time.Duration(float64(alone) * float64(own) / float64(m.prompt.PrefillTokens))
	}

	if prefill > 2*alone {
		return LateReader
	}

	shared := -m.prompt.Cached
	for _, p := range j.r.Parts[:max(len(j.r.Parts)-1, 0)] {
		shared += p.Tokens
	}

	if 2*shared > own {
		return LateSharedPart
	}

	return LatePrompt
}

// noteLate logs the cause for which the stream was late, if it was.
func (j *job) noteLate() {
	cause := j.lateCause()
	if j.outcome.Late = cause; cause == "" {
		return
	}

	m := &j.timing
	j.opts.Log.Debug().Str("request", string(j.r.ID)).Str("route", j.route.Name).Str("cause", string(cause)).
		Dur("first", j.timeToFirst).Dur("prefill", m.promptDone.Sub(m.promptSent)).Dur("expected", m.prompt.Wait).Dur("start", m.first.Sub(m.runSent)).
		Int64("prompt", int64(j.r.Prompt)).Int64("cached", int64(m.prompt.Cached)).Int64("work", int64(m.prompt.PrefillTokens)).
		Dur("pause", m.pause).Str("target", string(m.pauseTarget.ID)).Float64("load", m.pauseLoad).Float64("pace", m.pausePace).
		Int("sends", j.sends).Msg("answered late")
}

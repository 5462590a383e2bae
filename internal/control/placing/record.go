package placing

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/backoff"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
)

const (
	// initialPrefillRate is the prefill rate, in tokens per second, assumed until the first measurement.
	initialPrefillRate = 50_000
	// meanRateWeight and targetRateWeight are the weights of the newest sample in the moving averages of the
	// prefill rate over all replicas and of one replica.
	meanRateWeight   = 0.02
	targetRateWeight = 0.15
	// minRateTokens is the minimum size of a prefill that is used as a rate sample; the time of a shorter one is
	// mostly fixed cost.
	minRateTokens = 2_000
	// maxSlowness bounds the estimated slowness of a replica relative to the mean, so that it is tried again.
	maxSlowness = 10

	// failureWeight is the weight of the newest outcome in the moving average of a target's failure rate.
	failureWeight = 0.2
	// firstPause and longestPause bound the pause of a lost target and of an unreachable data centre.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// cutOffAfter is the number of consecutive Lost outcomes in one data centre after which it counts as unreachable:
	// more targets than usually crash together.
	cutOffAfter = 4
	// silenceWindow is the time within which all reports that a target is silent count as one. Requests on one target see
	// the same silence, at times that differ by the patience of their callers.
	silenceWindow = time.Second
	// firstRefusedPause and longestRefusedPause bound the pause of a target that refused work. It accepts work again
	// once other requests have ended or its role change is complete.
	firstRefusedPause   = 250 * time.Millisecond
	longestRefusedPause = 2 * time.Second
	// changingPause is the pause of a replica that changes its role, renewed by each report of the change: several
	// heartbeat intervals of a small fleet.
	changingPause = time.Second
	// maxPaused bounds the number of paused targets that hosts send each other; usually only a few are paused.
	maxPaused = 32
)

// record is the observed state of one target.
type record struct {
	prefillRate    float64 // prompt tokens per second; zero if unknown
	failureRate    float64 // moving average of failed and lost work, from 0 to 1
	pause          backoff.Backoff
	silentAt       time.Time // last silence that was counted
	announcedUntil time.Time // end of the pause due to a refusal or a role change; shared with other hosts
	version        uint32    // number of refusals and role changes so far; hosts accept only higher versions
}

// slowness returns how many times slower than mean the target prefills, from 1 to maxSlowness; 1 if its rate
// is unknown.
func (r *record) slowness(mean float64) float64 {
	if r.prefillRate == 0 {
		return 1
	}

	return min(max(mean/r.prefillRate, 1), maxSlowness)
}

// Outcome is the way in which work on a target ended.
type Outcome uint8

const (
	// Served means a complete response.
	Served Outcome = iota
	// Failed means an error response or an incomplete response.
	Failed
	// Lost means that the target could not be reached or broke off.
	Lost
	// Refused means that the target rejected the work because it is full or is changing its role.
	Refused
	// Silent means that the target has not answered in time. The work on a target usually falls silent together, so the
	// reports of a target within a second count as one.
	Silent
)

// RecordOutcome records the outcome of work on t that ended at now.
func (b *Board) RecordOutcome(now time.Time, t fleet.Target, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()

	r := b.record(t.ID)

	if o == Silent {
		if !r.silentAt.IsZero() && now.Sub(r.silentAt) < silenceWindow {
			return
		}

		r.silentAt, o = now, Lost
	}

	b.recordReachability(now, t.DataCentre, o)

	switch o {
	case Served:
		r.failureRate -= failureWeight * r.failureRate
		r.pause, r.announcedUntil = backoff.Backoff{}, time.Time{}
	case Failed:
		r.failureRate += failureWeight * (1 - r.failureRate)
	case Lost:
		r.failureRate += failureWeight * (1 - r.failureRate)
		r.pause.Fail(now, firstPause, longestPause)
	case Refused:
		r.pause.Fail(now, firstRefusedPause, longestRefusedPause)
		r.announcedUntil = r.pause.End()
		r.version++
	}
}

// reachability tracks whether targets of one data centre can be reached.
type reachability struct {
	pause backoff.Backoff
	lost  int // number of consecutive Lost outcomes
}

// recordReachability pauses a data centre after several consecutive Lost outcomes. If it is cut off, each further
// target that is tried would cost a request the time of a failed connection attempt. The caller holds mu.
func (b *Board) recordReachability(now time.Time, dc entity.DataCentre, o Outcome) {
	c, ok := b.centres[dc]
	if !ok {
		c = &reachability{}
		b.centres[dc] = c
	}

	if o != Lost {
		*c = reachability{}

		return
	}

	if c.lost++; c.lost >= cutOffAfter {
		c.pause.Fail(now, firstPause, longestPause)
	}
}

// PauseChanging pauses target for 1 s, since it is executing an order and accepts no work meanwhile.
func (b *Board) PauseChanging(now time.Time, target entity.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()

	until := now.Add(changingPause)
	if r := b.record(target); until.After(r.announcedUntil) {
		r.announcedUntil = until
		r.pause.Extend(until)
		r.version++
	}
}

// PausedTarget is a target that currently accepts no work.
type PausedTarget struct {
	Target    entity.TargetID
	Remaining time.Duration // remaining time of the pause
	Version   uint32        // refusals and role changes so far; hosts accept only higher numbers, so that gossip ends
}

// PausedTargets returns the targets that are paused due to a refusal or a role change, at most 32. It excludes targets
// that are paused because this host cannot reach them.
func (b *Board) PausedTargets(now time.Time) []PausedTarget {
	b.mu.Lock()
	defer b.mu.Unlock()

	var paused []PausedTarget

	for id, r := range b.records {
		if remaining := r.announcedUntil.Sub(now); remaining > 0 && len(paused) < maxPaused {
			paused = append(paused, PausedTarget{Target: id, Remaining: remaining, Version: r.version})
		}
	}

	return paused
}

// MergePaused adds the paused targets reported by another host, at most 32, if their versions are higher than those
// known here. Each pause lasts at most 2 s plus a random time of up to 2 s, since all hosts would otherwise retry a
// target that still refuses work at the same time. In a fleet of at most 16 hosts the call has no effect: each host
// finds out about a full target itself with few refusals, and avoiding a target that was full only for a moment costs
// more than these.
func (b *Board) MergePaused(now time.Time, paused []PausedTarget) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if len(b.peers) < fewPeers {
		return
	}

	for _, t := range paused[:min(len(paused), maxPaused)] {
		r := b.record(t.Target)
		if t.Version <= r.version {
			continue
		}

		r.version = t.Version
		r.announcedUntil = now.Add(min(t.Remaining, longestRefusedPause))
		r.pause.Extend(r.announcedUntil.Add(rand.N(longestRefusedPause)))
	}
}

// RecordPrefill records that the target of p has prefilled a prompt with the given parts in took. A placement with
// less than 2,000 PrefillTokens or a took of zero does not change the estimated prefill rates.
func (b *Board) RecordPrefill(p Placement, parts []Part, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.cache.add(p.Target.ID, parts)

	tokens := float64(p.PrefillTokens)
	if tokens < minRateTokens || took <= 0 {
		return
	}

	rate := tokens / took.Seconds()
	if p.Exclusive {
		b.idlePrefillRate += meanRateWeight * (rate - b.idlePrefillRate)
	}

	r := b.record(p.Target.ID)
	r.prefillRate = cmp.Or(r.prefillRate, b.prefillRate)
	r.prefillRate += targetRateWeight * (rate - r.prefillRate)
	b.prefillRate += meanRateWeight * (rate - b.prefillRate)
}

// FinishPrompt releases the claim of a prompt that was placed for another host and records its result.
func (b *Board) FinishPrompt(now time.Time, p Placement, parts []Part, result PromptResult) {
	p.Claim.Release()

	switch {
	case !result.Sent:
	case result.Outcome == Served:
		b.RecordPrefill(p, parts, result.PrefillTime)
	default:
		b.RecordOutcome(now, p.Target, result.Outcome)
	}
}

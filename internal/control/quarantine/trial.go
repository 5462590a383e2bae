package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// trial is the one further run of a suspect on this host. It begins as a reservation of its target,
// which the other hosts must confirm.
type trial struct {
	target  entity.TargetID
	since   time.Time // when the target was reserved
	version uint64    // of the Table when the target was reserved
	started bool
}

// Candidate is a target that may take a trial. Running is the number of runs in its load report.
type Candidate struct {
	Target  entity.TargetID
	Running int
}

// View is a host's view of its data centre: all live entry hosts, itself included, and the targets
// that accept work, both in any order.
type View struct {
	Hosts      []entity.HostID
	Candidates []Candidate
}

// Trial is a suspect that is to run now, on Target and nowhere else.
type Trial struct {
	Fingerprint Fingerprint
	Target      entity.TargetID
}

// StartTrials starts the trials that are due and returns them. The host must dispatch each of them at once and
// report its end with Table.RunEnded or Table.TargetLost. Only fingerprints with a trial request get a trial: Check
// makes and renews the request, and Tick drops it trialRequestTTL after the last call of Check.
func (t *Table) StartTrials(now time.Time, v View) []Trial {
	var started []Trial

	for _, f := range t.requestedInOrder() {
		r := t.unexpired(now, f)
		if r == nil || !r.suspect() || r.Origin != t.opts.Self || t.runs.has(f) {
			continue
		}

		tr := t.trials[f]
		if tr == nil {
			tr = t.reserve(now, f, t.candidatesFor(v, &r.Entry))
		}

		if tr != nil && t.yields(tr.target) {
			t.dropTrial(f)

			continue
		}

		if tr == nil || !t.ConfirmedIdle(f, v.Hosts) || !t.confirmed(tr.version, v.Hosts) {
			continue
		}

		busy := runningOn(v, tr.target) > 0 || len(t.runs.byTarget[tr.target]) > 0
		if busy && now.Sub(tr.since) < t.opts.MaxTrialDelay {
			continue
		}

		tr.started = true
		t.runs.start(now, f, tr.target)
		delete(t.trialRequests, f)

		// Restart the term of the suspicion: if the entry expired during the trial, a loss would begin a new
		// episode and count as the first.
		r.Until = now.Add(t.opts.Suspicion)
		t.bumpVersion(r)

		started = append(started, Trial{Fingerprint: f, Target: tr.target})
	}

	return started
}

// requestedInOrder returns the fingerprints with a trial request, the oldest request first.
func (t *Table) requestedInOrder() []Fingerprint {
	return slices.SortedFunc(maps.Keys(t.trialRequests), func(a, b Fingerprint) int {
		if c := t.trialRequests[a].since.Compare(t.trialRequests[b].since); c != 0 {
			return c
		}

		return compareFingerprints(a, b)
	})
}

// ownCandidates returns the targets on which this host runs trials. Hosts with the same view get
// different targets, as long as there are at least as many targets as hosts.
func (t *Table) ownCandidates(v View) []Candidate {
	hosts := slices.Sorted(slices.Values(v.Hosts))
	self := slices.Index(hosts, t.opts.Self)

	if self < 0 || len(v.Candidates) == 0 {
		return nil
	}

	all := slices.SortedFunc(slices.Values(v.Candidates), func(a, b Candidate) int {
		return cmp.Compare(a.Target, b.Target)
	})

	if self >= len(all) {
		return all[self%len(all):][:1]
	}

	var own []Candidate
	for i := self; i < len(all); i += len(hosts) {
		own = append(own, all[i])
	}

	return own
}

// candidatesFor returns the targets on which this host runs a trial of the suspect e. A target that was lost with e is
// among them only if there is no other: it may still be silent, or already have been given up by the request.
func (t *Table) candidatesFor(v View, e *Entry) []Candidate {
	lost := func(c Candidate) bool {
		return slices.ContainsFunc(e.Losses, func(l Loss) bool { return l.Target == c.Target })
	}

	all := t.ownCandidates(v)
	if own := slices.DeleteFunc(slices.Clone(all), lost); len(own) > 0 {
		return own
	}

	v.Candidates = slices.DeleteFunc(slices.Clone(v.Candidates), lost)
	if own := t.ownCandidates(v); len(own) > 0 {
		return own
	}

	return all
}

// yields reports whether a peer that takes precedence over this host has reserved target too.
func (t *Table) yields(target entity.TargetID) bool {
	for id, p := range t.peers {
		if id < t.opts.Self && slices.Contains(p.reserved, target) {
			return true
		}
	}

	return false
}

// reserve reserves for f the least busy target of own that is not reserved. It returns nil if there is none or
// this host already has Options.MaxTrials trials.
func (t *Table) reserve(now time.Time, f Fingerprint, own []Candidate) *trial {
	if len(t.trials) >= t.opts.MaxTrials {
		return nil
	}

	var best *Candidate

	for i := range own {
		if !t.Reserved(own[i].Target) && (best == nil || own[i].Running < best.Running) {
			best = &own[i]
		}
	}

	if best == nil {
		return nil
	}

	t.version++
	tr := &trial{target: best.Target, since: now, version: t.version}
	t.trials[f] = tr

	return tr
}

// dropStaleTrials drops expired trial requests, reservations without a trial request, and trials whose run
// ended without a result.
func (t *Table) dropStaleTrials(now time.Time) {
	for f, request := range t.trialRequests {
		if now.Sub(request.last) > trialRequestTTL {
			delete(t.trialRequests, f)
		}
	}

	for f, tr := range t.trials {
		_, requested := t.trialRequests[f]

		if tr.started && !t.runs.isOn(f, tr.target) || !tr.started && !requested {
			t.dropTrial(f)
		}
	}
}

func (t *Table) dropTrial(f Fingerprint) {
	if _, ok := t.trials[f]; ok {
		t.version++
		delete(t.trials, f)
	}
}

// Reserved reports whether this host or a peer keeps target for a trial; routing sends nothing else there.
func (t *Table) Reserved(target entity.TargetID) bool {
	for _, tr := range t.trials {
		if tr.target == target {
			return true
		}
	}

	for _, p := range t.peers {
		if slices.Contains(p.reserved, target) {
			return true
		}
	}

	return false
}

func runningOn(v View, target entity.TargetID) int {
	for _, c := range v.Candidates {
		if c.Target == target {
			return c.Running
		}
	}

	return 0
}

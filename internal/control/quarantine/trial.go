package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// trial is the one further run of a suspect on this host.
type trial struct {
	target  table.TargetID
	since   time.Time // of the reservation
	version uint64    // at which the reservation was made
	started bool
}

// Candidate is a target that may take a trial, with the runs that its load report shows.
type Candidate struct {
	Target  table.TargetID
	Running int
}

// View is what a host sees of its data centre: all live entry hosts, itself included, and the
// targets that accept work, both in any order.
type View struct {
	Hosts      []table.HostID
	Candidates []Candidate
}

// Trial says that a suspect runs now, on Target and nowhere else.
type Trial struct {
	Fingerprint Fingerprint
	Target      table.TargetID
}

// Trials returns the trials that start now. The host dispatches each at once and reports its end
// by Ended or Lost. A fingerprint for which nobody has called Check in the last seconds gets none.
func (t *Table) Trials(now time.Time, v View) []Trial {
	var started []Trial

	own := t.ownCandidates(v)

	for _, f := range t.wantedInOrder() {
		r := t.live(now, f)
		if r == nil || !r.suspect() || r.Origin != t.opts.Self || t.runs.has(f) {
			continue
		}

		tr := t.trials[f]
		if tr == nil {
			tr = t.reserve(now, f, own)
		}

		if tr == nil || !t.Settled(f, v.Hosts) || !t.confirmed(tr.version, v.Hosts) {
			continue
		}

		busy := runningOn(v, tr.target) > 0 || len(t.runs.byTarget[tr.target]) > 0
		if busy && now.Sub(tr.since) < t.opts.Patience {
			continue
		}

		tr.started = true
		t.runs.start(now, f, tr.target)
		delete(t.wanted, f)

		// The entry has to outlast the trial, or its loss would count as the first.
		r.Until = now.Add(t.opts.Suspicion)
		t.touch(r)

		started = append(started, Trial{Fingerprint: f, Target: tr.target})
	}

	return started
}

func (t *Table) wantedInOrder() []Fingerprint {
	return slices.SortedFunc(maps.Keys(t.wanted), func(a, b Fingerprint) int {
		if c := t.wanted[a].since.Compare(t.wanted[b].since); c != 0 {
			return c
		}

		return compare(a, b)
	})
}

// ownCandidates returns the targets on which this host runs trials. Hosts with the same view have
// distinct ones, as long as there are enough targets.
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

// reserve keeps the least busy of own for f, or returns nil.
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

// tidyTrials gives up trials that ended without a result and reservations that nobody waits for.
func (t *Table) tidyTrials(now time.Time) {
	for f, w := range t.wanted {
		if now.Sub(w.last) > wantedFor {
			delete(t.wanted, f)
		}
	}

	for f, tr := range t.trials {
		_, wanted := t.wanted[f]

		if tr.started && !t.runs.on(f, tr.target) || !tr.started && !wanted {
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

// Reserved reports whether a host keeps target for a trial; routing sends nothing else there.
func (t *Table) Reserved(target table.TargetID) bool {
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

func runningOn(v View, target table.TargetID) int {
	for _, c := range v.Candidates {
		if c.Target == target {
			return c.Running
		}
	}

	return 0
}

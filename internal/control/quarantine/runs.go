package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// run holds the runs of one fingerprint on one target.
type run struct {
	open           int       // number of runs in flight
	since          time.Time // when the first of the runs began
	suspendedUntil time.Time // when the suspended run ends without a report of its target; zero if none
	end            End       // how the suspended run ended: Cut or Cancelled
}

// runs holds the runs of this host, by target and by fingerprint.
type runs struct {
	byTarget map[entity.TargetID]map[Fingerprint]*run
	count    map[Fingerprint]int // number of targets on which the fingerprint runs or is suspended
}

func newRuns() runs {
	return runs{
		byTarget: make(map[entity.TargetID]map[Fingerprint]*run),
		count:    make(map[Fingerprint]int),
	}
}

func (s *runs) start(now time.Time, f Fingerprint, target entity.TargetID) {
	byFingerprint := s.byTarget[target]
	if byFingerprint == nil {
		byFingerprint = make(map[Fingerprint]*run)
		s.byTarget[target] = byFingerprint
	}

	if byFingerprint[f] == nil {
		byFingerprint[f] = &run{since: now}
		s.count[f]++
	}

	byFingerprint[f].open++
}

func (s *runs) stop(f Fingerprint, target entity.TargetID) {
	r := s.byTarget[target][f]
	if r == nil {
		return
	}

	r.open--
	s.dropIfEnded(f, target, r)
}

// suspend keeps a run that did not complete, as its target may turn out to be lost.
func (s *runs) suspend(until time.Time, f Fingerprint, target entity.TargetID, end End) {
	r := s.byTarget[target][f]
	if r == nil {
		return
	}

	r.open--

	if r.suspendedUntil.IsZero() || r.end != Cut {
		r.suspendedUntil, r.end = until, end
	}
}

// dropIfEnded drops r if nothing of it is in flight or suspended.
func (s *runs) dropIfEnded(f Fingerprint, target entity.TargetID, r *run) {
	if r.open > 0 || !r.suspendedUntil.IsZero() {
		return
	}

	s.drop(f, target)
}

func (s *runs) drop(f Fingerprint, target entity.TargetID) {
	delete(s.byTarget[target], f)

	if len(s.byTarget[target]) == 0 {
		delete(s.byTarget, target)
	}

	s.count[f]--
	if s.count[f] == 0 {
		delete(s.count, f)
	}
}

// endSuspended ends the suspended runs of a target that is alive and returns their fingerprints.
func (s *runs) endSuspended(target entity.TargetID) []Fingerprint {
	var ended []Fingerprint

	for f, r := range s.byTarget[target] {
		if !r.suspendedUntil.IsZero() {
			ended = append(ended, f)
			r.suspendedUntil = time.Time{}
			s.dropIfEnded(f, target, r)
		}
	}

	return ended
}

// endAll ends all runs on a lost target. It returns their fingerprints, in order, and the times at
// which they began.
func (s *runs) endAll(target entity.TargetID) ([]Fingerprint, []time.Time) {
	byFingerprint := s.byTarget[target]
	lost := slices.SortedFunc(maps.Keys(byFingerprint), compareFingerprints)
	since := make([]time.Time, len(lost))

	for i, f := range lost {
		since[i] = byFingerprint[f].since
		s.drop(f, target)
	}

	return lost, since
}

// overdueTargets returns, in order, the targets that cut a run and stayed silent until the run's suspendedUntil.
// Cancelled runs past their suspendedUntil end without suspicion.
func (s *runs) overdueTargets(now time.Time) []entity.TargetID {
	var silent []entity.TargetID

	for target, byFingerprint := range s.byTarget {
		for f, r := range byFingerprint {
			if r.suspendedUntil.IsZero() || now.Before(r.suspendedUntil) {
				continue
			}

			if r.end == Cut {
				silent = append(silent, target)

				break
			}

			r.suspendedUntil = time.Time{}
			s.dropIfEnded(f, target, r)
		}
	}

	slices.Sort(silent)

	return silent
}

// hasUnresolvedCut reports whether a run of f was cut by a target that has not been reported as alive or lost since.
func (s *runs) hasUnresolvedCut(f Fingerprint) bool {
	if s.count[f] == 0 {
		return false
	}

	for _, byFingerprint := range s.byTarget {
		if r := byFingerprint[f]; r != nil && !r.suspendedUntil.IsZero() && r.end == Cut {
			return true
		}
	}

	return false
}

func (s *runs) isOn(f Fingerprint, target entity.TargetID) bool {
	return s.byTarget[target][f] != nil
}

func (s *runs) has(f Fingerprint) bool { return s.count[f] > 0 }

func compareFingerprints(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }

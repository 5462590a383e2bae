package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// run is one fingerprint on one target of this host.
type run struct {
	open  int       // in flight
	since time.Time // when the first of them began
	until time.Time // of a suspended run: when it is settled by time
	end   End       // of a suspended run: Cut or Cancelled
}

// runs is what this host has running, by target and by fingerprint.
type runs struct {
	byTarget map[table.TargetID]map[Fingerprint]*run
	count    map[Fingerprint]int // targets that f runs on or is suspended on
}

func newRuns() runs {
	return runs{
		byTarget: make(map[table.TargetID]map[Fingerprint]*run),
		count:    make(map[Fingerprint]int),
	}
}

func (s *runs) start(now time.Time, f Fingerprint, target table.TargetID) {
	on := s.byTarget[target]
	if on == nil {
		on = make(map[Fingerprint]*run)
		s.byTarget[target] = on
	}

	if on[f] == nil {
		on[f] = &run{since: now}
		s.count[f]++
	}

	on[f].open++
}

func (s *runs) stop(f Fingerprint, target table.TargetID) {
	r := s.byTarget[target][f]
	if r == nil {
		return
	}

	r.open--
	s.tidy(f, target, r)
}

// suspend keeps a run that did not end whole, as its target may yet be lost to it.
func (s *runs) suspend(until time.Time, f Fingerprint, target table.TargetID, end End) {
	r := s.byTarget[target][f]
	if r == nil {
		return
	}

	r.open--

	if r.until.IsZero() || r.end != Cut {
		r.until, r.end = until, end
	}
}

func (s *runs) tidy(f Fingerprint, target table.TargetID, r *run) {
	if r.open > 0 || !r.until.IsZero() {
		return
	}

	s.drop(f, target)
}

func (s *runs) drop(f Fingerprint, target table.TargetID) {
	delete(s.byTarget[target], f)

	if len(s.byTarget[target]) == 0 {
		delete(s.byTarget, target)
	}

	s.count[f]--
	if s.count[f] == 0 {
		delete(s.count, f)
	}
}

// settle ends the suspended runs of a target that is well and returns their fingerprints.
func (s *runs) settle(target table.TargetID) []Fingerprint {
	var settled []Fingerprint

	for f, r := range s.byTarget[target] {
		if !r.until.IsZero() {
			settled = append(settled, f)
			r.until = time.Time{}
			s.tidy(f, target, r)
		}
	}

	return settled
}

// lose ends all runs of a lost target and returns their fingerprints in order with the times at
// which they began.
func (s *runs) lose(target table.TargetID) ([]Fingerprint, []time.Time) {
	on := s.byTarget[target]
	lost := slices.SortedFunc(maps.Keys(on), compare)
	since := make([]time.Time, len(lost))

	for i, f := range lost {
		since[i] = on[f].since
		s.drop(f, target)
	}

	return lost, since
}

// overdue returns the targets that cut a run and have been silent since, in order. Cancelled runs
// that are due are settled.
func (s *runs) overdue(now time.Time) []table.TargetID {
	var silent []table.TargetID

	for target, on := range s.byTarget {
		for f, r := range on {
			if r.until.IsZero() || now.Before(r.until) {
				continue
			}

			if r.end == Cut {
				silent = append(silent, target)

				break
			}

			r.until = time.Time{}
			s.tidy(f, target, r)
		}
	}

	slices.Sort(silent)

	return silent
}

// unsettled reports whether a run of f was cut by a target of which nothing is known since.
func (s *runs) unsettled(f Fingerprint) bool {
	if s.count[f] == 0 {
		return false
	}

	for _, on := range s.byTarget {
		if r := on[f]; r != nil && !r.until.IsZero() && r.end == Cut {
			return true
		}
	}

	return false
}

func (s *runs) on(f Fingerprint, target table.TargetID) bool {
	return s.byTarget[target][f] != nil
}

func (s *runs) has(f Fingerprint) bool { return s.count[f] > 0 }

func compare(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }

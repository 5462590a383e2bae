package crashtracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// beginRetention is how long the begin of an answer shows that its parts do not crash targets. Weights may change, so it
	// ends.
	beginRetention = 2 * time.Second
	// partDelay is the time between the crash of a target and the loss of the parts of runs that had not begun there. Requests
	// that ran beside the one that caused the crash begin elsewhere meanwhile, which clears their parts.
	partDelay = 300 * time.Millisecond
	// crashRetention is how long a target that has crashed is remembered, for runs that end later.
	crashRetention = 10 * time.Second

	// trialDelay is the time between the last loss of a part that is refused and the first trial. It doubles with each loss
	// beyond refusePartAfter, maxTrialDoublings times at most.
	trialDelay        = time.Minute
	maxTrialDoublings = 4
	// trialTurn is the time in which one host of the fleet may make a trial, in its first half. The second half keeps the
	// trials of two hosts apart that learned of the last loss at different times.
	trialTurn = 4 * time.Second

	maxBegun    = 8192
	maxSuspects = 4096
)

// Turns returns the place of this host among all hosts of the fleet, in an order that depends on key, and their number.
type Turns func(key string) (place, hosts int)

// parts is what one host has seen of the parts of prompts. Table.mu guards it.
type parts struct {
	begun    *lru.Cache[Fingerprint, time.Time] // when an answer last began on a prompt with the part
	suspects map[Loss]*suspect                  // parts of runs that broke off before they began
	crashed  map[entity.TargetID]time.Time      // targets that have crashed, and when that was noticed
	// groups are the refused parts; see refusedGroups. It is nil if it has to be found anew.
	groups [][]*entry
	turns  Turns
}

// suspect is a part of a run that broke off, at, before its answer began.
type suspect struct {
	at      time.Time
	crashed bool // its target has crashed
}

func newParts() *parts {
	begun, err := lru.New[Fingerprint, time.Time](maxBegun)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &parts{begun: begun, suspects: map[Loss]*suspect{}, crashed: map[entity.TargetID]time.Time{}}
}

// hasBegun reports whether an answer has lately begun on a prompt with the part f.
func (p *parts) hasBegun(now time.Time, f Fingerprint) bool {
	at, ok := p.begun.Peek(f)

	return ok && now.Sub(at) < beginRetention
}

// SetTurns sets the order in which hosts make trials of refused parts. Without it, this host makes none.
func (t *Table) SetTurns(turns Turns) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.parts.turns = turns
}

// RecordBegin records that an answer has begun on a prompt with the given parts. A part that crashes targets does so before.
func (t *Table) RecordBegin(now time.Time, parts []Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, f := range parts {
		t.parts.begun.Add(f, now)
		t.clear(now, f)
	}
}

// RecordBrokenRun records that a run on target broke off before the answer to its prompt, with the given parts, had begun.
// The parts get a loss once the target has crashed, unless an answer begins on them meanwhile. If too many are kept, each new one
// replaces another at random, so that a flood of parts does not keep out one that comes again.
func (t *Table) RecordBrokenRun(now time.Time, target entity.TargetID, parts []Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()

	_, crashed := t.parts.crashed[target]

	for _, f := range parts {
		if t.parts.hasBegun(now, f) {
			continue
		}

		for l := range t.parts.suspects {
			if len(t.parts.suspects) < maxSuspects {
				break
			}

			delete(t.parts.suspects, l) // the order of a map is random
		}

		t.parts.suspects[Loss{Request: f, Target: target}] = &suspect{at: now, crashed: crashed}
	}
}

// RecordCrash records that target has crashed.
func (t *Table) RecordCrash(now time.Time, target entity.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.parts.crashed[target] = now

	for l, s := range t.parts.suspects {
		s.crashed = s.crashed || l.Target == target
	}
}

// confirmParts turns suspects whose targets have crashed into losses, and drops those that are cleared or too old. ended reports
// whether a target has ended. The caller holds mu.
func (t *Table) confirmParts(now time.Time, ended func(entity.TargetID) bool) {
	maps.DeleteFunc(t.parts.crashed, func(_ entity.TargetID, at time.Time) bool { return now.Sub(at) >= crashRetention })

	var confirmed []Loss

	for l, s := range t.parts.suspects {
		_, left := t.leaving[l.Target]
		begun, _ := t.parts.begun.Peek(l.Request)

		switch {
		case left || begun.After(s.at) || now.Sub(s.at) > confirmTime:
		case now.Sub(s.at) < partDelay || !s.crashed && !ended(l.Target):
			continue
		default:
			confirmed = append(confirmed, l)
		}

		delete(t.parts.suspects, l)
	}

	// Parts that have a loss already come first, since new records push out those with one loss if there are too many.
	hasLoss := func(l Loss) bool {
		e, ok := t.entries[l.Request]

		return ok && len(e.Targets) > 0
	}
	further := slices.DeleteFunc(slices.Clone(confirmed), func(l Loss) bool { return !hasLoss(l) })
	first := slices.DeleteFunc(confirmed, hasLoss)

	for _, l := range append(further, first...) {
		t.recordPartLoss(now, l)
	}
}

// recordPartLoss records a loss of a part. The caller holds mu.
func (t *Table) recordPartLoss(now time.Time, l Loss) {
	r := Record{Request: l.Request, Part: true, Targets: []entity.TargetID{l.Target}, Left: lifetime}
	if e, ok := t.entries[l.Request]; ok {
		r.Clearances = e.Clearances
	}

	t.join(now, r, everywhere)
	t.extend(now, l.Request)
}

// extend gives the record of f the time that its present state counts. The caller holds mu.
func (t *Table) extend(now time.Time, f Fingerprint) {
	if e, ok := t.entries[f]; ok {
		if until := now.Add(e.lifetime()); until.After(e.until) {
			e.until = until
		}
	}
}

// PartVerdict says what to do with a request because of the parts of its prompt. The zero value lets it run.
type PartVerdict struct {
	Refused bool
	Trial   bool          // it is to run although a part of it is refused; later verdicts on it must be ignored
	Part    Fingerprint   // the part that is the cause, if Refused or Trial is set
	Left    time.Duration // how long requests with Part are refused
}

// JudgeParts returns the verdict at now on a request whose prompt has the given parts.
func (t *Table) JudgeParts(now time.Time, parts []Fingerprint) PartVerdict {
	t.mu.Lock()
	defer t.mu.Unlock()

	if !slices.ContainsFunc(parts, func(f Fingerprint) bool {
		e, ok := t.entries[f]

		return ok && e.Part && e.Refused()
	}) {
		return PartVerdict{}
	}

	var v PartVerdict

	for _, group := range t.refusedGroups() {
		found := 0

		for _, e := range group {
			if now.Before(e.until) && slices.Contains(parts, e.Request) {
				found++
				v.Part, v.Left = e.Request, e.until.Sub(now)
			}
		}

		if found == 0 {
			continue
		}

		if v.Trial || v.Refused || !t.takeTrial(now, group, found == len(group)) {
			v.Refused, v.Trial = true, false
		} else {
			v.Trial = true
		}
	}

	return v
}

// refusedGroups returns the parts that explain the losses, in groups: the part with the most losses that no earlier one
// explains, with those that have as many but one. Which part of a group causes them is not known. The caller holds mu.
func (t *Table) refusedGroups() [][]*entry {
	if t.parts.groups != nil {
		return t.parts.groups
	}

	var candidates []*entry

	for _, e := range t.entries {
		if e.Part && e.Refused() {
			candidates = append(candidates, e)
		}
	}

	groups, explained := [][]*entry{}, map[entity.TargetID]bool{}

	for len(candidates) > 0 {
		slices.SortFunc(candidates, func(a, b *entry) int {
			return cmp.Or(cmp.Compare(b.unexplained(explained), a.unexplained(explained)), cmp.Compare(a.Request, b.Request))
		})

		first := candidates[0]
		if first.unexplained(explained) < refusePartAfter {
			break
		}

		isAlike := func(e *entry) bool { return e.shared(first) >= len(first.Targets)-1 }
		group := slices.DeleteFunc(slices.Clone(candidates), func(e *entry) bool { return !isAlike(e) })
		candidates = slices.DeleteFunc(candidates, isAlike)
		groups = append(groups, group)

		for _, e := range group {
			for _, target := range e.Targets {
				explained[target] = true
			}
		}
	}

	t.parts.groups = groups

	return groups
}

// unexplained returns the number of the targets of e that are not in explained.
func (e *entry) unexplained(explained map[entity.TargetID]bool) int {
	n := 0

	for _, target := range e.Targets {
		if !explained[target] {
			n++
		}
	}

	return n
}

// shared returns the number of targets that e and other both name.
func (e *entry) shared(other *entry) int {
	n := 0

	for _, target := range e.Targets {
		if slices.Contains(other.Targets, target) {
			n++
		}
	}

	return n
}

// takeTrial reports whether a request with parts of group is a trial that this host may make now. whole states that the request
// has all parts of the group; one that has some of them tells them apart, and needs no delay. The caller holds mu.
func (t *Table) takeTrial(now time.Time, group []*entry, whole bool) bool {
	if t.parts.turns == nil {
		return false
	}

	first := group[0]
	since := now.Sub(slices.MaxFunc(group, func(a, b *entry) int { return a.changed.Compare(b.changed) }).changed)

	if whole {
		since -= trialDelay << min(len(first.Targets)-refusePartAfter, maxTrialDoublings)
	}

	turn := int64(since / trialTurn)
	place, hosts := t.parts.turns(first.Request.String())

	if since < 0 || since%trialTurn >= trialTurn/2 || turn == first.tried || turn%int64(max(hosts, 1)) != int64(place) {
		return false
	}

	first.tried = turn

	return true
}

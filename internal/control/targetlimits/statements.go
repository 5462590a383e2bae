package targetlimits

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// leavingMemory is how long a target counts as leaving after it has said so. Its run, and with it the statement, ends
	// earlier, unless its entry does not tell one run from the next.
	leavingMemory = 10 * time.Minute
	// maxRefusal bounds the time for which a target can refuse all requests of this host.
	maxRefusal = 10 * time.Minute
)

// shun is why this host sends nothing to a target. It holds for this host alone: a target refuses hosts one by one, and says to
// each of them that it leaves.
type shun struct {
	leaving time.Time // until when the target counts as leaving; zero if it has not said so
	refuses time.Time // until when the target refuses requests; zero if it has not said so
}

// RecordLeaving records that target has said at now that it leaves, and reports whether that is new. It accepts no request any
// more in its present run, whatever it states later.
func (t *Table) RecordLeaving(now time.Time, target entity.TargetID) bool {
	if t == nil {
		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	s := t.shunned[target]
	known := now.Before(s.leaving)
	s.leaving = now.Add(leavingMemory)
	t.setShun(target, s)

	return !known
}

// RecordRefusal records that target has refused a request at now and wants none from this host for d. A later statement can
// extend the time and does not shorten it.
func (t *Table) RecordRefusal(now time.Time, target entity.TargetID, d time.Duration) {
	if t == nil || d <= 0 {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	s := t.shunned[target]
	if until := now.Add(min(d, maxRefusal)); until.After(s.refuses) {
		s.refuses = until
		t.setShun(target, s)
	}
}

// setShun sets s for target. The caller holds mu.
func (t *Table) setShun(target entity.TargetID, s shun) {
	t.shunned[target] = s
	t.shuns.Store(int64(len(t.shunned)))
}

// Leaves reports whether target has said that it leaves.
func (t *Table) Leaves(now time.Time, target entity.TargetID) bool {
	if t == nil || t.shuns.Load() == 0 {
		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	return now.Before(t.shunned[target].leaving)
}

// Refuses reports whether target refuses all requests of this host for a time.
func (t *Table) Refuses(now time.Time, target entity.TargetID) bool {
	if t == nil || t.shuns.Load() == 0 {
		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	return t.shunnedFor(now, target) > 0
}

// Leaving returns the targets that have said that they leave.
func (t *Table) Leaving(now time.Time) []entity.TargetID {
	if t == nil || t.shuns.Load() == 0 {
		return nil
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	var leaving []entity.TargetID

	for target, s := range t.shunned {
		if now.Before(s.leaving) {
			leaving = append(leaving, target)
		}
	}

	return leaving
}

// shunnedFor returns how long target accepts no request of this host: zero if it accepts them, and a negative time if it leaves.
// The caller holds mu.
func (t *Table) shunnedFor(now time.Time, target entity.TargetID) time.Duration {
	s := t.shunned[target]
	if now.Before(s.leaving) {
		return -1
	}

	return max(s.refuses.Sub(now), 0)
}

// tickShunned forgets statements whose time has passed, and those of targets for which keep returns false. The caller holds mu.
func (t *Table) tickShunned(now time.Time, keep func(entity.TargetID) bool) {
	for target, s := range t.shunned {
		if !keep(target) || !now.Before(s.leaving) && !now.Before(s.refuses) {
			delete(t.shunned, target)
		}
	}

	t.shuns.Store(int64(len(t.shunned)))
}

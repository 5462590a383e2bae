// Package reach decides whether a host is cut off from all targets of a service, while its peers may reach them.
//
// Requests that fail to reach several targets, with none reached since, make a service doubtful. Probes then decide, and so
// neither a silent target nor a host that was paused counts as a cut. While the service is cut off, probes show its end.
package reach

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// doubtfulTargets is the number of targets of a service that a host must have failed to reach, with none reached
	// since, for the service to be doubtful; fewer if the service has fewer.
	doubtfulTargets = 2
	// failureMemory is how long a failure counts.
	failureMemory = 3 * time.Second
	// probeInterval is the time between two probes of a service that is cut off.
	probeInterval = 300 * time.Millisecond
	// quietTime is the time after a probe that has reached a target in which failures do not call for another one.
	quietTime = time.Second
)

// Tracker tracks the services that this host reaches. It is safe for concurrent use. A nil Tracker reaches all. Make it with
// New.
type Tracker struct {
	onChange func(Change)
	unsure   atomic.Int64 // number of services in which a target could not be reached, or that are cut off

	mu       sync.Mutex
	services map[entity.ServiceName]*service
	reached  map[entity.ServiceName]time.Time // when a probe last reached a target
	notified chan struct{}                    // receives a value when a probe may be due
}

// service holds the failures since a target of the service was reached last.
type service struct {
	failed  map[entity.TargetID]time.Time
	targets int // number of targets when the last failure was recorded
	cutOff  bool
	since   time.Time // when cutOff was set
	probing bool
	nextAt  time.Time // when the next probe is due, while cutOff
}

// Change is a service that is cut off from now on, or no longer.
type Change struct {
	Service entity.ServiceName
	CutOff  bool
	Failed  int           // targets that could not be reached
	Lasted  time.Duration // how long the service was cut off, if it no longer is
}

// New returns a Tracker that reaches all services. onChange is called for each Change, without a lock held; nil means no call.
func New(onChange func(Change)) *Tracker {
	if onChange == nil {
		onChange = func(Change) {}
	}

	return &Tracker{onChange: onChange, services: map[entity.ServiceName]*service{}, reached: map[entity.ServiceName]time.Time{}, notified: make(chan struct{}, 1)}
}

// Notified returns a channel that receives a value when Due may have changed.
func (t *Tracker) Notified() <-chan struct{} { return t.notified }

// RecordReached records that a target of name has answered.
func (t *Tracker) RecordReached(now time.Time, name entity.ServiceName) {
	if t == nil || t.unsure.Load() == 0 {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	// Once a service is doubtful, only a probe decides: an open connection may live on while new ones fail.
	if s := t.services[name]; s != nil && !s.cutOff && !s.doubtful(now) {
		t.remove(name)
	}
}

// RecordFailed records that target, one of the number of targets of name, could not be reached or did not answer.
func (t *Tracker) RecordFailed(now time.Time, name entity.ServiceName, target entity.TargetID, targets int) {
	if t == nil {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if at, ok := t.reached[name]; ok && now.Sub(at) < quietTime {
		return
	}

	s := t.services[name]
	if s == nil {
		s = &service{failed: map[entity.TargetID]time.Time{}}
		t.services[name] = s
		t.unsure.Store(int64(len(t.services)))
	}

	s.failed[target] = now
	s.targets = targets

	if s.doubtful(now) {
		t.notify()
	}
}

// doubtful reports whether the failures call for a probe. The caller holds the lock of the tracker.
func (s *service) doubtful(now time.Time) bool {
	n := 0

	for _, at := range s.failed {
		if now.Sub(at) <= failureMemory {
			n++
		}
	}

	return n > 0 && n >= min(doubtfulTargets, s.targets)
}

// remove forgets name. The caller holds mu.
func (t *Tracker) remove(name entity.ServiceName) {
	delete(t.services, name)
	t.unsure.Store(int64(len(t.services)))
}

func (t *Tracker) notify() {
	select {
	case t.notified <- struct{}{}:
	default:
	}
}

// Doubtful reports whether name is cut off or may be, so that failures at this host say little about targets.
func (t *Tracker) Doubtful(now time.Time, name entity.ServiceName) bool {
	if t == nil || t.unsure.Load() == 0 {
		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	s := t.services[name]

	return s != nil && (s.cutOff || s.doubtful(now))
}

// CutOff reports whether this host reaches no target of name.
func (t *Tracker) CutOff(name entity.ServiceName) bool {
	if t == nil || t.unsure.Load() == 0 {
		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	s := t.services[name]

	return s != nil && s.cutOff
}

// Unreachable returns the services that are cut off, in order.
func (t *Tracker) Unreachable() []entity.ServiceName {
	t.mu.Lock()
	defer t.mu.Unlock()

	var names []entity.ServiceName

	for name, s := range t.services {
		if s.cutOff {
			names = append(names, name)
		}
	}

	slices.Sort(names)

	return names
}

// Due returns the services that are to be probed now, and when the next one is due: zero for none. Each of them must be
// passed to RecordProbe once.
func (t *Tracker) Due(now time.Time) (due []entity.ServiceName, next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for name, s := range t.services {
		switch {
		case s.probing:
		case s.cutOff && now.Before(s.nextAt):
			if next.IsZero() || s.nextAt.Before(next) {
				next = s.nextAt
			}
		case s.cutOff || s.doubtful(now):
			s.probing = true
			due = append(due, name)
		default:
			if now.Sub(s.newestFailure()) > failureMemory {
				t.remove(name)
			}
		}
	}

	slices.Sort(due)

	return due, next
}

// newestFailure returns the time of the newest failure. The caller holds the lock of the tracker.
func (s *service) newestFailure() time.Time {
	var newest time.Time

	for _, at := range s.failed {
		if at.After(newest) {
			newest = at
		}
	}

	return newest
}

// RecordProbe records whether a probe has reached a target of name.
func (t *Tracker) RecordProbe(now time.Time, name entity.ServiceName, reached bool) {
	change, changed := t.recordProbe(now, name, reached)
	if changed {
		t.onChange(change)
	}
}

func (t *Tracker) recordProbe(now time.Time, name entity.ServiceName, reached bool) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := t.services[name]
	if s == nil {
		return Change{}, false
	}

	change := Change{Service: name, CutOff: !reached, Failed: len(s.failed)}
	changed := s.cutOff == reached

	if reached {
		if s.cutOff {
			change.Lasted = now.Sub(s.since)
		}

		t.remove(name)
		t.reached[name] = now

		return change, changed
	}

	s.probing = false
	s.nextAt = now.Add(probeInterval)

	if changed {
		s.cutOff, s.since = true, now
	}

	return change, changed
}

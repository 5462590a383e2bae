package router

import (
	"maps"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// versions holds the software version that each target stated last. It is safe for concurrent use.
type versions struct {
	mu     sync.RWMutex
	stated map[entity.TargetID]statedVersion
}

type statedVersion struct {
	version entity.SoftwareVersion
	at      time.Time
}

func newVersions() *versions {
	return &versions{stated: map[entity.TargetID]statedVersion{}}
}

// set records that t stated v at the given time, unless t has stated its version since.
func (s *versions) set(t entity.TargetID, v entity.SoftwareVersion, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if last, ok := s.stated[t]; !ok || !at.Before(last.at) {
		s.stated[t] = statedVersion{version: v, at: at}
	}
}

// known reports whether the version of t is known.
func (s *versions) known(t entity.TargetID) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()

	_, ok := s.stated[t]

	return ok
}

// mayMatch reports whether a and b may run the same version, as far as is known.
func (s *versions) mayMatch(a, b entity.TargetID) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()

	va, knownA := s.stated[a]
	vb, knownB := s.stated[b]

	return !knownA || !knownB || va.version == vb.version
}

// retain forgets the targets for which keep returns false.
func (s *versions) retain(keep func(entity.TargetID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	maps.DeleteFunc(s.stated, func(t entity.TargetID, _ statedVersion) bool { return !keep(t) })
}

package origins

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// LearnTime is how long a version counts as new at a host that sees it. Until then, other hosts learn of it or find out that their
// targets are not current.
const LearnTime = 3500 * time.Millisecond

// History keeps which software versions the services have run lately: for as long as their streams live. A service that has
// run only one version for that long has no streams of another one. It is safe for concurrent use. Make it with NewHistory.
type History struct {
	mu       sync.Mutex
	services map[entity.ServiceName]*serviceHistory
}

// serviceHistory is the history of one service.
type serviceHistory struct {
	since    time.Time                            // when the service was first observed
	life     time.Duration                        // the longest life of its streams that was stated so far
	lastSeen map[entity.SoftwareVersion]time.Time // versions of the last life
	seenAt   map[entity.SoftwareVersion]time.Time // when each of them was first seen
	// before is the only version that the service had run when a second one was first seen, at mixedAt, or until this host read the
	// register, at mixedAt. It is nil if the service was not observed for long enough, or if the versions were not current right
	// before mixedAt: streams of the second one may have begun before it was seen.
	before  *entity.SoftwareVersion
	mixedAt time.Time
	current bool // the versions were current at the last observation
}

// NewHistory returns a History without observations.
func NewHistory() *History {
	return &History{services: map[entity.ServiceName]*serviceHistory{}}
}

// Observe records the versions that the targets of each service run at now. current states that these are all versions that
// other hosts know of. life returns how long the streams of a service
// live, all tries of their callers together. A life that has become shorter is not used, as older streams live on.
func (h *History) Observe(
	now time.Time, versions map[entity.ServiceName][]entity.SoftwareVersion, current bool, life func(entity.ServiceName) time.Duration,
) {
	h.mu.Lock()
	defer h.mu.Unlock()

	for service, list := range versions {
		s := h.service(now, service)
		s.life = max(s.life, life(service))
		s.observe(now, list, current && s.current)
		s.current = current
	}
}

// observe records versions. current states that no version can have come and served between the last observation and this one.
func (s *serviceHistory) observe(now time.Time, versions []entity.SoftwareVersion, current bool) {
	for v, at := range s.lastSeen {
		if now.Sub(at) >= s.life && !slices.Contains(versions, v) {
			delete(s.lastSeen, v)
			delete(s.seenAt, v)
		}
	}

	_, alone := s.lone()
	only, settled := s.unrecorded(now)

	for _, v := range versions {
		s.lastSeen[v] = now

		if _, seen := s.seenAt[v]; !seen {
			s.seenAt[v] = now
		}
	}

	if _, still := s.lone(); still || !alone {
		return
	}

	s.before, s.mixedAt = nil, now
	if settled && current {
		s.before = &only
	}
}

// Adopt records that all streams of service that began before now and have no record have the given version, as the register of the store
// says, where streams live for life. Hosts are asked for a record before that is used, since streams may have begun at others meanwhile.
func (h *History) Adopt(now time.Time, service entity.ServiceName, version entity.SoftwareVersion, life time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()

	s := h.service(now, service)
	s.life = max(s.life, life)
	s.before, s.mixedAt = &version, now
}

// service returns the history of a service, which begins at now if there is none. The caller holds mu.
func (h *History) service(now time.Time, name entity.ServiceName) *serviceHistory {
	s, ok := h.services[name]
	if !ok {
		s = &serviceHistory{since: now, lastSeen: map[entity.SoftwareVersion]time.Time{}, seenAt: map[entity.SoftwareVersion]time.Time{}}
		h.services[name] = s
	}

	return s
}

// lone returns the only version of the last life, if there was exactly one.
func (s *serviceHistory) lone() (entity.SoftwareVersion, bool) {
	if len(s.lastSeen) != 1 {
		return "", false
	}

	for v := range s.lastSeen {
		return v, true
	}

	return "", false
}

// sole returns the only version of the last life. It reports false if there were several, or the service was
// not observed for that long.
func (s *serviceHistory) sole(now time.Time) (entity.SoftwareVersion, bool) {
	v, ok := s.lone()

	return v, ok && now.Sub(s.since) >= s.life
}

// Sole returns the version that all streams of service have, if replicas of only one version have served it for longer than
// streams live.
func (h *History) Sole(now time.Time, service entity.ServiceName) (entity.SoftwareVersion, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.services[service]
	if !ok {
		return "", false
	}

	return s.sole(now)
}

// Settled reports whether each service has run one version alone for longer than its streams live.
func (h *History) Settled(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	for _, s := range h.services {
		if _, sole := s.sole(now); !sole {
			return false
		}
	}

	return true
}

// Mixed reports whether the service has lately run several versions.
func (h *History) Mixed(service entity.ServiceName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.services[service]

	return ok && len(s.lastSeen) > 1
}

// Before returns the version of the streams of service that have no record because they began before a second version was
// seen. It reports false if there can be no such stream or their version is not known.
func (h *History) Before(now time.Time, service entity.ServiceName) (entity.SoftwareVersion, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.services[service]
	if !ok {
		return "", false
	}

	return s.unrecorded(now)
}

// unrecorded is Before of one service.
func (s *serviceHistory) unrecorded(now time.Time) (entity.SoftwareVersion, bool) {
	if v, ok := s.sole(now); ok {
		return v, true
	}

	if s.before == nil || now.Sub(s.mixedAt) >= s.life {
		return "", false
	}

	return *s.before, true
}

// New returns the versions of service that this host has seen for so short a time that others may not know of them. They
// would take a stream of such a version for one of the version that was there before.
func (h *History) New(now time.Time, service entity.ServiceName) []entity.SoftwareVersion {
	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.services[service]
	if !ok {
		return nil
	}

	var list []entity.SoftwareVersion

	for v, at := range s.seenAt {
		if now.Sub(at) < LearnTime {
			list = append(list, v)
		}
	}

	return list
}

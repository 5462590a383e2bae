package fleet

import (
	"slices"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Snapshot indexes the targets for lookups by request handlers. It is immutable; a nil *Snapshot has no targets.
type Snapshot struct {
	All       []Target // including leaving targets
	byService map[entity.ServiceName][]Target
	byRole    map[roleKey][]Target
	byVersion map[versionKey][]Target
	byID      map[entity.TargetID]Target
	leaving   []entity.TargetID
	versions  map[entity.ServiceName][]entity.SoftwareVersion
}

// roleKey identifies the targets of one service that have one role.
type roleKey struct {
	service entity.ServiceName
	role    entity.Role
}

// versionKey identifies the targets of one service that have one role and run one software version.
type versionKey struct {
	roleKey

	version entity.SoftwareVersion
}

// NewSnapshot returns an index of list, which must not be modified afterwards.
func NewSnapshot(list []Target) *Snapshot {
	s := &Snapshot{
		All:       list,
		byService: make(map[entity.ServiceName][]Target),
		byRole:    make(map[roleKey][]Target),
		byVersion: make(map[versionKey][]Target),
		byID:      make(map[entity.TargetID]Target, len(list)),
		versions:  make(map[entity.ServiceName][]entity.SoftwareVersion),
	}

	for _, t := range list {
		s.byID[t.ID] = t

		if !slices.Contains(s.versions[t.Service], t.Version) {
			s.versions[t.Service] = append(s.versions[t.Service], t.Version)
		}

		if t.Leaving {
			s.leaving = append(s.leaving, t.ID)

			continue
		}

		s.byService[t.Service] = append(s.byService[t.Service], t)

		k := roleKey{t.Service, t.Role}
		s.byRole[k] = append(s.byRole[k], t)

		vk := versionKey{k, t.Version}
		s.byVersion[vk] = append(s.byVersion[vk], t)
	}

	return s
}

// Of returns the targets of service that accept new work, that is, without leaving ones.
func (s *Snapshot) Of(service entity.ServiceName) []Target {
	if s == nil {
		return nil
	}

	return s.byService[service]
}

// InRole returns the targets of service that accept new work and have the given role.
func (s *Snapshot) InRole(service entity.ServiceName, role entity.Role) []Target {
	if s == nil {
		return nil
	}

	return s.byRole[roleKey{service, role}]
}

// AtVersion returns the targets of service that accept new work, have the given role and run the given software version.
func (s *Snapshot) AtVersion(service entity.ServiceName, role entity.Role, version entity.SoftwareVersion) []Target {
	if s == nil {
		return nil
	}

	return s.byVersion[versionKey{roleKey{service, role}, version}]
}

// Versions returns the software versions that targets of each service run, leaving targets included. The result must not be
// modified.
func (s *Snapshot) Versions() map[entity.ServiceName][]entity.SoftwareVersion {
	if s == nil {
		return nil
	}

	return s.versions
}

// Target returns the target with the given id, also if it is leaving.
func (s *Snapshot) Target(id entity.TargetID) (Target, bool) {
	if s == nil {
		return Target{}, false
	}

	t, ok := s.byID[id]

	return t, ok
}

// Leaving returns the ids of the leaving targets.
func (s *Snapshot) Leaving() []entity.TargetID {
	if s == nil {
		return nil
	}

	return s.leaving
}

// Difference returns the ids of the targets of s that accept new work and did not in old, of those that no longer accept
// new work, and of those that old has and s has not.
func (s *Snapshot) Difference(old *Snapshot) (added, leaving, gone []string) {
	for _, t := range s.All {
		before, known := old.Target(t.ID)

		switch accepted := known && !before.Leaving; {
		case !t.Leaving && !accepted:
			added = append(added, string(t.ID))
		case t.Leaving && accepted:
			leaving = append(leaving, string(t.ID))
		}
	}

	if old == nil {
		return added, leaving, nil
	}

	for _, t := range old.All {
		if _, ok := s.byID[t.ID]; !ok {
			gone = append(gone, string(t.ID))
		}
	}

	return added, leaving, gone
}

package fleet

import "github.com/dotterelflow/dotterelflow/internal/control/table"

// Snapshot indexes the targets for traffic. It is immutable; a nil *Snapshot has no targets.
type Snapshot struct {
	All       []Target
	byService map[table.ServiceName][]Target
	byRole    map[group][]Target
	byID      map[table.TargetID]Target
}

// group is the targets of one service that have one role.
type group struct {
	service table.ServiceName
	role    table.Role
}

// NewSnapshot indexes list, which must not change afterwards.
func NewSnapshot(list []Target) *Snapshot {
	s := &Snapshot{
		All:       list,
		byService: make(map[table.ServiceName][]Target),
		byRole:    make(map[group][]Target),
		byID:      make(map[table.TargetID]Target, len(list)),
	}

	for _, t := range list {
		s.byID[t.ID] = t

		if !t.Leaving {
			s.byService[t.Service] = append(s.byService[t.Service], t)

			g := group{t.Service, t.Role}
			s.byRole[g] = append(s.byRole[g], t)
		}
	}

	return s
}

// Of returns the targets of service that take new work.
func (s *Snapshot) Of(service table.ServiceName) []Target {
	if s == nil {
		return nil
	}

	return s.byService[service]
}

// InRole returns those of the targets of service that take new work and have role.
func (s *Snapshot) InRole(service table.ServiceName, role table.Role) []Target {
	if s == nil {
		return nil
	}

	return s.byRole[group{service, role}]
}

// Target returns the target id.
func (s *Snapshot) Target(id table.TargetID) (Target, bool) {
	if s == nil {
		return Target{}, false
	}

	t, ok := s.byID[id]

	return t, ok
}

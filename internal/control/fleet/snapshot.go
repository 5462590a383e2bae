package fleet

import "github.com/dotterelflow/dotterelflow/internal/control/table"

// Snapshot indexes the targets for traffic. It is immutable; a nil *Snapshot has no targets.
type Snapshot struct {
	All       []Target
	byService map[table.ServiceName][]Target
	byID      map[table.TargetID]Target
}

// NewSnapshot indexes list, which must not change afterwards.
func NewSnapshot(list []Target) *Snapshot {
	s := &Snapshot{
		All:       list,
		byService: make(map[table.ServiceName][]Target),
		byID:      make(map[table.TargetID]Target, len(list)),
	}

	for _, t := range list {
		s.byID[t.ID] = t

		if !t.Leaving {
			s.byService[t.Service] = append(s.byService[t.Service], t)
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

// Target returns the target id.
func (s *Snapshot) Target(id table.TargetID) (Target, bool) {
	if s == nil {
		return Target{}, false
	}

	t, ok := s.byID[id]

	return t, ok
}

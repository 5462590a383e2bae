package experiment

import (
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

// operate carries out an operation of the trace.
func (s *sim) operate(op trace.Operation) {
	switch op.Action {
	case trace.Drain:
		s.units[s.index[op.Target]].Leaving = true
	case trace.Return:
		s.units[s.index[op.Target]].Leaving = false
	case trace.Cut:
		s.cut = op.DataCentre
		s.tickAll()
		s.redirect()
	case trace.Heal:
		s.cut = ""
	}
}

// tickAll lets all hosts see the state of the fleet.
func (s *sim) tickAll() {
	for _, c := range s.deployment.Centres {
		s.tick(c.Name)
	}
}

// tick lets the hosts of dc see the state of the fleet.
func (s *sim) tick(dc table.DataCentre) {
	targets := s.targets(dc)

	for _, h := range s.byCentre[dc] {
		h.tick(targets)
	}
}

// redirect gives up the attempts that run where their host can't reach them. Work that must not
// run twice is lost to its caller, as it may have run; other work starts afresh.
func (s *sim) redirect() {
	for _, r := range s.requests {
		if r.outcome != pending || r.unit < 0 || s.reach(r.host.dc, s.units[r.unit].DataCentre) {
			continue
		}

		if r.kind.AtMostOnce {
			s.tally.mayHaveRun++
			s.lose(r)

			continue
		}

		s.again(r)
		r.host.offer(r)
	}
}

// decide lets the authority of dc decide on a role change.
func (s *sim) decide(dc table.DataCentre) {
	s.tally.sampleRoles(s)

	p, ok := s.variant.policy.propose(s.input(dc), dc)
	if !ok {
		return
	}

	s.change(p)
}

// input gathers what the authority of dc can see.
func (s *sim) input(dc table.DataCentre) roles.Input {
	in := roles.Input{Now: s.now}

	for _, u := range s.units {
		if u.Type != table.Engine || !s.reach(dc, u.DataCentre) {
			continue
		}

		load, _ := u.engine.Load(s.now)
		in.Engines = append(in.Engines, roles.Engine{
			Target: u.ID, DataCentre: u.DataCentre, Model: u.Model, Role: u.role, PrefillRate: u.PrefillRate,
			DecodeRate: u.DecodeRate, Reported: load.At, Changed: u.changed, Changing: u.engine.Changing(),
			Unusable: u.Leaving, Open: load.Running + load.Queued,
		})
	}

	for _, c := range s.deployment.Centres {
		if !s.reach(dc, c.Name) {
			continue
		}

		l := roles.Load{Source: roles.Source{DataCentre: c.Name, Model: trace.ModelName}, At: s.now}

		for _, h := range s.byCentre[c.Name] {
			l.Rate = l.Rate.Add(h.demand.Rate(s.now, l.Source))
			l.Backlog = l.Backlog.Add(h.queued)
		}

		in.Loads = append(in.Loads, l)
	}

	return in
}

// change orders a role change. Streams of a decode engine move to others; a prefill engine ends
// its prompts first.
func (s *sim) change(p roles.Proposal) {
	n := s.index[p.Target]
	u := s.units[n]

	if u.engine.Changing() || u.role == p.Role {
		return
	}

	was := u.role
	u.ordered = s.now
	s.tally.changes++

	if err := u.engine.ChangeRole(s.now, p.Role); err != nil {
		return
	}

	u.role = p.Role

	if was == table.Decode {
		s.move(n)
	}

	s.refresh(n)
}

// move takes the streams off unit n to other engines.
func (s *sim) move(n int) {
	u := s.units[n]

	for _, w := range u.engine.Export(s.now) {
		r, ok := s.byID[w.Request]
		if !ok || r.unit != n {
			continue
		}

		s.release(r)
		r.host.hand(r, w, u.DataCentre, u.ID)
	}
}

// changed ends the order of unit n.
func (s *sim) changed(n int) {
	u := s.units[n]
	u.changed = s.now
	u.role = u.engine.Role()
	s.tally.away += s.now.Sub(u.ordered)

	for _, h := range s.hosts {
		h.prefixes.Drop(u.ID)
	}
}

package experiment

import (
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

// applyOperation carries out op of the trace.
func (s *sim) applyOperation(op trace.Operation) {
	switch op.Action {
	case trace.Drain:
		s.targets[s.indexOf[op.Target]].Leaving = true
	case trace.Return:
		s.targets[s.indexOf[op.Target]].Leaving = false
	case trace.Cut:
		s.cut = op.DataCentre
		s.tickAll()
		s.restartUnreachable()
	case trace.Heal:
		s.cut = ""
	}
}

// tickAll updates the hosts of all data centres.
func (s *sim) tickAll() {
	for _, c := range s.deployment.Centres {
		s.tick(c.Name)
	}
}

// tick updates the hosts of dc with the present state of the targets.
func (s *sim) tick(dc entity.DataCentre) {
	targets := s.targetsSeenFrom(dc)

	for _, h := range s.byCentre[dc] {
		h.tick(targets)
	}
}

// restartUnreachable abandons the attempts on targets that their host can no longer reach. At-most-once requests are
// lost, because they may have run; other requests start again from the beginning.
func (s *sim) restartUnreachable() {
	for _, r := range s.requests {
		if r.outcome != pending || r.targetIndex < 0 || s.reachable(r.host.dc, s.targets[r.targetIndex].DataCentre) {
			continue
		}

		if r.kind.AtMostOnce {
			s.tally.mayHaveRun++
			s.markLost(r)

			continue
		}

		s.newAttempt(r)
		r.host.offer(r)
	}
}

// decideRoles runs the policy for the authority of dc, the entry host that may order role changes there, and starts the
// role change that the policy proposes, if any. It also samples the engine counts of the timeline.
func (s *sim) decideRoles(dc entity.DataCentre) {
	s.tally.sampleRoles(s)

	p, ok := s.variant.policy.propose(s.rolesInput(dc), dc)
	if !ok {
		return
	}

	s.startRoleChange(p)
}

// rolesInput returns the engines and loads that are visible to the authority of dc.
func (s *sim) rolesInput(dc entity.DataCentre) roles.Input {
	in := roles.Input{Now: s.now}

	for _, target := range s.targets {
		if target.Type != entity.Engine || !s.reachable(dc, target.DataCentre) {
			continue
		}

		load, _ := target.engine.Load(s.now)
		in.Engines = append(in.Engines, roles.Engine{
			Target: target.ID, DataCentre: target.DataCentre, Model: target.Model, Role: target.role, PrefillRate: target.PrefillRate,
			DecodeRate: target.DecodeRate, ReportedAt: load.At, ChangedAt: target.roleChanged, Changing: target.engine.Changing(),
			Unusable: target.Leaving, Open: load.Running + load.Queued,
		})
	}

	for _, c := range s.deployment.Centres {
		if !s.reachable(dc, c.Name) {
			continue
		}

		l := roles.Load{Source: roles.Source{DataCentre: c.Name, Model: trace.ModelName}, At: s.now}

		for _, h := range s.byCentre[c.Name] {
			l.Rate = l.Rate.Add(h.demand.Rate(s.now, l.Source))
			l.Backlog = l.Backlog.Add(h.backlog)
		}

		in.Loads = append(in.Loads, l)
	}

	return in
}

// startRoleChange orders the role change p. A decode engine migrates its streams to other engines; a prefill engine
// finishes its prompts first. An engine that is changing, or already has the new role, is left alone.
func (s *sim) startRoleChange(p roles.Proposal) {
	n := s.indexOf[p.Target]
	target := s.targets[n]

	if target.engine.Changing() || target.role == p.Role {
		return
	}

	oldRole := target.role
	target.roleChangeOrdered = s.now
	s.tally.roleChanges++

	if err := target.engine.ChangeRole(s.now, p.Role); err != nil {
		return
	}

	target.role = p.Role

	if oldRole == entity.Decode {
		s.migrateStreams(n)
	}

	s.updateNextEvent(n)
}

// migrateStreams moves the streams of target n to other engines.
func (s *sim) migrateStreams(n int) {
	target := s.targets[n]

	for _, w := range target.engine.Export(s.now) {
		r, ok := s.byID[w.Request]
		if !ok || r.targetIndex != n {
			continue
		}

		s.release(r)
		r.host.handOff(r, w, target.DataCentre, target.ID)
	}
}

// finishRoleChange records the end of the role change of target n. The change has emptied the engine's prefix cache.
func (s *sim) finishRoleChange(n int) {
	target := s.targets[n]
	target.roleChanged = s.now
	target.role = target.engine.Role()
	s.tally.engineTimeLost += s.now.Sub(target.roleChangeOrdered)

	for _, h := range s.hosts {
		h.prefixes.Drop(target.ID)
	}
}

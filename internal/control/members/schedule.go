package members

import (
	"net/netip"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/rendezvous"
)

const (
	maxRound        = 250 * time.Millisecond
	roundsPerPeriod = 4
	seedInterval    = 5 * time.Second
	overduePercent  = 150 // percent of a period after which a host sends its own heartbeat instead of waiting for the peer's
	candidateTTL    = time.Minute
	maxCandidates   = 1024
	// MaxIntroduced is the most members that a heartbeat introduces.
	MaxIntroduced = 6
	// maxLocalIntroduced is the number of hosts of its own data centre that are introduced to a host that knows too few of them.
	maxLocalIntroduced = 4
	// settleTime is the time without new members of the data centre after which a host takes all of them for known.
	settleTime = 2 * time.Second

	// seedContacts is the number of hosts of each data centre that contact the seeds every seedInterval. Together they find hosts
	// that were cut off, and introduce them to the others, which contact the seeds seldom.
	seedContacts       = 2
	seldomSeedInterval = 30 * time.Second
)

// Schedule decides with which addresses a host exchanges heartbeats, and when. It finds further hosts through seeds and
// through the members that other hosts introduce. Make it with NewSchedule. It is not safe for concurrent use.
type Schedule struct {
	*Table

	address    string   // of this host
	seeds      []string // addresses to contact first
	candidates map[string]candidate
	due        map[string]time.Time // time of the next heartbeat by address
	inFlight   map[string]bool      // addresses with a heartbeat under way
}

// candidate is an address at which a host may be.
type candidate struct {
	dataCentre entity.DataCentre // "" if it is not known
	until      time.Time         // when it is dropped
}

// NewSchedule returns a Schedule of the members in t, for the host at address.
func NewSchedule(t *Table, address string, seeds []string) *Schedule {
	return &Schedule{Table: t, address: address, seeds: seeds, candidates: map[string]candidate{}, due: map[string]time.Time{}, inFlight: map[string]bool{}}
}

// Round returns the time until TakeDue is to be called again. A heartbeat is late by a quarter of the period at most.
func (s *Schedule) Round() time.Duration { return min(maxRound, s.Period()/roundsPerPeriod) }

// TakeDue returns the addresses whose heartbeat is due. Each of them is under way until Ended is called, and its next heartbeat
// is scheduled.
func (s *Schedule) TakeDue(now time.Time) []string {
	s.Forget(now)

	periods := map[string]time.Duration{}
	seedPeriod := s.seedPeriod(now)

	for _, seed := range s.seeds {
		periods[seed] = seedPeriod
	}

	for address, c := range s.candidates {
		if m, known := s.ByAddress(address); known && s.Alive(m, now) || c.until.Before(now) {
			delete(s.candidates, address)

			continue
		}

		periods[address] = seedInterval
	}

	for _, m := range s.HeartbeatPartners(now) {
		periods[m.Address] = s.Period()
	}

	delete(periods, s.address)

	var due []string

	for address, period := range periods {
		// A seed that has become a member does not wait for the rest of the seeds' longer interval.
		left := s.due[address].Sub(now)
		if s.inFlight[address] || left > 0 && left <= period*overduePercent/100 {
			continue
		}

		s.inFlight[address] = true
		s.due[address] = now.Add(period)
		due = append(due, address)
	}

	return due
}

// seedPeriod returns the time between two heartbeats to a seed. A host without live members contacts the seeds more often.
func (s *Schedule) seedPeriod(now time.Time) time.Duration {
	switch {
	case s.LiveCount(now) == 0:
		return s.Period()
	case s.Responsible(now, "seeds", seedContacts):
		return seedInterval
	default:
		return seldomSeedInterval
	}
}

// Ended records that the heartbeat to address is no longer under way.
func (s *Schedule) Ended(address string) { delete(s.inFlight, address) }

// AllDue makes all heartbeats due.
func (s *Schedule) AllDue() { clear(s.due) }

// Due makes the heartbeats to hosts due, as far as they are live members.
func (s *Schedule) Due(now time.Time, hosts []entity.HostID) {
	for _, host := range hosts {
		if m, ok := s.Get(host); ok && s.Alive(m, now) {
			delete(s.due, m.Address)
		}
	}
}

// Postpone defers the heartbeat to the host at address, which has just sent one itself and got a reply, until its next one is
// overdue.
func (s *Schedule) Postpone(address string, now time.Time) {
	s.due[address] = now.Add(s.Period() * overduePercent / 100)
}

// AddCandidates adds addresses that may be peers. It skips invalid ones, those of members and of this host, and all new ones
// beyond a limit. An address is dropped after a minute without success.
func (s *Schedule) AddCandidates(now time.Time, addresses []string) {
	for _, address := range addresses {
		if _, known := s.ByAddress(address); !known {
			s.addCandidate(now, address, "")
		}
	}
}

func (s *Schedule) addCandidate(now time.Time, address string, dc entity.DataCentre) {
	if _, err := netip.ParseAddrPort(address); err != nil || address == s.address || len(s.candidates) >= maxCandidates {
		return
	}

	s.candidates[address] = candidate{dataCentre: dc, until: now.Add(candidateTTL)}
}

// Introduce adds the hosts that a host of the data centre sender introduces, if this host exchanges heartbeats with them: those
// of its own data centre, those that the sender has chosen for it in the sender's data centre, and those of a data centre in which
// it knows too few hosts. Of an introduced host, only the address and the data centre are used; a host of an older build leaves
// the data centre empty.
func (s *Schedule) Introduce(now time.Time, sender entity.DataCentre, introduced []Member) {
	for _, m := range introduced[:min(len(introduced), MaxIntroduced)] {
		known, ok := s.ByAddress(m.Address)

		switch {
		case ok && (m.DataCentre == "" || s.Alive(known, now)):
		case m.DataCentre != "" && m.DataCentre != s.home && m.DataCentre != sender && s.reachable(now, m.DataCentre) >= remoteFanout:
		default:
			s.addCandidate(now, m.Address, m.DataCentre)
		}
	}
}

// reachable returns the number of live members and of candidates in the data centre dc.
func (s *Schedule) reachable(now time.Time, dc entity.DataCentre) int {
	n := 0

	for _, m := range s.members {
		if m.DataCentre == dc && s.Alive(m, now) {
			n++
		}
	}

	for _, c := range s.candidates {
		if c.dataCentre == dc {
			n++
		}
	}

	return n
}

// Introductions returns the members that this host introduces to the host to, at most MaxIntroduced: in a remote data centre,
// those here with which the receiver is to exchange heartbeats; further hosts of its own data centre, more if it knows fewer than
// there are; and one of any other data centre.
func (s *Schedule) Introductions(now time.Time, to entity.HostID) []Member {
	receiver, ok := s.Get(to)
	if !ok {
		return nil // it is introduced to others in the reply to its own heartbeats
	}

	local, other := s.split(now, receiver)

	var introduced []Member

	n := 1
	if receiver.LocalHosts < s.HostCounts(now)[receiver.DataCentre] {
		n = maxLocalIntroduced
	}

	// A host that has just met hosts of its own data centre does not know yet which of them come first for the receiver.
	if receiver.DataCentre != s.home && now.Sub(s.settled) >= settleTime {
		introduced = s.partnersFor(now, receiver)
		n--
	}

	introduced = append(introduced, local[:min(len(local), n)]...)

	return append(introduced, other[:min(len(other), 1)]...)
}

// split returns the live members of the receiver's data centre, without the receiver, and those of data centres that are neither
// the receiver's nor this host's, both in random order.
func (s *Schedule) split(now time.Time, receiver Member) (local, other []Member) {
	for _, m := range s.members {
		switch {
		case m.Host == receiver.Host || !s.Alive(m, now):
		case m.DataCentre == receiver.DataCentre:
			local = append(local, m)
		case m.DataCentre != s.home:
			other = append(other, m)
		}
	}

	return local, other
}

// partnersFor returns the hosts of this host's data centre, without this host, that are among those with which the receiver, in
// another one, exchanges heartbeats.
func (s *Schedule) partnersFor(now time.Time, receiver Member) []Member {
	nearest := []weighted{{Member{Host: s.self}, rendezvous.Score(string(receiver.Host), string(s.self))}}

	for _, m := range s.members {
		if m.DataCentre == s.home && s.Alive(m, now) {
			nearest = insertByWeight(nearest, weighted{m, rendezvous.Score(string(receiver.Host), string(m.Host))})
		}
	}

	var partners []Member

	for _, w := range nearest {
		if w.Host != s.self {
			partners = append(partners, w.Member)
		}
	}

	return partners
}

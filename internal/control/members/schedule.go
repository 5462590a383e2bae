package members

import (
	"net/netip"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	seedInterval   = 5 * time.Second
	overduePercent = 150 // percent of a period after which a host sends its own heartbeat instead of waiting for the peer's
	candidateTTL   = time.Minute
	maxCandidates  = 1024
	// MaxIntroduced is the most addresses of members that a heartbeat introduces.
	MaxIntroduced = 3
)

// Schedule decides with which addresses a host exchanges heartbeats, and when. It finds further hosts through seeds and
// through the members that other hosts introduce. Make it with NewSchedule. It is not safe for concurrent use.
type Schedule struct {
	*Table

	address    string   // of this host
	seeds      []string // addresses to contact first
	candidates map[string]time.Time
	due        map[string]time.Time // time of the next heartbeat by address
	inFlight   map[string]bool      // addresses with a heartbeat under way
}

// NewSchedule returns a Schedule of the members in t, for the host at address.
func NewSchedule(t *Table, address string, seeds []string) *Schedule {
	return &Schedule{Table: t, address: address, seeds: seeds, candidates: map[string]time.Time{}, due: map[string]time.Time{}, inFlight: map[string]bool{}}
}

// TakeDue returns the addresses whose heartbeat is due. Each of them is under way until Ended is called, and its next heartbeat
// is scheduled.
func (s *Schedule) TakeDue(now time.Time) []string {
	s.Forget(now)

	periods := map[string]time.Duration{}
	for _, seed := range s.seeds {
		periods[seed] = seedInterval

		// A host without live members contacts the seeds more often.
		if s.LiveCount(now) == 0 {
			periods[seed] = s.Period()
		}
	}

	for address, until := range s.candidates {
		if _, known := s.ByAddress(address); known || until.Before(now) {
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

// Ended records that the heartbeat to address is no longer under way.
func (s *Schedule) Ended(address string) { delete(s.inFlight, address) }

// AllDue makes all heartbeats due.
func (s *Schedule) AllDue() { clear(s.due) }

// Postpone defers the heartbeat to the host at address, which has just sent one itself and got a reply, until its next one is
// overdue.
func (s *Schedule) Postpone(address string, now time.Time) {
	s.due[address] = now.Add(s.Period() * overduePercent / 100)
}

// Introduce adds addresses that may be peers. It skips invalid ones, those of members and of this host, and all new ones
// beyond a limit. An address is dropped after a minute without success.
func (s *Schedule) Introduce(now time.Time, addresses []string) {
	until := now.Add(candidateTTL)

	for _, address := range addresses {
		_, err := netip.ParseAddrPort(address)
		_, known := s.ByAddress(address)

		if err != nil || known || address == s.address || len(s.candidates) >= maxCandidates {
			continue
		}

		s.candidates[address] = until
	}
}

// Introductions returns the members that this host introduces to the host to of the data centre dc, at most MaxIntroduced. The
// receiver is not known if to is empty.
func (s *Schedule) Introductions(now time.Time, _ entity.HostID, _ entity.DataCentre) []Member {
	return s.Sample(now, MaxIntroduced)
}

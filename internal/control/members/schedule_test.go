package members_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
)

const (
	fleetSeeds     = 3
	fleetStep      = 50 * time.Millisecond
	fleetMinPeriod = 200 * time.Millisecond
	// fleetStart is when each host has to know the others; traffic begins 10 s after the hosts do.
	fleetStart = 10 * time.Second
	// fleetSteady is the time over which heartbeats are counted, after fleetStart.
	fleetSteady = 8 * time.Second
	// fleetPartners is the number of hosts in other data centres with which a host exchanges heartbeats, for each of these: two
	// that it chooses, and two on average that choose it.
	fleetPartners = 4
)

// simulatedHost is a host whose heartbeats arrive at once.
type simulatedHost struct {
	*members.Schedule

	id        entity.HostID
	dc        entity.DataCentre
	address   string
	sequence  uint64
	contacted map[string]time.Time // addresses to which it sent a heartbeat, and when it did so last
	next      time.Time            // when it looks for due heartbeats again
	exchanges int                  // heartbeats sent and received
	old       bool                 // it is of a build that knows no data centres of introduced hosts
}

// simulatedFleet is hosts on virtual time.
type simulatedFleet struct {
	now       time.Time
	hosts     []*simulatedHost
	byAddress map[string]*simulatedHost
	cut       entity.DataCentre // data centre that is cut off from the others; "" for none
}

func newSimulatedFleet(hosts, dataCentres int) *simulatedFleet {
	f := &simulatedFleet{now: epoch, byAddress: map[string]*simulatedHost{}}

	var seeds []string
	for i := range min(hosts, fleetSeeds) {
		seeds = append(seeds, simulatedAddress(i))
	}

	for i := range hosts {
		dc := entity.DataCentre(fmt.Sprint("dc-", i%dataCentres))
		h := &simulatedHost{id: entity.HostID(fmt.Sprint("host-", i)), dc: dc, address: simulatedAddress(i), contacted: map[string]time.Time{}}
		h.Schedule = members.NewSchedule(members.NewWithMinPeriod(h.id, dc, fleetMinPeriod), h.address, seeds)
		f.hosts = append(f.hosts, h)
		f.byAddress[h.address] = h
	}

	return f
}

func simulatedAddress(i int) string { return fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250) }

// run plays d.
func (f *simulatedFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		for _, h := range f.hosts {
			if f.now.Before(h.next) {
				continue
			}

			h.next = f.now.Add(h.Round())

			for _, address := range h.TakeDue(f.now) {
				f.exchange(h, address)
				h.Ended(address)
			}
		}
	}
}

// exchange plays a heartbeat of h to address and the reply.
func (f *simulatedFleet) exchange(h *simulatedHost, address string) {
	h.contacted[address] = f.now
	h.exchanges++

	other := f.byAddress[address]
	if h.dc != other.dc && (h.dc == f.cut || other.dc == f.cut) {
		return
	}

	other.exchanges++

	to, known := h.ByAddress(address)
	if !known || !h.Alive(to, f.now) {
		to = members.Member{}
	}

	h.send(f.now, other, to.Host)
	other.Postpone(h.address, f.now)
	other.send(f.now, h, h.id)
}

// send gives a digest of h to the receiver, which h knows as the host to.
func (h *simulatedHost) send(now time.Time, receiver *simulatedHost, to entity.HostID) {
	h.sequence++

	introduced := h.Introductions(now, to)
	if h.old {
		introduced = h.Live(now)
		rand.Shuffle(len(introduced), func(i, j int) { introduced[i], introduced[j] = introduced[j], introduced[i] })
		introduced = introduced[:min(len(introduced), 3)]

		for i := range introduced {
			introduced[i].DataCentre = ""
		}
	}

	if receiver.old {
		introduced = introduced[:min(len(introduced), 3)]
		for _, m := range introduced {
			receiver.AddCandidates(now, []string{m.Address})
		}
	} else {
		receiver.Introduce(now, h.dc, introduced)
	}

	receiver.Update(members.Member{
		Host: h.id, Address: h.address, DataCentre: h.dc, Ready: true, LocalHosts: h.HostCounts(now)[h.dc], Sequence: h.sequence, ReceivedAt: now,
	})
}

// requireKnown checks that h exchanges heartbeats with all live hosts of its data centre and two of each other one.
func (f *simulatedFleet) requireKnown(t *testing.T, h *simulatedHost) {
	t.Helper()

	live, partners := map[entity.DataCentre]int{}, map[entity.DataCentre]int{}

	for _, other := range f.hosts {
		if other != h {
			live[other.dc]++
		}
	}

	for _, m := range h.HeartbeatPartners(f.now) {
		partners[m.DataCentre]++
	}

	for dc, n := range live {
		if dc != h.dc {
			n = min(n, 2)
		}

		require.Equal(t, n, partners[dc], "partners of %s in %s", h.id, dc)
	}
}

// TestHostsMeetFewHosts counts the hosts with which each host of a fleet speaks at all, and its heartbeats.
func TestHostsMeetFewHosts(t *testing.T) {
	for _, size := range []struct{ hosts, dataCentres int }{{18, 6}, {85, 4}, {195, 6}, {330, 5}} {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			f := newSimulatedFleet(size.hosts, size.dataCentres)
			f.run(fleetStart)

			partners := (size.hosts-1)/size.dataCentres + fleetPartners*(size.dataCentres-1)
			met, mostMet := 0, 0

			for _, h := range f.hosts {
				f.requireKnown(t, h)
				met += len(h.contacted)
				mostMet = max(mostMet, len(h.contacted))
				h.exchanges = 0
			}

			f.run(fleetSteady)

			all, most := 0, 0
			for _, h := range f.hosts {
				all += h.exchanges
				most = max(most, h.exchanges)
			}

			perSecond := func(n int) float64 { return float64(n) / fleetSteady.Seconds() }
			t.Logf("addresses met at the start: %d on average, %d at most; heartbeats a second: %.1f, %.1f at most",
				met/size.hosts, mostMet, perSecond(all)/float64(size.hosts), perSecond(most))
			require.LessOrEqual(t, met/size.hosts, partners+fleetSeeds, "addresses to which a host connects")
			// A host sends or receives a heartbeat for each partner in a period of 50 ms for each of them, so 20 a second; seeds get more.
			require.Less(t, perSecond(all)/float64(size.hosts), 30.0)
			require.Less(t, perSecond(most), 50.0)
		})
	}
}

// While hosts are upgraded one after the other, both builds find all hosts that they need.
func TestHostsOfTwoBuildsMeet(t *testing.T) {
	for _, every := range []int{2, 10} {
		t.Run(fmt.Sprint(every), func(t *testing.T) {
			f := newSimulatedFleet(85, 4)
			for i, h := range f.hosts {
				h.old = i%every == 0
			}

			f.run(2 * fleetStart)

			for _, h := range f.hosts {
				f.requireKnown(t, h)
			}
		})
	}
}

// A data centre that was cut off for so long that its hosts count as lost is known to all again soon after the cut.
func TestHostsMeetAgainAfterACut(t *testing.T) {
	for _, size := range []struct{ hosts, dataCentres int }{{18, 6}, {85, 4}} {
		for _, cut := range []entity.DataCentre{"dc-0", "dc-3"} { // with a seed and without
			t.Run(fmt.Sprint(size.hosts, "/", cut), func(t *testing.T) {
				f := newSimulatedFleet(size.hosts, size.dataCentres)
				f.run(fleetStart)

				f.cut = cut
				f.run(2 * fleetStart)

				f.cut = ""
				f.run(fleetStart)

				for _, h := range f.hosts {
					f.requireKnown(t, h)
				}
			})
		}
	}
}

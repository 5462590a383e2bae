package peersync

import (
	"maps"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// watchesPerHost is the number of watches of each host that reads the store: of the configuration and of the targets.
	watchesPerHost = 2
	// maxWatch is the longest duration of one watch of the store. It is less than the time for which the platform's store
	// keeps its history, so that one more watch can go on from the same revision.
	maxWatch = 19 * time.Second
	// turnInterval is the time between the ends of two successive watches in a fleet of so few hosts that their watches need
	// not last maxWatch.
	turnInterval = 1200 * time.Millisecond
	// maxSilence is the longest time between two such ends that this host takes for sound. It leaves room for a watch that ends
	// out of turn.
	maxSilence = 2200 * time.Millisecond
	// lateTurn is how late a watch may end.
	lateTurn = 150 * time.Millisecond
	// earlyTurns is the time over which hosts spread their early reads once no watch has ended in time. Hosts whose own
	// watches end soon come first.
	earlyTurns = time.Second

	// largeFleetHops is the number of heartbeats in which news reaches all hosts of a large fleet.
	largeFleetHops = 3
)

// Turn is the place of one watch among all watches of the hosts that read the store. The watches end in turn, so that one of
// them shows every few seconds that the store is heard, although each lasts long. The zero value is a single watch.
type Turn struct {
	Index  int           // from zero
	Count  int           // number of watches; zero counts as one
	Spread time.Duration // time that heartbeats take to tell all hosts what one of them knows
}

// Fleet is this host's view of the other hosts.
type Fleet interface {
	// Hosts returns the number of hosts from which this host receives heartbeats, this one included.
	Hosts() int
	// HostCounts returns the number of hosts in each data centre.
	HostCounts() map[entity.DataCentre]int
	// Rank returns the place of this host, from zero, in the order of key among the hosts of its data centre.
	Rank(key string) int
	// Period returns the time between two heartbeats to one host.
	Period() time.Duration
}

// TurnOf returns the turn of a watch of this host, which is in the data centre home. watch is less than watchesPerHost. In a
// fleet of more than SmallFleetHosts hosts, the readers of the data centres alternate. key is the key by which the readers
// of a data centre are chosen.
func TurnOf(f Fleet, home entity.DataCentre, key string, watch int) Turn {
	var (
		counts = f.HostCounts()
		t      = Turn{Spread: f.Period()}
		place  = f.Rank(key) // of this host among those that read the store
		hosts  int
	)

	if f.Hosts() > SmallFleetHosts {
		centres := slices.Sorted(maps.Keys(counts))
		place = place*len(centres) + slices.Index(centres, home)
		hosts = ReadersPerDataCentre * len(centres)
		t.Spread *= largeFleetHops
	} else {
		for dc, n := range counts {
			hosts += n

			if dc < home {
				place += n
			}
		}

		if f.Hosts() < hosts {
			t.Spread += f.Period() // some hosts are heard of through others only
		}
	}

	t.Index, t.Count = watchesPerHost*place+watch, watchesPerHost*hosts

	return t
}

// cycle returns the time in which each watch has its turn once.
func (t Turn) cycle() time.Duration {
	return min(maxWatch, time.Duration(t.count())*turnInterval)
}

func (t Turn) count() int { return max(t.Count, 1) }

// First returns the longest duration of a watch that begins at the same time as those of all hosts, since a change has reached
// them. These watches have different lengths, so that the later ones end in turn.
func (t Turn) First() time.Duration {
	return t.cycle() * time.Duration(min(t.Index, t.count()-1)+1) / time.Duration(t.count())
}

// Next returns the longest duration of a watch that begins after this host's last one has ended without changes.
func (t Turn) Next() time.Duration { return t.cycle() }

// IsLate reports whether this host should read the store before its watch ends, since too much time has passed since the last
// end of one of several kinds of watches. age is the time since the last such end that this host knows of, share the part of
// all watches that are of these kinds, and left the time until this host's own watch ends.
func (t Turn) IsLate(age time.Duration, share float64, left time.Duration) bool {
	limit := time.Duration(float64(maxSilence)/share) + t.Spread + lateTurn

	return age > limit+time.Duration(float64(earlyTurns)*float64(left)/float64(t.cycle()))
}

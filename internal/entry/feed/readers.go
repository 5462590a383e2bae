package feed

import (
	"maps"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	// FewHosts is the number of hosts up to which each reads the store itself.
	FewHosts = 16
	// heardBound is the least age at which word of a reader no longer counts. It leaves time to read the store
	// oneself within the bounds on the age of what was read.
	heardBound = 2 * time.Second
	// heardPeriods is that age in periods of the heartbeats of many hosts. Readers tell news at once, so that
	// only the loss of all readers of a data centre is noticed later.
	heardPeriods = 2
	// ReadersPerCentre is the number of hosts of each data centre that read the store in a large fleet.
	ReadersPerCentre = 3
	// forgetAfter is the age at which word of a reader is dropped: more than any number of periods that count.
	forgetAfter = time.Minute
	// restAfter is the number of readers that a host must hear to rest. As hosts start, or a reader is lost, they
	// differ for a while about who reads, and one reader may be about to rest itself.
	restAfter = 2
)

// Readers knows which hosts read the store for the others of their data centre, so that its calls do not
// grow with the hosts. It is safe for concurrent use. Make it with NewReaders.
type Readers struct {
	home table.DataCentre

	mu    sync.Mutex
	heard map[table.HostID]time.Time // last word of the readers of this data centre that the store answers
}

// NewReaders returns a Readers for a host in the data centre home.
func NewReaders(home table.DataCentre) *Readers {
	return &Readers{home: home, heard: map[table.HostID]time.Time{}}
}

// Hear notes at now whether host, in the data centre dc, is a reader that the store answers.
func (r *Readers) Hear(now time.Time, host table.HostID, dc table.DataCentre, reads bool) {
	if dc != r.home {
		return
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	maps.DeleteFunc(r.heard, func(_ table.HostID, at time.Time) bool { return now.Sub(at) > forgetAfter })
	delete(r.heard, host)

	if reads {
		r.heard[host] = now
	}
}

// Rest reports whether this host leaves the store to others: in a fleet of hosts that exchange heartbeats every
// period it is not among the readers of its data centre, and has heard several of them lately.
func (r *Readers) Rest(now time.Time, hosts int, period time.Duration, reader bool) bool {
	if hosts <= FewHosts || reader {
		return false
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	heard := 0

	for _, at := range r.heard {
		if now.Sub(at) < max(heardBound, heardPeriods*period) {
			heard++
		}
	}

	return heard >= restAfter
}

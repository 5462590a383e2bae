package peersync

import (
	"maps"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// SmallFleetHosts is the largest number of hosts at which each host reads the store itself.
	SmallFleetHosts = 16
	// minReaderTimeout is the shortest time without a heartbeat after which a reader counts as lost. It leaves this
	// host time to read the store itself within the bounds on the age of its state.
	minReaderTimeout = 2 * time.Second
	// readerTimeoutPeriods is the same time in heartbeat periods, which are longer in a large fleet. Readers send
	// changes at once, so a longer timeout delays only the detection that all readers of a data centre are lost.
	readerTimeoutPeriods = 2
	// ReadersPerDataCentre is the number of hosts of each data centre that read the store in a large fleet.
	ReadersPerDataCentre = 3
	// readerRetention is the time without a heartbeat after which a reader's entry is deleted. It exceeds any timeout.
	readerRetention = time.Minute
	// minLiveReaders is the number of live readers at which a host stops reading the store. One is not enough: while
	// hosts start or after the loss of a reader, hosts disagree on who reads, and that reader may be about to stop too.
	minLiveReaders = 2
)

// Readers tracks which hosts read the store on behalf of the other hosts of their data centre. That keeps the number of
// store calls from growing with the number of hosts. It is safe for concurrent use. Make it with NewReaders.
type Readers struct {
	home entity.DataCentre

	mu            sync.Mutex
	lastHeartbeat map[entity.HostID]time.Time // time by reader, for readers of this data centre that can reach the store
}

// NewReaders returns a Readers for a host in the data centre home.
func NewReaders(home entity.DataCentre) *Readers {
	return &Readers{home: home, lastHeartbeat: map[entity.HostID]time.Time{}}
}

// RecordHeartbeat records from a heartbeat received at now whether host, in the data centre dc, is a reader that can reach
// the store. Hosts of other data centres are ignored.
func (r *Readers) RecordHeartbeat(now time.Time, host entity.HostID, dc entity.DataCentre, reads bool) {
	if dc != r.home {
		return
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	maps.DeleteFunc(r.lastHeartbeat, func(_ entity.HostID, at time.Time) bool { return now.Sub(at) > readerRetention })
	delete(r.lastHeartbeat, host)

	if reads {
		r.lastHeartbeat[host] = now
	}
}

// ShouldPause reports whether this host may leave reading the store to others: the fleet has more than SmallFleetHosts
// hosts, this host is not a reader itself, and at least minLiveReaders readers of its data centre sent a heartbeat
// recently. hosts is the number of hosts in the fleet, period the time between two heartbeats of a host, and reader
// reports whether this host is a reader.
func (r *Readers) ShouldPause(now time.Time, hosts int, period time.Duration, reader bool) bool {
	if hosts <= SmallFleetHosts || reader {
		return false
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	live := 0

	for _, at := range r.lastHeartbeat {
		if now.Sub(at) < max(minReaderTimeout, readerTimeoutPeriods*period) {
			live++
		}
	}

	return live >= minLiveReaders
}

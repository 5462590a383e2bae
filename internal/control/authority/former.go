package authority

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// isOwn reports whether f is this process or an earlier process at this host's address.
func (m *Machine) isOwn(f FormerHolder) bool {
	return f.Host == m.opts.Host || f.Address == m.opts.Address
}

// mustAcknowledge reports whether the record lists a former holder that this host must acknowledge.
func (m *Machine) mustAcknowledge() bool {
	return slices.ContainsFunc(m.record.Former, m.isOwn)
}

// mustKeepReading reports whether this host must go on reading the record even if it is no standby: it,
// or an earlier process at its address, holds the lease, or lost it and has not acknowledged that yet. Hosts without an
// address are told apart by their ids alone.
func (m *Machine) mustKeepReading() bool {
	atAddress := m.opts.Address != "" && m.record.Address == m.opts.Address

	return atAddress || m.isNamed() || m.mustAcknowledge()
}

// canAcknowledge reports whether no order can still arrive that this host, or an earlier process at
// its address, has sent. Only one process can listen at an address, so earlier ones there have ended.
func (m *Machine) canAcknowledge(now time.Time, t Tick) bool {
	if !t.NoOrdersInFlight {
		return false
	}

	return !now.Before(m.startedAt.Add(m.opts.ConnectionLifetime)) ||
		!slices.ContainsFunc(m.record.Former, func(f FormerHolder) bool {
			return m.isOwn(f) && f.Host != m.opts.Host
		})
}

// canClear reports whether the holder may remove f from the record: if f is its own, once it can acknowledge f,
// else once the host list has shown the host of f as gone for Options.ConnectionLifetime. It keeps goneSince.
func (m *Machine) canClear(now time.Time, t Tick, f FormerHolder) bool {
	if m.isOwn(f) {
		return m.canAcknowledge(now, t)
	}

	if t.HostGone == nil || !t.HostGone(f.Address) {
		delete(m.goneSince, f.Fence)

		return false
	}

	since, ok := m.goneSince[f.Fence]
	if !ok {
		m.goneSince[f.Fence] = now

		return false
	}

	return !now.Before(since.Add(m.opts.ConnectionLifetime))
}

// Standbys returns the n hosts of dc that may take its lease, by rendezvous hashing. The result is the
// same on all hosts that have the same list of hosts. It returns all hosts if there are no more than n.
func Standbys(dc entity.DataCentre, hosts []entity.HostID, n int) []entity.HostID {
	hash := func(h entity.HostID) uint64 { return xxhash.Sum64String(string(dc) + "/" + string(h)) }
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b entity.HostID) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})

	return sorted[:min(n, len(sorted))]
}

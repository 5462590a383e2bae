package authority

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// ours reports whether this host, or the process before it at its address, is f.
func (m *Machine) ours(f Former) bool {
	return f.Host == m.opts.Host || f.Address == m.opts.Address
}

// owes reports whether the record waits for this host's acknowledgement.
func (m *Machine) owes() bool {
	return slices.ContainsFunc(m.record.Former, m.ours)
}

// concerned reports whether this host must go on reading the record although it does not stand
// by: it holds or may have lost the lease, or the process before it at its address does or has.
func (m *Machine) concerned() bool {
	return m.record.Address == m.opts.Address || m.owes()
}

// canAcknowledge reports whether nothing that this host, or the process before it at its address,
// sent can still arrive. An address has one listener, so an earlier process there has ended.
func (m *Machine) canAcknowledge(now time.Time, t Tick) bool {
	if !t.Quiet {
		return false
	}

	return !now.Before(m.start.Add(m.opts.ConnectionLifetime)) ||
		!slices.ContainsFunc(m.record.Former, func(f Former) bool {
			return m.ours(f) && f.Host != m.opts.Host
		})
}

// cleared reports whether the holder may strike f off the record.
func (m *Machine) cleared(now time.Time, t Tick, f Former) bool {
	if m.ours(f) {
		return m.canAcknowledge(now, t)
	}

	if t.Gone == nil || !t.Gone(f.Address) {
		delete(m.goneFrom, f.Fence)

		return false
	}

	from, ok := m.goneFrom[f.Fence]
	if !ok {
		m.goneFrom[f.Fence] = now

		return false
	}

	return !now.Before(from.Add(m.opts.ConnectionLifetime))
}

// Standbys returns the n hosts of dc that stand by for its lease, by rendezvous hashing: the same
// on each host that knows the same hosts. It returns all hosts if there are no more than n.
func Standbys(dc table.DataCentre, hosts []table.HostID, n int) []table.HostID {
	weight := func(h table.HostID) uint64 { return xxhash.Sum64String(string(dc) + "/" + string(h)) }
	found := slices.SortedFunc(slices.Values(hosts), func(a, b table.HostID) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})

	return found[:min(n, len(found))]
}

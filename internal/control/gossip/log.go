// Package gossip keeps entries that a host distributes until they have been sent to each peer.
package gossip

import "github.com/dotterelflow/dotterelflow/internal/control/entity"

// Log is a bounded log of entries to send to peers. A peer that falls behind by more than the log's size misses
// the oldest entries, so use it only for entries that a peer may miss. It is not safe for concurrent use. Create it
// with NewLog.
type Log[T any] struct {
	ring []T
	next uint64                   // number of the next entry to add
	sent map[entity.HostID]uint64 // number of the next entry to send to each peer
}

// NewLog returns a Log that keeps the newest size entries; a size below 1 counts as 1.
func NewLog[T any](size int) *Log[T] {
	return &Log[T]{ring: make([]T, max(size, 1)), sent: map[entity.HostID]uint64{}}
}

// Add appends entry and drops the oldest entry if the log is full.
func (l *Log[T]) Add(entry T) {
	l.ring[l.next%uint64(len(l.ring))] = entry
	l.next++
}

// TakeUnsent returns the kept entries added since the last call with the same to, oldest first. The first call for a
// host returns all kept entries.
func (l *Log[T]) TakeUnsent(to entity.HostID) []T {
	from := max(l.sent[to], l.next-min(l.next, uint64(len(l.ring))))
	entries := make([]T, 0, l.next-from)

	for n := from; n < l.next; n++ {
		entries = append(entries, l.ring[n%uint64(len(l.ring))])
	}

	l.sent[to] = l.next

	return entries
}

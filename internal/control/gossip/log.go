// Package gossip keeps what a host has learned until each peer has been told.
package gossip

import "github.com/dotterelflow/dotterelflow/internal/control/table"

// Log is a bounded list of news. A peer that is not told for too long misses the oldest, so news must be of
// the kind that may be missed. It is not safe for concurrent use. Make it with NewLog.
type Log[T any] struct {
	ring []T
	next uint64 // number of the next entry
	told map[table.HostID]uint64
}

// NewLog returns a Log that keeps the newest size entries; size is at least 1.
func NewLog[T any](size int) *Log[T] {
	return &Log[T]{ring: make([]T, max(size, 1)), told: map[table.HostID]uint64{}}
}

// Add appends one entry.
func (l *Log[T]) Add(entry T) {
	l.ring[l.next%uint64(len(l.ring))] = entry
	l.next++
}

// Untold returns what has been added since it was last called for the host to.
func (l *Log[T]) Untold(to table.HostID) []T {
	from := max(l.told[to], l.next-min(l.next, uint64(len(l.ring))))
	news := make([]T, 0, l.next-from)

	for n := from; n < l.next; n++ {
		news = append(news, l.ring[n%uint64(len(l.ring))])
	}

	l.told[to] = l.next

	return news
}

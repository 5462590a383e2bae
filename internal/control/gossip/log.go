// Package gossip keeps entries that a host distributes until each peer has confirmed them.
package gossip

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// maxPeers bounds the peers whose confirmations are kept, the most recent ones. The id of a host changes with each start, so
// old ids are dropped.
const maxPeers = 1024

// Log is a bounded log of entries to send to peers. A peer that falls behind by more than the log's size misses
// the oldest entries, so use it only for entries that a peer may miss. It is not safe for concurrent use. Create it
// with NewLog.
type Log[T any] struct {
	ring      []T
	next      uint64                            // number of the next entry to add
	confirmed *lru.Cache[entity.HostID, uint64] // number of the first entry that each peer has not confirmed
}

// NewLog returns a Log that keeps the newest size entries; a size below 1 counts as 1.
func NewLog[T any](size int) *Log[T] {
	confirmed, err := lru.New[entity.HostID, uint64](maxPeers)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &Log[T]{ring: make([]T, max(size, 1)), confirmed: confirmed}
}

// Add appends entry and drops the oldest entry if the log is full.
func (l *Log[T]) Add(entry T) {
	l.ring[l.next%uint64(len(l.ring))] = entry
	l.next++
}

// Unconfirmed returns the kept entries that the host to has not confirmed, oldest first, and the position to confirm once
// it has received them.
func (l *Log[T]) Unconfirmed(to entity.HostID) (entries []T, position uint64) {
	confirmed, _ := l.confirmed.Get(to)
	from := max(confirmed, l.next-min(l.next, uint64(len(l.ring))))
	entries = make([]T, 0, l.next-from)

	for n := from; n < l.next; n++ {
		entries = append(entries, l.ring[n%uint64(len(l.ring))])
	}

	return entries, l.next
}

// Confirm records that the host by has received all entries before position, which Unconfirmed has returned. A position
// that is older than one confirmed before, or that does not exist, has no effect.
func (l *Log[T]) Confirm(by entity.HostID, position uint64) {
	if confirmed, _ := l.confirmed.Get(by); position > confirmed && position <= l.next {
		l.confirmed.Add(by, position)
	}
}

package burnrate

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// window is a time span over which burn rates are computed, and the width of its buckets.
type window struct {
	span  time.Duration
	width time.Duration
}

const windowCount = 4

var windows = [windowCount]window{
	{5 * time.Minute, time.Minute},
	{time.Hour, 10 * time.Minute},
	{6 * time.Hour, time.Hour},
	{72 * time.Hour, 12 * time.Hour},
}

// slot returns the number of the bucket of w that contains t, counted from 1970.
func (w window) slot(t time.Time) uint32 {
	return uint32(t.Unix() / int64(w.width/time.Second))
}

// start returns the time at which a slot begins.
func (w window) start(slot uint32) time.Time {
	return time.Unix(int64(slot)*int64(w.width/time.Second), 0).UTC()
}

// bucketCount returns the number of slots in the window: those of the span and the current one, which
// is not yet full.
func (w window) bucketCount() uint32 { return uint32(w.span/w.width) + 1 }

// Key identifies a series, the counts of one request kind of one client account.
type Key struct {
	Account entity.AccountID `json:"account"`
	Kind    entity.KindName  `json:"kind"`
}

// bucket counts the events of one slot.
type bucket struct {
	Slot   uint32
	Counts [eventCount]uint32
}

func (b *bucket) bad() (n uint64) {
	for _, count := range b.Counts[Good+1:] {
		n += uint64(count)
	}

	return n
}

// series holds the buckets of one key. Each window's list is sorted by slot and has no empty buckets.
type series [windowCount][]bucket

// add adds counts to the bucket of slot in window w, and drops buckets that have left the window.
func (s *series) add(w int, slot uint32, counts *[eventCount]uint32) {
	list := s[w]

	at, ok := len(list)-1, len(list) > 0 && list[len(list)-1].Slot == slot
	if !ok {
		at, ok = slices.BinarySearchFunc(list, slot, func(b bucket, slot uint32) int {
			return int(int64(b.Slot) - int64(slot))
		})
	}

	if !ok {
		list = slices.Insert(list, at, bucket{Slot: slot})
	}

	for e, n := range counts {
		list[at].Counts[e] += n
	}

	s[w] = list
	s.trim(w, list[len(list)-1].Slot)
}

// trim drops the buckets that lie outside of window w when now is the current slot.
func (s *series) trim(w int, now uint32) {
	first := 0
	for first < len(s[w]) && s[w][first].Slot+windows[w].bucketCount() <= now {
		first++
	}

	if first > 0 {
		s[w] = append([]bucket(nil), s[w][first:]...)
	}
}

// Ledger counts events by series. It is safe for concurrent use. The zero value is an empty ledger,
// ready to use.
type Ledger struct {
	mu     sync.Mutex
	series map[Key]*series
}

// Record counts one event of series k at now.
func (l *Ledger) Record(now time.Time, k Key, e Event) {
	var counts [eventCount]uint32
	counts[e%eventCount] = 1

	l.mu.Lock()
	defer l.mu.Unlock()

	s := l.seriesOf(k)
	for i, w := range windows {
		s.add(i, w.slot(now), &counts)
	}
}

// seriesOf returns the series of k, which it creates if necessary. The caller holds l.mu.
func (l *Ledger) seriesOf(k Key) *series {
	if l.series == nil {
		l.series = make(map[Key]*series)
	}

	s := l.series[k]
	if s == nil {
		s = &series{}
		l.series[k] = s
	}

	return s
}

// Merge adds the counts of other to l. It leaves other unchanged.
func (l *Ledger) Merge(other *Ledger) {
	other.mu.Lock()
	defer other.mu.Unlock()

	l.mu.Lock()
	defer l.mu.Unlock()

	for k, from := range other.series {
		s := l.seriesOf(k)

		for w := range from {
			for i := range from[w] {
				s.add(w, from[w][i].Slot, &from[w][i].Counts)
			}
		}
	}
}

// Take returns the counts of l in a new ledger and leaves l empty.
func (l *Ledger) Take() *Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()

	taken := &Ledger{series: l.series}
	l.series = nil

	return taken
}

// Trim drops the buckets that have left their window at now, and series without buckets.
func (l *Ledger) Trim(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for k, s := range l.series {
		left := 0

		for i, w := range windows {
			s.trim(i, w.slot(now))
			left += len(s[i])
		}

		if left == 0 {
			delete(l.series, k)
		}
	}
}

// Len returns the number of series.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.series)
}

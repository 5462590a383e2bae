package burn

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// window is one span of a report with the width of its buckets.
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

// slot numbers the bucket of w that holds t.
func (w window) slot(t time.Time) uint32 {
	return uint32(t.Unix() / int64(w.width/time.Second))
}

// start returns the beginning of a slot.
func (w window) start(slot uint32) time.Time {
	return time.Unix(int64(slot)*int64(w.width/time.Second), 0).UTC()
}

// buckets is how many slots count: those of the span and the one that is not yet full.
func (w window) buckets() uint32 { return uint32(w.span/w.width) + 1 }

// Key names a series.
type Key struct {
	Account table.AccountID `json:"account"`
	Kind    table.KindName  `json:"kind"`
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

// series holds the buckets of one key, for each window in order of slot and without empty ones.
type series [windowCount][]bucket

// add counts n of e in the bucket of a slot, dropping buckets that no longer count.
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

// trim drops the buckets of window w that lie outside of it at slot now.
func (s *series) trim(w int, now uint32) {
	first := 0
	for first < len(s[w]) && s[w][first].Slot+windows[w].buckets() <= now {
		first++
	}

	if first > 0 {
		s[w] = append([]bucket(nil), s[w][first:]...)
	}
}

// Ledger counts events. It is safe for concurrent use. The zero value is empty and ready.
type Ledger struct {
	mu     sync.Mutex
	series map[Key]*series
}

// Record counts one event of k.
func (l *Ledger) Record(now time.Time, k Key, e Event) {
	var counts [eventCount]uint32
	counts[e%eventCount] = 1

	l.mu.Lock()
	defer l.mu.Unlock()

	s := l.at(k)
	for i, w := range windows {
		s.add(i, w.slot(now), &counts)
	}
}

// at returns the series of k; l.mu is held.
func (l *Ledger) at(k Key) *series {
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

// Merge adds all that other has counted.
func (l *Ledger) Merge(other *Ledger) {
	other.mu.Lock()
	defer other.mu.Unlock()

	l.mu.Lock()
	defer l.mu.Unlock()

	for k, from := range other.series {
		s := l.at(k)

		for w := range from {
			for i := range from[w] {
				s.add(w, from[w][i].Slot, &from[w][i].Counts)
			}
		}
	}
}

// Take returns all that l has counted and leaves it empty.
func (l *Ledger) Take() *Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()

	taken := &Ledger{series: l.series}
	l.series = nil

	return taken
}

// Trim drops what no window holds any more at now.
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

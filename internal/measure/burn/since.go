package burn

import (
	"slices"
	"time"
)

// since returns the start of the burn that still goes on. It looks back from now, first by the
// finest buckets, then by coarser ones, and ends at the first run of buckets that kept the
// objective. A run is judged once it holds so many requests that the objective allows one to fail.
func since(now time.Time, s *series, objective float64) time.Time {
	begin, tier := now, 0

	for w := range s {
		var good, bad uint64

		first := begin

		for _, b := range slices.Backward(s[w]) {
			at := windows[w].start(b.Slot)
			if !at.Before(begin) {
				continue
			}

			bucketGood, bucketBad := uint64(b.Counts[Good]), b.bad()
			if w > tier {
				// The coarse bucket that holds begin also counts what was judged already.
				knownGood, knownBad := between(s[tier], windows[tier], begin, at.Add(windows[w].width))
				bucketGood -= min(knownGood, bucketGood)
				bucketBad -= min(knownBad, bucketBad)
			}

			good += bucketGood
			bad += bucketBad

			if bucketBad > 0 {
				first = at
			}

			if float64(good+bad)*(1-objective) < 1 {
				continue
			}

			if burnRate(good, bad, objective) < slowBurn {
				return begin
			}

			begin, tier, good, bad = first, w, 0, 0
		}
	}

	return begin
}

// between adds up the buckets of window w that begin in [from, to).
func between(list []bucket, w window, from, to time.Time) (good, bad uint64) {
	for i := range list {
		if at := w.start(list[i].Slot); !at.Before(from) && at.Before(to) {
			good += uint64(list[i].Counts[Good])
			bad += list[i].bad()
		}
	}

	return good, bad
}

// history returns the burn of the last six hours: by the hour, and by ten minutes in the last one.
func history(now time.Time, s *series, objective float64) []Point {
	var points []Point

	fine := now.Add(-windows[1].span)

	for w := 2; w >= 1; w-- {
		for _, b := range s[w] {
			at := windows[w].start(b.Slot)

			if at.Before(now.Add(-windows[w].span-windows[w].width)) || w == 2 && !at.Before(fine) {
				continue
			}

			points = append(points, Point{at, burnRate(uint64(b.Counts[Good]), b.bad(), objective)})
		}
	}

	slices.SortStableFunc(points, func(a, b Point) int { return a.At.Compare(b.At) })

	return points
}

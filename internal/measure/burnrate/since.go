package burnrate

import (
	"slices"
	"time"
)

// since returns the start of the burn that lasts until now. It scans the buckets backwards from now,
// those of the shortest window first, and groups consecutive buckets until they hold enough requests
// for the objective to allow one failure. The first group that met the objective ends the scan; each
// group that did not moves the result back to its earliest bucket with a bad request.
func since(now time.Time, s *series, objective float64) time.Time {
	begin, beginWindow := now, 0

	for w := range s {
		var good, bad uint64

		firstBad := begin

		for _, b := range slices.Backward(s[w]) {
			at := windows[w].start(b.Slot)
			if !at.Before(begin) {
				continue
			}

			bucketGood, bucketBad := uint64(b.Counts[Good]), b.bad()
			if w > beginWindow {
				// The coarse bucket that contains begin includes requests that a shorter window covered.
				coveredGood, coveredBad := countBetween(s[beginWindow], windows[beginWindow], begin, at.Add(windows[w].width))
				bucketGood -= min(coveredGood, bucketGood)
				bucketBad -= min(coveredBad, bucketBad)
			}

			good += bucketGood
			bad += bucketBad

			if bucketBad > 0 {
				firstBad = at
			}

			if float64(good+bad)*(1-objective) < 1 {
				continue
			}

			if burnRate(good, bad, objective) < slowBurn {
				return begin
			}

			begin, beginWindow, good, bad = firstBad, w, 0, 0
		}
	}

	return begin
}

// countBetween returns the counts of the buckets of window w that begin in [from, to).
func countBetween(list []bucket, w window, from, to time.Time) (good, bad uint64) {
	for i := range list {
		if at := w.start(list[i].Slot); !at.Before(from) && at.Before(to) {
			good += uint64(list[i].Counts[Good])
			bad += list[i].bad()
		}
	}

	return good, bad
}

// history returns the burn rates of the last six hours, oldest first: hourly until an hour ago, then by
// ten minutes.
func history(now time.Time, s *series, objective float64) []Point {
	var points []Point

	lastHour := now.Add(-windows[1].span)

	for w := 2; w >= 1; w-- {
		for _, b := range s[w] {
			at := windows[w].start(b.Slot)

			if at.Before(now.Add(-windows[w].span-windows[w].width)) || w == 2 && !at.Before(lastHour) {
				continue
			}

			points = append(points, Point{at, burnRate(uint64(b.Counts[Good]), b.bad(), objective)})
		}
	}

	slices.SortStableFunc(points, func(a, b Point) int { return a.At.Compare(b.At) })

	return points
}

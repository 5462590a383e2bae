package speeds

import (
	"math"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// unevenSpread is the ratio between the slower and the faster targets of a service, at the two ends of the middle half, from which on
	// they count as differing. Below, the differences are those of load and chance, and fewer targets may be in slow spells.
	unevenSpread = 1.35
	// minKnown is the number of targets of known speed from which on they are compared.
	minKnown = 6
	// fasterPart divides the known targets, by speed; the slowest of the first part gives the usual speed. It is that of fast targets
	// also where most are slow, and not that of a single one that was seen at a good moment.
	fasterPart = 4
)

// View is what a Table knows of some targets at one time. It is never changed. The zero value knows nothing.
type View struct {
	paces map[entity.TargetID]float64 // seconds between two events without load
	usual float64                     // pace of the faster targets; zero if the targets do not differ
	cost  float64                     // logarithm of the time at full load, as a multiple of that without load
	tail  float64                     // slow stretches take so many times the median of their target
}

// View returns what is known at now of the targets of the service name: of ids, and of those that were named or recorded before. It knows
// nothing unless they differ.
func (t *Table) View(now time.Time, name entity.ServiceName, ids []entity.TargetID) View {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, id := range ids {
		if e, ok := t.targets[id]; ok {
			e.service = name
		}
	}

	all := t.serviceOf(name)
	v := View{paces: make(map[entity.TargetID]float64, len(ids)), tail: math.Exp(all.tail), cost: all.loadCost()}
	known := make([]float64, 0, len(ids))

	for id, e := range t.targets {
		if e.service != name {
			continue
		}

		if log, ok := e.median(now, all); ok {
			pace := math.Exp(log)
			v.paces[id] = pace
			known = append(known, pace)
		}
	}

	n := len(known)
	if n < minKnown {
		return View{}
	}

	slices.Sort(known)

	if known[n-1-n/4] < unevenSpread*known[n/4] {
		return View{}
	}

	v.usual = known[n/fasterPart]

	return v
}

// Uneven reports whether the targets differ.
func (v View) Uneven() bool { return v.usual > 0 }

// Slowness returns how many times as long as usual id takes for an event, 1 if that is unknown or the targets do not differ.
func (v View) Slowness(id entity.TargetID) float64 {
	if pace, ok := v.paces[id]; ok && v.usual > 0 {
		return pace / v.usual
	}

	return 1
}

// Pause returns the pause between two events of a stream on id that few pauses exceed, at load, the used fraction of the
// target's slots. A target of unknown speed counts as usual. It is zero if the targets do not differ.
func (v View) Pause(id entity.TargetID, load float64) time.Duration {
	pace, ok := v.paces[id]
	if !ok {
		pace = v.usual
	}

	return seconds(pace * math.Exp(v.cost*min(max(load, 0), 1)) * v.tail)
}

// Stats are for metrics.
type Stats struct {
	Known       int64 // targets of which a speed was seen or heard
	TailPercent int64 // time that slow stretches take, in percent of the median of their target; the greatest of all services
}

// Stats returns the present Stats.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := Stats{Known: int64(len(t.targets))}
	for _, all := range t.services {
		s.TailPercent = max(s.TailPercent, int64(100*math.Exp(all.tail)))
	}

	return s
}

package enginemodel

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// reports holds the newest visible load report and the later ones, which are not visible yet.
type reports struct {
	nextAt time.Time // time of the next report
	taken  []entity.Load
}

// takeReport adds a load report of the present state.
func (e *Engine) takeReport() {
	load := entity.Load{
		Target:   e.opt.Target,
		At:       e.now,
		Running:  e.streams.Len(),
		Queued:   e.prompts.Len() + e.waiting.Len(),
		Role:     e.role,
		Changing: e.changing,
	}

	for _, j := range e.prompts.jobs {
		load.PrefillPending += entity.Tokens(j.prefillLeft)

		if e.role == entity.Mixed {
			load.DecodePending += j.work.Decode - j.work.Offset
		}
	}

	for _, j := range e.waiting.jobs {
		load.DecodePending += j.work.Decode - j.work.Offset
	}

	for _, j := range e.streams.jobs {
		load.DecodePending += entity.Tokens(j.finish - e.servedPerStream)
	}

	r := &e.reports
	r.taken = append(r.taken, load)
	r.nextAt = r.nextAt.Add(e.opt.ReportInterval)

	for len(r.taken) > 1 && !r.taken[1].At.Add(e.opt.ReportLag).After(e.now) {
		r.taken = r.taken[1:]
	}
}

// Load returns the newest load report that is visible at now, and false if none is visible yet.
func (e *Engine) Load(now time.Time) (entity.Load, bool) {
	e.advanceTo(now)

	var (
		load entity.Load
		ok   bool
	)

	for _, r := range e.reports.taken {
		if r.At.Add(e.opt.ReportLag).After(now) {
			break
		}

		load, ok = r, true
	}

	return load, ok
}

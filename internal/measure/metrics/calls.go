package metrics

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Calls counts callers' requests by outcome and records their latencies. It is created by NewCalls and is safe for
// concurrent use.
type Calls struct {
	registry metrics.Registry
	whole    metrics.Counter // requests that were answered completely
	silences metrics.Counter // times that a target was silent for longer than it may be
	replaced metrics.Counter // times that another target replaced a silent one
}

// NewCalls returns a Calls that counts in registry.
func NewCalls(registry metrics.Registry) *Calls {
	return &Calls{
		registry: registry, whole: metrics.GetOrRegisterCounter("requests-whole", registry),
		silences: metrics.GetOrRegisterCounter("targets-silent", registry), replaced: metrics.GetOrRegisterCounter("targets-replaced", registry),
	}
}

// TargetsSilent counts the silences of the targets of one request, and those after which another target replaced the
// silent one.
func (c *Calls) TargetsSilent(silences, replaced int) {
	c.silences.Inc(int64(silences))
	c.replaced.Inc(int64(replaced))
}

// AnsweredLate counts a stream that came later than its route allows, by cause. An empty cause means that it was in time.
func (c *Calls) AnsweredLate(cause string) {
	if cause != "" {
		metrics.GetOrRegisterCounter("late-"+cause, c.registry).Inc(1)
	}
}

// RequestEnded counts a request that has ended. A nil problem means that it was answered completely; first and total
// are then the times until its first token and its end, and are recorded by urgency. Failed requests are counted by
// code and by verdict.
func (c *Calls) RequestEnded(urgency entity.Urgency, problem *verdict.Error, first, total time.Duration) {
	if problem != nil {
		metrics.GetOrRegisterCounter("requests-failed-"+string(problem.Code), c.registry).Inc(1)
		metrics.GetOrRegisterCounter("requests-"+problem.Verdict.String(), c.registry).Inc(1)

		return
	}

	c.whole.Inc(1)
	metrics.GetOrRegisterTimer("first-token-"+urgency.String(), c.registry).Update(first)
	metrics.GetOrRegisterTimer("total-"+urgency.String(), c.registry).Update(total)
}

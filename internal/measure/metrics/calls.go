package metrics

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Calls counts callers' requests by their end. Make it with NewCalls; it is safe for concurrent use.
type Calls struct {
	registry metrics.Registry
	whole    metrics.Counter
}

// NewCalls returns a Calls that counts in registry.
func NewCalls(registry metrics.Registry) *Calls {
	return &Calls{registry: registry, whole: metrics.GetOrRegisterCounter("requests-whole", registry)}
}

// Ended counts one request: whole for a nil problem.
func (c *Calls) Ended(urgency table.Urgency, problem *verdict.Error, first, total time.Duration) {
	if problem != nil {
		metrics.GetOrRegisterCounter("requests-failed-"+string(problem.Code), c.registry).Inc(1)
		metrics.GetOrRegisterCounter("requests-"+problem.Verdict.String(), c.registry).Inc(1)

		return
	}

	c.whole.Inc(1)
	metrics.GetOrRegisterTimer("first-token-"+urgency.String(), c.registry).Update(first)
	metrics.GetOrRegisterTimer("total-"+urgency.String(), c.registry).Update(total)
}

package relay

import (
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
)

const (
	// maxAnswerWait is how long an answer may have been waiting for memory before no further request is sent to a target whose answer is
	// likely to wait too.
	maxAnswerWait = time.Second
	// mostlyLarge is the share of large answers from which those of a route are likely to wait, and someLarge that from which they add to
	// many that wait.
	mostlyLarge = 0.5
	someLarge   = 0.02
	// manyWaiting is the number of waiting answers that routes with few large answers may not exceed much. Each keeps a target and
	// buffers.FreeBytes.
	manyWaiting = 64
	// sizeWeight is the weight of one answer in the share of large ones.
	sizeWeight = 0.1
)

// routeKey identifies a route over changes of the configuration.
type routeKey struct{ host, prefix string }

// answerSizes holds for each route how many of its latest whole answers were large, that is took memory of the budget. It is safe for
// concurrent use.
type answerSizes struct {
	mu    sync.Mutex
	large map[routeKey]float64 // share of large answers
}

func (s *answerSizes) record(r catalog.Route, large bool) {
	sample := 0.0
	if large {
		sample = 1
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	key := routeKey{r.Host, r.Prefix}

	share, known := s.large[key]
	if !known {
		share = sample
	}

	s.large[key] = share + sizeWeight*(sample-share)
}

func (s *answerSizes) shareOf(r catalog.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.large[routeKey{r.Host, r.Prefix}]
}

// lacksMemory reports whether the answer to a request of route r is likely to wait for memory, as another has waited for long.
// Streams are passed on in small parts.
func (l *Relay) lacksMemory(r catalog.Route) bool {
	if r.Streaming || l.budget.Waited() <= maxAnswerWait {
		return false
	}

	share := l.sizes.shareOf(r)

	return share >= mostlyLarge || share >= someLarge && l.budget.Waiting() >= manyWaiting
}

// noteSize records the size of a whole answer in bytes.
func (j *job) noteSize(bytes int) {
	if !j.route.Streaming {
		j.sizes.record(j.route, bytes > buffers.FreeBytes)
	}
}

package serving

import (
	"math"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout are the limits while no configuration is known.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second

	// noLimit stands for a limit that the configuration does not set.
	noLimit = time.Duration(math.MaxInt64)
	// maxPastLimits bounds the length of a limitHistory.
	maxPastLimits = 64
)

// timeLimits bound how long a connection may wait for bytes in each phase.
type timeLimits struct {
	header time.Duration // for the head of a request, from its first byte
	idle   time.Duration // for the first byte of the next request
}

var defaultLimits = timeLimits{header: defaultHeaderTimeout, idle: defaultIdleTimeout}

func timeLimitsOf(l catalog.Limits) timeLimits {
	orNone := func(d time.Duration) time.Duration {
		if d <= 0 {
			return noLimit
		}

		return d
	}

	return timeLimits{header: orNone(l.HeaderTimeout), idle: orNone(l.IdleTimeout)}
}

func (l timeLimits) max(other timeLimits) timeLimits {
	return timeLimits{header: max(l.header, other.header), idle: max(l.idle, other.idle)}
}

// limitHistory holds the limits that are and were in force. It has at least one entry.
type limitHistory struct {
	mu      sync.Mutex
	entries []limitEntry // the oldest first, the one in force last
}

type limitEntry struct {
	since time.Time
	timeLimits
}

func newLimitHistory(now time.Time) *limitHistory {
	return &limitHistory{entries: []limitEntry{{now, defaultLimits}}}
}

// record notes that l is in force from now on.
func (h *limitHistory) record(now time.Time, l timeLimits) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.entries[len(h.entries)-1].timeLimits == l {
		return
	}

	h.entries = append(h.entries, limitEntry{now, l})

	if len(h.entries) > maxPastLimits {
		// The joined entry can only lengthen the time that a connection may wait.
		h.entries[1] = limitEntry{h.entries[0].since, h.entries[0].max(h.entries[1].timeLimits)}
		h.entries = h.entries[1:]
	}
}

// largestSince returns the largest limits that have been in force since t.
func (h *limitHistory) largestSince(t time.Time) timeLimits {
	h.mu.Lock()
	defer h.mu.Unlock()

	i := len(h.entries) - 1
	largest := h.entries[i].timeLimits

	for ; i > 0 && h.entries[i].since.After(t); i-- {
		largest = largest.max(h.entries[i-1].timeLimits)
	}

	return largest
}

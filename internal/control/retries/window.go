package retries

import (
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// windowBuckets is the number of parts into which a Window's span is divided.
const windowBuckets = 20

// WindowOptions set the bound on the repeats of each service over all entry hosts.
type WindowOptions struct {
	Ratio  float64       // repeats per request
	Slack  float64       // repeats beyond the ratio, over all hosts
	Span   time.Duration // sliding time over which both count
	Margin float64       // part of the bound to use, within (0, 1]; the rest covers hosts that restart
}

// Window keeps the share of one entry host in a bound on repeats that all hosts have in common. Each
// host may use the ratio on the requests that it saw itself and an equal part of the slack, so that the
// sum keeps the bound without any message. It is safe for concurrent use. Make it with NewWindow.
type Window struct {
	opts WindowOptions

	mu       sync.Mutex
	epoch    time.Time // the first time seen; ages are monotonic, so that a clock that steps does no harm
	hosts    int
	services map[table.ServiceName]*counts
}

// counts are those of one service in a ring of buckets.
type counts struct {
	requests, repeats [windowBuckets]float64
	newest            int64 // number of the newest bucket
}

// NewWindow returns a Window that has seen nothing.
func NewWindow(opts WindowOptions) *Window {
	return &Window{opts: opts, hosts: 1, services: map[table.ServiceName]*counts{}}
}

// SetHosts states the number of entry hosts that share the bound.
func (w *Window) SetHosts(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.hosts = max(n, 1)
}

// SetOptions states another bound from now on. What was counted stays, unless the span changes.
func (w *Window) SetOptions(opts WindowOptions) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if opts.Span != w.opts.Span {
		clear(w.services)
	}

	w.opts = opts
}

// Seen counts a caller's request for service.
func (w *Window) Seen(now time.Time, service table.ServiceName) {
	w.mu.Lock()
	defer w.mu.Unlock()

	c := w.countsAt(now, service)
	c.requests[c.newest%windowBuckets]++
}

// Take reports whether one more repeat may be sent to service, and counts it if so.
func (w *Window) Take(now time.Time, service table.ServiceName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	c := w.countsAt(now, service)

	var seen, spent float64
	for i := range windowBuckets {
		seen += c.requests[i]
		spent += c.repeats[i]
	}

	allowed := w.opts.Margin * (w.opts.Ratio*seen + w.opts.Slack/float64(w.hosts))
	if spent+1 > allowed+roundingTolerance {
		return false
	}

	c.repeats[c.newest%windowBuckets]++

	return true
}

// countsAt returns the counts of service with the buckets that have passed emptied; the caller holds mu.
func (w *Window) countsAt(now time.Time, service table.ServiceName) *counts {
	if w.epoch.IsZero() {
		w.epoch = now
	}

	n := int64(now.Sub(w.epoch) / max(w.opts.Span/windowBuckets, 1))

	c, ok := w.services[service]
	if !ok {
		c = &counts{newest: n}
		w.services[service] = c
	}

	for i := 0; c.newest < n && i < windowBuckets; i++ {
		c.newest++
		c.requests[c.newest%windowBuckets], c.repeats[c.newest%windowBuckets] = 0, 0
	}

	c.newest = max(c.newest, n)

	return c
}

package retries

import (
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// windowBuckets is the number of parts into which the sliding window is divided.
const windowBuckets = 20

// LimiterOptions set the bound on the repeats of requests for each service, over all entry hosts together.
type LimiterOptions struct {
	Ratio  float64       // repeats allowed per request
	Slack  float64       // repeats allowed beyond the ratio in each span, over all hosts
	Span   time.Duration // length of the sliding window over which requests and repeats are counted
	Margin float64       // part of the bound that is used, in (0, 1]; the rest covers counts that restarts lose
}

// Limiter enforces one entry host's share of a bound on repeats that holds for all hosts together. Each host
// may use the ratio of the requests that it received itself and an equal part of the slack, so that the sum
// stays within the bound without any messages between hosts. It is safe for concurrent use. Make it with NewLimiter.
type Limiter struct {
	opts LimiterOptions

	mu sync.Mutex
	// epoch is the time of the first call of CountRequest or Take. Buckets are numbered from it by the monotonic
	// clock, as the wall clock may step.
	epoch    time.Time
	hosts    int // number of entry hosts that share the bound, at least 1
	services map[entity.ServiceName]*counts
}

// counts holds the requests and repeats of one service in a ring of buckets.
type counts struct {
	requests, repeats [windowBuckets]float64
	newest            int64 // number of the newest bucket
}

// NewLimiter returns a limiter for a single host, without any requests.
func NewLimiter(opts LimiterOptions) *Limiter {
	return &Limiter{opts: opts, hosts: 1, services: map[entity.ServiceName]*counts{}}
}

// SetHosts sets the number of entry hosts that share the bound; a number below 1 counts as 1.
func (l *Limiter) SetHosts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.hosts = max(n, 1)
}

// SetOptions replaces the bound. The counts so far are kept, unless the span changes.
func (l *Limiter) SetOptions(opts LimiterOptions) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if opts.Span != l.opts.Span {
		clear(l.services)
	}

	l.opts = opts
}

// CountRequest counts a caller's request for service, as opposed to a repeat.
func (l *Limiter) CountRequest(now time.Time, service entity.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()

	c := l.countsAt(now, service)
	c.requests[c.newest%windowBuckets]++
}

// Take reports whether one more repeat may be sent to service now, and if so counts it.
func (l *Limiter) Take(now time.Time, service entity.ServiceName) bool {
	return l.TakeAll(now, service, 1)
}

// TakeAll reports whether n more repeats may be sent to service now, and if so counts all of them.
func (l *Limiter) TakeAll(now time.Time, service entity.ServiceName, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	c := l.countsAt(now, service)

	var requests, repeats float64
	for i := range windowBuckets {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}

	allowed := l.opts.Margin * (l.opts.Ratio*requests + l.opts.Slack/float64(l.hosts))
	if repeats+float64(n) > allowed+roundingTolerance {
		return false
	}

	c.repeats[c.newest%windowBuckets] += float64(n)

	return true
}

// Return takes back n repeats that were counted at takenAt and are not sent.
func (l *Limiter) Return(now, takenAt time.Time, service entity.ServiceName, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.takeBack(l.countsAt(now, service), takenAt, n)
}

// Postpone counts a repeat that was counted at takenAt as one of now, when it is sent.
func (l *Limiter) Postpone(now, takenAt time.Time, service entity.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()

	c := l.countsAt(now, service)
	l.takeBack(c, takenAt, 1)
	c.repeats[c.newest%windowBuckets]++
}

// takeBack subtracts n repeats that were counted at takenAt, unless they have left the window. The caller holds mu.
func (l *Limiter) takeBack(c *counts, takenAt time.Time, n int) {
	bucket := l.bucketOf(takenAt)
	if bucket < 0 || bucket > c.newest || bucket <= c.newest-windowBuckets {
		return
	}

	c.repeats[bucket%windowBuckets] = max(c.repeats[bucket%windowBuckets]-float64(n), 0)
}

// bucketOf returns the number of the bucket of t. The caller holds mu.
func (l *Limiter) bucketOf(t time.Time) int64 {
	return int64(t.Sub(l.epoch) / max(l.opts.Span/windowBuckets, 1))
}

// countsAt returns the counts of service, advanced to the bucket of now. Buckets that began since the last call are
// cleared. The caller holds mu.
func (l *Limiter) countsAt(now time.Time, service entity.ServiceName) *counts {
	if l.epoch.IsZero() {
		l.epoch = now
	}

	n := max(l.bucketOf(now), 0) // a request counts from its arrival, which may be before the epoch

	c, ok := l.services[service]
	if !ok {
		c = &counts{newest: n}
		l.services[service] = c
	}

	for i := 0; c.newest < n && i < windowBuckets; i++ {
		c.newest++
		c.requests[c.newest%windowBuckets], c.repeats[c.newest%windowBuckets] = 0, 0
	}

	c.newest = max(c.newest, n)

	return c
}

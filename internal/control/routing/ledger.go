package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Cost is the work that one request puts on one target.
type Cost struct {
	Prefill entity.Tokens
	Decode  entity.Tokens
}

// Ledger counts the work that this entry host has in flight on each target. Make it with
// NewLedger. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	flights map[entity.TargetID]*Flight
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{flights: make(map[entity.TargetID]*Flight)}
}

// Flight returns the counts of target and creates them if there are none.
func (l *Ledger) Flight(target entity.TargetID) *Flight {
	l.mu.Lock()
	defer l.mu.Unlock()

	f, ok := l.flights[target]
	if !ok {
		f = &Flight{}
		l.flights[target] = f
	}

	return f
}

// Retain drops the idle targets for which keep returns false.
func (l *Ledger) Retain(keep func(entity.TargetID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for id, f := range l.flights {
		if !keep(id) && f.open.Load() == 0 {
			delete(l.flights, id)
		}
	}
}

// Flight counts the work of this host on one target. Start and End are safe for concurrent use.
type Flight struct {
	open    atomic.Int64
	prefill atomic.Int64
	decode  atomic.Int64

	sentOpen    atomic.Int64 // requests sent since the Flight was created
	sentPrefill atomic.Int64 // tokens sent since then
	sentDecode  atomic.Int64

	mu      sync.Mutex
	samples []sample // totals at each sentBy, oldest first
}

// amounts holds numbers of requests and of prefill and decode tokens.
type amounts struct {
	open, prefill, decode int64
}

// sample holds the totals sent until a point in time.
type sample struct {
	at   int64 // nanoseconds since 1970
	sent amounts
}

// maxSamples bounds the samples kept. For a load report older than the oldest sample, all work sent counts as
// missing from the report.
const maxSamples = 32

// Start adds a request that is about to be sent.
func (f *Flight) Start(c Cost) {
	f.open.Add(1)
	f.prefill.Add(int64(c.Prefill))
	f.decode.Add(int64(c.Decode))
	f.sentOpen.Add(1)
	f.sentPrefill.Add(int64(c.Prefill))
	f.sentDecode.Add(int64(c.Decode))
}

// End subtracts a request that has ended; c must equal the Cost given to Start.
func (f *Flight) End(c Cost) {
	f.open.Add(-1)
	f.prefill.Add(-int64(c.Prefill))
	f.decode.Add(-int64(c.Decode))
}

// Open returns the number of requests in flight.
func (f *Flight) Open() int { return int(f.open.Load()) }

func (f *Flight) sent() amounts {
	return amounts{open: f.sentOpen.Load(), prefill: f.sentPrefill.Load(), decode: f.sentDecode.Load()}
}

// sentBy records the totals at now and returns the newest recorded totals that are not newer than report, or zero if
// there are none.
func (f *Flight) sentBy(now, report time.Time) amounts {
	f.mu.Lock()
	defer f.mu.Unlock()

	if len(f.samples) == maxSamples {
		copy(f.samples, f.samples[1:])
		f.samples = f.samples[:maxSamples-1]
	}

	f.samples = append(f.samples, sample{at: now.UnixNano(), sent: f.sent()})

	for i := len(f.samples) - 1; i >= 0; i-- {
		if f.samples[i].at <= report.UnixNano() {
			return f.samples[i].sent
		}
	}

	return amounts{}
}

// sentSince returns an upper bound of the work sent after base that is still in flight.
func (f *Flight) sentSince(base amounts) amounts {
	return amounts{
		open:    min(f.sentOpen.Load()-base.open, f.open.Load()),
		prefill: min(f.sentPrefill.Load()-base.prefill, f.prefill.Load()),
		decode:  min(f.sentDecode.Load()-base.decode, f.decode.Load()),
	}
}

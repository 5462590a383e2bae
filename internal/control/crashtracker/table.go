// Package crashtracker detects requests that crash the targets that run them. Callers may retry such a request through
// any entry host, so hosts exchange the losses of targets that they observe.
//
// It is a simpler form of package quarantine for requests without a client account. It does not test a suspected request
// alone on a target: a request is refused once so many targets were lost while they ran it that unrelated failures are
// an unlikely cause.
package crashtracker

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/gossip"
)

const (
	// refuseAfter is the number of lost targets after which a request is refused. The platform allows a request to
	// lose three targets.
	refuseAfter = 3
	// lossLifetime is how long the losses of a request count after the last loss of a target not yet counted.
	lossLifetime = 5 * time.Minute

	maxRequests     = 4096
	maxUnsentLosses = 256
)

// Fingerprint identifies a request by a hash of its host, URI and body, independent of its request ID.
type Fingerprint uint64

// String returns f as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// FingerprintOf returns the fingerprint of the request for uri on host with the given body.
func FingerprintOf(host, uri string, body []byte) Fingerprint {
	var d xxhash.Digest

	d.Reset()

	// Writing to a digest never fails.
	_, _ = d.WriteString(host)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(uri)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)

	return Fingerprint(d.Sum64())
}

// Loss records that a target was lost while it ran a request.
type Loss struct {
	Request Fingerprint
	Target  entity.TargetID
}

// entry holds the distinct targets that were lost while they ran one request.
type entry struct {
	targets [refuseAfter]entity.TargetID
	count   int       // used elements of targets
	until   time.Time // when the losses expire
}

// Table counts the lost targets of each request. It keeps a bounded number of requests, the most recently used ones.
// It is safe for concurrent use. Make it with New.
type Table struct {
	mu      sync.Mutex
	entries *lru.Cache[Fingerprint, *entry]
	unsent  *gossip.Log[Loss]
}

// New returns an empty Table.
func New() *Table {
	entries, err := lru.New[Fingerprint, *entry](maxRequests)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &Table{entries: entries, unsent: gossip.NewLog[Loss](maxUnsentLosses)}
}

// RecordLoss records a loss that this host has observed.
func (t *Table) RecordLoss(now time.Time, l Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.add(now, l) {
		t.unsent.Add(l)
	}
}

// Merge records losses that a peer has observed. They are not forwarded to other peers.
func (t *Table) Merge(now time.Time, losses []Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, l := range losses {
		t.add(now, l)
	}
}

// NewLosses returns the losses that this host has observed since the last call with the same to, at most the newest
// 256. It leaves out losses of a target that already counts for the request, and later losses of a request that is
// already refused.
func (t *Table) NewLosses(to entity.HostID) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.unsent.TakeUnsent(to)
}

// Losses returns the number of targets that count as lost to the request f at now, at most the number from which f is
// refused.
func (t *Table) Losses(now time.Time, f Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	e, ok := t.entries.Peek(f)
	if !ok || !now.Before(e.until) {
		return 0
	}

	return e.count
}

// Stats are the sizes of a Table.
type Stats struct {
	Suspects int64 // requests that have lost a target, including expired ones that are still kept
	Refused  int64 // those among them that are refused
}

// Stats returns the sizes of t at now.
func (t *Table) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()

	stats := Stats{Suspects: int64(t.entries.Len())}

	for _, e := range t.entries.Values() {
		if e.count == refuseAfter && now.Before(e.until) {
			stats.Refused++
		}
	}

	return stats
}

// Refuses reports whether the request f must be refused at now, and for how long from now.
func (t *Table) Refuses(now time.Time, f Fingerprint) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e, ok := t.entries.Get(f)
	if !ok || e.count < refuseAfter || !now.Before(e.until) {
		return 0, false
	}

	return e.until.Sub(now), true
}

// add records l and reports whether l was new to a request that was not refused yet. The caller holds mu.
func (t *Table) add(now time.Time, l Loss) bool {
	e, ok := t.entries.Get(l.Request)
	if !ok || !now.Before(e.until) {
		e = &entry{}
		t.entries.Add(l.Request, e)
	}

	for _, known := range e.targets[:e.count] {
		if known == l.Target {
			return false
		}
	}

	e.until = now.Add(lossLifetime)

	if e.count == refuseAfter {
		return false
	}

	e.targets[e.count] = l.Target
	e.count++

	return true
}

// Package crashers knows requests that take down the targets that run them. Their callers send them again
// through any host, so hosts tell each other of each loss.
//
// It is the lighter kin of package quarantine, for requests that come without an account: no trial is run, and a
// request is refused once it has lost as many targets as a request that only stood beside a fault rarely does.
package crashers

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/gossip"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	// refuseAfter is the number of targets lost after which a request is refused. The platform allows three.
	refuseAfter = 3
	// memory is how long a loss counts, from the last one on.
	memory = 5 * time.Minute

	maxRequests = 4096
	maxNews     = 256
)

// Fingerprint names a request by its path and body, whatever its id.
type Fingerprint uint64

// Of returns the fingerprint of a request.
func Of(host, uri string, body []byte) Fingerprint {
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

// Loss is a target that was lost while it ran a request.
type Loss struct {
	Request Fingerprint
	Target  table.TargetID
}

type entry struct {
	targets [refuseAfter]table.TargetID
	count   int
	until   time.Time
}

// Table is safe for concurrent use. Make it with New.
type Table struct {
	mu      sync.Mutex
	entries *lru.Cache[Fingerprint, *entry]
	news    *gossip.Log[Loss]
}

// New returns an empty Table.
func New() *Table {
	entries, err := lru.New[Fingerprint, *entry](maxRequests)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &Table{entries: entries, news: gossip.NewLog[Loss](maxNews)}
}

// Lost notes a loss that this host has seen.
func (t *Table) Lost(now time.Time, l Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.note(now, l) {
		t.news.Add(l)
	}
}

// Hear notes losses that a peer has seen.
func (t *Table) Hear(now time.Time, losses []Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, l := range losses {
		t.note(now, l)
	}
}

// News returns what this host has seen since it last told the host to.
func (t *Table) News(to table.HostID) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.news.Untold(to)
}

// Refuses reports whether the request f is to be refused at now, and for how long.
func (t *Table) Refuses(now time.Time, f Fingerprint) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e, ok := t.entries.Get(f)
	if !ok || e.count < refuseAfter || !now.Before(e.until) {
		return 0, false
	}

	return e.until.Sub(now), true
}

// note reports whether l is new; the caller holds mu.
func (t *Table) note(now time.Time, l Loss) bool {
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

	e.until = now.Add(memory)

	if e.count == refuseAfter {
		return false
	}

	e.targets[e.count] = l.Target
	e.count++

	return true
}

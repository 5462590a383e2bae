// Package crashtracker detects requests that crash the targets that run them, and parts of prompts that do so whatever else
// the request holds. Callers may retry such a request through
// any entry host, so each host keeps a table of all such requests. Package crashsync keeps the tables of all hosts equal.
//
// It is a simpler form of package quarantine for requests without a client account. It does not test a suspected request
// alone on a target: a request is refused once so many targets were lost while they ran it that unrelated failures are
// an unlikely cause. A request that a target has answered completely does not crash its targets, so a complete answer
// clears its losses. That protects requests that many callers send with the same body.
package crashtracker

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// lifetime is how long a record counts after its last change, and how long a complete answer protects a request.
	lifetime = 5 * time.Minute
	// partLifetime is the same for a part whose requests are refused, which trials can end before.
	partLifetime = time.Hour
	// minLeft is the least time that an unknown record from a peer must have left. It is longer than messages take, so
	// that hosts do not return to each other a record that is about to expire.
	minLeft = 15 * time.Second

	// confirmTime is how long after a silent run the end of its target counts as a loss. It covers the time after which a
	// target that has ended leaves the platform's list, or is in it again with another id.
	confirmTime = 10 * time.Second

	maxRecords   = 4096
	maxCompleted = 4096
	maxSilent    = 4096
)

// entry is a Record that expires at until. Its field Left is not used.
type entry struct {
	Record

	until   time.Time
	changed time.Time // when the record last changed
	tried   int64     // number of the last trial turn that this host has used; only for a part
}

// scope says which hosts have to be told of a changed record.
type scope uint8

const (
	nobody     scope = iota
	homeCentre       // the hosts of this host's data centre
	everywhere       // those of all data centres
)

// Change is a record that has changed on this host and that peers have to be told.
type Change struct {
	Record

	// Everywhere is set if hosts of all data centres have to be told. It is not set for a record from another data
	// centre, which has reached the others already.
	Everywhere bool
}

// Stats are the sizes of a Table.
type Stats struct {
	Suspects     int64 // requests that have lost a target
	Refused      int64 // those among them that are refused
	SuspectParts int64 // parts that have lost a target
	RefusedParts int64 // those of which requests are refused
}

// Table holds the records of requests that have lost targets. It keeps a bounded number of them; if it is full, records
// with the fewest losses are dropped first, the oldest among them. It is safe for concurrent use. Make it with New.
type Table struct {
	changed chan struct{}

	mu         sync.Mutex
	entries    map[Fingerprint]*entry
	completed  *lru.Cache[Fingerprint, time.Time] // time of the last complete answer
	silent     map[Loss]time.Time                 // runs that ended in silence, and when
	leaving    map[entity.TargetID]time.Time      // targets that were leaving, and when they last were
	parts      *parts                             // what this host has seen of parts
	pending    map[Fingerprint]scope              // changed records that peers have to be told
	sum        uint64
	lastChange time.Time
}

// New returns an empty Table.
func New() *Table {
	completed, err := lru.New[Fingerprint, time.Time](maxCompleted)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &Table{
		changed: make(chan struct{}, 1), entries: map[Fingerprint]*entry{}, completed: completed,
		silent: map[Loss]time.Time{}, leaving: map[entity.TargetID]time.Time{}, pending: map[Fingerprint]scope{}, parts: newParts(),
	}
}

// Changed returns a channel that receives a value when TakeChanges has something to return.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// RecordLoss records a loss that this host has observed. It has no effect if a target has lately answered the request
// completely.
func (t *Table) RecordLoss(now time.Time, l Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.hasCompleted(now, l.Request) {
		return
	}

	r := Record{Request: l.Request, Targets: []entity.TargetID{l.Target}, Left: lifetime}
	if e, ok := t.entries[l.Request]; ok {
		r.Clearances = e.Clearances
	}

	t.join(now, r, everywhere)
}

// RecordSilence records a run that ended without an answer and without a sign that its target was lost, such as one that
// reached its deadline. It becomes a loss if the target ends soon and has not been leaving. New runs are ignored while too many are kept.
func (t *Table) RecordSilence(now time.Time, l Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if len(t.silent) < maxSilent {
		t.silent[l] = now
	}
}

// RecordCompletion records that a target has answered the request f completely.
func (t *Table) RecordCompletion(now time.Time, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.completed.Add(f, now)
	t.clear(now, f)
}

// Merge adds records that a peer holds. sameCentre states that the peer is in this host's data centre: its records are
// not passed on, as the peer tells the other hosts itself. Merge returns the records of requests that are refused since.
func (t *Table) Merge(now time.Time, records []Record, sameCentre bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()

	tell := homeCentre
	if sameCentre {
		tell = nobody
	}

	var refused []Record

	for _, r := range records {
		e, known := t.entries[r.Request]
		if !known && r.Left < minLeft {
			continue
		}

		wasRefused := known && e.Refused()
		r.Left = min(r.Left, r.lifetime())

		if !t.join(now, r, tell) {
			continue
		}

		if r.Part && t.parts.hasBegun(now, r.Request) || !r.Part && t.hasCompleted(now, r.Request) {
			t.clear(now, r.Request)
		} else if e, ok := t.entries[r.Request]; ok && e.Refused() && !wasRefused {
			refused = append(refused, e.Record)
		}
	}

	return refused
}

// TakeChanges returns the records that have changed since the last call.
func (t *Table) TakeChanges(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()

	changes := make([]Change, 0, len(t.pending))

	for f, tell := range t.pending {
		changes = append(changes, Change{Record: t.entries[f].at(now), Everywhere: tell == everywhere})
	}

	clear(t.pending)

	return changes
}

// Records returns all records.
func (t *Table) Records(now time.Time) []Record { return t.Missing(now, nil) }

// Missing returns the records with which this table would change a table that holds known.
func (t *Table) Missing(now time.Time, known []Record) []Record {
	others := make(map[Fingerprint]Record, len(known))
	for _, r := range known {
		others[r.Request] = r
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	var missing []Record

	for f, e := range t.entries {
		other := others[f]
		other.Targets = slices.Clip(other.Targets) // join must not write to the caller's array

		if _, ok := others[f]; !ok || other.join(e.Record) {
			missing = append(missing, e.at(now))
		}
	}

	return missing
}

// Sum returns a checksum of all records, which is equal on hosts with the same records and zero for none.
func (t *Table) Sum() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.sum
}

// LastChange returns when a record last changed, zero for never.
func (t *Table) LastChange() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.lastChange
}

// Losses returns the number of targets that count as lost to the request f at now, at most the number at which f is
// refused.
func (t *Table) Losses(now time.Time, f Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	e, ok := t.entries[f]
	if !ok || !now.Before(e.until) {
		return 0
	}

	return len(e.Targets)
}

// Refuses reports whether the request f must be refused at now, and for how long from now.
func (t *Table) Refuses(now time.Time, f Fingerprint) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e, ok := t.entries[f]
	if !ok || !e.Refused() || !now.Before(e.until) {
		return 0, false
	}

	return e.until.Sub(now), true
}

// Stats returns the sizes of t.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()

	var stats Stats

	for _, group := range t.refusedGroups() {
		stats.RefusedParts += int64(len(group))
	}

	for _, e := range t.entries {
		if e.Part {
			if len(e.Targets) > 0 {
				stats.SuspectParts++
			}

			continue
		}

		if len(e.Targets) > 0 {
			stats.Suspects++
		}

		if e.Refused() {
			stats.Refused++
		}
	}

	return stats
}

// Tick drops the records that have expired at now, and records losses for silent runs whose targets have ended without
// having been leaving. leaving are the targets that leave at now; ended reports whether a target has ended.
func (t *Table) Tick(now time.Time, leaving []entity.TargetID, ended func(entity.TargetID) bool) {
	for _, l := range t.takeEnded(now, leaving, ended) {
		t.RecordLoss(now, l)
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	t.confirmParts(now, ended)

	for f, e := range t.entries {
		if !now.Before(e.until) {
			t.drop(f)
		}
	}
}

// takeEnded removes and returns the silent runs whose targets have ended without having been leaving. It also removes
// those that are too old, or whose targets leave.
func (t *Table) takeEnded(now time.Time, leaving []entity.TargetID, ended func(entity.TargetID) bool) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, id := range leaving {
		t.leaving[id] = now
	}

	for id, at := range t.leaving {
		if now.Sub(at) > lifetime {
			delete(t.leaving, id)
		}
	}

	var losses []Loss

	for l, at := range t.silent {
		_, left := t.leaving[l.Target]

		switch {
		case left || now.Sub(at) > confirmTime:
			delete(t.silent, l)
		case ended(l.Target):
			losses = append(losses, l)
			delete(t.silent, l)
		}
	}

	return losses
}

// at returns the record of e with the time that it has left at now.
func (e *entry) at(now time.Time) Record {
	r := e.Record
	r.Left = e.until.Sub(now)

	return r
}

// hasCompleted reports whether a target has lately answered f completely. The caller holds mu.
func (t *Table) hasCompleted(now time.Time, f Fingerprint) bool {
	at, ok := t.completed.Peek(f)

	return ok && now.Sub(at) < lifetime
}

// clear drops the losses of f, if it has any. The caller holds mu.
func (t *Table) clear(now time.Time, f Fingerprint) {
	if e, ok := t.entries[f]; ok && len(e.Targets) > 0 {
		t.join(now, Record{Request: f, Part: e.Part, Clearances: e.Clearances + 1, Left: lifetime}, everywhere)
	}
}

// join adds r, of which the hosts in tell have to be told, and reports whether that changed anything. The caller holds mu.
func (t *Table) join(now time.Time, r Record, tell scope) bool {
	e, known := t.entries[r.Request]
	if !known {
		if e = t.insert(now, r); e == nil {
			return false // r states nothing, or the table is full
		}
	}

	before := e.checksum()

	if !e.join(r) {
		return false
	}

	t.sum ^= before ^ e.checksum()
	t.lastChange, e.changed = now, now
	t.parts.groups = nil

	if until := now.Add(r.Left); until.After(e.until) {
		e.until = until
	}

	if tell > nobody {
		t.pending[r.Request] = max(t.pending[r.Request], tell)

		select {
		case t.changed <- struct{}{}:
		default:
		}
	}

	return true
}

// insert adds an empty entry for the request of r. If the table is full, it drops the entry with the fewest losses that
// expires first, or returns nil if that would be r. It returns nil too if r states nothing. The caller holds mu.
func (t *Table) insert(now time.Time, r Record) *entry {
	if len(r.Targets) == 0 && r.Clearances == 0 {
		return nil
	}

	until := now.Add(r.Left)

	if len(t.entries) >= maxRecords {
		least, losses, expiry := r.Request, len(r.Targets), until

		for f, e := range t.entries {
			if n := len(e.Targets); n < losses || n == losses && e.until.Before(expiry) {
				least, losses, expiry = f, n, e.until
			}
		}

		if least == r.Request {
			return nil
		}

		t.drop(least)
	}

	e := &entry{Record: Record{Request: r.Request, Part: r.Part}, until: until, tried: -1}
	t.entries[r.Request] = e
	t.sum ^= e.checksum()

	return e
}

// drop removes the entry of f. The caller holds mu.
func (t *Table) drop(f Fingerprint) {
	t.sum ^= t.entries[f].checksum()
	t.parts.groups = nil
	delete(t.entries, f)
	delete(t.pending, f)
}

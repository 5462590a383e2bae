// Package fleet maintains the view of the targets that the platform lists.
//
// A View must be used by one goroutine only. It does no I/O and reads no clock. Snapshots are immutable.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Target is one run of a replica, as the replica registered it.
type Target struct {
	ID         entity.TargetID // identifies the run: a restarted replica has another ID
	Instance   string          // name by which the replica checks that a request is meant for it
	Service    entity.ServiceName
	Address    string // ip:port
	DataCentre entity.DataCentre
	Slots      int
	Leaving    bool
	Role       entity.Role // role of a model replica
	Version    entity.SoftwareVersion
	// Reclaimable is set for a replica that the platform may take back at any time, after a notice that it leaves.
	Reclaimable bool
}

const (
	// returnGrace is how long entries that lapsed while the platform was unavailable are kept after it answers
	// again. The platform states that replicas register again within two seconds.
	returnGrace = 2500 * time.Millisecond
	// missedRenewals is the number of renewals that a replica must miss, because the platform is unavailable, before its
	// entry can lapse. An entry lapses after three renewal intervals, and the last renewal may have been due when the platform
	// became unavailable.
	missedRenewals = 2
)

// Options configure New.
type Options struct {
	// RenewalInterval is the time between two renewals of an entry by its replica. Zero means that entries may lapse in any
	// outage.
	RenewalInterval time.Duration
}

// Span is the time from Since until Until.
type Span struct{ Since, Until time.Time }

// View follows the platform's list. Make it with New.
type View struct {
	opts      Options
	targets   map[string]Target    // listed and kept targets, by Instance
	lapsed    map[string]time.Time // entries missing from the list, with the time until which they are kept
	holdUntil time.Time            // until when missing entries are kept; zero before the first outage has ended
	// awaySince and returnedAt are the beginning and the end of the outage before holdUntil, as this host saw it.
	awaySince, returnedAt time.Time

	served  Span // the last span in which the platform is known to have served any host
	changed bool // whether the targets changed since the last call of Take
}

// New returns a View without targets.
func New(opts Options) *View {
	return &View{opts: opts, targets: map[string]Target{}, lapsed: map[string]time.Time{}}
}

// PlatformReturned records that the platform answers this host again at now, after it did not for outage. If entries can have
// lapsed in that time, those that are missing are kept for returnGrace, as their replicas may still be registering
// again. After a shorter outage, or if the platform has served other hosts meanwhile, a missing entry was removed on purpose.
func (v *View) PlatformReturned(now time.Time, outage time.Duration) {
	if v.canLapse(outage) {
		v.holdUntil, v.awaySince, v.returnedAt = now.Add(returnGrace), now.Add(-outage), now
	}

	v.shortenHold(now)
}

// PlatformServed records at now that the platform served some host in s, without a pause in which entries can lapse. Entries that are kept
// on account of an outage of which the platform was away for a part, or not at all, are kept for accordingly less time.
func (v *View) PlatformServed(now time.Time, s Span) {
	v.served = v.join(v.served, s)
	v.shortenHold(now)
}

// shortenHold sets holdUntil to an earlier time if the platform served other hosts in a part of the outage.
func (v *View) shortenHold(now time.Time) {
	if !now.Before(v.holdUntil) {
		return
	}

	served := v.join(v.served, Span{v.returnedAt, v.returnedAt})

	until := served.Since.Add(returnGrace)
	if !v.canLapse(served.Since.Sub(v.awaySince)) {
		until = now
	}

	if !until.Before(v.holdUntil) {
		return
	}

	v.holdUntil = until

	for name := range v.lapsed {
		v.lapsed[name] = until
	}

	v.Tick(now)
}

// Served returns the last span in which the platform is known to have served any host; the zero value before that.
func (v *View) Served() Span { return v.served }

// canLapse reports whether entries can lapse while the platform is away for d.
func (v *View) canLapse(d time.Duration) bool { return d >= missedRenewals*v.opts.RenewalInterval }

// join returns the span of a and b, or the later one if entries can have lapsed between them.
func (v *View) join(a, b Span) Span {
	if b.Until.Before(a.Until) {
		a, b = b, a
	}

	if gap := b.Since.Sub(a.Until); a.Until.IsZero() || gap > 0 && v.canLapse(gap) {
		return b
	}

	if a.Since.Before(b.Since) {
		b.Since = a.Since
	}

	return b
}

// Replace sets the entries of list, which was read at now, and removes all others as Remove does.
func (v *View) Replace(now time.Time, list []Target) {
	listed := make(map[string]bool, len(list))

	for _, t := range list {
		listed[t.Instance] = true
		v.Set(t)
	}

	for name := range v.targets {
		if !listed[name] {
			v.Remove(now, name)
		}
	}
}

// Set adds or updates one entry.
func (v *View) Set(t Target) {
	delete(v.lapsed, t.Instance)

	if v.targets[t.Instance] == t {
		return
	}

	v.targets[t.Instance] = t
	v.changed = true
}

// Remove records that the entry of instance ended at now. Within returnGrace after an outage in which it can have lapsed,
// the entry is kept for the rest of that time unless it was leaving.
func (v *View) Remove(now time.Time, instance string) {
	t, ok := v.targets[instance]
	if !ok {
		return
	}

	if now.Before(v.holdUntil) && !t.Leaving {
		if _, kept := v.lapsed[instance]; !kept {
			v.lapsed[instance] = v.holdUntil
		}

		return
	}

	delete(v.targets, instance)
	delete(v.lapsed, instance)
	v.changed = true
}

// Lapsed returns the number of entries that are kept although the platform no longer lists them.
func (v *View) Lapsed() int { return len(v.lapsed) }

// IsLapsed reports whether the entry of instance is kept although the platform no longer lists it.
func (v *View) IsLapsed(instance string) bool {
	_, ok := v.lapsed[instance]

	return ok
}

// Tick drops the kept entries whose time has passed without a new registration.
func (v *View) Tick(now time.Time) {
	for name, until := range v.lapsed {
		if now.Before(until) {
			continue
		}

		delete(v.lapsed, name)
		delete(v.targets, name)
		v.changed = true
	}
}

// Take returns the targets ordered by ID, and true, if they changed since the last call, and nil and false otherwise.
func (v *View) Take() ([]Target, bool) {
	if !v.changed {
		return nil, false
	}

	v.changed = false

	list := make([]Target, 0, len(v.targets))
	for _, t := range v.targets {
		list = append(list, t)
	}

	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })

	return list, true
}

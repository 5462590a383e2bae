package quarantine

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	defaultSuspicion      = 10 * time.Minute
	defaultQuarantineTerm = time.Hour
	defaultCutTimeout     = 2 * time.Second
	defaultPeerTimeout    = 5 * time.Second
	defaultMaxTrialDelay  = time.Second
	defaultMaxTrials      = 2
	defaultMaxEntries     = 4096

	// suspectRetry is the RetryAfter of a suspect that only another host may run.
	suspectRetry = 2 * time.Second
	// trialRequestTTL is how long a trial request stays valid after the last call of Check.
	trialRequestTTL = 5 * time.Second
	// expiredRetention is how long an expired entry is kept, so that the next loss gets a higher Episode.
	expiredRetention = time.Minute
)

// Options configure a Table. Self is required; other fields that are not positive take their defaults.
type Options struct {
	Self           entity.HostID
	Suspicion      time.Duration // time after which a single loss expires
	QuarantineTerm time.Duration // length of a quarantine
	CutTimeout     time.Duration // time after which a target that cut a run and stays silent counts as lost
	PeerTimeout    time.Duration // time after which a host that sends no digest counts as unreachable
	MaxTrialDelay  time.Duration // longest wait of a trial for its target to become idle
	MaxTrials      int           // maximum number of trials at a time on this host
	MaxEntries     int           // number of entries at which a new one evicts another
}

func (o Options) withDefaults() Options {
	o.Suspicion = orDefault(o.Suspicion, defaultSuspicion)
	o.QuarantineTerm = orDefault(o.QuarantineTerm, defaultQuarantineTerm)
	o.CutTimeout = orDefault(o.CutTimeout, defaultCutTimeout)
	o.PeerTimeout = orDefault(o.PeerTimeout, defaultPeerTimeout)
	o.MaxTrialDelay = orDefault(o.MaxTrialDelay, defaultMaxTrialDelay)
	o.MaxTrials = orDefault(o.MaxTrials, defaultMaxTrials)
	o.MaxEntries = orDefault(o.MaxEntries, defaultMaxEntries)

	return o
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}

	return v
}

// Action says what a host may do with a request.
type Action uint8

const (
	// Refuse means that no host may run the request now. It is the zero value.
	Refuse Action = iota
	// Run means that the request may run like any other.
	Run
	// Wait means that the request must wait on this host: until Table.StartTrials starts it as a trial, or until
	// the target that cut its run is reported as alive or counts as lost.
	Wait
	// Elsewhere means that only Decision.Host may run the request.
	Elsewhere
)

// Decision is the result of Table.Begin and Table.Check.
type Decision struct {
	Action     Action
	Host       entity.HostID // host that may run the request, for Elsewhere
	RetryAfter time.Duration // for Refuse and Elsewhere
}

// Error returns the not-run error for a request that this host must not run, nil for Run and Wait.
func (d Decision) Error() *verdict.Error {
	if d.Action == Run || d.Action == Wait {
		return nil
	}

	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "targets were lost while they ran this request").WithRetryAfter(d.RetryAfter)
}

// Table holds one host's view of the suspected and quarantined fingerprints, and its own runs. It is
// not safe for concurrent use.
type Table struct {
	opts          Options
	version       uint64
	entries       map[Fingerprint]*record
	runs          runs
	peers         map[entity.HostID]*peer
	trialRequests map[Fingerprint]trialRequest
	trials        map[Fingerprint]*trial
	digestsSent   uint64
}

// record is an entry with the version at which this host last changed it, and source, the peer that last sent
// a change of it. The source is empty if no peer has sent one or the entry has been relayed since.
type record struct {
	Entry
	version uint64
	source  entity.HostID
}

// trialRequest records that a request waits for a trial. Each call of Check renews it.
type trialRequest struct {
	since time.Time // first call of Check
	last  time.Time // latest call of Check
}

// New returns an empty Table.
func New(o Options) *Table {
	return &Table{
		opts:          o.withDefaults(),
		version:       baseVersion,
		entries:       make(map[Fingerprint]*record),
		runs:          newRuns(),
		peers:         make(map[entity.HostID]*peer),
		trialRequests: make(map[Fingerprint]trialRequest),
		trials:        make(map[Fingerprint]*trial),
	}
}

// Check decides whether f may run. For Wait it also requests a trial; the host calls it repeatedly while
// the request waits, as a trial request expires after trialRequestTTL.
func (t *Table) Check(now time.Time, f Fingerprint) Decision {
	r := t.unexpired(now, f)

	switch {
	case r != nil && r.Quarantined():
		return Decision{Action: Refuse, RetryAfter: r.Until.Sub(now)}
	case r != nil && r.suspect() && r.Origin != t.opts.Self:
		return Decision{Action: Elsewhere, Host: r.Origin, RetryAfter: suspectRetry}
	case r != nil && r.suspect(), t.runs.hasUnresolvedCut(f):
		request, ok := t.trialRequests[f]
		if !ok {
			request.since = now
		}

		request.last = now
		t.trialRequests[f] = request

		return Decision{Action: Wait}
	default:
		return Decision{Action: Run}
	}
}

// Begin does what Check does, and for Run also records that f now runs on target. The host calls it
// in the same step in which it decides to dispatch.
func (t *Table) Begin(now time.Time, f Fingerprint, target entity.TargetID) Decision {
	decision := t.Check(now, f)
	if decision.Action == Run {
		t.runs.start(now, f, target)
	}

	return decision
}

// End is how a run ended.
type End uint8

const (
	// Cut means that the target broke off the run and may be lost. It is the zero value.
	Cut End = iota
	// Completed means that the target answered in full, possibly with an error.
	Completed
	// Cancelled means that the run was given up, but not because its target broke it off.
	Cancelled
)

// RunEnded records the end of a run on target. After a Cut, f waits until Table.TargetAlive or Table.TargetLost
// is called for the target. If neither is called within Options.CutTimeout, the target counts as lost.
func (t *Table) RunEnded(now time.Time, f Fingerprint, target entity.TargetID, end End) {
	tr := t.trials[f]
	onTrial := tr != nil && tr.started && tr.target == target

	if end != Completed {
		t.runs.suspend(now.Add(t.opts.CutTimeout), f, target, end)

		return
	}

	t.runs.stop(f, target)

	if onTrial {
		t.clear(now, f)
	}
}

// TargetAlive records that target has answered since it cut a run, and that its process has not restarted,
// so it was not lost. Its suspended runs end without suspicion, and a trial among them may start again.
func (t *Table) TargetAlive(target entity.TargetID) {
	for _, f := range t.runs.endSuspended(target) {
		if tr := t.trials[f]; tr != nil && tr.target == target {
			t.dropTrial(f)
		}
	}
}

// TargetLost records a loss for all fingerprints that run on target or have a suspended run there. It ends
// these runs and returns the fingerprints.
func (t *Table) TargetLost(now time.Time, target entity.TargetID) []Fingerprint {
	lost, since := t.runs.endAll(target)

	for i, f := range lost {
		tr := t.trials[f]
		onTrial := tr != nil && tr.started && tr.target == target

		t.recordLoss(now, f, Loss{Target: target, Since: since[i], At: now, Trial: onTrial})

		if onTrial {
			t.dropTrial(f)
		}
	}

	return lost
}

// Tick drops what has expired, and records a loss for targets that stayed silent after they cut a run.
func (t *Table) Tick(now time.Time) {
	for _, target := range t.runs.overdueTargets(now) {
		t.TargetLost(now, target)
	}

	for f, r := range t.entries {
		if !now.Before(r.Until.Add(expiredRetention)) {
			delete(t.entries, f)
		}
	}

	t.dropStaleTrials(now)
	t.relayFromSilentPeers(now)
}

// Release ends the quarantine or suspicion of f at the request of an operator, and reports whether
// there was one.
func (t *Table) Release(now time.Time, f Fingerprint) bool {
	r := t.unexpired(now, f)
	if r == nil || r.Cleared {
		return false
	}

	t.clear(now, f)

	return true
}

// Entries returns all entries, also cleared and recently expired ones, in no order.
func (t *Table) Entries() []Entry {
	list := make([]Entry, 0, len(t.entries))
	for _, r := range t.entries {
		list = append(list, r.Entry)
	}

	return list
}

// unexpired returns the entry of f, or nil if there is none or it has expired.
func (t *Table) unexpired(now time.Time, f Fingerprint) *record {
	r := t.entries[f]
	if r == nil || !now.Before(r.Until) {
		return nil
	}

	return r
}

// bumpVersion gives r a new version, so that Export sends it to all peers.
func (t *Table) bumpVersion(r *record) {
	t.version++
	r.version = t.version
}

// recordLoss adds the loss l to f's entry. If f was cleared or the entry has expired, a new episode begins.
func (t *Table) recordLoss(now time.Time, f Fingerprint, l Loss) {
	r := t.entries[f]

	switch {
	case r == nil:
		t.evictIfFull()
		r = &record{Entry: Entry{Fingerprint: f, Origin: t.opts.Self, Episode: 1}}
		t.entries[f] = r
	case r.Cleared, !now.Before(r.Until):
		r.Entry = Entry{Fingerprint: f, Origin: t.opts.Self, Episode: r.Episode + 1}
	}

	r.addLoss(l)

	r.Until = now.Add(t.opts.Suspicion)
	if r.Quarantined() {
		r.Until = now.Add(t.opts.QuarantineTerm)
		delete(t.trialRequests, f)
	}

	t.bumpVersion(r)
}

func (t *Table) clear(now time.Time, f Fingerprint) {
	t.dropTrial(f)
	delete(t.trialRequests, f)

	r := t.unexpired(now, f)
	if r == nil {
		return
	}

	r.Cleared, r.Losses = true, nil
	t.bumpVersion(r)
}

// evictIfFull evicts an entry if the table is full: the one that expires first, preferably one that is
// not quarantined, and none that has a trial here.
func (t *Table) evictIfFull() {
	if len(t.entries) < t.opts.MaxEntries {
		return
	}

	var first *record

	for _, r := range t.entries {
		if t.trials[r.Fingerprint] == nil && (first == nil || evictsBefore(r, first)) {
			first = r
		}
	}

	if first != nil {
		delete(t.entries, first.Fingerprint)
	}
}

// evictsBefore reports whether a is evicted before b.
func evictsBefore(a, b *record) bool {
	if a.Quarantined() != b.Quarantined() {
		return b.Quarantined()
	}

	return a.Until.Before(b.Until)
}

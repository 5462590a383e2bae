package quarantine

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	defaultSuspicion   = 10 * time.Minute
	defaultTerm        = time.Hour
	defaultCutTimeout  = 2 * time.Second
	defaultPeerSilence = 5 * time.Second
	defaultPatience    = time.Second
	defaultMaxTrials   = 2
	defaultMaxEntries  = 4096

	// suspectRetry is the time after which a suspect is worth another offer.
	suspectRetry = 2 * time.Second
	// wantedFor is how long a call of Check keeps a request for a trial alive.
	wantedFor = 5 * time.Second
	// grace is how long an entry is kept after its end, so that a new episode is told from it.
	grace = time.Minute
)

// Options set the bounds of a Table. Self is required; other zero fields take their defaults.
type Options struct {
	Self        table.HostID
	Suspicion   time.Duration // after which one loss is forgotten
	Term        time.Duration // of the quarantine
	CutTimeout  time.Duration // after which a target that cut a run and stays silent counts as lost
	PeerSilence time.Duration // after which a host counts as cut off
	Patience    time.Duration // for which a trial waits until its target is empty
	MaxTrials   int           // at a time on this host
	MaxEntries  int
}

func (o Options) withDefaults() Options {
	o.Suspicion = orDefault(o.Suspicion, defaultSuspicion)
	o.Term = orDefault(o.Term, defaultTerm)
	o.CutTimeout = orDefault(o.CutTimeout, defaultCutTimeout)
	o.PeerSilence = orDefault(o.PeerSilence, defaultPeerSilence)
	o.Patience = orDefault(o.Patience, defaultPatience)
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
	// Wait means that this host may run it once more; Trials says when and where.
	Wait
	// Elsewhere means that only the host Ruling.Host may run it.
	Elsewhere
)

// Ruling answers Begin and Check.
type Ruling struct {
	Action     Action
	Host       table.HostID // for Elsewhere
	RetryAfter time.Duration
}

// Error returns the not-run error for a request that this host does not run, nil for Run and Wait.
func (r Ruling) Error() *verdict.Error {
	if r.Action == Run || r.Action == Wait {
		return nil
	}

	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "targets were lost to this request").After(r.RetryAfter)
}

// Table is one host's view of the fingerprints under suspicion and of its own runs. It is not
// safe for concurrent use.
type Table struct {
	opts    Options
	version uint64
	entries map[Fingerprint]*record
	runs    runs
	peers   map[table.HostID]*peer
	wanted  map[Fingerprint]want
	trials  map[Fingerprint]*trial
	sent    uint64
}

// record is an entry with the version at which this host last changed it, and the peer that it was
// last learnt from.
type record struct {
	Entry
	version uint64
	source  table.HostID
}

// want is a request's wish for a trial.
type want struct {
	since time.Time
	last  time.Time
}

// New returns an empty Table.
func New(o Options) *Table {
	return &Table{
		opts:    o.withDefaults(),
		version: baseVersion,
		entries: make(map[Fingerprint]*record),
		runs:    newRuns(),
		peers:   make(map[table.HostID]*peer),
		wanted:  make(map[Fingerprint]want),
		trials:  make(map[Fingerprint]*trial),
	}
}

// Check says whether f may run. For Wait it also asks for a trial, which the host repeats while the
// request waits.
func (t *Table) Check(now time.Time, f Fingerprint) Ruling {
	r := t.live(now, f)

	switch {
	case r != nil && r.Quarantined():
		return Ruling{Action: Refuse, RetryAfter: r.Until.Sub(now)}
	case r != nil && r.suspect() && r.Origin != t.opts.Self:
		return Ruling{Action: Elsewhere, Host: r.Origin, RetryAfter: suspectRetry}
	case r != nil && r.suspect(), t.runs.unsettled(f):
		w, ok := t.wanted[f]
		if !ok {
			w.since = now
		}

		w.last = now
		t.wanted[f] = w

		return Ruling{Action: Wait}
	default:
		return Ruling{Action: Run}
	}
}

// Begin is Check, and for Run records that f now runs on target. A host calls it in the same step
// in which it decides to dispatch.
func (t *Table) Begin(now time.Time, f Fingerprint, target table.TargetID) Ruling {
	ruling := t.Check(now, f)
	if ruling.Action == Run {
		t.runs.start(now, f, target)
	}

	return ruling
}

// End is how a run ended.
type End uint8

const (
	// Cut means that the target broke off and may be lost. It is the zero value.
	Cut End = iota
	// Whole means that the target answered in full, if only with an error.
	Whole
	// Cancelled means that the run was given up while its target was well.
	Cancelled
)

// Ended records the end of a run on target. After a Cut, f waits until Alive or Lost settles what
// became of the target, or Options.CutTimeout has passed, which counts as Lost.
func (t *Table) Ended(now time.Time, f Fingerprint, target table.TargetID, end End) {
	tr := t.trials[f]
	onTrial := tr != nil && tr.started && tr.target == target

	if end != Whole {
		t.runs.suspend(now.Add(t.opts.CutTimeout), f, target, end)

		return
	}

	t.runs.stop(f, target)

	if onTrial {
		t.clear(now, f)
	}
}

// Alive records that target, in the same run of its process, has answered since the cut, so it is
// not lost. Runs that it cut are
// settled without suspicion, and a trial of such a run may begin anew.
func (t *Table) Alive(target table.TargetID) {
	for _, f := range t.runs.settle(target) {
		if tr := t.trials[f]; tr != nil && tr.target == target {
			t.dropTrial(f)
		}
	}
}

// Lost marks all fingerprints that run on target, or were cut by it, and returns them.
func (t *Table) Lost(now time.Time, target table.TargetID) []Fingerprint {
	lost, since := t.runs.lose(target)

	for i, f := range lost {
		tr := t.trials[f]
		onTrial := tr != nil && tr.started && tr.target == target

		t.mark(now, f, Loss{Target: target, Since: since[i], At: now, Trial: onTrial})

		if onTrial {
			t.dropTrial(f)
		}
	}

	return lost
}

// Tick drops what has expired and counts targets as lost that stayed silent after a cut.
func (t *Table) Tick(now time.Time) {
	for _, target := range t.runs.overdue(now) {
		t.Lost(now, target)
	}

	for f, r := range t.entries {
		if !now.Before(r.Until.Add(grace)) {
			delete(t.entries, f)
		}
	}

	t.tidyTrials(now)
	t.relay(now)
}

// Release ends the quarantine or suspicion of f by order of an operator and reports whether there
// was one.
func (t *Table) Release(now time.Time, f Fingerprint) bool {
	r := t.live(now, f)
	if r == nil || r.Cleared {
		return false
	}

	t.clear(now, f)

	return true
}

// Entries returns what is known of all fingerprints under suspicion, in no order.
func (t *Table) Entries() []Entry {
	list := make([]Entry, 0, len(t.entries))
	for _, r := range t.entries {
		list = append(list, r.Entry)
	}

	return list
}

func (t *Table) live(now time.Time, f Fingerprint) *record {
	r := t.entries[f]
	if r == nil || !now.Before(r.Until) {
		return nil
	}

	return r
}

func (t *Table) touch(r *record) {
	t.version++
	r.version = t.version
}

// mark adds a loss to f's entry, which begins a new episode if f was cleared.
func (t *Table) mark(now time.Time, f Fingerprint, l Loss) {
	r := t.entries[f]

	switch {
	case r == nil:
		t.makeRoom()
		r = &record{Entry: Entry{Fingerprint: f, Origin: t.opts.Self, Episode: 1}}
		t.entries[f] = r
	case r.Cleared, !now.Before(r.Until):
		r.Entry = Entry{Fingerprint: f, Origin: t.opts.Self, Episode: r.Episode + 1}
	}

	r.addLoss(l)

	r.Until = now.Add(t.opts.Suspicion)
	if r.Quarantined() {
		r.Until = now.Add(t.opts.Term)
		delete(t.wanted, f)
	}

	t.touch(r)
}

func (t *Table) clear(now time.Time, f Fingerprint) {
	t.dropTrial(f)
	delete(t.wanted, f)

	r := t.live(now, f)
	if r == nil {
		return
	}

	r.Cleared, r.Losses = true, nil
	t.touch(r)
}

// makeRoom forgets the entry that ends first, one without quarantine if there is any.
func (t *Table) makeRoom() {
	if len(t.entries) < t.opts.MaxEntries {
		return
	}

	var first *record

	for _, r := range t.entries {
		if t.trials[r.Fingerprint] == nil && (first == nil || before(r, first)) {
			first = r
		}
	}

	if first != nil {
		delete(t.entries, first.Fingerprint)
	}
}

func before(a, b *record) bool {
	if a.Quarantined() != b.Quarantined() {
		return b.Quarantined()
	}

	return a.Until.Before(b.Until)
}

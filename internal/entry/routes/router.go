package routes

import (
	"errors"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/routing"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	pickTries   = 8
	downFor     = 2 * time.Second        // a target that could not be reached gets no work for this long
	refusedFor  = 500 * time.Millisecond // one that refused work comes last for this long
	ledgerEvery = 64                     // refreshes between clean-ups of the ledger
)

// Options are the parts that a Router works with. The zero value of all but Home works.
type Options struct {
	Clock clockwork.Clock // nil means the real clock
	Home  table.DataCentre
	Seed  int64
}

// Router picks targets for requests. Refresh belongs to the control goroutine; the other methods
// are safe for concurrent use.
type Router struct {
	opts     Options
	ledger   *routing.Ledger
	prefixes *routing.Prefixes
	view     atomic.Pointer[routing.View]
	within   atomic.Pointer[routing.View] // the same within one data centre
	roles    atomic.Pointer[map[table.TargetID]table.Role]
	snapshot atomic.Pointer[table.Snapshot]
	rngs     sync.Pool
	seeds    atomic.Int64
	rounds   int
	leaving  atomic.Pointer[map[table.TargetID]bool]

	mu      sync.Mutex
	down    map[table.TargetID]time.Time // no new work until then
	refused map[table.TargetID]time.Time // comes last until then
}

// New returns a Router without targets.
func New(opts Options) *Router {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	r := &Router{
		opts: opts, ledger: routing.NewLedger(), prefixes: routing.NewPrefixes(0),
		down: map[table.TargetID]time.Time{}, refused: map[table.TargetID]time.Time{},
	}
	r.rngs.New = func() any { return rand.New(rand.NewSource(opts.Seed + r.seeds.Add(1))) }

	return r
}

// State is what a refresh knows beside the configuration.
type State struct {
	Hosts       int // live entry hosts, this one included
	Loads       map[table.TargetID]table.Load
	Leaving     map[table.TargetID]bool // targets that take no new work
	Unreachable map[table.DataCentre]bool
	Reserved    func(table.Model, table.TargetID) bool // kept for a request that runs alone; nil means none
}

// Refresh publishes a new view of the targets of snapshot.
func (r *Router) Refresh(snapshot *table.Snapshot, st State) {
	now := r.opts.Clock.Now()
	targets := make([]routing.Target, 0, len(snapshot.Targets))
	leaving := maps.Clone(st.Leaving)

	if leaving == nil {
		leaving = map[table.TargetID]bool{}
	}

	for _, t := range snapshot.Targets {
		leaving[t.ID] = leaving[t.ID] || t.Leaving
		t.Leaving = leaving[t.ID]

		targets = append(targets, routing.Target{Target: t, Load: st.Loads[t.ID], State: r.state(now, t, st)})
	}

	r.leaving.Store(&leaving)
	r.snapshot.Store(snapshot)
	roles := rolesOf(snapshot, st.Loads)
	r.roles.Store(&roles)

	view := routing.Build(routing.Options{
		Now: now, Home: r.opts.Home, Hosts: max(st.Hosts, 1), Ledger: r.ledger, Prefixes: r.prefixes,
	}, targets)
	r.view.Store(view)
	r.within.Store(view.Within())

	r.rounds++
	if r.rounds%ledgerEvery == 0 {
		r.ledger.Retain(func(id table.TargetID) bool { _, ok := snapshot.Target(id); return ok })
	}
}

func (r *Router) state(now time.Time, t table.Target, st State) routing.State {
	r.mu.Lock()
	defer r.mu.Unlock()

	if st.Unreachable[t.DataCentre] {
		return routing.Unknown
	}

	if st.Reserved != nil && t.Model != "" && st.Reserved(t.Model, t.ID) {
		return routing.Quarantined
	}

	until, ok := r.down[t.ID]
	if ok && until.After(now) {
		return routing.Unknown
	}

	delete(r.down, t.ID)

	if st.Loads[t.ID].Changing {
		return routing.Changing
	}

	return routing.Usable
}

// Pick chooses a target for req that is not among tried. It reports false if there is none.
func (r *Router) Pick(req table.Request, tried []table.TargetID) (table.Target, bool) {
	view, snapshot := r.view.Load(), r.snapshot.Load()
	if view == nil {
		return table.Target{}, false
	}

	if req.Pinned != "" {
		if slices.Contains(tried, req.Pinned) {
			return table.Target{}, false
		}

		t, ok := find(snapshot, req.Pinned)

		return t, ok && (req.Resume || !r.leaves(req.Pinned))
	}

	if t, ok := find(snapshot, req.Preferred); ok && len(tried) == 0 && r.usable(t, req) && !r.refusedLately(t.ID) &&
		r.Role(t.ID) != table.Decode {
		return t, true
	}

	q := routing.Request{
		Model: req.Kind.Model, Service: req.Kind.Service, Urgency: req.Kind.Urgency,
		Prefill: req.Prefill, Decode: req.Decode, Prefix: routing.Prefix(req.Prefix), PrefixTokens: req.Prefill,
	}

	if req.Kind.Model != "" {
		q.Phase = routing.Prefill
	}

	takes := func(t table.Target) bool { return r.usable(t, req) && r.handsOver(req, t) }

	if t, ok := r.draw(view, q, tried, takes); ok || q.Phase == routing.Whole {
		return t, ok
	}

	// A mixed engine may be free where prefill engines were drawn that can hand over to nobody.
	q.Phase = routing.Whole

	return r.draw(view, q, tried, takes)
}

// draw picks a target for q that is not among tried and that takes accepts.
func (r *Router) draw(view *routing.View, q routing.Request, tried []table.TargetID, takes func(table.Target) bool) (table.Target, bool) {
	rng, ok := r.rngs.Get().(*rand.Rand)
	if !ok {
		return table.Target{}, false
	}

	defer r.rngs.Put(rng)

	if len(tried) > 0 {
		q.Avoid = tried[len(tried)-1]
	}

	var refused table.Target

	for range pickTries {
		choice, ok := view.Pick(rng, q)
		if !ok {
			break
		}

		t, ok := r.Target(choice.Target)

		switch {
		case !ok || slices.Contains(tried, choice.Target) || !takes(t):
		case r.refusedLately(t.ID):
			refused = t
		default:
			return t, true
		}

		// The least loaded target is often the one that just refused; the next draw goes without it.
		q.Avoid = choice.Target
	}

	return refused, refused.ID != ""
}

// usable rules out a target that failed since the last refresh, and a second hop of a forwarded request.
func (r *Router) usable(t table.Target, req table.Request) bool {
	if req.Forwarded && t.DataCentre != r.opts.Home || r.leaves(t.ID) {
		return false
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	return !r.down[t.ID].After(r.opts.Clock.Now())
}

func find(snapshot *table.Snapshot, id table.TargetID) (table.Target, bool) {
	t, ok := snapshot.Target(id)
	if !ok {
		return table.Target{}, false
	}

	return *t, true
}

// Target returns the target id of the configuration in force.
func (r *Router) Target(id table.TargetID) (table.Target, bool) {
	return find(r.snapshot.Load(), id)
}

// leaves reports whether a target takes no new work.
func (r *Router) leaves(t table.TargetID) bool {
	leaving := r.leaving.Load()

	return leaving != nil && (*leaving)[t]
}

// Begin counts the start of req on a target. It reports false, and counts nothing, for new work on
// a target that is leaving: whoever reads the counts after Refresh sees each request that began
// before it, and none begins later.
func (r *Router) Begin(t table.TargetID, req table.Request) bool {
	r.ledger.Flight(t).Start(cost(req))

	if req.Resume || !r.leaves(t) {
		return true
	}

	r.ledger.Flight(t).End(cost(req))

	return false
}

// End counts the end of req on a target and takes note of how it went.
func (r *Router) End(t table.TargetID, req table.Request, err error) {
	r.ledger.Flight(t).End(cost(req))

	if err == nil {
		if req.Prefix != 0 {
			r.prefixes.Add(routing.Prefix(req.Prefix), t)
		}

		return
	}

	var e *verdict.Error
	if !errors.As(err, &e) {
		return
	}

	switch {
	case e.Code == verdict.CodeTargetLost:
		r.note(r.down, t, downFor)
	case e.Code == verdict.CodeOverloaded && e.Verdict == verdict.NotRun:
		// A target that is full, or whose new role the load reports do not show yet.
		r.note(r.refused, t, refusedFor)
	}
}

// note enters t into m for d.
func (r *Router) note(m map[table.TargetID]time.Time, t table.TargetID, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	m[t] = r.opts.Clock.Now().Add(d)
}

// refusedLately reports whether t has just refused work. It gets work only where nothing else can
// take it.
func (r *Router) refusedLately(t table.TargetID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	until, ok := r.refused[t]
	if ok && !until.After(r.opts.Clock.Now()) {
		delete(r.refused, t)

		return false
	}

	return ok
}

// Open returns the number of this host's requests in flight on a target.
func (r *Router) Open(t table.TargetID) int {
	return r.ledger.Flight(t).Open()
}

func cost(req table.Request) routing.Cost {
	return routing.Cost{Prefill: req.Prefill, Decode: req.Decode}
}

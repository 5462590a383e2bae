package router

import (
	"errors"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/routing"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	pickTries           = 8                      // most draws from the view for one pick
	downFor             = 2 * time.Second        // how long a target that was lost or unreachable gets no new work
	refusedFor          = 500 * time.Millisecond // how long a target that refused work is used only as a last resort
	ledgerCleanupRounds = 64                     // refreshes between removals of unconfigured targets from the ledger
)

// Options configure a Router. Home is required.
type Options struct {
	Clock clockwork.Clock   // nil means the real clock
	Home  entity.DataCentre // data centre of this host
	Seed  int64             // seed of the random choices
}

// Router picks targets for requests. Refresh must be called from one goroutine at a time; the other methods are
// safe for concurrent use.
type Router struct {
	opts           Options
	ledger         *routing.Ledger
	prefixes       *routing.Prefixes
	view           atomic.Pointer[routing.View]
	dataCentreView atomic.Pointer[routing.View] // view for picks within one data centre
	roles          atomic.Pointer[map[entity.TargetID]entity.Role]
	snapshot       atomic.Pointer[entity.Snapshot]
	rngs           sync.Pool
	seeds          atomic.Int64                             // number of generators made for rngs so far, added to Options.Seed
	refreshes      int                                      // number of Refresh calls
	leaving        atomic.Pointer[map[entity.TargetID]bool] // targets that take no new work
	versions       *versions
	undiscovered   atomic.Pointer[map[entity.DataCentre]bool]
	refreshed      atomic.Pointer[chan struct{}] // closed by the next Refresh

	mu           sync.Mutex
	downUntil    map[entity.TargetID]time.Time // time before which the target gets no new work
	refusedUntil map[entity.TargetID]time.Time // time before which the target is only a last resort
}

// New returns a Router without targets.
func New(opts Options) *Router {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	r := &Router{
		opts: opts, ledger: routing.NewLedger(), prefixes: routing.NewPrefixes(0), versions: newVersions(),
		downUntil: map[entity.TargetID]time.Time{}, refusedUntil: map[entity.TargetID]time.Time{},
	}
	refreshed := make(chan struct{})
	r.refreshed.Store(&refreshed)
	r.rngs.New = func() any { return rand.New(rand.NewSource(opts.Seed + r.seeds.Add(1))) }

	return r
}

// RefreshInput is the input of Refresh besides the configuration.
type RefreshInput struct {
	Hosts       int // number of live entry hosts, this one included
	Loads       map[entity.TargetID]entity.Load
	Leaving     map[entity.TargetID]bool   // targets that take no new work
	Unreachable map[entity.DataCentre]bool // data centres that get no requests
	// Undiscovered are those of Unreachable whose hosts this host may find any moment, since it has only begun to look for them.
	Undiscovered map[entity.DataCentre]bool
	// Reserved reports whether a target is reserved for a request that must run alone; nil reserves none.
	Reserved func(entity.Model, entity.TargetID) bool
}

// Refresh makes the targets of snapshot, in the state described by in, the ones that later picks choose from.
func (r *Router) Refresh(snapshot *entity.Snapshot, in RefreshInput) {
	now := r.opts.Clock.Now()
	targets := make([]routing.Target, 0, len(snapshot.Targets))
	leaving := maps.Clone(in.Leaving)

	if leaving == nil {
		leaving = map[entity.TargetID]bool{}
	}

	for _, t := range snapshot.Targets {
		leaving[t.ID] = leaving[t.ID] || t.Leaving
		t.Leaving = leaving[t.ID]

		targets = append(targets, routing.Target{Target: t, Load: in.Loads[t.ID], State: r.targetState(now, t, in)})
	}

	r.leaving.Store(&leaving)
	r.snapshot.Store(snapshot)
	roles := rolesOf(snapshot, in.Loads)
	r.roles.Store(&roles)

	view := routing.Build(routing.Options{
		Now: now, Home: r.opts.Home, Hosts: max(in.Hosts, 1), Ledger: r.ledger, Prefixes: r.prefixes,
	}, targets)
	r.view.Store(view)
	r.dataCentreView.Store(view.WithinDataCentre())

	for _, l := range in.Loads {
		if l.Version != "" {
			r.versions.set(l.Target, l.Version, l.At)
		}
	}

	r.undiscovered.Store(&in.Undiscovered)

	refreshed := make(chan struct{})
	close(*r.refreshed.Swap(&refreshed))

	r.refreshes++
	if r.refreshes%ledgerCleanupRounds == 0 {
		configured := func(id entity.TargetID) bool { _, ok := snapshot.Target(id); return ok }
		r.ledger.Retain(configured)
		r.versions.retain(configured)
	}
}

// targetState returns the routing state of t at now, and removes an expired entry of t from downUntil.
func (r *Router) targetState(now time.Time, t entity.Target, in RefreshInput) routing.State {
	r.mu.Lock()
	defer r.mu.Unlock()

	if in.Unreachable[t.DataCentre] {
		return routing.Unknown
	}

	if in.Reserved != nil && t.Model != "" && in.Reserved(t.Model, t.ID) {
		return routing.Quarantined
	}

	until, ok := r.downUntil[t.ID]
	if ok && until.After(now) {
		return routing.Unknown
	}

	delete(r.downUntil, t.ID)

	if in.Loads[t.ID].Changing {
		return routing.Changing
	}

	return routing.Usable
}

// Pick chooses a target for req that is not among tried, and reports false if no target is usable. A pinned request
// gets only its pinned target, and that only if it is not leaving or req resumes an earlier run. While tried is
// empty, the preferred target comes first if it is usable, runs prefills and has not refused work recently. Other
// targets that recently refused work are chosen only if there is no other.
func (r *Router) Pick(req entity.Request, tried []entity.TargetID) (entity.Target, bool) {
	view, snapshot := r.view.Load(), r.snapshot.Load()
	if view == nil {
		return entity.Target{}, false
	}

	if req.Pinned != "" {
		if slices.Contains(tried, req.Pinned) {
			return entity.Target{}, false
		}

		t, ok := findTarget(snapshot, req.Pinned)

		return t, ok && (req.Resume || !r.isLeaving(req.Pinned))
	}

	if t, ok := findTarget(snapshot, req.Preferred); ok && len(tried) == 0 && r.usable(t, req) && !r.recentlyRefused(t.ID) &&
		r.Role(t.ID) != entity.Decode {
		return t, true
	}

	q := routing.Request{
		Model: req.Kind.Model, Service: req.Kind.Service, Urgency: req.Kind.Urgency,
		Prefill: req.Prefill, Decode: req.Decode, Prefix: routing.Prefix(req.Prefix), PrefixTokens: req.Prefill,
	}

	if req.Kind.Model != "" {
		q.Phase = routing.Prefill
	}

	accepts := func(t entity.Target) bool { return r.usable(t, req) && r.canHandOver(req, t) }

	if t, ok := r.pickFrom(view, q, tried, accepts); ok || q.Phase == routing.Whole {
		return t, ok
	}

	// The prefill engines drawn may have no engine to hand over to while a mixed engine has capacity.
	q.Phase = routing.Whole

	return r.pickFrom(view, q, tried, accepts)
}

// MayAppear reports whether Pick may find a target for req after a later Refresh, though it finds none now: one in a data centre whose
// hosts this host has only begun to look for.
func (r *Router) MayAppear(req entity.Request) bool {
	undiscovered := r.undiscovered.Load()
	if undiscovered == nil || req.Forwarded || req.Pinned != "" {
		return false
	}

	return slices.ContainsFunc(r.snapshot.Load().Targets, func(t entity.Target) bool {
		return (*undiscovered)[t.DataCentre] && t.Model == req.Kind.Model && t.Service == req.Kind.Service && !r.isLeaving(t.ID)
	})
}

// Refreshed returns a channel that the next Refresh closes.
func (r *Router) Refreshed() <-chan struct{} { return *r.refreshed.Load() }

// pickFrom picks a target for q from view that is not among tried and for which accepts returns true. If
// pickTries draws give no other, it returns one that recently refused work.
func (r *Router) pickFrom(view *routing.View, q routing.Request, tried []entity.TargetID, accepts func(entity.Target) bool) (entity.Target, bool) {
	rng, ok := r.rngs.Get().(*rand.Rand)
	if !ok {
		return entity.Target{}, false
	}

	defer r.rngs.Put(rng)

	if len(tried) > 0 {
		q.Avoid = tried[len(tried)-1]
	}

	var refused entity.Target

	for range pickTries {
		choice, ok := view.Pick(rng, q)
		if !ok {
			break
		}

		t, ok := r.Target(choice.Target)

		switch {
		case !ok || slices.Contains(tried, choice.Target) || !accepts(t):
		case r.recentlyRefused(t.ID):
			refused = t
		default:
			return t, true
		}

		// The least loaded target is often the one that just refused, so the next draw excludes it.
		q.Avoid = choice.Target
	}

	return refused, refused.ID != ""
}

// usable reports whether t may get new work of req: it is not leaving, was not lost recently and, for a request
// that was forwarded once already, is in this data centre.
func (r *Router) usable(t entity.Target, req entity.Request) bool {
	if req.Forwarded && t.DataCentre != r.opts.Home || r.isLeaving(t.ID) {
		return false
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	return !r.downUntil[t.ID].After(r.opts.Clock.Now())
}

func findTarget(snapshot *entity.Snapshot, id entity.TargetID) (entity.Target, bool) {
	t, ok := snapshot.Target(id)
	if !ok {
		return entity.Target{}, false
	}

	return *t, true
}

// Target returns the target id of the configuration in force.
func (r *Router) Target(id entity.TargetID) (entity.Target, bool) {
	return findTarget(r.snapshot.Load(), id)
}

// isLeaving reports whether a target is leaving service and takes no new work.
func (r *Router) isLeaving(t entity.TargetID) bool {
	leaving := r.leaving.Load()

	return leaving != nil && (*leaving)[t]
}

// Begin counts the start of req on a target. It reports false, and counts nothing, for new work on a target
// that is leaving. After a Refresh that marks a target as leaving, InFlight therefore counts every unfinished
// request that began before, and no new one can begin.
func (r *Router) Begin(t entity.TargetID, req entity.Request) bool {
	r.ledger.Flight(t).Start(cost(req))

	if req.Resume || !r.isLeaving(t) {
		return true
	}

	r.ledger.Flight(t).End(cost(req))

	return false
}

// End counts the end of req on a target. After a success it records the prompt prefix as cached there; after a
// loss or an overload refusal it keeps work away from the target for a while.
func (r *Router) End(t entity.TargetID, req entity.Request, err error) {
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
		r.markUntil(r.downUntil, t, downFor)
	case e.Code == verdict.CodeOverloaded && e.Verdict == verdict.NotRun:
		// The target is full, or has a new role that its load reports do not show yet.
		r.markUntil(r.refusedUntil, t, refusedFor)
	}
}

// markUntil sets the time of t in m to d from now.
func (r *Router) markUntil(m map[entity.TargetID]time.Time, t entity.TargetID, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	m[t] = r.opts.Clock.Now().Add(d)
}

// recentlyRefused reports whether t refused work within the last refusedFor. Such a target gets work only if no
// other can take it.
func (r *Router) recentlyRefused(t entity.TargetID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	until, ok := r.refusedUntil[t]
	if ok && !until.After(r.opts.Clock.Now()) {
		delete(r.refusedUntil, t)

		return false
	}

	return ok
}

// SetVersion records that a target has just stated the software version v; empty if it states none.
func (r *Router) SetVersion(t entity.TargetID, v entity.SoftwareVersion) {
	r.versions.set(t, v, r.opts.Clock.Now())
}

// InFlight returns the number of this host's requests in flight on a target.
func (r *Router) InFlight(t entity.TargetID) int {
	return r.ledger.Flight(t).Open()
}

func cost(req entity.Request) routing.Cost {
	return routing.Cost{Prefill: req.Prefill, Decode: req.Decode}
}

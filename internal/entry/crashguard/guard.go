package crashguard

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/quarantine"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// trialRequestInterval is how often a waiting request renews its request for a trial.
const trialRequestInterval = 200 * time.Millisecond

// maxPools bounds the pools that digests of peers can create.
const maxPools = 256

// Options configure a Guard. Self is required.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	Self       entity.HostID
	Quarantine quarantine.Options // Self is replaced by Options.Self
	// Crashers holds the requests that crash engines of any data centre, while the quarantine covers this one; nil means
	// that the data centres do not tell each other.
	Crashers *crashtracker.Table
	// OnLoss is called, without a lock held, when a target was found lost with runs on it; nil means no call.
	OnLoss func(entity.TargetID)
}

// Guard decides which requests may run on engines. It is safe for concurrent use.
type Guard struct {
	opts Options

	mu         sync.Mutex
	tables     map[Pool]*quarantine.Table      // created when first used
	lastBoots  map[entity.TargetID]string      // boot id in the last load report
	cuts       map[entity.TargetID]cut         // targets that broke off a run, until a report shows whether they were lost
	startBoots map[run]string                  // boot id of the target at the start of each run
	waiting    map[waiter]chan entity.TargetID // receives the target of the request's trial
}

// run is one request on one target.
type run struct {
	fingerprint quarantine.Fingerprint
	target      entity.TargetID
}

// cut is the last run that a target broke off. boot is the target's boot id when the run began. It is empty if the id
// was not known or differed between several runs that the target broke off.
type cut struct {
	at   time.Time
	boot string
}

// New returns a Guard without suspects.
func New(opts Options) *Guard {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Crashers == nil {
		opts.Crashers = crashtracker.New()
	}

	opts.Quarantine.Self = opts.Self

	return &Guard{
		opts: opts, tables: map[Pool]*quarantine.Table{}, lastBoots: map[entity.TargetID]string{},
		cuts: map[entity.TargetID]cut{}, startBoots: map[run]string{}, waiting: map[waiter]chan entity.TargetID{},
	}
}

// tableOf returns the table of a pool and creates it if there is none; the caller holds mu.
func (g *Guard) tableOf(pool Pool) *quarantine.Table {
	t, ok := g.tables[pool]
	if !ok {
		t = quarantine.New(g.opts.Quarantine)
		g.tables[pool] = t
	}

	return t
}

func fingerprintOf(req entity.Request) quarantine.Fingerprint {
	return quarantine.FingerprintOf(req.Account, req.Kind.Name, req.Body)
}

// Check returns a *verdict.Error if req may run on no target now, and nil otherwise. Requests without a
// model always pass.
func (g *Guard) Check(req entity.Request) error {
	if req.Kind.Model == "" {
		return nil
	}

	f := fingerprintOf(req)
	if err := g.checkCrashers(f); err != nil {
		return err
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	for _, pool := range poolsOf(req.Kind.Model) {
		if err := asError(g.tableOf(pool).Check(g.opts.Clock.Now(), f)); err != nil {
			return err
		}
	}

	return nil
}

// checkCrashers returns a *verdict.Error if the request f has crashed too many engines of all data centres, and nil otherwise.
func (g *Guard) checkCrashers(f quarantine.Fingerprint) error {
	retryAfter, refused := g.opts.Crashers.Refuses(g.opts.Clock.Now(), crasherOf(f))
	if !refused {
		return nil
	}

	return asError(quarantine.Decision{Action: quarantine.Refuse, RetryAfter: retryAfter})
}

// crasherOf returns the fingerprint under which package crashtracker knows the request f.
func crasherOf(f quarantine.Fingerprint) crashtracker.Fingerprint {
	return crashtracker.Fingerprint(binary.BigEndian.Uint64(f[:]))
}

// asError keeps a nil *verdict.Error from becoming a non-nil error.
func asError(r quarantine.Decision) error {
	if e := r.Error(); e != nil {
		return e
	}

	return nil
}

// Begin waits until req may run and returns the target to run it on: the given one, or that of a trial.
// Its error is a *verdict.Error. If there is none, Ended must be called once the run has ended.
func (g *Guard) Begin(ctx context.Context, req entity.Request, target entity.TargetID) (entity.TargetID, error) {
	f := fingerprintOf(req)

	if err := g.checkCrashers(f); err != nil {
		return "", err
	}

	for {
		granted, decision := g.tryBegin(poolOf(req), f, target)

		switch decision.Action {
		case quarantine.Run:
			return target, nil
		case quarantine.Wait:
		default:
			return "", asError(decision)
		}

		select {
		case trial := <-granted:
			g.recordTrialStart(f, trial)

			return trial, nil
		case <-g.opts.Clock.After(trialRequestInterval):
		case <-ctx.Done():
			g.stopWaiting(poolOf(req), f, granted)

			return "", verdict.New(verdict.NotRun, verdict.CodeQuarantined, "the request waited to run alone on a target").
				WithCause(context.Cause(ctx))
		}
	}
}

// tryBegin calls Begin of the table of pool, unless a trial was granted to the request already. If the request has to
// wait, the target of its trial arrives on the returned channel.
func (g *Guard) tryBegin(pool Pool, f quarantine.Fingerprint, target entity.TargetID) (chan entity.TargetID, quarantine.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()

	granted, ok := g.waiting[waiter{pool, f}]
	if ok && len(granted) > 0 {
		return granted, quarantine.Decision{Action: quarantine.Wait}
	}

	decision := g.tableOf(pool).Begin(g.opts.Clock.Now(), f, target)
	if decision.Action == quarantine.Run {
		g.startBoots[run{f, target}] = g.lastBoots[target]
	}

	if decision.Action == quarantine.Wait && !ok {
		granted = make(chan entity.TargetID, 1)
		g.waiting[waiter{pool, f}] = granted
	}

	return granted, decision
}

// recordTrialStart records the boot id of the target at the start of a trial.
func (g *Guard) recordTrialStart(f quarantine.Fingerprint, target entity.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.startBoots[run{f, target}] = g.lastBoots[target]
}

// stopWaiting removes a request that no longer waits, and cancels the trial that it may have been granted.
func (g *Guard) stopWaiting(pool Pool, f quarantine.Fingerprint, granted chan entity.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()

	delete(g.waiting, waiter{pool, f})

	select {
	case trial := <-granted:
		g.tableOf(pool).RunEnded(g.opts.Clock.Now(), f, trial, quarantine.Cancelled)
	default:
	}
}

// Ended records the end of a run that Begin allowed. A nil err means a complete answer.
func (g *Guard) Ended(ctx context.Context, req entity.Request, target entity.TargetID, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	end, now := endOf(ctx, err), g.opts.Clock.Now()
	this := run{fingerprintOf(req), target}

	if end == quarantine.Cut {
		g.recordCut(now, target, g.startBoots[this])
	}

	delete(g.startBoots, this)
	g.tableOf(poolOf(req)).RunEnded(now, this.fingerprint, target, end)

	if err == nil {
		g.opts.Crashers.RecordCompletion(now, crasherOf(this.fingerprint))
	}
}

// recordCut records that target broke off a run. boot is the target's boot id when the run began. The caller holds mu.
func (g *Guard) recordCut(now time.Time, target entity.TargetID, boot string) {
	if last, ok := g.cuts[target]; ok && last.boot != boot {
		boot = ""
	}

	g.cuts[target] = cut{at: now, boot: boot}
}

// MaybeLost reports whether target broke off a run and no load report has shown since whether it was lost.
func (g *Guard) MaybeLost(target entity.TargetID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	_, ok := g.cuts[target]

	return ok
}

// endOf classifies the end of a run by its context and error. A failed run counts as cancelled if ctx has ended or if
// the target was lost without having run the request. Any other error but that of a lost target or a truncated answer
// shows that the target answered, so the run counts as complete.
func endOf(ctx context.Context, err error) quarantine.End {
	e := verdict.From(err)

	switch {
	case e == nil:
		return quarantine.Completed
	case ctx.Err() != nil:
		return quarantine.Cancelled
	case e.Verdict == verdict.NotRun && e.Code == verdict.CodeTargetLost:
		return quarantine.Cancelled
	case e.Code == verdict.CodeTargetLost, e.Code == verdict.CodeTruncated:
		return quarantine.Cut
	default:
		return quarantine.Completed
	}
}

// OnLoadReport handles a load report of target. requestedAt is when this host polled the target, or zero for a
// report received from a peer. If the target broke off a run before the poll and still has the boot id of the run's
// start, it was not lost. If the boot id has changed since the last report, the target was lost. Any other report,
// such as one requested before the run broke off, proves nothing.
func (g *Guard) OnLoadReport(model entity.Model, target entity.TargetID, boot string, requestedAt time.Time) {
	lost := g.recordReport(model, target, boot, requestedAt)

	if lost && g.opts.OnLoss != nil {
		g.opts.OnLoss(target)
	}
}

// recordReport applies a load report and returns whether the target was lost with runs on it.
func (g *Guard) recordReport(model entity.Model, target entity.TargetID, boot string, requestedAt time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	last, known := g.lastBoots[target]
	cut, hasCut := g.cuts[target]
	hasCut = hasCut && cut.boot != ""
	g.lastBoots[target] = boot

	if !known {
		return false
	}

	if hasCut && cut.boot == boot && requestedAt.After(cut.at) {
		delete(g.cuts, target)
		for _, pool := range poolsOf(model) {
			g.tableOf(pool).TargetAlive(target)
		}
	}

	if last == boot {
		return false
	}

	delete(g.cuts, target)

	lost, now := false, g.opts.Clock.Now()

	// An engine that starts again keeps its id, so the boot id tells one loss from the next.
	lostBoot := entity.TargetID(string(target) + "@" + last)

	for _, pool := range poolsOf(model) {
		for _, f := range g.tableOf(pool).TargetLost(now, target) {
			lost = true

			g.opts.Crashers.RecordLoss(now, crashtracker.Loss{Request: crasherOf(f), Target: lostBoot})
		}
	}

	return lost
}

// Tick advances the tables and starts the trials that are due. view returns this host's view of the
// targets of a pool.
func (g *Guard) Tick(view func(Pool) quarantine.View) {
	g.mu.Lock()
	defer g.mu.Unlock()

	now := g.opts.Clock.Now()

	for pool, t := range g.tables {
		t.Tick(now)

		for _, trial := range t.StartTrials(now, view(pool)) {
			g.grant(pool, t, trial)
		}
	}
}

// grant passes a trial to the request that waits for it, and cancels the trial if none waits; the caller holds mu.
func (g *Guard) grant(pool Pool, t *quarantine.Table, trial quarantine.Trial) {
	granted, ok := g.waiting[waiter{pool, trial.Fingerprint}]
	if !ok {
		t.RunEnded(g.opts.Clock.Now(), trial.Fingerprint, trial.Target, quarantine.Cancelled)

		return
	}

	delete(g.waiting, waiter{pool, trial.Fingerprint})
	granted <- trial.Target
}

// Reserved reports whether target is kept for a trial.
func (g *Guard) Reserved(model entity.Model, target entity.TargetID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, pool := range poolsOf(model) {
		if g.tableOf(pool).Reserved(target) {
			return true
		}
	}

	return false
}

// Export returns the encoded digest for a peer of the same data centre.
func (g *Guard) Export(to entity.HostID) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	digests := make([]poolDigest, 0, len(g.tables))
	for pool, t := range g.tables {
		digests = append(digests, poolDigest{Pool: pool, Digest: t.Export(to)})
	}

	return json.Marshal(digests)
}

// Merge applies the encoded digest of a peer of the same data centre. It fails on a digest that cannot
// be decoded, and ignores pools beyond maxPools.
func (g *Guard) Merge(from entity.HostID, encoded []byte) error {
	var digests []poolDigest
	if err := json.Unmarshal(encoded, &digests); err != nil {
		return quarantine.Error.Wrap(err)
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	for _, d := range digests {
		if _, known := g.tables[d.Pool]; !known && len(g.tables) >= maxPools {
			continue // no fleet has so many models
		}

		g.tableOf(d.Pool).Merge(g.opts.Clock.Now(), from, d.Digest)
	}

	return nil
}

package suspects

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/quarantine"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// askEvery is the time between two requests for a trial by one waiting request.
const askEvery = 200 * time.Millisecond

// maxPools bounds the pools that digests of peers can make.
const maxPools = 256

// Options are the parts of a Guard. Self is required.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	Self       table.HostID
	Quarantine quarantine.Options // Self is filled in
	// OnLoss is called, without a lock held, when a target was found lost; nil means nobody asks.
	OnLoss func(table.TargetID)
}

// Guard decides which requests may run on engines. It is safe for concurrent use.
type Guard struct {
	opts Options

	mu      sync.Mutex
	tables  map[Pool]*quarantine.Table
	boots   map[table.TargetID]string // run of the target's process at the last report
	cuts    map[table.TargetID]cut    // runs that a target broke off, until its fate is known
	begun   map[run]string            // boot id of the target at the start of each run
	waiting map[waiter]chan table.TargetID
}

// run is one request on one target.
type run struct {
	fingerprint quarantine.Fingerprint
	target      table.TargetID
}

// cut is the last run that a target broke off. Boot is the target's boot id when the run began;
// empty where it is not known or several runs differ.
type cut struct {
	at   time.Time
	boot string
}

// New returns a Guard that suspects nothing.
func New(opts Options) *Guard {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	opts.Quarantine.Self = opts.Self

	return &Guard{
		opts: opts, tables: map[Pool]*quarantine.Table{}, boots: map[table.TargetID]string{}, cuts: map[table.TargetID]cut{}, begun: map[run]string{},
		waiting: map[waiter]chan table.TargetID{},
	}
}

// of returns the table of a pool; the caller holds mu.
func (g *Guard) of(pool Pool) *quarantine.Table {
	t, ok := g.tables[pool]
	if !ok {
		t = quarantine.New(g.opts.Quarantine)
		g.tables[pool] = t
	}

	return t
}

func fingerprintOf(req table.Request) quarantine.Fingerprint {
	return quarantine.Of(req.Account, req.Kind.Name, req.Body)
}

// Check refuses a request that may run on no target now. Its error is a *verdict.Error.
func (g *Guard) Check(req table.Request) error {
	if req.Kind.Model == "" {
		return nil
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	for _, pool := range poolsOf(req.Kind.Model) {
		if err := asError(g.of(pool).Check(g.opts.Clock.Now(), fingerprintOf(req))); err != nil {
			return err
		}
	}

	return nil
}

// asError keeps a nil *verdict.Error from becoming a non-nil error.
func asError(r quarantine.Ruling) error {
	if e := r.Error(); e != nil {
		return e
	}

	return nil
}

// Begin waits until req may run and returns the target to run it on: the given one, or another one
// on which it runs alone. Its error is a *verdict.Error. Each success must be followed by Ended.
func (g *Guard) Begin(ctx context.Context, req table.Request, target table.TargetID) (table.TargetID, error) {
	f := fingerprintOf(req)

	for {
		granted, ruling := g.begin(poolOf(req), f, target)

		switch ruling.Action {
		case quarantine.Run:
			return target, nil
		case quarantine.Wait:
		default:
			return "", asError(ruling)
		}

		select {
		case trial := <-granted:
			g.began(f, trial)

			return trial, nil
		case <-g.opts.Clock.After(askEvery):
		case <-ctx.Done():
			g.leave(poolOf(req), f, granted)

			return "", verdict.New(verdict.NotRun, verdict.CodeQuarantined, "the request waited for a try of its own").Because(context.Cause(ctx))
		}
	}
}

func (g *Guard) begin(pool Pool, f quarantine.Fingerprint, target table.TargetID) (chan table.TargetID, quarantine.Ruling) {
	g.mu.Lock()
	defer g.mu.Unlock()

	granted, ok := g.waiting[waiter{pool, f}]
	if ok && len(granted) > 0 {
		return granted, quarantine.Ruling{Action: quarantine.Wait}
	}

	ruling := g.of(pool).Begin(g.opts.Clock.Now(), f, target)
	if ruling.Action == quarantine.Run {
		g.begun[run{f, target}] = g.boots[target]
	}

	if ruling.Action == quarantine.Wait && !ok {
		granted = make(chan table.TargetID, 1)
		g.waiting[waiter{pool, f}] = granted
	}

	return granted, ruling
}

func (g *Guard) began(f quarantine.Fingerprint, target table.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.begun[run{f, target}] = g.boots[target]
}

// leave gives back a trial that was granted to a request that no longer waits.
func (g *Guard) leave(pool Pool, f quarantine.Fingerprint, granted chan table.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()

	delete(g.waiting, waiter{pool, f})

	select {
	case trial := <-granted:
		g.of(pool).Ended(g.opts.Clock.Now(), f, trial, quarantine.Cancelled)
	default:
	}
}

// Ended records the end of a run that Begin allowed. A nil err is a whole answer.
func (g *Guard) Ended(ctx context.Context, req table.Request, target table.TargetID, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	end, now := endOf(ctx, err), g.opts.Clock.Now()
	this := run{fingerprintOf(req), target}

	if end == quarantine.Cut {
		g.noteCut(now, target, g.begun[this])
	}

	delete(g.begun, this)
	g.of(poolOf(req)).Ended(now, this.fingerprint, target, end)
}

// noteCut notes that target broke off a run; the caller holds mu.
func (g *Guard) noteCut(now time.Time, target table.TargetID, boot string) {
	if last, ok := g.cuts[target]; ok && last.boot != boot {
		boot = ""
	}

	g.cuts[target] = cut{at: now, boot: boot}
}

// Doubted reports whether target broke off a run and has not answered since.
func (g *Guard) Doubted(target table.TargetID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	_, cut := g.cuts[target]

	return cut
}

func endOf(ctx context.Context, err error) quarantine.End {
	e := verdict.From(err)

	switch {
	case e == nil:
		return quarantine.Whole
	case ctx.Err() != nil:
		return quarantine.Cancelled
	case e.Verdict == verdict.NotRun && e.Code == verdict.CodeTargetLost:
		return quarantine.Cancelled
	case e.Code == verdict.CodeTargetLost, e.Code == verdict.CodeTruncated:
		return quarantine.Cut
	default:
		return quarantine.Whole
	}
}

// Heard takes a load report that this host asked for at asked, or that a peer told (zero). A target
// that answers a question put after the cut, in the same run of its process, was not lost; one that
// answers in another run was. Anything else, such as a report from before the cut, proves nothing.
func (g *Guard) Heard(model table.Model, target table.TargetID, boot string, asked time.Time) {
	lost := g.heard(model, target, boot, asked)

	if lost && g.opts.OnLoss != nil {
		g.opts.OnLoss(target)
	}
}

func (g *Guard) heard(model table.Model, target table.TargetID, boot string, asked time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	last, known := g.boots[target]
	cut, doubted := g.cuts[target]
	doubted = doubted && cut.boot != ""
	g.boots[target] = boot

	if !known {
		return false
	}

	if doubted && cut.boot == boot && asked.After(cut.at) {
		delete(g.cuts, target)
		for _, pool := range poolsOf(model) {
			g.of(pool).Alive(target)
		}
	}

	if last == boot {
		return false
	}

	delete(g.cuts, target)

	lost := 0
	for _, pool := range poolsOf(model) {
		lost += len(g.of(pool).Lost(g.opts.Clock.Now(), target))
	}

	return lost > 0
}

// Tick advances the tables and starts the trials whose time has come. View returns what is seen of
// the targets of a pool.
func (g *Guard) Tick(view func(Pool) quarantine.View) {
	g.mu.Lock()
	defer g.mu.Unlock()

	now := g.opts.Clock.Now()

	for pool, t := range g.tables {
		t.Tick(now)

		for _, trial := range t.Trials(now, view(pool)) {
			g.grant(pool, t, trial)
		}
	}
}

// grant passes a trial to the request that waits for it; the caller holds mu.
func (g *Guard) grant(pool Pool, t *quarantine.Table, trial quarantine.Trial) {
	granted, ok := g.waiting[waiter{pool, trial.Fingerprint}]
	if !ok {
		t.Ended(g.opts.Clock.Now(), trial.Fingerprint, trial.Target, quarantine.Cancelled)

		return
	}

	delete(g.waiting, waiter{pool, trial.Fingerprint})
	granted <- trial.Target
}

// Reserved reports whether target is kept for a request that runs alone.
func (g *Guard) Reserved(model table.Model, target table.TargetID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, pool := range poolsOf(model) {
		if g.of(pool).Reserved(target) {
			return true
		}
	}

	return false
}

// Export returns the encoded digest for a peer of the same data centre.
func (g *Guard) Export(to table.HostID) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	digests := make([]poolDigest, 0, len(g.tables))
	for pool, t := range g.tables {
		digests = append(digests, poolDigest{Pool: pool, Digest: t.Export(to)})
	}

	return json.Marshal(digests)
}

// Merge takes in the encoded digest of a peer of the same data centre.
func (g *Guard) Merge(from table.HostID, encoded []byte) error {
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

		g.of(d.Pool).Merge(g.opts.Clock.Now(), from, d.Digest)
	}

	return nil
}

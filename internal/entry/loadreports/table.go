package loadreports

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
)

const (
	defaultInterval    = time.Second
	pollTimeout        = 800 * time.Millisecond
	maxConcurrentPolls = 16
	initialInterval    = 50 * time.Millisecond // longest time between two polls while no targets are configured
	maxTargets         = 16384
)

// Engines fetches load reports from engines.
type Engines interface {
	Load(ctx context.Context, t entity.Target) (engine.Report, error)
}

// Options configure a Table. Engines, Polls and Targets are required.
type Options struct {
	Clock    clockwork.Clock // nil means the real clock
	Engines  Engines
	Interval time.Duration // time between two polls; zero means 1 s
	// Polls reports whether this host polls a target; reports of other targets come from peers.
	Polls func(entity.Target) bool
	// Targets returns the targets of the configuration in force.
	Targets func() []entity.Target
	// OnReport is called with each report that is newer than the last one of its target, and with the time at
	// which this host requested it. That time is zero for a report from a peer. Nil means no call.
	OnReport func(l entity.Load, requestedAt time.Time)
}

// Table holds the newest load report of each target. It is safe for concurrent use.
type Table struct {
	opts Options
	done chan struct{}

	mu     sync.Mutex
	loads  map[entity.TargetID]entity.Load // newest report of each target
	polled map[entity.TargetID]bool        // targets that the last poll requested reports from
}

// Start returns an empty Table that polls until ctx ends.
func Start(ctx context.Context, opts Options) *Table {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Interval == 0 {
		opts.Interval = defaultInterval
	}

	t := &Table{opts: opts, done: make(chan struct{}), loads: map[entity.TargetID]entity.Load{}, polled: map[entity.TargetID]bool{}}

	go t.run(ctx)

	return t
}

// Done returns a channel that is closed once polling has ended.
func (t *Table) Done() <-chan struct{} {
	return t.done
}

func (t *Table) run(ctx context.Context) {
	defer close(t.done)

	for {
		t.poll(ctx)

		select {
		case <-ctx.Done():
			return
		case <-t.opts.Clock.After(t.nextInterval()):
		}
	}
}

// nextInterval returns the time to the next poll, which is shorter while no targets are configured yet.
func (t *Table) nextInterval() time.Duration {
	if len(t.opts.Targets()) == 0 {
		return min(initialInterval, t.opts.Interval)
	}

	return t.opts.Interval
}

// poll requests a load report from each engine that this host polls.
func (t *Table) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()

	var wg sync.WaitGroup

	slots := make(chan struct{}, maxConcurrentPolls)
	polled := map[entity.TargetID]bool{}

	for _, target := range t.opts.Targets() {
		if target.Type != entity.Engine || !t.opts.Polls(target) {
			continue
		}

		polled[target.ID] = true
		slots <- struct{}{}

		wg.Go(func() {
			defer func() { <-slots }()

			t.pollTarget(ctx, target)
		})
	}

	wg.Wait()

	t.mu.Lock()
	defer t.mu.Unlock()

	t.polled = polled
}

// pollTarget requests a load report from target and stores it.
func (t *Table) pollTarget(ctx context.Context, target entity.Target) {
	requestedAt := t.opts.Clock.Now()

	report, err := t.opts.Engines.Load(ctx, target)
	if err != nil {
		return // the last report stays; the router detects by its age that it is stale
	}

	t.update(entity.Load{
		Target: target.ID, At: report.At, Running: report.Running, Queued: report.Queued,
		PrefillPending: report.PrefillPending, DecodePending: report.DecodePending,
		Role: report.Role, Changing: report.Changing, Boot: report.Boot, Version: report.Version,
	}, requestedAt)
}

// AddFromPeer stores a load report received from a peer. A report that is no newer than the last one of its target has
// no effect.
func (t *Table) AddFromPeer(l entity.Load) {
	t.update(l, time.Time{})
}

// update stores l and passes it to OnReport if it is newer than the last report of its target.
func (t *Table) update(l entity.Load, requestedAt time.Time) {
	if t.storeIfNewer(l) && t.opts.OnReport != nil {
		t.opts.OnReport(l, requestedAt)
	}
}

// storeIfNewer stores l and reports true if l is newer than the last report of its target. A report time in the
// future is replaced by now, since it would otherwise hide later reports until that time. Negative counts become
// zero. Reports of new targets are dropped beyond maxTargets.
func (t *Table) storeIfNewer(l entity.Load) bool {
	if now := t.opts.Clock.Now(); l.At.After(now) {
		l.At = now
	}

	l.Running, l.Queued = max(l.Running, 0), max(l.Queued, 0)
	l.PrefillPending, l.DecodePending = max(l.PrefillPending, 0), max(l.DecodePending, 0)

	t.mu.Lock()
	defer t.mu.Unlock()

	last, ok := t.loads[l.Target]
	if !l.At.After(last.At) || !ok && len(t.loads) >= maxTargets {
		return false
	}

	t.loads[l.Target] = l

	return true
}

// All returns a copy of the newest report of each target.
func (t *Table) All() map[entity.TargetID]entity.Load {
	t.mu.Lock()
	defer t.mu.Unlock()

	loads := make(map[entity.TargetID]entity.Load, len(t.loads))
	for id, l := range t.loads {
		loads[id] = l
	}

	return loads
}

// Polled returns the newest reports of the targets that this host polls.
func (t *Table) Polled() []entity.Load {
	t.mu.Lock()
	defer t.mu.Unlock()

	var loads []entity.Load

	for id := range t.polled {
		if l, ok := t.loads[id]; ok {
			loads = append(loads, l)
		}
	}

	return loads
}

package loads

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
)

const (
	defaultEvery = time.Second
	pollBound    = 800 * time.Millisecond
	pollers      = 16
	firstWait    = 50 * time.Millisecond
	maxTargets   = 16384
)

// Engines fetches load reports.
type Engines interface {
	Load(ctx context.Context, t table.Target) (engine.Report, error)
}

// Options are the parts of a Table. Engines is required.
type Options struct {
	Clock   clockwork.Clock // nil means the real clock
	Engines Engines
	Every   time.Duration // time between two polls; zero means 1 s
	// Mine says which targets this host polls; the others' reports come from peers.
	Mine func(table.Target) bool
	// Targets returns the targets of the configuration in force.
	Targets func() []table.Target
	// OnReport is called with each newer report and the time at which this host asked for it, zero
	// for one that a peer told; nil means that nobody wants it.
	OnReport func(l table.Load, asked time.Time)
}

// Table holds the newest load report of each target. It is safe for concurrent use.
type Table struct {
	opts Options
	done chan struct{}

	mu    sync.Mutex
	loads map[table.TargetID]table.Load
	mine  map[table.TargetID]bool
}

// Start returns a Table that polls until ctx ends.
func Start(ctx context.Context, opts Options) *Table {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Every == 0 {
		opts.Every = defaultEvery
	}

	t := &Table{opts: opts, done: make(chan struct{}), loads: map[table.TargetID]table.Load{}, mine: map[table.TargetID]bool{}}

	go t.run(ctx)

	return t
}

// Done is closed once polling has ended.
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
		case <-t.opts.Clock.After(t.wait()):
		}
	}
}

// wait returns the time to the next poll, short while there is no configuration yet.
func (t *Table) wait() time.Duration {
	if len(t.opts.Targets()) == 0 {
		return min(firstWait, t.opts.Every)
	}

	return t.opts.Every
}

// poll asks this host's share of the engines once.
func (t *Table) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollBound)
	defer cancel()

	var wg sync.WaitGroup

	slots := make(chan struct{}, pollers)
	mine := map[table.TargetID]bool{}

	for _, target := range t.opts.Targets() {
		if target.Type != table.Engine || !t.opts.Mine(target) {
			continue
		}

		mine[target.ID] = true
		slots <- struct{}{}

		wg.Go(func() {
			defer func() { <-slots }()

			t.ask(ctx, target)
		})
	}

	wg.Wait()

	t.mu.Lock()
	defer t.mu.Unlock()

	t.mine = mine
}

func (t *Table) ask(ctx context.Context, target table.Target) {
	asked := t.opts.Clock.Now()

	report, err := t.opts.Engines.Load(ctx, target)
	if err != nil {
		return // the old report grows stale, which routing sees by its time
	}

	t.note(table.Load{
		Target: target.ID, At: report.At, Running: report.Running, Queued: report.Queued,
		PrefillPending: report.PrefillPending, DecodePending: report.DecodePending,
		Role: report.Role, Changing: report.Changing, Boot: report.Boot,
	}, asked)
}

// Note takes a load report that a peer told; an older one than the last of its target has no effect.
func (t *Table) Note(l table.Load) {
	t.note(l, time.Time{})
}

func (t *Table) note(l table.Load, asked time.Time) {
	if t.newer(l) && t.opts.OnReport != nil {
		t.opts.OnReport(l, asked)
	}
}

// newer takes l if it is newer than the last report of its target. A report cannot be newer than
// now: one from a clock that is ahead would hide all that follow.
func (t *Table) newer(l table.Load) bool {
	if now := t.opts.Clock.Now(); l.At.After(now) {
		l.At = now
	}

	l.Running, l.Queued = max(l.Running, 0), max(l.Queued, 0)
	l.PrefillPending, l.DecodePending = max(l.PrefillPending, 0), max(l.DecodePending, 0)

	t.mu.Lock()
	defer t.mu.Unlock()

	old, ok := t.loads[l.Target]
	if !l.At.After(old.At) || !ok && len(t.loads) >= maxTargets {
		return false
	}

	t.loads[l.Target] = l

	return true
}

// All returns a copy of the newest reports.
func (t *Table) All() map[table.TargetID]table.Load {
	t.mu.Lock()
	defer t.mu.Unlock()

	loads := make(map[table.TargetID]table.Load, len(t.loads))
	for id, l := range t.loads {
		loads[id] = l
	}

	return loads
}

// Mine returns the newest reports of the targets that this host polls.
func (t *Table) Mine() []table.Load {
	t.mu.Lock()
	defer t.mu.Unlock()

	var loads []table.Load

	for id := range t.mine {
		if l, ok := t.loads[id]; ok {
			loads = append(loads, l)
		}
	}

	return loads
}

package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
)

const (
	inForce   = 5 * time.Second // the stated target
	heartbeat = time.Second
	transfer  = 400 * time.Millisecond // of a copy between peers; it may be overtaken
	step      = 50 * time.Millisecond
	hostCount = 4
)

// host is an entry host as far as its configuration goes.
type host struct {
	id     table.HostID
	view   *standin.View
	source configuration.Source // view, unless a test wraps it
	faults standin.Faults
	runner *configuration.Runner
	cancel context.CancelFunc

	newest    table.Generation // seen in this run
	reachable time.Time        // since when the platform is; zero: it is not
	started   time.Time
}

// fleet drives hosts, their heartbeats and the links between them, all in virtual time.
type fleet struct {
	t     require.TestingT
	store *standin.Store

	mu    sync.Mutex // guards cut and the hosts' runners, which the runners' own calls read
	hosts []*host
	cut   map[[2]int]time.Time // since when a link is cut
	up    map[[2]int]time.Time // since when a link is up

	edits    int
	accepted map[table.Generation]time.Time
	newest   table.Generation
	nextBeat time.Time
	slowest  time.Duration // from acceptance to force, on a host that was reachable all the while
}

func newFleet(t require.TestingT, n int) *fleet {
	f := &fleet{
		t:        t,
		store:    standin.NewStore(clockwork.NewRealClock()),
		cut:      map[[2]int]time.Time{},
		up:       map[[2]int]time.Time{},
		accepted: map[table.Generation]time.Time{},
	}

	for i := range n {
		view := f.store.View()
		f.hosts = append(f.hosts, &host{id: table.HostID(fmt.Sprintf("h%d", i)), view: view, source: view})
	}

	f.edit(n)

	for i, h := range f.hosts {
		f.start(i)
		h.reachable = time.Now()

		for j := range i {
			f.up[[2]int{j, i}] = time.Now()
		}
	}

	return f
}

func (f *fleet) start(i int) {
	h := f.hosts[i]
	h.started, h.newest = time.Now(), 0

	var ctx context.Context

	ctx, h.cancel = context.WithCancel(context.Background())

	f.mu.Lock()
	defer f.mu.Unlock()

	h.runner = configuration.Start(ctx, h.source, links{f, i}, clockwork.NewRealClock(), uint64(i))
}

func (f *fleet) stop(i int) {
	f.hosts[i].cancel()
	<-f.hosts[i].runner.Done()
}

func (f *fleet) stopAll() {
	for i := range f.hosts {
		f.stop(i)
	}
}

// links is host i's way to the others.
type links struct {
	f *fleet
	i int
}

func (l links) Fetch(_ context.Context, id table.HostID) ([]byte, error) {
	data := l.export(id)
	if data == nil {
		return nil, errors.New("unreachable")
	}

	time.Sleep(transfer)

	return data, nil
}

func (l links) export(id table.HostID) []byte {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()

	for j, h := range l.f.hosts {
		if h.id == id && l.f.linked(l.i, j) {
			return h.runner.Export()
		}
	}

	return nil
}

func pair(i, j int) [2]int {
	return [2]int{min(i, j), max(i, j)}
}

func (f *fleet) linked(i, j int) bool {
	_, isCut := f.cut[pair(i, j)]

	return !isCut
}

func (f *fleet) toggleLink(i, j int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	p := pair(i, j)
	if f.linked(i, j) {
		f.cut[p] = time.Now()
		delete(f.up, p)

		return
	}

	delete(f.cut, p)
	f.up[p] = time.Now()
}

func (f *fleet) setFaults(i int, faults standin.Faults) {
	h := f.hosts[i]
	h.view.SetFaults(faults)

	if faults.Down {
		h.reachable = time.Time{}
	} else if h.faults.Down {
		h.reachable = time.Now()
	}

	h.faults = faults
}

// edit changes an account through a view without faults.
func (f *fleet) edit(value int) {
	texts := []string{account("a", value)}
	if f.newest == 0 {
		texts = append(texts, template)
	}

	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()

	f.edits++

	changes := edit(f.t.(testing.TB), fmt.Sprintf("%04d", f.edits), f.newest, texts...)
	g, err := editor(f.store.View()).Apply(ctx, changes)
	require.NoError(f.t, err)

	f.newest = g
	f.accepted[g] = time.Now()
}

// run lets d pass and checks what must hold at each step.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		synctest.Wait()

		if !time.Now().Before(f.nextBeat) {
			f.nextBeat = time.Now().Add(heartbeat)
			f.beat()
		}

		f.check()
	}
}

func (f *fleet) beat() {
	for i, from := range f.hosts {
		for j, to := range f.hosts {
			if i != j && f.linked(i, j) {
				to.runner.PeerGeneration(from.id, from.runner.Generation())
			}
		}
	}
}

func (f *fleet) check() {
	due := table.Generation(0)

	for g, at := range f.accepted {
		if time.Since(at) >= inForce {
			due = max(due, g)
		}
	}

	for i, h := range f.hosts {
		g := h.runner.Generation()
		require.GreaterOrEqual(f.t, g, h.newest, "%s went back to an older generation", h.id)
		for n := h.newest + 1; n <= g; n++ {
			if d := time.Since(f.accepted[n]); d <= f.reachableFor(i) {
				f.slowest = max(f.slowest, d)
			}
		}

		h.newest = g

		if f.reachableFor(i) >= inForce {
			require.GreaterOrEqual(f.t, g, due, "%s lacks a generation accepted %v ago", h.id, inForce)
			require.True(f.t, h.runner.Ready(), "%s is not ready", h.id)
		}
	}
}

// reachableFor returns for how long host i has reached the platform, or a peer that does.
func (f *fleet) reachableFor(i int) time.Duration {
	h := f.hosts[i]
	longest := since(h.reachable)

	for j, p := range f.hosts {
		if j != i && f.linked(i, j) {
			longest = max(longest, min(since(f.up[pair(i, j)]), since(p.reachable), time.Since(p.started)))
		}
	}

	return min(longest, time.Since(h.started))
}

func since(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}

	return time.Since(t)
}

// bubbleTB hides Deadline, which a bubble of synctest refuses.
type bubbleTB struct{ testing.TB }

// rapidTB reports failures to rapid, which shrinks them.
type rapidTB struct {
	testing.TB

	rt *rapid.T
}

func (t rapidTB) Errorf(format string, args ...any) { t.rt.Errorf(format, args...) }
func (t rapidTB) FailNow()                          { t.rt.FailNow() }

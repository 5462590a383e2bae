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
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
)

const (
	propagationLimit  = 5 * time.Second // bound on the time from acceptance of an edit to its being in force
	heartbeatInterval = time.Second
	transferTime      = 400 * time.Millisecond // duration of a fetch of a peer's export; edits may be accepted meanwhile
	step              = 50 * time.Millisecond
	hostCount         = 4
)

// host is an entry host, reduced to its configuration.
type host struct {
	id     entity.HostID
	view   *standin.View
	source configuration.Source // view, unless a test wraps it
	faults standin.Faults
	runner *configuration.Runner
	cancel context.CancelFunc

	newest         entity.Generation // newest generation in force since the last start
	reachableSince time.Time         // since when the platform is reachable; zero if it is not
	startedAt      time.Time
}

// fleet runs hosts, their heartbeats and the links between them in virtual time.
type fleet struct {
	t     require.TestingT
	store *standin.Store

	mu       sync.Mutex // guards cutSince and the hosts' runners, which the runners' own calls read
	hosts    []*host
	cutSince map[[2]int]time.Time // by link, the time of the cut; no entry if it is up
	upSince  map[[2]int]time.Time // by link, the time since which it is up; no entry if it is cut

	editCount          int
	acceptedAt         map[entity.Generation]time.Time
	newest             entity.Generation
	nextBeat           time.Time
	slowestPropagation time.Duration // from acceptance to being in force, on a host that was reachable throughout
}

func newFleet(t require.TestingT, n int) *fleet {
	f := &fleet{
		t:          t,
		store:      standin.NewStore(clockwork.NewRealClock()),
		cutSince:   map[[2]int]time.Time{},
		upSince:    map[[2]int]time.Time{},
		acceptedAt: map[entity.Generation]time.Time{},
	}

	for i := range n {
		view := f.store.View()
		f.hosts = append(f.hosts, &host{id: entity.HostID(fmt.Sprintf("h%d", i)), view: view, source: view})
	}

	f.edit(n)

	for i, h := range f.hosts {
		f.start(i)
		h.reachableSince = time.Now()

		for j := range i {
			f.upSince[[2]int{j, i}] = time.Now()
		}
	}

	return f
}

func (f *fleet) start(i int) {
	h := f.hosts[i]
	h.startedAt, h.newest = time.Now(), 0

	var ctx context.Context

	ctx, h.cancel = context.WithCancel(context.Background())

	f.mu.Lock()
	defer f.mu.Unlock()

	h.runner = configuration.Start(ctx, h.source, peerLinks{f, i}, clockwork.NewRealClock(), uint64(i))
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

// peerLinks implements configuration.Peers for host i over the links of the fleet.
type peerLinks struct {
	f *fleet
	i int
}

func (l peerLinks) Fetch(_ context.Context, id entity.HostID) ([]byte, error) {
	data := l.export(id)
	if data == nil {
		return nil, errors.New("unreachable")
	}

	time.Sleep(transferTime)

	return data, nil
}

func (l peerLinks) export(id entity.HostID) []byte {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()

	for j, h := range l.f.hosts {
		if h.id == id && l.f.connected(l.i, j) {
			return h.runner.Export()
		}
	}

	return nil
}

func pair(i, j int) [2]int {
	return [2]int{min(i, j), max(i, j)}
}

func (f *fleet) connected(i, j int) bool {
	_, isCut := f.cutSince[pair(i, j)]

	return !isCut
}

func (f *fleet) toggleLink(i, j int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	p := pair(i, j)
	if f.connected(i, j) {
		f.cutSince[p] = time.Now()
		delete(f.upSince, p)

		return
	}

	delete(f.cutSince, p)
	f.upSince[p] = time.Now()
}

func (f *fleet) setFaults(i int, faults standin.Faults) {
	h := f.hosts[i]
	h.view.SetFaults(faults)

	if faults.Down {
		h.reachableSince = time.Time{}
	} else if h.faults.Down {
		h.reachableSince = time.Now()
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

	f.editCount++

	changes := edit(f.t.(testing.TB), fmt.Sprintf("%04d", f.editCount), f.newest, texts...)
	g, err := newEditor(f.store.View()).Apply(ctx, changes)
	require.NoError(f.t, err)

	f.newest = g
	f.acceptedAt[g] = time.Now()
}

// run advances the time by d and checks the invariants at each step.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		synctest.Wait()

		if !time.Now().Before(f.nextBeat) {
			f.nextBeat = time.Now().Add(heartbeatInterval)
			f.sendHeartbeats()
		}

		f.checkInvariants()
	}
}

func (f *fleet) sendHeartbeats() {
	for i, from := range f.hosts {
		for j, to := range f.hosts {
			if i != j && f.connected(i, j) {
				to.runner.ReportPeerGeneration(from.id, from.runner.Generation())
			}
		}
	}
}

// checkInvariants checks that no host goes back to an older generation, and that each host that has been
// reachable for propagationLimit is ready and has every generation accepted that long ago.
func (f *fleet) checkInvariants() {
	due := entity.Generation(0)

	for g, at := range f.acceptedAt {
		if time.Since(at) >= propagationLimit {
			due = max(due, g)
		}
	}

	for i, h := range f.hosts {
		g := h.runner.Generation()
		require.GreaterOrEqual(f.t, g, h.newest, "%s went back to an older generation", h.id)
		for n := h.newest + 1; n <= g; n++ {
			if d := time.Since(f.acceptedAt[n]); d <= f.reachableFor(i) {
				f.slowestPropagation = max(f.slowestPropagation, d)
			}
		}

		h.newest = g

		if f.reachableFor(i) >= propagationLimit {
			require.GreaterOrEqual(f.t, g, due, "%s lacks a generation accepted %v ago", h.id, propagationLimit)
			require.True(f.t, h.runner.Ready(), "%s is not ready", h.id)
		}
	}
}

// reachableFor returns for how long host i has run with a link to the platform, or to a running peer with
// such a link.
func (f *fleet) reachableFor(i int) time.Duration {
	h := f.hosts[i]
	longest := since(h.reachableSince)

	for j, p := range f.hosts {
		if j != i && f.connected(i, j) {
			longest = max(longest, min(since(f.upSince[pair(i, j)]), since(p.reachableSince), time.Since(p.startedAt)))
		}
	}

	return min(longest, time.Since(h.startedAt))
}

func since(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}

	return time.Since(t)
}

// bubbleTB hides the method Deadline of testing.T, which panics in a synctest bubble.
type bubbleTB struct{ testing.TB }

// rapidTB reports failures to rapid, so that rapid shrinks the failing case.
type rapidTB struct {
	testing.TB

	rt *rapid.T
}

func (t rapidTB) Errorf(format string, args ...any) { t.rt.Errorf(format, args...) }
func (t rapidTB) FailNow()                          { t.rt.FailNow() }

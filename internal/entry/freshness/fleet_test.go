package freshness_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/entry/copies"
	"github.com/dotterelflow/dotterelflow/internal/entry/deployment"
	"github.com/dotterelflow/dotterelflow/internal/entry/freshness"
	"github.com/dotterelflow/dotterelflow/internal/entry/peersync"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	readersKey = "readers"
	minPeriod  = 200 * time.Millisecond // least time between two heartbeats to a host
	tick       = 100 * time.Millisecond
	delay      = time.Millisecond // of each message
	history    = 20 * time.Second // for which the store keeps its changes
)

var quiet = &log.Logger{Level: log.PanicLevel}

// store is a store whose watches can fall silent. Its changes have one revision counter.
type store struct {
	mu        sync.Mutex
	revision  uint64
	writtenAt []time.Time // by revision
	objects   map[string]map[string]storewatch.Entry
	changes   map[string][]storewatch.Change // by kind
	changed   chan struct{}
	calls     int
}

func newStore() *store {
	return &store{
		writtenAt: []time.Time{time.Now()}, objects: map[string]map[string]storewatch.Entry{"config": {}, "servers": {}}, changes: map[string][]storewatch.Change{},
		changed: make(chan struct{}),
	}
}

func (s *store) put(kind, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.advance()
	e := storewatch.Entry{Name: name, Revision: s.revision, Value: []byte(value)}
	s.objects[kind][name] = e
	s.record(kind, storewatch.Change{Entry: e})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.advance()
	delete(s.objects[kind], name)
	s.record(kind, storewatch.Change{Deleted: true, Entry: storewatch.Entry{Name: name, Revision: s.revision}})
}

// advance begins a new revision. The caller holds mu.
func (s *store) advance() {
	s.revision++
	s.writtenAt = append(s.writtenAt, time.Now())
}

// writeElsewhere writes objects of other kinds, such as a lease, until ctx ends.
func (s *store) writeElsewhere(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.advance()
		s.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
	}
}

// forgot reports whether the changes since revision are no longer kept. The caller holds mu.
func (s *store) forgot(revision uint64) bool {
	return revision < s.revision && time.Since(s.writtenAt[revision]) > history
}

func (s *store) record(kind string, c storewatch.Change) {
	s.changes[kind] = append(s.changes[kind], c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) takeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	n := s.calls
	s.calls = 0

	return n
}

// connections are one host's connections to the store, one for the calls about each kind. A call that fails closes its
// connection.
type connections struct {
	*store

	in *link // of the host

	open map[string]chan struct{} // closed when the connection falls silent; guarded by mu
}

// use returns the connection for kind.
func (c *connections) use(kind string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.calls++

	if c.open[kind] == nil {
		c.open[kind] = make(chan struct{})
	}

	return c.open[kind]
}

// fail waits until ctx ends and closes the connection for kind.
func (c *connections) fail(ctx context.Context, kind string) error {
	<-ctx.Done()
	c.mu.Lock()
	defer c.mu.Unlock()

	delete(c.open, kind)

	return ctx.Err()
}

func (c *connections) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, silenced := range c.open {
		select {
		case <-silenced:
		default:
			close(silenced)
		}
	}
}

func (c *connections) List(ctx context.Context, kind string) ([]storewatch.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()

	silenced := c.use(kind)

	time.Sleep(2 * delay)

	select {
	case <-silenced:
		return nil, 0, c.fail(ctx, kind)
	default:
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	var entries []storewatch.Entry
	for _, e := range c.objects[kind] {
		entries = append(entries, e)
	}

	return entries, c.revision, nil
}

// receive waits until changes have come over the link of the host.
func (c *connections) receive(ctx context.Context, changes []storewatch.Change) error {
	n := 0
	for _, ch := range changes {
		n += len(ch.Value)
	}

	return c.in.pass(ctx, n)
}

func (c *connections) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) ([]storewatch.Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+500*time.Millisecond)
	defer cancel()

	silenced, end, first := c.use(kind), time.After(wait), true

	for {
		c.mu.Lock()

		var missed []storewatch.Change
		for _, ch := range c.changes[kind] {
			if ch.Revision > revision {
				missed = append(missed, ch)
			}
		}

		now, changed, forgot := c.revision, c.changed, c.forgot(revision)
		c.mu.Unlock()

		select {
		case <-silenced:
			return nil, 0, c.fail(ctx, kind)
		default:
		}

		if forgot && (len(missed) > 0 || first) {
			return nil, 0, storewatch.ErrCompacted
		}

		if len(missed) > 0 {
			time.Sleep(delay)

			return missed, now, c.receive(ctx, missed)
		}

		first = false

		select {
		case <-changed:
		case <-silenced:
		case <-end:
			return nil, now, nil
		case <-ctx.Done():
			return nil, 0, c.fail(ctx, kind)
		}
	}
}

// host is an entry host with the parts that keep its state current. Heartbeats are calls of the partners.
type host struct {
	id      entity.HostID
	home    entity.DataCentre
	fleet   *simulation
	link    *connections
	out, in *link        // to and from all other machines
	silent  atomic.Bool  // it sends nothing
	sent    atomic.Int64 // bytes of copies that it has sent
	state   *deployment.State
	readers *peersync.Readers
	syncer  *peersync.Syncer
	copies  *copies.Server
	guard   *freshness.Guard

	mu       sync.Mutex
	table    *members.Table
	sequence uint64
	announce chan struct{}
	told     [2]uint64 // configuration version and targets revision that were last announced
}

func (h *host) Hosts() int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.table.LiveCount(time.Now()) + 1
}

func (h *host) HostCounts() map[entity.DataCentre]int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.table.HostCounts(time.Now())
}

func (h *host) Rank(key string) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.table.Rank(time.Now(), key)
}

func (h *host) Period() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.table.Period()
}

func (h *host) reads() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.table.Responsible(time.Now(), readersKey, peersync.ReadersPerDataCentre)
}

func (h *host) leavesStore() bool {
	return h.readers.ShouldPause(time.Now(), h.Hosts(), h.Period(), h.reads())
}

// turn returns the place of h among the hosts that read the store.
func (h *host) turn() int { return peersync.TurnOf(h, h.home, readersKey, 0).Index }

// report is what a heartbeat tells.
type report struct {
	from                         *host
	version, revision            uint64
	configurationAge, targetsAge time.Duration
	heardAge                     time.Duration
	reads                        bool
	sequence                     uint64
	local                        int
}

func (h *host) report() report {
	configuration, targets := h.state.Ages(time.Now())
	r := report{
		from: h, version: uint64(h.state.Version()), revision: h.state.ConfirmedRevision(), configurationAge: configuration, targetsAge: targets,
		reads: h.state.StoreReachable() && h.reads(), heardAge: h.guard.HeardAge(time.Now()),
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.sequence++
	r.sequence, r.local = h.sequence, h.table.HostCounts(time.Now())[h.home]

	return r
}

func (h *host) receive(r report) {
	now := time.Now()

	h.mu.Lock()
	h.table.Update(members.Member{
		Host: r.from.id, Address: string(r.from.id), DataCentre: r.from.home, LocalHosts: r.local, Sequence: r.sequence, ReceivedAt: now,
	})
	h.mu.Unlock()

	h.state.ConfirmedByPeer(now, r.version, r.revision, r.configurationAge, r.targetsAge)
	h.guard.OnPeer(now, r.heardAge)
	h.readers.RecordHeartbeat(now, r.from.id, r.from.home, r.reads)
	h.syncer.OnHeartbeat(r.from.id, r.from.home, r.version, r.revision, r.targetsAge)
}

// beat exchanges heartbeats with all partners.
func (h *host) beat() {
	h.mu.Lock()
	partners := h.table.HeartbeatPartners(time.Now())
	h.mu.Unlock()

	for _, m := range partners {
		peer := h.fleet.hosts[m.Host]
		time.AfterFunc(delay, func() {
			if !h.silent.Load() && !peer.silent.Load() {
				peer.receive(h.report())
				h.receive(peer.report())
			}
		})
	}
}

func (h *host) run(ctx context.Context, phase time.Duration) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()

	next := time.Now().Add(phase)

	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-h.announce:
			next = time.Now()
		case <-ticker.C:
			h.tick(time.Now())
		}

		if now := time.Now(); !now.Before(next) {
			h.beat()
			next = now.Add(h.Period())
		}
	}
}

func (h *host) tick(now time.Time) {
	h.state.Tick(now)
	h.syncer.Tick(now)
	h.guard.Tick(now)

	if r := [...]uint64{uint64(h.state.Version()), h.state.ConfirmedRevision()}; r != h.told {
		h.told = r

		if h.Hosts() > peersync.SmallFleetHosts && h.state.StoreReachable() && !h.leavesStore() {
			h.announceNow()
		}
	}
}

func (h *host) announceNow() {
	select {
	case h.announce <- struct{}{}:
	default:
	}
}

// simulation is a fleet on virtual time.
type simulation struct {
	store *store
	hosts map[entity.HostID]*host
	order []*host
}

// newSimulation starts n hosts, spread over data centres, that know of each other. It must be called in a synctest bubble.
func newSimulation(ctx context.Context, n, centres int, r *rand.Rand, batch time.Duration) *simulation {
	return newLinkedSimulation(ctx, n, centres, r, batch, func(int) bitrate { return 0 })
}

// newLinkedSimulation is like newSimulation for hosts whose links have the rates that rate returns.
func newLinkedSimulation(ctx context.Context, n, centres int, r *rand.Rand, batch time.Duration, rate func(host int) bitrate) *simulation {
	s := &simulation{store: newStore(), hosts: map[entity.HostID]*host{}}
	s.store.put("config", "main", "1")

	for i := range 20 {
		s.store.put("servers", fmt.Sprint("t", i), "x")
	}

	go s.store.writeElsewhere(ctx)

	for i := range n {
		h := newHost(s, i, centres, rate(i))
		s.hosts[h.id] = h
		s.order = append(s.order, h)
	}

	for _, h := range s.order {
		for _, other := range s.order {
			h.table.Update(members.Member{
				Host: other.id, Address: string(other.id), DataCentre: other.home, LocalHosts: n / centres, ReceivedAt: time.Now(),
			})
		}
	}

	for _, h := range s.order {
		watch := func(n int, kind string, sink storewatch.Sink) *storewatch.Watcher {
			return storewatch.Start(ctx, storewatch.Options{
				Log: quiet, Source: h.link, Sink: sink, Kind: kind, Batch: batch, Paused: h.leavesStore,
				Wait:    func(shared bool) time.Duration { return h.guard.Wait(n, shared) },
				History: history, OnAnswer: func(_, since, now time.Time) { h.guard.OnAnswer(n, since, now) }, OnSilence: h.guard.OnSilence,
			})
		}
		started := time.Now()
		h.guard.Attach(started, watch(0, "config", h.state.Configurations()), watch(1, "servers", h.state.Targets()))

		go h.run(ctx, rand.N(h.Period()))
	}

	return s
}

func newHost(s *simulation, i, centres int, rate bitrate) *host {
	h := &host{
		id: entity.HostID(fmt.Sprint("h", i)), home: entity.DataCentre(fmt.Sprint("z", i%centres)), fleet: s,
		out: newLink(rate), in: newLink(rate), announce: make(chan struct{}, 1),
	}
	h.link = &connections{store: s.store, in: h.in, open: map[string]chan struct{}{}}
	h.table = members.NewWithMinPeriod(h.id, h.home, minPeriod)
	h.readers = peersync.NewReaders(h.home)
	h.state = deployment.New(deployment.Options{
		Log: quiet, ConfigName: "main", RenewalInterval: time.Second,
		DecodeCatalog: func(value []byte) (*catalog.Catalog, error) {
			version, _, _ := strings.Cut(string(value), "\n")
			n, err := strconv.ParseUint(version, 10, 64)

			return catalog.Build(catalog.Version(n), catalog.Limits{}, nil, nil), err
		},
		DecodeTarget: func(e storewatch.Entry) (fleet.Target, error) {
			return fleet.Target{ID: entity.TargetID(e.Name), Instance: e.Name, Service: "s"}, nil
		},
	})
	h.copies = copies.NewServer(copies.ServerOptions{Log: quiet, Source: h.state.Source})
	h.guard = freshness.New(freshness.Options{
		Log: quiet, Home: h.home, Ages: h.state.Ages, StoreReachable: h.state.StoreReachable, LeavesStoreToPeers: h.leavesStore,
		Turn:     func(watch int) peersync.Turn { return peersync.TurnOf(h, h.home, readersKey, watch) },
		Announce: h.announceNow,
	})
	h.syncer = peersync.New(peersync.Options{
		Log: quiet, State: h.state, Accept: h.guard.Accept,
		OnImport: func(c peersync.Claim, changed peersync.Lag) { h.guard.OnImport(time.Now(), c, changed) },
		Host:     h.id, FetchPart: h.fetchPart,
	})

	return h
}

// fetchPart asks the host from for a part of its state.
func (h *host) fetchPart(ctx context.Context, from entity.HostID, r *peer.FetchPartRequest) (*peer.Part, error) {
	time.Sleep(2 * delay)

	sender, ok := h.fleet.hosts[from]
	if !ok {
		return nil, errors.New("no such host")
	}

	if sender.silent.Load() {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	p := sender.copies.Handle(r)
	sender.sent.Add(int64(len(p.GetData())))

	return p, transfer(ctx, len(p.GetData()), sender.out, h.in)
}

// believing returns the number of hosts that still send work to target.
func (s *simulation) believing(target entity.TargetID) int {
	n := 0

	for _, h := range s.order {
		if _, ok := h.state.Fleet().Target(target); ok {
			n++
		}
	}

	return n
}

// size is the size of a deployment, with the platform's bounds there.
type size struct {
	hosts, centres   int
	stability, bound time.Duration
	rounds           int
}

// sizes returns the sizes to simulate. The largest is left out of short tests.
func sizes() []size {
	all := []size{
		{3, 1, 3 * time.Second, 2 * time.Second, 60},
		{7, 4, 3 * time.Second, 2 * time.Second, 60},
		{8, 3, 3 * time.Second, 2 * time.Second, 60},
		{89, 4, 4 * time.Second, 3 * time.Second, 3},
		{330, 5, 4 * time.Second, 3 * time.Second, 3},
	}

	if testing.Short() {
		return all[:4]
	}

	return all
}

// TestRemovalIsKnownInTimeWhileConnectionsAreSilent silences the connections to the store of one, some or all hosts, and
// removes a target at a random time around it.
func TestRemovalIsKnownInTimeWhileConnectionsAreSilent(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()

				r := rand.New(rand.NewPCG(1, uint64(size.hosts)))
				s := newSimulation(ctx, size.hosts, size.centres, r, size.bound/5)
				between := func(least, most time.Duration) time.Duration {
					return least + time.Duration(r.Int64N(int64(most-least)))
				}

				time.Sleep(20 * time.Second)

				for round := range size.rounds {
					time.Sleep(between(0, 20*time.Second))

					share := []float64{0, 0.5, 1}[round%3]

					for i, h := range s.order {
						if i == 0 || r.Float64() < share {
							h.link.silence()
						}
					}

					silent := time.Now()

					time.Sleep(between(0, 3*time.Second))

					target := fmt.Sprint("t", round%20)
					s.store.remove("servers", target)

					due := time.Now().Add(size.bound)
					if earliest := silent.Add(size.stability); earliest.After(due) {
						due = earliest
					}

					time.Sleep(time.Until(due))
					require.Zero(t, s.believing(entity.TargetID(target)), "round %d, silence of %v %v before", round, share, time.Since(silent))
					s.store.put("servers", target, "x")
				}

				cancel()
				synctest.Wait()
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestSilenceIsNoticedLateAfterWatchesWereReplacedTogether silences the connections of some hosts, which replace their watches once
// a peer knows of changes, and then those of all hosts.
func TestSilenceIsNoticedLateAfterWatchesWereReplacedTogether(t *testing.T) {
	for _, size := range sizes()[:3] {
		if testing.Short() {
			size.rounds /= 3
		}

		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()

				r := rand.New(rand.NewPCG(3, uint64(size.hosts)))
				s := newSimulation(ctx, size.hosts, size.centres, r, size.bound/5)
				between := func(least, most time.Duration) time.Duration {
					return least + time.Duration(r.Int64N(int64(most-least)))
				}
				late := 0

				for round := range size.rounds {
					time.Sleep(20*time.Second + between(0, 20*time.Second))

					listener := slices.MaxFunc(s.order, func(a, b *host) int { return a.turn() - b.turn() })

					for _, h := range s.order {
						if h != listener {
							h.link.silence()
						}
					}

					time.Sleep(between(0, time.Second))
					s.store.put("config", "main", strconv.Itoa(round+2))
					time.Sleep(between(0, time.Second))
					s.store.put("servers", "t0", strconv.Itoa(round))
					time.Sleep(between(50*time.Millisecond, 300*time.Millisecond))

					for _, h := range s.order {
						h.link.silence()
					}

					silent, target := time.Now(), fmt.Sprint("t", 1+round%19)

					time.Sleep(between(0, size.stability-size.bound))
					s.store.remove("servers", target)
					time.Sleep(time.Until(silent.Add(size.stability)))

					if s.believing(entity.TargetID(target)) > 0 {
						late++
					}

					s.store.put("servers", target, "x")
				}

				cancel()
				synctest.Wait()
				time.Sleep(time.Minute)
				require.Zero(t, late, "removals that hosts did not know in time, of %d", size.rounds)
			})
		})
	}
}

// TestCalmFleetCallsTheStoreNoMoreOften counts the calls of a fleet in which no target and no configuration changes. Two
// watches of 15 s for each reader, a refused one and a list would be four calls for each reader and kind in 30 s. A fleet of
// fewer than seven hosts may call as often as one of seven.
func TestCalmFleetCallsTheStoreNoMoreOften(t *testing.T) {
	const (
		duration   = time.Minute
		fewReaders = 7
	)

	for _, size := range sizes() {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()

				s := newSimulation(ctx, size.hosts, size.centres, rand.New(rand.NewPCG(2, 0)), size.bound/5)

				time.Sleep(20 * time.Second)
				s.store.takeCalls()
				time.Sleep(duration)

				readers := min(size.hosts, peersync.ReadersPerDataCentre*size.centres)
				if size.hosts <= peersync.SmallFleetHosts {
					readers = size.hosts
				}

				calls := s.store.takeCalls()
				t.Logf("%d hosts, %d readers: %d calls in %v", size.hosts, readers, calls, duration)
				require.LessOrEqual(t, calls, int(duration/(30*time.Second))*4*2*max(readers, fewReaders))

				cancel()
				synctest.Wait()
				time.Sleep(time.Minute)
			})
		})
	}
}

package originsync_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/origins"
	"github.com/dotterelflow/dotterelflow/internal/entry/originsync"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	linkDelay   = 2 * time.Millisecond
	callTimeout = 700 * time.Millisecond // as in package peers
	minPeriod   = 200 * time.Millisecond
	// tickInterval is the time between two calls of Tick, as in package host.
	tickInterval = 100 * time.Millisecond
	streamLife   = 10 * time.Second
	// settleTime is the time after which a host takes the only version that it has seen for that of all streams.
	settleTime = origins.Lifetime
	// maxWait is the longest time for which the first event of a stream waits, as in package relay.
	maxWait = 50 * time.Millisecond
)

var errLost = errors.New("no answer")

// node is one entry host.
type node struct {
	net     *network
	address string
	dc      entity.DataCentre

	mu      sync.Mutex
	syncer  *originsync.Syncer
	members *members.Table
	stop    context.CancelFunc
	dead    bool
	age     time.Duration // of the targets

	fleet      *fleet.Snapshot // what a paused host knows; nil means that of the network
	pauseTicks bool
}

// network is a fleet of hosts whose messages are delayed and lost. Use it in a synctest bubble.
type network struct {
	nodes    []*node
	fleet    atomic.Pointer[fleet.Snapshot]
	messages atomic.Int64
	store    fakeStore

	mu     sync.Mutex
	rand   *rand.Rand
	loss   float64
	cut    entity.DataCentre // cut off from the others; "" for none
	shared []*peer.OriginRecords
}

// fakeStore is the platform's store. A host that was killed writes no more, but its last write arrives.
type fakeStore struct {
	mu      sync.Mutex
	objects map[platform.Key]platform.Object
	writes  int
	down    bool
}

func (f *fakeStore) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	time.Sleep(linkDelay)

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.down || ctx.Err() != nil {
		return platform.Object{}, platform.ErrUnavailable
	}

	return f.objects[key], nil
}

func (f *fakeStore) Put(_ context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error) {
	time.Sleep(linkDelay)

	f.mu.Lock()
	defer f.mu.Unlock()

	switch {
	case f.down:
		return 0, platform.ErrUnavailable
	case f.objects[key].Version != expect:
		return 0, platform.ErrConflict
	case f.objects == nil:
		f.objects = map[platform.Key]platform.Object{}
	}

	f.writes++
	f.objects[key] = platform.Object{Key: key, Version: expect + 1, Value: value}

	return expect + 1, nil
}

// written returns the number of writes.
func (f *fakeStore) written() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.writes
}

func (f *fakeStore) List(_ context.Context, kind string) ([]storewatch.Entry, uint64, error) {
	time.Sleep(linkDelay)

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.down {
		return nil, 0, platform.ErrUnavailable
	}

	var list []storewatch.Entry

	for key, o := range f.objects {
		if name, ok := strings.CutPrefix(string(key), kind+"/"); ok {
			list = append(list, storewatch.Entry{Name: name, Value: o.Value})
		}
	}

	return list, 1, nil
}

// snapshotOf returns a fleet that runs versions.
func snapshotOf(versions ...entity.SoftwareVersion) *fleet.Snapshot {
	var targets []fleet.Target
	for i, v := range versions {
		targets = append(targets, fleet.Target{ID: entity.TargetID(fmt.Sprint("t", i)), Service: "s", Version: v})
	}

	return fleet.NewSnapshot(targets)
}

func newNetwork(ctx context.Context, hosts, centres int, seed uint64, versions ...entity.SoftwareVersion) *network {
	n := &network{rand: rand.New(rand.NewPCG(seed, 0))}
	n.fleet.Store(snapshotOf(versions...))

	for i := range hosts {
		n.nodes = append(n.nodes, &node{
			net: n, address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), dc: entity.DataCentre(fmt.Sprint("dc-", i%centres)),
		})
	}

	for _, h := range n.nodes {
		h.start(ctx)
	}

	return n
}

// start starts h, or starts it again without any records.
func (h *node) start(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.stop != nil {
		h.stop()
	}

	ctx, h.stop = context.WithCancel(ctx)
	h.dead = false
	h.members = members.NewWithMinPeriod(entity.HostID(h.address), h.dc, minPeriod)

	for _, m := range h.net.nodes {
		h.members.Update(members.Member{
			Host: entity.HostID(m.address), Address: m.address, DataCentre: m.dc, ReceivedAt: time.Now().Add(time.Hour),
		})
	}

	c := catalog.Build(1, catalog.Limits{}, []catalog.Route{
		{Streaming: true, Timeout: streamLife, Shares: []catalog.Share{{Service: "s", Weight: 1}}},
	}, nil)
	h.syncer = originsync.New(originsync.Options{
		Log: &log.Logger{Level: log.PanicLevel}, Host: entity.HostID(h.address), DataCentre: h.dc, Table: origins.NewTable(),
		History: origins.NewHistory(), Catalog: func() *catalog.Catalog { return c }, Fleet: h.knownFleet, TargetsAge: h.targetsAge, Peers: h,
		Store: &h.net.store, Several: func(service entity.ServiceName) bool { return len(h.net.fleet.Load().Versions()[service]) > 1 },
	})
	h.syncer.Start(ctx)

	go h.tick(ctx, h.syncer)
}

// tick calls s.Tick as a host does, until ctx ends.
func (h *node) tick(ctx context.Context, s *originsync.Syncer) {
	for ctx.Err() == nil {
		if h.ticks() {
			s.Tick(time.Now())
		}

		time.Sleep(tickInterval)
	}
}

// kill ends h. Its peers go on to count it as live.
func (h *node) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.dead = true
	h.stop()
}

func (h *node) current() *originsync.Syncer {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.syncer
}

func (h *node) knownFleet() *fleet.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.fleet != nil {
		return h.fleet
	}

	return h.net.fleet.Load()
}

func (h *node) ticks() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return !h.pauseTicks
}

func (h *node) targetsAge() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.age
}

// Live implements originsync.Peers. Of other data centres, a host knows two hosts, as with heartbeats.
func (h *node) Live() []members.Member {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.members.HeartbeatPartners(time.Now())
}

// ShareOrigins implements originsync.Peers.
func (h *node) ShareOrigins(ctx context.Context, address string, m *peer.OriginRecords) error {
	h.net.mu.Lock()
	h.net.shared = append(h.net.shared, m)
	h.net.mu.Unlock()

	return h.call(ctx, address, func(s *originsync.Syncer) { s.HandleRecords(m) })
}

// FetchOrigins implements originsync.Peers.
func (h *node) FetchOrigins(ctx context.Context, address string) (reply *peer.OriginRecords, err error) {
	err = h.call(ctx, address, func(s *originsync.Syncer) { reply = s.HandleFetch() })

	return reply, err
}

// FindOrigin implements originsync.Peers.
func (h *node) FindOrigin(ctx context.Context, address string, r *peer.FindOriginRequest) (reply *peer.FindOriginReply, err error) {
	err = h.call(ctx, address, func(s *originsync.Syncer) { reply = s.HandleFind(ctx, r) })

	return reply, err
}

// call calls the host at address, once more if that fails.
func (h *node) call(ctx context.Context, address string, do func(*originsync.Syncer)) error {
	for range 2 {
		h.net.messages.Add(1)

		to := h.net.at(address)
		if h.net.arrives(h, to) {
			time.Sleep(linkDelay)
			do(to.current())

			if h.net.arrives(to, h) {
				time.Sleep(linkDelay)

				return ctx.Err()
			}
		}

		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(callTimeout):
		}
	}

	return errLost
}

func (n *network) at(address string) *node {
	for _, h := range n.nodes {
		if h.address == address {
			return h
		}
	}

	return nil
}

func (n *network) arrives(from, to *node) bool {
	to.mu.Lock()
	dead := to.dead
	to.mu.Unlock()

	n.mu.Lock()
	defer n.mu.Unlock()

	return !dead && n.rand.Float64() >= n.loss && (from.dc == to.dc || n.cut != from.dc && n.cut != to.dc)
}

// setLoss sets the probability that a message is lost.
func (n *network) setLoss(p float64) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.loss = p
}

// setCut cuts dc off from the other data centres.
func (n *network) setCut(dc entity.DataCentre) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.cut = dc
}

func (n *network) random(k int) int {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.rand.IntN(k)
}

// begun is a stream whose caller has its first event.
type begun struct {
	id      entity.RequestID
	version entity.SoftwareVersion
	host    *node
}

// begin begins a stream at h and returns once its caller has the first event.
func (h *node) begin(id entity.RequestID, version entity.SoftwareVersion) begun {
	select {
	case <-h.current().Record("s", id, version):
	case <-time.After(maxWait):
	}

	h.current().Begun("s", id)

	return begun{id, version, h}
}

// takeUp takes b up through h and returns the version at which it goes on.
func (h *node) takeUp(ctx context.Context, b begun) (relay.Origin, bool) {
	return h.current().Find(ctx, "s", b.id)
}

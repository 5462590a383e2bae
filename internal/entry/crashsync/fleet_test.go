package crashsync_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/entry/crashsync"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	linkDelay   = 2 * time.Millisecond
	callTimeout = 700 * time.Millisecond // as in package peers
	// runTime is how long a request runs on a target before it crashes it.
	runTime = 20 * time.Millisecond
	// heartbeatPercent is the longest time between two heartbeats of a pair, in percent of the period, as in package peers.
	heartbeatPercent = 150
	minPeriod        = 200 * time.Millisecond
)

var errLost = errors.New("no answer")

// node is one entry host of a fleet. Its fields below mu change when it starts again.
type node struct {
	fleet   *fleet
	address string
	dc      entity.DataCentre
	members *members.Table // guarded by fleet.mu

	mu      sync.Mutex
	table   *crashtracker.Table
	syncer  *crashsync.Syncer
	stop    context.CancelFunc
	started time.Time
}

// fleet runs the Syncers of many hosts, with heartbeats, on a network that delays and loses messages. Use it in a synctest
// bubble.
type fleet struct {
	nodes    []*node
	messages atomic.Int64 // calls of ShareCrashes
	records  atomic.Int64 // records in them

	mu   sync.Mutex
	rand *rand.Rand
	loss float64           // probability that a message is lost
	cut  entity.DataCentre // cut off from the others; "" for none
}

// newFleet starts the given number of hosts, spread over data centres. They run until ctx ends.
func newFleet(ctx context.Context, hosts, centres int, seed uint64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 0))}

	for i := range hosts {
		dc := entity.DataCentre(fmt.Sprint("dc-", i%centres))
		n := &node{fleet: f, address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), dc: dc}
		n.members = members.NewWithMinPeriod(entity.HostID(n.address), dc, minPeriod)
		f.nodes = append(f.nodes, n)
	}

	for _, n := range f.nodes {
		for _, m := range f.nodes {
			n.members.Update(members.Member{
				Host: entity.HostID(m.address), Address: m.address, DataCentre: m.dc, ReceivedAt: time.Now().Add(time.Hour),
			})
		}

		n.start(ctx)

		go n.beat(ctx)
	}

	return f
}

// start starts n, or starts it again without any records.
func (n *node) start(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.stop != nil {
		n.stop()
	}

	ctx, n.stop = context.WithCancel(ctx)
	n.started = time.Now()
	n.table = crashtracker.New()
	n.syncer = crashsync.New(crashsync.Options{Log: &log.Logger{Level: log.PanicLevel}, DataCentre: n.dc, Table: n.table, Peers: n})
	n.syncer.Start(ctx)
}

func (n *node) parts() (*crashtracker.Table, *crashsync.Syncer, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.table, n.syncer, n.started
}

// HeartbeatPartners implements crashsync.Peers.
func (n *node) HeartbeatPartners() []members.Member {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()

	return n.members.HeartbeatPartners(time.Now())
}

// ShareCrashes implements crashsync.Peers.
func (n *node) ShareCrashes(ctx context.Context, address string, m *peer.CrashRecords) (*peer.CrashRecords, error) {
	for range 2 {
		n.fleet.messages.Add(1)
		n.fleet.records.Add(int64(len(m.GetRecords())))

		to := n.fleet.at(address)
		if n.fleet.arrives(n, to) {
			time.Sleep(linkDelay)

			_, syncer, _ := to.parts()
			reply := syncer.Handle(m)

			if n.fleet.arrives(to, n) {
				time.Sleep(linkDelay)

				return reply, ctx.Err()
			}
		}

		time.Sleep(callTimeout)
	}

	return nil, errLost
}

// beat exchanges heartbeats with the partners of n until ctx ends.
func (n *node) beat(ctx context.Context) {
	pause := time.Duration(n.fleet.uniform() * float64(n.members.Period()))

	for {
		time.Sleep(pause)

		if ctx.Err() != nil {
			return
		}

		for _, p := range n.HeartbeatPartners() {
			to := n.fleet.at(p.Address)
			if !n.fleet.arrives(n, to) {
				continue
			}

			ownTable, own, _ := n.parts()
			otherTable, other, _ := to.parts()
			other.OnHeartbeat(n.address, ownTable.Sum())

			if n.fleet.arrives(to, n) {
				own.OnHeartbeat(to.address, otherTable.Sum())
			}
		}

		pause = n.members.Period() * heartbeatPercent / 100
	}
}

// at returns the host at address.
func (f *fleet) at(address string) *node {
	for _, n := range f.nodes {
		if n.address == address {
			return n
		}
	}

	return nil
}

func (f *fleet) uniform() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.rand.Float64()
}

// arrives reports whether a message from one host to another arrives.
func (f *fleet) arrives(from, to *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.rand.Float64() >= f.loss && (from.dc == to.dc || f.cut != from.dc && f.cut != to.dc)
}

// random returns one of the hosts.
func (f *fleet) random() *node { return f.nodes[int(f.uniform()*float64(len(f.nodes)))] }

// setLoss sets the probability that a message is lost.
func (f *fleet) setLoss(p float64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.loss = p
}

// setCut cuts dc off from the other data centres; "" ends the cut.
func (f *fleet) setCut(dc entity.DataCentre) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.cut = dc
}

// equal reports whether all hosts have the same records.
func (f *fleet) equal() bool {
	first, _, _ := f.nodes[0].parts()

	for _, n := range f.nodes {
		if table, _, _ := n.parts(); table.Sum() != first.Sum() {
			return false
		}
	}

	return true
}

// crash is the loss of a target to the request.
type crash struct {
	at      time.Time
	inTouch bool // the host that sent the request had run for at least the stability window
}

// crashes sends request at the given interval for the given time, each time through a random host. Each host that does not
// refuse it loses one more target.
func (f *fleet) crashes(request crashtracker.Fingerprint, interval, length, window time.Duration) []crash {
	var crashes []crash

	for i := range int(length / interval) {
		n := f.random()
		table, _, started := n.parts()

		if _, refused := table.Refuses(time.Now(), request); !refused {
			time.Sleep(runTime)
			table.RecordLoss(time.Now(), crashtracker.Loss{Request: request, Target: entity.TargetID(fmt.Sprint(request, "-", i))})

			crashes = append(crashes, crash{time.Now(), time.Since(started) >= window})
		}

		time.Sleep(interval)
	}

	return crashes
}

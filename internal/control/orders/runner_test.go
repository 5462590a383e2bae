package orders_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/standin/orderengine"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
)

// directEngine calls a stand-in engine without a network. It reports the deadlines of the orders.
type directEngine struct {
	engine    *orderengine.Engine
	deadlines chan time.Time
}

func (d directEngine) Order(ctx context.Context, _ entity.Target, o orders.Order) (orders.State, error) {
	if at, ok := ctx.Deadline(); ok {
		d.deadlines <- at
	}

	return d.engine.Order(o)
}

func (d directEngine) State(context.Context, entity.Target) (orders.State, error) {
	return d.engine.State()
}

// node connects the two runners of a host: the lease runner reads whether an order is in flight, and
// the orders runner whether the lease is held.
type node struct {
	lease  atomic.Pointer[authority.Runner]
	orders *orders.Runner
}

func (n *node) AuthorityInput() authority.Tick {
	return authority.Tick{Standby: true, NoOrdersInFlight: n.orders.NoOrdersInFlight()}
}

func (n *node) Lease() authority.Lease {
	if r := n.lease.Load(); r != nil {
		return r.Lease()
	}

	return authority.Lease{}
}

// startHost runs the lease and the orders of one host until ctx ends.
func startHost(ctx context.Context, id entity.HostID, view *standin.View, engines orders.Engines) (*authority.Runner, *orders.Runner) {
	clock := clockwork.NewRealClock()
	n := &node{}
	n.orders = orders.Start(ctx, clock, view, engines, n.Lease, dc, orders.Options{})
	n.lease.Store(authority.Start(ctx, clock, view, n, authority.Options{DataCentre: dc, Host: id, Address: string(id)}, 1))

	return n.lease.Load(), n.orders
}

func TestRunnersTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())
		d := directEngine{
			engine:    orderengine.New(clockwork.NewRealClock(), orderengine.Options{ChecksFencing: true}),
			deadlines: make(chan time.Time, 16),
		}
		targets := []entity.Target{{ID: "a", ChecksFencing: true}}

		first, stop := context.WithCancel(t.Context())
		firstLease, firstOrders := startHost(first, "host-1", store.View(), d)
		firstOrders.SetTargets(targets)
		time.Sleep(5 * time.Second)
		firstOrders.SetDesired(1, "a", settings[0])
		time.Sleep(10 * time.Second)
		require.True(t, firstOrders.Engine("a").Settled(settings[0]))

		_, held := firstLease.Held(time.Now())
		require.True(t, held)
		require.False(t, (<-d.deadlines).After(firstLease.Lease().Until))

		second, stopSecond := context.WithCancel(t.Context())
		secondLease, secondOrders := startHost(second, "host-2", store.View(), d)
		secondOrders.SetTargets(targets)
		time.Sleep(5 * time.Second)

		stop()
		<-firstLease.Done()
		<-firstOrders.Done()

		_, held = firstLease.Held(time.Now())
		require.False(t, held)

		time.Sleep(20 * time.Second)

		fence, held := secondLease.Held(time.Now())
		require.True(t, held)
		require.Equal(t, entity.Fence(2), fence)

		secondOrders.SetDesired(fence, "a", settings[1])
		time.Sleep(10 * time.Second)
		require.True(t, secondOrders.Engine("a").Settled(settings[1]))

		require.NoError(t, authority.ConfirmEnded(t.Context(), store.View(), dc, 1))
		time.Sleep(5 * time.Second)
		require.True(t, secondLease.Lease().Record.Cleared(1))

		stopSecond()
		<-secondLease.Done()
		<-secondOrders.Done()
	})
}

// lapsingLease is a lease that, once armed, expires between the decision to send and the send: the second
// call of Lease at one instant of the synctest bubble returns an expired lease.
type lapsingLease struct {
	engine *orderengine.Engine

	mu    sync.Mutex
	armed bool
	last  time.Time // time of the last call of Lease
}

func (l *lapsingLease) Lease() authority.Lease {
	l.mu.Lock()
	defer l.mu.Unlock()

	again := time.Now().Equal(l.last)
	l.last = time.Now()

	if l.armed && again {
		return authority.Lease{Fence: 1, Until: time.Now()}
	}

	return authority.Lease{Fence: 1, Until: time.Now().Add(time.Second), Record: authority.Record{Fence: 1}}
}

func (l *lapsingLease) Order(_ context.Context, _ entity.Target, o orders.Order) (orders.State, error) {
	return l.engine.Order(o)
}

func (l *lapsingLease) State(context.Context, entity.Target) (orders.State, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.armed = true

	return l.engine.State()
}

func TestLeaseIsTestedRightBeforeTheSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := standin.NewStore(clockwork.NewRealClock())
		l := &lapsingLease{engine: orderengine.New(clockwork.NewRealClock(), orderengine.Options{})}
		r := orders.Start(ctx, clockwork.NewRealClock(), store.View(), l, l.Lease, dc, orders.Options{})

		r.SetTargets([]entity.Target{{ID: "a"}})
		time.Sleep(time.Millisecond)

		for range 100 {
			r.SetDesired(1, "a", settings[0])
			time.Sleep(100 * time.Millisecond)
		}

		require.True(t, r.Engine("a").Intent.Open)
		require.Empty(t, l.engine.Receipts())
		require.True(t, r.NoOrdersInFlight())

		cancel()
		<-r.Done()
	})
}

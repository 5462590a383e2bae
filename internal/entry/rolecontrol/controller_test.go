package rolecontrol_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/entry/rolecontrol"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// store holds one object with conditional writes.
type store struct {
	mu          sync.Mutex
	value       []byte
	version     platform.Version
	unreachable map[entity.HostID]bool
	lateWrites  map[entity.HostID]time.Duration // hosts whose writes get no answer and take effect after this time
}

// storeOf is one host's connection to the store.
type storeOf struct {
	*store
	host entity.HostID
}

func (s storeOf) Get(_ context.Context, key platform.Key) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.unreachable[s.host] {
		return platform.Object{}, platform.ErrUnavailable
	}

	return platform.Object{Key: key, Version: s.version, Value: s.value}, nil
}

func (s storeOf) Put(_ context.Context, _ platform.Key, expect platform.Version, value []byte) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case s.unreachable[s.host]:
		return 0, platform.ErrUnavailable
	case s.version != expect:
		return 0, platform.ErrConflict
	}

	if delay, lost := s.lateWrites[s.host]; lost {
		time.AfterFunc(delay, func() { s.write(expect, value) })

		return 0, platform.ErrUnknown
	}

	s.version++
	s.value = value

	return s.version, nil
}

// write applies a write whose answer was lost, if its condition still holds.
func (s *store) write(expect platform.Version, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.version == expect {
		s.version++
		s.value = value
	}
}

func (s *store) delayWrites(h entity.HostID, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.lateWrites == nil {
		s.lateWrites = map[entity.HostID]time.Duration{}
	}

	s.lateWrites[h] = delay
}

func (s *store) heal(h entity.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.unreachable, h)
	delete(s.lateWrites, h)
}

func (s *store) setUnreachable(h entity.HostID, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.unreachable[h] = unreachable
}

type acceptedOrder struct {
	at time.Time
	rolecontrol.Order
}

// replicas check fencing numbers and carry orders out at once, unless ignoreOrders is set.
type replicas struct {
	mu           sync.Mutex
	list         []fleet.Target
	fences       map[entity.TargetID]entity.Fence
	orders       []acceptedOrder
	ignoreOrders bool                           // accept orders without effect
	delay        time.Duration                  // time that an order takes to arrive
	fenced       map[entity.HostID]entity.Fence // fencing number of a host's last order that was refused as Fenced
	afterFenced  int                            // orders that a host sent afterwards under that or a lower number
}

func newReplicas(n int) *replicas {
	r := &replicas{fences: map[entity.TargetID]entity.Fence{}, fenced: map[entity.HostID]entity.Fence{}}
	for i := range n {
		r.list = append(r.list, fleet.Target{ID: entity.TargetID(fmt.Sprint("r", i)), Service: "s", Role: entity.Decode, Slots: 1})
	}

	return r
}

func (r *replicas) State(_ context.Context, t fleet.Target) (rolecontrol.State, error) {
	return rolecontrol.State{Role: t.Role, Orders: 7}, nil
}

func (r *replicas) Order(_ context.Context, o rolecontrol.Order) (rolecontrol.Result, error) {
	time.Sleep(r.delay)

	r.mu.Lock()
	defer r.mu.Unlock()

	if refused, ok := r.fenced[o.Holder]; ok && o.Fence <= refused {
		r.afterFenced++
	}

	if o.Fence < r.fences[o.Target.ID] {
		r.fenced[o.Holder] = o.Fence

		return rolecontrol.Fenced, nil
	}

	r.fences[o.Target.ID] = o.Fence
	r.orders = append(r.orders, acceptedOrder{time.Now(), o})

	if !r.ignoreOrders {
		for i := range r.list {
			if r.list[i].ID == o.Target.ID {
				r.list[i].Role = o.Role
			}
		}
	}

	return rolecontrol.Accepted, nil
}

func (r *replicas) accepted() []acceptedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()

	return append([]acceptedOrder(nil), r.orders...)
}

func (r *replicas) snapshot() *fleet.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()

	return fleet.NewSnapshot(append([]fleet.Target(nil), r.list...))
}

const handoverGap = 3500 * time.Millisecond

func start(ctx context.Context, host entity.HostID, s *store, r *replicas) *rolecontrol.Controller {
	return startWith(ctx, host, s, r, r)
}

func startWith(ctx context.Context, host entity.HostID, s *store, r *replicas, orders rolecontrol.Replicas) *rolecontrol.Controller {
	c := catalog.Build(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s", Engine: &catalog.Engine{}}})

	return rolecontrol.Start(ctx, rolecontrol.Options{
		Log: &log.Logger{Level: log.PanicLevel}, Host: host, Store: storeOf{s, host}, Replicas: orders,
		Catalog: func() *catalog.Catalog { return c }, Fleet: r.snapshot, Board: placing.New(),
		Standby: func() bool { return true }, HasTraffic: func() bool { return false }, HandoverGap: handoverGap,
		Seed: uint64(len(host)),
	})
}

func TestOrdersComeFromOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &store{unreachable: map[entity.HostID]bool{}}, newReplicas(10)
		controllers := []*rolecontrol.Controller{start(ctx, "a", s, r), start(ctx, "bb", s, r), start(ctx, "ccc", s, r)}

		time.Sleep(30 * time.Second)

		orders := r.accepted()
		require.Len(t, orders, 6, "six of ten replicas must get the prefill role")

		for _, o := range orders {
			require.Equal(t, orders[0].Holder, o.Holder)
			require.Equal(t, uint64(7), o.Expects, "a late copy of an older order must be refused")
		}

		cancel()

		for _, c := range controllers {
			<-c.Done()
		}
	})
}

// A holder that the store no longer answers stops before another one starts, and at least 3 s pass between
// their orders.
func TestNextHolderWaitsItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &store{unreachable: map[entity.HostID]bool{}}, newReplicas(10)
		r.ignoreOrders = true
		a := start(ctx, "a", s, r)

		time.Sleep(5 * time.Second)
		require.NotEmpty(t, r.accepted())

		b := start(ctx, "bb", s, r)
		s.setUnreachable("a", true)
		time.Sleep(60 * time.Second)
		s.setUnreachable("a", false)
		time.Sleep(30 * time.Second)

		var last acceptedOrder

		holders := map[entity.HostID]bool{}

		for _, o := range r.accepted() {
			if last.Holder != "" && o.Holder != last.Holder {
				require.Greater(t, o.Fence, last.Fence)
				require.GreaterOrEqual(t, o.at.Sub(last.at), 3*time.Second)
			}

			require.GreaterOrEqual(t, o.Fence, last.Fence, "fencing numbers never go back")

			last = o
			holders[o.Holder] = true
		}

		require.Len(t, holders, 2)
		cancel()
		<-a.Done()
		<-b.Done()
	})
}

func TestStoppingHolderGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &store{unreachable: map[entity.HostID]bool{}}, newReplicas(10)
		r.ignoreOrders = true
		a := start(ctx, "a", s, r)

		time.Sleep(5 * time.Second)
		a.Stop()

		before := len(r.accepted())

		time.Sleep(30 * time.Second)
		require.Len(t, r.accepted(), before)
		cancel()
		<-a.Done()
	})
}

// TestOneHolderThroughAnyTroubles injects random faults: hosts cut off from the store, writes that get no answer
// and take effect late, stops and restarts of hosts, slow orders. In all cases, a fencing number belongs to one
// host, orders of two holders are kept apart in time, and a host sends no more orders under a lease once a replica
// has refused one for a later holder.
func TestOneHolderThroughAnyTroubles(t *testing.T) {
	const hosts, faults = 3, 12

	rapid.Check(t, func(rt *rapid.T) {
		s, r := &store{unreachable: map[entity.HostID]bool{}}, newReplicas(10)
		r.ignoreOrders = true
		r.delay = time.Duration(rapid.IntRange(0, 900).Draw(rt, "slow ms")) * time.Millisecond

		type fault struct {
			kind string
			host int
			wait time.Duration
		}

		var plan []fault
		for range faults {
			plan = append(plan, fault{
				rapid.SampledFrom([]string{"cut", "lose", "late", "heal", "stop", "restart"}).Draw(rt, "kind"),
				rapid.IntRange(0, hosts-1).Draw(rt, "host"), time.Duration(rapid.IntRange(0, 9000).Draw(rt, "wait ms")) * time.Millisecond,
			})
		}

		var orders []acceptedOrder

		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())

			var (
				controllers [hosts]*rolecontrol.Controller
				ids         [hosts]entity.HostID
				starts      int
			)

			boot := func(i int) {
				starts++
				ids[i] = entity.HostID(fmt.Sprint("h", i, "-", starts))
				controllers[i] = start(ctx, ids[i], s, r)
			}

			for i := range controllers {
				boot(i)
			}

			for _, p := range plan {
				time.Sleep(p.wait)

				switch p.kind {
				case "cut":
					s.setUnreachable(ids[p.host], true)
				case "lose":
					s.delayWrites(ids[p.host], 0)
				case "late":
					s.delayWrites(ids[p.host], 2*time.Second)
				case "heal":
					s.heal(ids[p.host])
				case "stop":
					controllers[p.host].Stop()
				case "restart":
					controllers[p.host].Stop()
					s.setUnreachable(ids[p.host], true) // as if the host's process had ended
					boot(p.host)
				}
			}

			time.Sleep(30 * time.Second)
			cancel()

			for _, c := range controllers {
				<-c.Done()
			}

			time.Sleep(time.Minute) // late writes and slow orders end
			orders = r.accepted()
		})

		if r.afterFenced > 0 {
			rt.Fatalf("%d orders after a replica refused one for a later holder", r.afterFenced)
		}

		var last acceptedOrder

		holders := map[entity.Fence]entity.HostID{}

		for _, o := range orders {
			if h, known := holders[o.Fence]; known && h != o.Holder {
				rt.Fatalf("fencing number %d used by %s and %s", o.Fence, h, o.Holder)
			}

			if o.Fence < last.Fence {
				rt.Fatalf("fencing number %d after %d", o.Fence, last.Fence)
			}

			if last.Holder != "" && o.Holder != last.Holder && o.at.Sub(last.at) < handoverGap-time.Second {
				rt.Fatalf("orders of %s and %s only %v apart", last.Holder, o.Holder, o.at.Sub(last.at))
			}

			holders[o.Fence] = o.Holder
			last = o
		}
	})
}

// TestDemandOfHostsThatAreNotHeardCounts lets a host hear from a third of the others. The demand that it knows alone would move
// no replica.
func TestDemandOfHostsThatAreNotHeardCounts(t *testing.T) {
	for _, hosts := range []int{28, 84} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s, r := &store{unreachable: map[entity.HostID]bool{}}, newReplicas(140)
			board := placing.New()
			c := catalog.Build(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s", Engine: &catalog.Engine{}}})

			var traffic atomic.Bool

			controller := rolecontrol.Start(ctx, rolecontrol.Options{
				Log: &log.Logger{Level: log.PanicLevel}, Host: "a", Store: storeOf{s, "a"}, Replicas: r,
				Catalog: func() *catalog.Catalog { return c }, Fleet: r.snapshot, Board: board, Standby: func() bool { return true },
				HasTraffic: traffic.Load, Hosts: func() int { return hosts }, HandoverGap: handoverGap,
			})

			time.Sleep(10 * time.Second)
			traffic.Store(true)

			before := len(r.accepted())

			for range 25 {
				for i := range 27 {
					board.MergeDemands(time.Now(), entity.HostID(fmt.Sprint(i)), map[entity.ServiceName]float64{"s": 25 * board.IdlePrefillRate() / 27})
				}

				time.Sleep(200 * time.Millisecond)
			}

			if hosts == 28 {
				require.Len(t, r.accepted(), before)
			} else {
				require.Greater(t, len(r.accepted()), before+10)
			}

			cancel()
			<-controller.Done()
		})
	}
}

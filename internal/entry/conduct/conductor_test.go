package conduct_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/conduct"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// store holds one object with conditional writes.
type store struct {
	mu      sync.Mutex
	value   []byte
	version platform.Version
	away    map[table.HostID]bool
	lost    map[table.HostID]time.Duration // answers to writes are lost, which take effect this much later
}

// storeOf is the store as one host reaches it.
type storeOf struct {
	*store
	host table.HostID
}

func (s storeOf) Get(_ context.Context, key platform.Key) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.away[s.host] {
		return platform.Object{}, platform.ErrUnavailable
	}

	return platform.Object{Key: key, Version: s.version, Value: s.value}, nil
}

func (s storeOf) Put(_ context.Context, _ platform.Key, expect platform.Version, value []byte) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case s.away[s.host]:
		return 0, platform.ErrUnavailable
	case s.version != expect:
		return 0, platform.ErrConflict
	}

	if late, lost := s.lost[s.host]; lost {
		time.AfterFunc(late, func() { s.write(expect, value) })

		return 0, platform.ErrUnknown
	}

	s.version++
	s.value = value

	return s.version, nil
}

// write makes a write whose answer was lost, if its condition still holds.
func (s *store) write(expect platform.Version, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.version == expect {
		s.version++
		s.value = value
	}
}

func (s *store) lose(h table.HostID, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.lost == nil {
		s.lost = map[table.HostID]time.Duration{}
	}

	s.lost[h] = late
}

func (s *store) heal(h table.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.away, h)
	delete(s.lost, h)
}

func (s *store) cut(h table.HostID, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.away[h] = away
}

type givenOrder struct {
	at time.Time
	conduct.Order
}

// replicas check fencing numbers and carry orders out at once, unless they never show it.
type replicas struct {
	mu     sync.Mutex
	list   []fleet.Target
	fences map[table.TargetID]table.Fence
	orders []givenOrder
	deaf   bool                         // orders have no effect
	slow   time.Duration                // until an order arrives
	fenced map[table.HostID]table.Fence // of hosts that were told of a later holder
	again  int                          // orders of those with the same number
}

func newReplicas(n int) *replicas {
	r := &replicas{fences: map[table.TargetID]table.Fence{}, fenced: map[table.HostID]table.Fence{}}
	for i := range n {
		r.list = append(r.list, fleet.Target{ID: table.TargetID(fmt.Sprint("r", i)), Service: "s", Role: table.Decode, Slots: 1})
	}

	return r
}

func (r *replicas) State(_ context.Context, t fleet.Target) (conduct.State, error) {
	return conduct.State{Role: t.Role, Orders: 7}, nil
}

func (r *replicas) Order(_ context.Context, o conduct.Order) (conduct.Result, error) {
	time.Sleep(r.slow)

	r.mu.Lock()
	defer r.mu.Unlock()

	if told, ok := r.fenced[o.Holder]; ok && o.Fence <= told {
		r.again++
	}

	if o.Fence < r.fences[o.Target.ID] {
		r.fenced[o.Holder] = o.Fence

		return conduct.Fenced, nil
	}

	r.fences[o.Target.ID] = o.Fence
	r.orders = append(r.orders, givenOrder{time.Now(), o})

	if !r.deaf {
		for i := range r.list {
			if r.list[i].ID == o.Target.ID {
				r.list[i].Role = o.Role
			}
		}
	}

	return conduct.Accepted, nil
}

func (r *replicas) given() []givenOrder {
	r.mu.Lock()
	defer r.mu.Unlock()

	return append([]givenOrder(nil), r.orders...)
}

func (r *replicas) snapshot() *fleet.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()

	return fleet.NewSnapshot(append([]fleet.Target(nil), r.list...))
}

const turn = 3500 * time.Millisecond

func start(ctx context.Context, host table.HostID, s *store, r *replicas) *conduct.Conductor {
	c := catalog.Build(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s", Engine: &catalog.Engine{}}})

	return conduct.Start(ctx, conduct.Options{
		Log: &log.Logger{Level: log.PanicLevel}, Host: host, Store: storeOf{s, host}, Replicas: r,
		Catalog: func() *catalog.Catalog { return c }, Fleet: r.snapshot, Board: placing.New(),
		Standby: func() bool { return true }, Loaded: func() bool { return false }, Turn: turn,
		Seed: uint64(len(host)),
	})
}

func TestOrdersComeFromOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &store{away: map[table.HostID]bool{}}, newReplicas(10)
		parts := []*conduct.Conductor{start(ctx, "a", s, r), start(ctx, "bb", s, r), start(ctx, "ccc", s, r)}

		time.Sleep(30 * time.Second)

		orders := r.given()
		require.Len(t, orders, 6, "six of ten read prompts")

		for _, o := range orders {
			require.Equal(t, orders[0].Holder, o.Holder)
			require.Equal(t, uint64(7), o.Expects, "a late copy of an older order must be refused")
		}

		cancel()

		for _, p := range parts {
			<-p.Done()
		}
	})
}

// A holder that the store no longer answers stops before another one starts, and the turn between their
// orders is kept.
func TestNextHolderWaitsItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &store{away: map[table.HostID]bool{}}, newReplicas(10)
		r.deaf = true
		a := start(ctx, "a", s, r)

		time.Sleep(5 * time.Second)
		require.NotEmpty(t, r.given())

		b := start(ctx, "bb", s, r)
		s.cut("a", true)
		time.Sleep(60 * time.Second)
		s.cut("a", false)
		time.Sleep(30 * time.Second)

		var last givenOrder

		holders := map[table.HostID]bool{}

		for _, o := range r.given() {
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
		s, r := &store{away: map[table.HostID]bool{}}, newReplicas(10)
		r.deaf = true
		a := start(ctx, "a", s, r)

		time.Sleep(5 * time.Second)
		a.Stop()

		before := len(r.given())

		time.Sleep(30 * time.Second)
		require.Len(t, r.given(), before)
		cancel()
		<-a.Done()
	})
}

// TestOneHolderThroughAnyTroubles plays random troubles of the store and of hosts: cuts, lost answers to writes
// that take effect late, stops and restarts, slow orders. Whatever comes, a fencing number belongs to one host,
// orders of two holders are kept apart, and a host that was refused for a later holder gives no more orders.
func TestOneHolderThroughAnyTroubles(t *testing.T) {
	const hosts, troubles = 3, 12

	rapid.Check(t, func(rt *rapid.T) {
		s, r := &store{away: map[table.HostID]bool{}}, newReplicas(10)
		r.deaf = true
		r.slow = time.Duration(rapid.IntRange(0, 900).Draw(rt, "slow ms")) * time.Millisecond

		type trouble struct {
			kind string
			host int
			wait time.Duration
		}

		var plan []trouble
		for range troubles {
			plan = append(plan, trouble{
				rapid.SampledFrom([]string{"cut", "lose", "late", "heal", "stop", "restart"}).Draw(rt, "kind"),
				rapid.IntRange(0, hosts-1).Draw(rt, "host"), time.Duration(rapid.IntRange(0, 9000).Draw(rt, "wait ms")) * time.Millisecond,
			})
		}

		var orders []givenOrder

		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())

			var (
				parts  [hosts]*conduct.Conductor
				ids    [hosts]table.HostID
				starts int
			)

			boot := func(i int) {
				starts++
				ids[i] = table.HostID(fmt.Sprint("h", i, "-", starts))
				parts[i] = start(ctx, ids[i], s, r)
			}

			for i := range parts {
				boot(i)
			}

			for _, p := range plan {
				time.Sleep(p.wait)

				switch p.kind {
				case "cut":
					s.cut(ids[p.host], true)
				case "lose":
					s.lose(ids[p.host], 0)
				case "late":
					s.lose(ids[p.host], 2*time.Second)
				case "heal":
					s.heal(ids[p.host])
				case "stop":
					parts[p.host].Stop()
				case "restart":
					parts[p.host].Stop()
					s.cut(ids[p.host], true) // as a process that has ended
					boot(p.host)
				}
			}

			time.Sleep(30 * time.Second)
			cancel()

			for _, p := range parts {
				<-p.Done()
			}

			time.Sleep(time.Minute) // what is left ends
			orders = r.given()
		})

		if r.again > 0 {
			rt.Fatalf("%d orders after word of a later holder", r.again)
		}

		var last givenOrder

		holders := map[table.Fence]table.HostID{}

		for _, o := range orders {
			if h, known := holders[o.Fence]; known && h != o.Holder {
				rt.Fatalf("fencing number %d used by %s and %s", o.Fence, h, o.Holder)
			}

			if o.Fence < last.Fence {
				rt.Fatalf("fencing number %d after %d", o.Fence, last.Fence)
			}

			if last.Holder != "" && o.Holder != last.Holder && o.at.Sub(last.at) < turn-time.Second {
				rt.Fatalf("orders of %s and %s only %v apart", last.Holder, o.Holder, o.at.Sub(last.at))
			}

			holders[o.Fence] = o.Holder
			last = o
		}
	})
}

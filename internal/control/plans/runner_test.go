package plans_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/standin/orderengine"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// site connects the three runners of one host to a single engine.
type site struct {
	lease  atomic.Pointer[authority.Runner]
	orders *orders.Runner
	plans  atomic.Pointer[plans.Runner]
	id     entity.HostID
	target entity.Target
	engine *orderengine.Engine
	view   *standin.View
}

func (s *site) Order(_ context.Context, _ entity.Target, o orders.Order) (orders.State, error) {
	return s.engine.Order(o)
}

func (s *site) State(context.Context, entity.Target) (orders.State, error) {
	return s.engine.State()
}

func (s *site) AuthorityInput() authority.Tick {
	return authority.Tick{Standby: true, NoOrdersInFlight: s.orders.NoOrdersInFlight()}
}

func (s *site) Lease() authority.Lease {
	if r := s.lease.Load(); r != nil {
		return r.Lease()
	}

	return authority.Lease{}
}

func (s *site) Input() plans.Input {
	return plans.Input{
		Complete: true,
		Hosts:    []plans.Host{{ID: s.id, Acked: s.plans.Load().List().Generation}},
		Targets:  map[entity.TargetID]entity.Target{s.target.ID: s.target},
		Engines:  map[entity.TargetID]orders.Engine{s.target.ID: s.orders.Engine(s.target.ID)},
	}
}

func (s *site) Do(f entity.Fence, a plans.Action) {
	if o, ok := a.(plans.Order); ok {
		s.orders.SetDesired(f, o.Target, o.Setting)
	}
}

// start starts the runners of s. The returned function stops them and waits for their end.
func (s *site) start(ctx context.Context, store *standin.Store) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	clock, view := clockwork.NewRealClock(), store.View()
	s.view = view

	s.orders = orders.Start(ctx, clock, view, s, s.Lease, dc, orders.Options{})
	s.orders.SetTargets([]entity.Target{s.target})
	s.lease.Store(authority.Start(ctx, clock, view, s, authority.Options{DataCentre: dc, Host: s.id, Address: string(s.id)}, 1))
	s.plans.Store(plans.Start(ctx, clock, view, s, dc))

	return func() {
		cancel()
		<-s.plans.Load().Done()
		<-s.lease.Load().Done()
		<-s.orders.Done()
	}
}

// TestPlanSurvivesItsCarrier stops the host that executes a plan while the plan waits for a request.
func TestPlanSurvivesItsCarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		store := standin.NewStore(clockwork.NewRealClock())
		e := orderengine.New(clockwork.NewRealClock(), orderengine.Options{})
		target := entity.Target{ID: "engine", Gated: true}

		first := &site{id: "host-1", target: target, engine: e}
		stop := first.start(ctx, store)

		require.True(t, e.Admit())
		require.NoError(t, plans.Declare(ctx, store.View(), dc,
			plans.Plan{ID: "p", Kind: plans.RoleChange, Target: "engine", Setting: &decode}, time.Now()))

		time.Sleep(20 * time.Second)
		require.True(t, plans.LeavingTargets(first.plans.Load().List())["engine"])
		require.False(t, e.Admit())
		stop()

		second := &site{id: "host-2", target: target, engine: e}
		stop = second.start(ctx, store)

		time.Sleep(30 * time.Second)

		p, ok := second.plans.Load().List().Plan("p")
		require.True(t, ok)
		require.Equal(t, plans.Waiting, p.Phase)

		// The first holder never confirmed the loss of its lease and the engine ignores fencing numbers,
		// but its last order to the engine was settled, so none of its orders can still arrive.
		e.Finish()
		time.Sleep(30 * time.Second)

		p, ok = second.plans.Load().List().Plan("p")
		require.True(t, ok)
		require.Equal(t, plans.Done, p.Phase)

		got, err := e.State()
		require.NoError(t, err)
		require.Equal(t, decode, got.Setting)
		require.True(t, e.Admit())

		for _, r := range e.Receipts() {
			require.Zero(t, r.CutRequests)
		}

		stop()
	})
}

// TestCallsOfADataCentre bounds the rate of platform calls by the lease holder and its standbys while nothing
// changes.
func TestCallsOfADataCentre(t *testing.T) {
	const maxCallsPerSecond = 2.0

	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())
		target := entity.Target{ID: "engine", Gated: true}
		e := orderengine.New(clockwork.NewRealClock(), orderengine.Options{})

		var (
			sites []*site
			stops []func()
		)

		for _, id := range []entity.HostID{"host-1", "host-2", "host-3"} {
			s := &site{id: id, target: target, engine: e}
			stops = append(stops, s.start(t.Context(), store))
			sites = append(sites, s)
		}

		count := func() int {
			n := 0

			for _, s := range sites {
				c := s.view.Calls()
				n += c.Gets + c.Puts + c.Lists + c.Hosts
			}

			return n
		}

		time.Sleep(time.Minute)

		before := count()
		time.Sleep(10 * time.Minute)

		got := float64(count()-before) / (10 * time.Minute).Seconds()
		t.Logf("platform calls of an idle data centre: %.2f/s, bound %.1f/s", got, maxCallsPerSecond)
		require.Less(t, got, maxCallsPerSecond)

		for _, stop := range stops {
			stop()
		}
	})
}

// unreachable is a platform that can't be read.
type unreachable struct{ plans.Store }

func (unreachable) Get(context.Context, platform.Key) (platform.Object, error) {
	return platform.Object{}, platform.ErrUnavailable
}

// idleSite holds the lease and counts the actions that it gets.
type idleSite struct {
	lease   authority.Lease
	actions atomic.Int64
}

func (s *idleSite) Lease() authority.Lease            { return s.lease }
func (s *idleSite) Input() plans.Input                { return plans.Input{} }
func (s *idleSite) Do(_ entity.Fence, _ plans.Action) { s.actions.Add(1) }

// TestNoActionByAnOldList checks that a new lease holder takes no action while it only has a list from before
// its lease.
func TestNoActionByAnOldList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &idleSite{lease: authority.Lease{Fence: 2, Until: time.Now().Add(time.Hour)}}
		r := plans.Start(ctx, clockwork.NewRealClock(), unreachable{}, s, dc)

		r.Observe(plans.List{Generation: 3, Plans: []plans.Plan{{
			ID: "p", Kind: plans.Drain, Target: "engine", Phase: plans.Waiting, PreviousSetting: &open,
		}}})
		time.Sleep(time.Minute)
		require.Zero(t, s.actions.Load())

		cancel()
		<-r.Done()
	})
}

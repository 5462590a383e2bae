package scalecontrol_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/entry/scalecontrol"
)

// holder has the term that is set, and counts calls in flight.
type holder struct {
	mu    sync.Mutex
	term  duties.Term
	begun int
	open  int
}

func (h *holder) set(t duties.Term) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.term = t
}

func (h *holder) Term() (duties.Term, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.term, h.term.Holder != ""
}

func (h *holder) BeginCall(t duties.Term) (func(), bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.term != t || t.Holder == "" {
		return nil, false
	}

	h.begun++
	h.open++

	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()

		h.open--
	}, true
}

type call struct {
	term  duties.Term
	order duties.Order
}

// platform records orders, which have no effect.
type platform struct {
	holder *holder

	mu      sync.Mutex
	calls   []call
	onOrder func()
	result  duties.Result
	err     error
	unbegun int // calls outside BeginCall and its end
}

func (p *platform) Order(_ context.Context, t duties.Term, o duties.Order) (duties.Result, error) {
	p.holder.mu.Lock()
	open := p.holder.open
	p.holder.mu.Unlock()

	p.mu.Lock()
	defer p.mu.Unlock()

	if open == 0 {
		p.unbegun++
	}

	p.calls = append(p.calls, call{t, o})

	if p.onOrder != nil {
		p.onOrder()
	}

	return p.result, p.err
}

func (p *platform) taken() []call {
	p.mu.Lock()
	defer p.mu.Unlock()

	return append([]call(nil), p.calls...)
}

// run starts a Controller for 20 replicas of each of two services, of which one is scaled, for the length of a test.
func run(t *testing.T, p *platform, play func(c *scalecontrol.Controller)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		var list []fleet.Target
		for i := range 40 {
			list = append(list, fleet.Target{
				ID: entity.TargetID(fmt.Sprint("r", i)), Service: []entity.ServiceName{"scaled", "fixed"}[i%2], DataCentre: "a", Slots: 8, Role: entity.Decode,
			})
		}

		snapshot := fleet.NewSnapshot(list)
		services := catalog.Build(1, catalog.Limits{}, nil, []catalog.Service{
			{Name: "scaled", Engine: &catalog.Engine{}, Scaling: &catalog.Scaling{Min: 1, Max: 60, Boot: 4 * time.Second, ReclaimablePrice: 0.2}},
			{Name: "fixed", Engine: &catalog.Engine{}},
		})

		ctx, cancel := context.WithCancel(t.Context())
		c := scalecontrol.Start(ctx, scalecontrol.Options{
			Log: &log.Logger{Level: log.PanicLevel}, Duties: p.holder, Platform: p, Catalog: func() *catalog.Catalog { return services },
			Fleet: func() *fleet.Snapshot { return snapshot }, Board: placing.New(), HasTraffic: func() bool { return false },
			HostCounts: func() map[entity.DataCentre]int { return map[entity.DataCentre]int{"a": 1} },
			DataCentre: func(entity.HostID) (entity.DataCentre, bool) { return "a", true },
		})

		play(c)
		cancel()
		<-c.Done()
		require.Zero(t, p.unbegun)
		require.Zero(t, p.holder.open)
	})
}

func TestOrdersOnlyInATerm(t *testing.T) {
	p := &platform{holder: &holder{}}

	run(t, p, func(c *scalecontrol.Controller) {
		time.Sleep(10 * time.Second)
		require.Empty(t, p.taken())
		require.Zero(t, c.Stats())

		first := duties.Term{Holder: "h", Fence: 3}
		p.holder.set(first)
		time.Sleep(2 * time.Second)

		calls := p.taken()
		require.NotEmpty(t, calls)
		require.NotZero(t, c.Stats().Wanted.Reclaimable)
		require.Equal(t, 20, c.Stats().Present.Ordinary, "those of the other service do not count")

		for _, made := range calls {
			require.Equal(t, first, made.term)
			require.Equal(t, entity.ServiceName("scaled"), made.order.Service, "a service without Scaling is left alone")
		}

		p.holder.set(duties.Term{})
		time.Sleep(time.Second)

		before := len(p.taken())

		time.Sleep(30 * time.Second)
		require.Len(t, p.taken(), before)
		require.Zero(t, c.Stats())
	})
}

func TestFencedOrderEndsTheTerm(t *testing.T) {
	p := &platform{holder: &holder{term: duties.Term{Holder: "h", Fence: 3}}, result: duties.Fenced}

	run(t, p, func(*scalecontrol.Controller) {
		time.Sleep(time.Second)

		before := len(p.taken())
		require.NotZero(t, before)
		time.Sleep(30 * time.Second)
		require.Len(t, p.taken(), before)

		p.holder.set(duties.Term{Holder: "h", Fence: 5})
		time.Sleep(time.Second)
		require.Greater(t, len(p.taken()), before, "the next term is another matter")
	})
}

// The term may end between the decision and the call.
func TestNoCallAfterTheTerm(t *testing.T) {
	h := &holder{term: duties.Term{Holder: "h", Fence: 3}}
	p := &platform{holder: h}
	p.onOrder = func() { h.set(duties.Term{}) }

	run(t, p, func(*scalecontrol.Controller) {
		time.Sleep(30 * time.Second)
		require.Len(t, p.taken(), h.begun)
		require.NotEmpty(t, p.taken())
	})
}

func TestOrderWithoutAnswerIsRepeatedSlowly(t *testing.T) {
	p := &platform{holder: &holder{term: duties.Term{Holder: "h", Fence: 3}}, err: errors.New("no answer")}

	run(t, p, func(*scalecontrol.Controller) {
		time.Sleep(60 * time.Second)

		calls := p.taken()
		require.GreaterOrEqual(t, len(calls), 3)
		require.Less(t, len(calls), 30)

		for _, made := range calls {
			if made.order.Reclaimable {
				require.Equal(t, calls[0].order.Count, made.order.Count, "numbers are absolute")
			}
		}
	})
}

func TestRefusedOrdersAreBounded(t *testing.T) {
	p := &platform{holder: &holder{term: duties.Term{Holder: "h", Fence: 3}}, result: duties.Unavailable}

	run(t, p, func(*scalecontrol.Controller) {
		time.Sleep(60 * time.Second)
		require.Less(t, len(p.taken()), 40)

		for _, made := range p.taken() {
			require.False(t, !made.order.Reclaimable && made.order.Count < 20, "ordinary replicas stay while there are no others")
		}
	})
}

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
	at    time.Time
	term  duties.Term
	order duties.Order
}

// platform records orders, which have no effect unless carriesOut is set.
type platform struct {
	holder     *holder
	carriesOut bool
	board      *placing.Board
	callRate   float64

	mu       sync.Mutex
	calls    []call
	onOrder  func()
	result   duties.Result
	err      error
	replicas []fleet.Target
	started  int
}

func (p *platform) Order(_ context.Context, t duties.Term, o duties.Order) (duties.Result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.calls = append(p.calls, call{time.Now(), t, o})

	if p.carriesOut {
		p.carryOut(o)
	}

	if p.onOrder != nil {
		p.onOrder()
	}

	return p.result, p.err
}

// carryOut makes replicas come and go at once.
func (p *platform) carryOut(o duties.Order) {
	var kept []fleet.Target

	n := 0

	for _, t := range p.replicas {
		if t.Service == o.Service && t.DataCentre == o.DataCentre && t.Reclaimable == o.Reclaimable {
			n++
			if n > o.Count {
				continue
			}
		}

		kept = append(kept, t)
	}

	for ; n < o.Count; n++ {
		p.started++
		kept = append(kept, fleet.Target{
			ID: entity.TargetID(fmt.Sprint("new", p.started)), Service: o.Service, DataCentre: o.DataCentre, Slots: 8, Reclaimable: o.Reclaimable,
		})
	}

	p.replicas = kept
}

func (p *platform) snapshot() *fleet.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()

	return fleet.NewSnapshot(append([]fleet.Target(nil), p.replicas...))
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

		p.replicas = list
		if p.board == nil {
			p.board = placing.New()
		}

		services := catalog.Build(1, catalog.Limits{}, nil, []catalog.Service{
			{Name: "scaled", Engine: &catalog.Engine{}, Scaling: &catalog.Scaling{Min: 1, Max: 60, Boot: 4 * time.Second, ReclaimablePrice: 0.2}},
			{Name: "fixed", Engine: &catalog.Engine{}},
		})

		ctx, cancel := context.WithCancel(t.Context())
		c := scalecontrol.Start(ctx, scalecontrol.Options{
			Log: &log.Logger{Level: log.PanicLevel}, Duties: p.holder, Platform: p, Catalog: func() *catalog.Catalog { return services },
			Fleet: p.snapshot, Board: p.board, CallRate: p.callRate, HasTraffic: func() bool { return false },
			HostCounts: func() map[entity.DataCentre]int { return map[entity.DataCentre]int{"a": 1} },
			DataCentre: func(entity.HostID) (entity.DataCentre, bool) { return "a", true },
		})

		play(c)
		cancel()
		<-c.Done()
		require.Len(t, p.taken(), p.holder.begun, "each call has its BeginCall")
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
		require.GreaterOrEqual(t, len(calls), 20, "one each 2 to 2.5 s")
		require.LessOrEqual(t, len(calls), 31)

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

// A holder that has received no request itself knows from its peers that there are callers, and lets replicas go in small steps.
func TestPeersTellOfRequests(t *testing.T) {
	for _, load := range []bool{false, true} {
		p := &platform{holder: &holder{term: duties.Term{Holder: "h", Fence: 3}}, carriesOut: true, board: placing.New()}

		run(t, p, func(*scalecontrol.Controller) {
			for range 78 {
				if load {
					work := []placing.TargetWork{{Target: "r0", Running: 8}, {Target: "r2", Running: 8}, {Target: "r4", Running: 8}}
					p.board.Merge(time.Now(), "peer", work)
					p.board.MergeDemands(time.Now(), "peer", map[entity.ServiceName]float64{"scaled": 100, "fixed": 1e6})
				}

				time.Sleep(500 * time.Millisecond)
			}

			ordinary, most := 20, 0

			for _, made := range p.taken() {
				if !made.order.Reclaimable {
					most = max(most, ordinary-made.order.Count)
					ordinary = made.order.Count
				}
			}

			if load {
				require.LessOrEqual(t, most, 4, "a tenth, and three at least")
			} else {
				require.Greater(t, most, 4, "at once, all but what the loss of the only data centre calls for")
			}
		})
	}
}

// The load of hosts that are not heard, and of other services, is told apart.
func TestDemandOfTheService(t *testing.T) {
	board := placing.New()
	now := time.Now()
	board.Merge(now, "peer", []placing.TargetWork{{Target: "a", Running: 3, KVTokens: 30}, {Target: "b", Running: 5, KVTokens: 50}})
	board.MergeDemands(now, "peer", map[entity.ServiceName]float64{"s": 70, "other": 1000})
	board.Merge(now, "idle", nil)

	loads := map[entity.HostID]placing.HostLoad{}
	for _, l := range board.HostLoads(now, "s", []entity.TargetID{"a"}) {
		loads[l.Host] = l
	}

	require.Len(t, loads, 3, "this host, and two peers")
	require.Equal(t, placing.HostLoad{Host: "peer", Prefill: 70, Decode: placing.DecodeLoad{Running: 3, KVTokens: 30}}, loads["peer"])
	require.Zero(t, loads["idle"].Decode)
	require.Zero(t, loads[""].Prefill)
}

func TestRateOfOrders(t *testing.T) {
	p := &platform{holder: &holder{term: duties.Term{Holder: "h", Fence: 3}}, result: duties.Throttled, callRate: 1}

	run(t, p, func(*scalecontrol.Controller) {
		time.Sleep(60 * time.Second)

		calls := p.taken()
		require.NotEmpty(t, calls)

		for i := 2; i < len(calls); i++ {
			require.GreaterOrEqual(t, calls[i].at.Sub(calls[i-2].at), 3*time.Second, "half of one call a second")
		}
	})
}

// A call that is known not to have been sent is made again soon, and one that a later holder has overtaken never in that term, also if the
// term is not seen for a moment.
func TestFencedTermStaysFenced(t *testing.T) {
	term := duties.Term{Holder: "h", Fence: 3}
	p := &platform{holder: &holder{term: term}, result: duties.Fenced}

	run(t, p, func(*scalecontrol.Controller) {
		time.Sleep(time.Second)

		before := len(p.taken())
		require.NotZero(t, before)
		p.holder.set(duties.Term{})
		time.Sleep(time.Second)
		p.holder.set(term)
		time.Sleep(10 * time.Second)
		require.Len(t, p.taken(), before)
	})
}

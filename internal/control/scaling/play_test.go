package scaling_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/rolesplit"
	"github.com/dotterelflow/dotterelflow/internal/control/scaling"
)

const (
	tick       = 100 * time.Millisecond
	roleChange = 3 * time.Second
	notice     = 2200 * time.Millisecond
	firstCalls = 14 * time.Second // when requests begin to arrive
	endOfPlay  = 90 * time.Second
	// endOfQuietPlay is the length for which the stated target holds: 2,200 of 5,010 seconds of replicas.
	endOfQuietPlay = 56 * time.Second
)

var centres = []entity.DataCentre{"a", "b", "c"}

// replica is a replica of the played platform.
type replica struct {
	fleet.Target

	servesAt, goesAt time.Time // goesAt is zero while it stays
	changedAt        time.Time // end of its last role change
	changesTo        entity.Role
}

// play is a platform with 90 replicas, and the callers of a day.
type play struct {
	t        *testing.T
	now      time.Time
	start    time.Time
	rand     *rand.Rand
	scaling  catalog.Scaling
	replicas []*replica
	next     int
	late     []func() // orders that are carried out later, each when it is due

	demand      func(at time.Duration) rolesplit.Demand
	unavailable func(at time.Duration, g scaling.Group) bool
	unanswered  func(at time.Duration) bool
	lateOrders  bool                        // some orders are carried out after newer ones
	dropped     func(at time.Duration) bool // orders that are lost, without an answer
	hidden      func(fleet.Target) bool     // replicas that the list lacks; nil if it is whole

	decider *scaling.Controller
	roles   *rolesplit.Controller

	paid      float64 // replica seconds at the price of ordinary ones
	orders    int
	roleCalls int
	shortest  float64 // least capacity over demand of a role while requests arrived
	shortAt   time.Duration
}

func newPlay(t *testing.T, seed uint64) *play {
	t.Helper()

	p := &play{
		t: t, start: time.Unix(0, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		scaling: catalog.Scaling{
			Min: 1, Max: 60, Boot: 4 * time.Second, ReclaimablePrice: 0.18,
			Prices: map[entity.DataCentre]float64{"a": 0.85, "b": 1.2, "c": 1},
		},
		demand:      func(time.Duration) rolesplit.Demand { return rolesplit.Demand{Prefill: 9, Decode: 15} },
		unavailable: func(time.Duration, scaling.Group) bool { return false },
		unanswered:  func(time.Duration) bool { return false },
		dropped:     func(time.Duration) bool { return false },
		decider:     scaling.New(), roles: rolesplit.New(), shortest: 1000,
	}
	p.now = p.start

	for _, dc := range centres {
		for range 30 {
			p.add(scaling.Group{DataCentre: dc}, p.start)
		}
	}

	return p
}

func (p *play) at() time.Duration { return p.now.Sub(p.start) }

func (p *play) add(g scaling.Group, serves time.Time) {
	p.next++

	r := &replica{Target: fleet.Target{
		ID: entity.TargetID(fmt.Sprint("r", p.next)), Service: "s", DataCentre: g.DataCentre, Reclaimable: g.Reclaimable, Slots: 32, Role: entity.Decode,
	}, servesAt: serves}
	if p.rand.Float64() < 0.27 {
		r.Role = entity.Prefill
	}

	p.replicas = append(p.replicas, r)
}

func (p *play) of(g scaling.Group) []*replica {
	var list []*replica

	for _, r := range p.replicas {
		if r.DataCentre == g.DataCentre && r.Reclaimable == g.Reclaimable && r.goesAt.IsZero() {
			list = append(list, r)
		}
	}

	return list
}

// carryOut makes the platform start replicas, or take any away.
func (p *play) carryOut(g scaling.Group, n int) {
	have := p.of(g)

	for i := len(have); i < n; i++ {
		p.add(g, p.now.Add(p.scaling.Boot))
	}

	p.rand.Shuffle(len(have), func(i, j int) { have[i], have[j] = have[j], have[i] })

	for i := n; i < len(have); i++ {
		have[i-n].goesAt = p.now.Add(2 * time.Second)
	}
}

// reclaim takes the reclaimable replicas of dc back.
func (p *play) reclaim(dc entity.DataCentre) {
	for _, r := range p.of(scaling.Group{DataCentre: dc, Reclaimable: true}) {
		r.goesAt = p.now.Add(notice)
	}
}

func (p *play) order(o scaling.Order) {
	p.orders++

	other := len(p.of(scaling.Group{DataCentre: o.DataCentre, Reclaimable: !o.Reclaimable}))
	require.LessOrEqual(p.t, o.Count+other, p.scaling.Max, "both kinds together at %v", p.at())
	require.GreaterOrEqual(p.t, o.Count+other, p.scaling.Min, "both kinds together at %v", p.at())

	if !p.lateOrders {
		real := len(p.of(o.Group))
		require.False(p.t, o.Reason == scaling.Raise && o.Count < real, "%v raises %d to %d at %v", o.Group, real, o.Count, p.at())
		hidden := p.hidden != nil && p.hidden(fleet.Target{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable})
		require.False(p.t, hidden && o.Count < real, "%v lowers %d to %d at %v by a list that is not whole", o.Group, real, o.Count, p.at())
	}

	switch {
	case p.dropped(p.at()):
		p.decider.Answer(p.now, o, duties.Failed, false)
	case p.unanswered(p.at()):
		due := p.now.Add(3 * time.Second)

		var carryOut func()

		carryOut = func() {
			if p.now.Before(due) {
				p.late = append(p.late, carryOut)

				return
			}

			p.carryOut(o.Group, o.Count)
		}
		p.late = append(p.late, carryOut)
		p.decider.Answer(p.now, o, duties.Failed, false)
	case o.Reclaimable && p.unavailable(p.at(), o.Group) && o.Count > len(p.of(o.Group)):
		p.decider.Answer(p.now, o, duties.Unavailable, true)
	default:
		p.carryOut(o.Group, o.Count)
		p.decider.Answer(p.now, o, duties.Accepted, true)
	}
}

// step plays one tick: the platform, the deciders, and what callers find.
func (p *play) step() {
	p.now = p.now.Add(tick)

	late := p.late
	p.late = nil

	for _, f := range late {
		f()
	}

	var (
		kept    []*replica
		targets []fleet.Target
		able    rolesplit.Demand // replicas that can work, by role
	)

	for _, r := range p.replicas {
		if !r.goesAt.IsZero() && p.now.After(r.goesAt) {
			continue
		}

		kept = append(kept, r)

		price := p.scaling.Prices[r.DataCentre]
		if r.Reclaimable {
			price *= p.scaling.ReclaimablePrice
		}

		p.paid += price * tick.Seconds()

		if p.now.Before(r.servesAt) {
			continue
		}

		changing := p.now.Before(r.changedAt)
		if !r.changedAt.IsZero() && !changing {
			r.Role = r.changesTo
		}

		if r.goesAt.IsZero() && (p.hidden == nil || !p.hidden(r.Target)) {
			targets = append(targets, r.Target)
		}

		switch {
		case changing || !r.goesAt.IsZero(): // a leaving replica takes no more work
		case r.Role == entity.Prefill:
			able.Prefill++
		default:
			able.Decode++
		}
	}

	p.replicas = kept
	seen := p.at() >= firstCalls

	var demand rolesplit.Demand
	if seen {
		demand = p.demand(p.at())
		if least := min(able.Prefill/demand.Prefill, able.Decode/demand.Decode); least < p.shortest {
			p.shortest, p.shortAt = least, p.at()
		}
	}

	heard := rolesplit.Demand{Prefill: demand.Prefill * (0.85 + 0.3*p.rand.Float64()), Decode: demand.Decode * (0.85 + 0.3*p.rand.Float64())}

	if p.at()%(2*tick) == 0 {
		p.changeRoles(targets, heard, seen)
	}

	if p.at()%(5*tick) == 0 && p.at() > 3*time.Second {
		for _, o := range p.decider.Tick(scaling.Input{Now: p.now, Scaling: p.scaling, Targets: targets, Roles: true, RequestsSeen: seen, Demand: heard}) {
			p.order(o)
		}

		plan := p.decider.Plan()
		if testing.Verbose() && p.at()%(10*tick) == 0 {
			p.t.Logf("%v total %d bare %d wanted %v present %v avoided %d able %v demand %.1f", p.at(), plan.Total, plan.Bare, plan.Wanted, plan.Present, plan.Avoided, able, plan.Demand)
		}
	}
}

func (p *play) changeRoles(targets []fleet.Target, demand rolesplit.Demand, seen bool) {
	in := rolesplit.Input{MaxPending: len(targets) / 15, Now: p.now, Targets: targets, Busy: func(entity.TargetID) int { return 0 }, RequestsSeen: seen, Demand: demand}
	for _, o := range p.roles.Tick(in) {
		p.roleCalls++

		for _, r := range p.replicas {
			if r.ID == o.Target.ID {
				r.changedAt, r.changesTo = p.now.Add(roleChange), o.Role
			}
		}
	}
}

func (p *play) run(until time.Duration) {
	for p.at() < until {
		p.step()
	}
}

func (p *play) report() {
	p.t.Logf("paid %.0f s, %d orders, %d role changes, least capacity over demand %.2f at %v", p.paid, p.orders, p.roleCalls, p.shortest, p.shortAt)
}

// paidForAll is what all 90 replicas cost until endOfPlay.
const paidForAll = 30 * (0.85 + 1.2 + 1) * 90.0

func TestQuietLoadCostsWhatIsAskedFor(t *testing.T) {
	for seed := range uint64(5) {
		p := newPlay(t, seed)
		p.run(endOfQuietPlay)
		p.report()

		require.GreaterOrEqual(t, p.shortest, 1.5)
		require.Less(t, p.paid, paidForAll*endOfQuietPlay.Seconds()/endOfPlay.Seconds()*2200/5010)
		require.Less(t, p.orders, 90)
	}
}

// peakOf returns a demand that is times the usual one from start on for length.
func peakOf(times float64, start, length time.Duration) func(time.Duration) rolesplit.Demand {
	return func(at time.Duration) rolesplit.Demand {
		if at >= start && at < start+length {
			return rolesplit.Demand{Prefill: 9 * times, Decode: 15 * times}
		}

		return rolesplit.Demand{Prefill: 9, Decode: 15}
	}
}

func TestCapacityThroughTroubles(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(p *play)
		events  map[time.Duration]func(p *play)
		least   float64 // least capacity over demand at any moment
		paid    float64 // at most, as a fraction of what all replicas cost
	}{
		"peak of 2.0 for 3 s":  {prepare: func(p *play) { p.demand = peakOf(2, 40*time.Second, 3*time.Second) }, least: 1, paid: 0.4},
		"peak of 2.0 for 14 s": {prepare: func(p *play) { p.demand = peakOf(2, 40*time.Second, 14*time.Second) }, least: 1, paid: 0.45},
		"peak right after the first requests": {
			prepare: func(p *play) { p.demand = peakOf(2, 15*time.Second, 5*time.Second) }, least: 1, paid: 0.45,
		},
		"a data centre is reclaimed": {
			events: map[time.Duration]func(p *play){45 * time.Second: func(p *play) { p.reclaim("b") }}, least: 1, paid: 0.4,
		},
		"a data centre is reclaimed before the first requests": {
			events: map[time.Duration]func(p *play){10 * time.Second: func(p *play) { p.reclaim("a") }}, least: 1, paid: 0.5,
		},
		"a data centre is reclaimed and none are to be had anywhere for 8 s": {
			prepare: func(p *play) {
				p.unavailable = func(at time.Duration, _ scaling.Group) bool { return at >= 45*time.Second && at < 53*time.Second }
			},
			events: map[time.Duration]func(p *play){45 * time.Second: func(p *play) { p.reclaim("c") }}, least: 1, paid: 0.45,
		},
		"one data centre after the other is reclaimed": {
			events: map[time.Duration]func(p *play){
				40 * time.Second: func(p *play) { p.reclaim("a") }, 50 * time.Second: func(p *play) { p.reclaim("b") },
				60 * time.Second: func(p *play) { p.reclaim("c") },
			}, least: 1, paid: 0.5,
		},
		"none to be had for the whole time": {
			prepare: func(p *play) { p.unavailable = func(time.Duration, scaling.Group) bool { return true } }, least: 1.5, paid: 1,
		},
		"a third of the orders without an answer, carried out late": {
			prepare: func(p *play) {
				p.lateOrders, p.unanswered = true, func(time.Duration) bool { return p.rand.IntN(3) == 0 }
			}, least: 1.3, paid: 0.5,
		},
		"holders change each 20 s": {
			events: map[time.Duration]func(p *play){
				7 * time.Second:  func(p *play) { p.decider = scaling.New() },
				27 * time.Second: func(p *play) { p.decider = scaling.New() }, 47 * time.Second: func(p *play) { p.decider = scaling.New() },
				67 * time.Second: func(p *play) { p.decider = scaling.New() },
			}, least: 1.3, paid: 0.6,
		},
		"a data centre is lost": {
			events: map[time.Duration]func(p *play){45 * time.Second: func(p *play) { p.lose("b") }}, least: 1, paid: 0.45,
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				p := newPlay(t, seed)
				if test.prepare != nil {
					test.prepare(p)
				}

				for p.at() < endOfPlay {
					p.step()

					if event := test.events[p.at()]; event != nil {
						event(p)
					}
				}

				p.report()
				require.GreaterOrEqual(t, p.shortest, test.least)
				require.LessOrEqual(t, p.paid, paidForAll*test.paid+1, "sums are rounded")
				require.Less(t, p.orders, 250)
			}
		})
	}
}

// A list of replicas that is empty or lacks a data centre for a moment, as when the store forgets entries, takes no replicas away.
func TestReplicasThatAreNotListedForAMomentStay(t *testing.T) {
	for name, hidden := range map[string]func(fleet.Target) bool{
		"all":             func(fleet.Target) bool { return true },
		"a data centre":   func(r fleet.Target) bool { return r.DataCentre == "b" },
		"two of three":    func(r fleet.Target) bool { return r.DataCentre != "b" },
		"ordinary ones":   func(r fleet.Target) bool { return !r.Reclaimable },
		"cheap of a data": func(r fleet.Target) bool { return r.DataCentre == "a" && r.Reclaimable },
	} {
		for _, since := range []time.Duration{5 * time.Second, 20 * time.Second, 45 * time.Second} {
			for _, took := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " at ", since, " new holder ", took), func(t *testing.T) {
					p := newPlay(t, 1)
					p.run(since)

					if took {
						p.decider = scaling.New()
						p.run(since + time.Second)
					}

					p.hidden = hidden
					p.shortest = 1000

					for p.at() < since+3*time.Second {
						p.step()
					}

					p.hidden = nil
					p.run(since + 20*time.Second)
					p.report()

					if p.at() > firstCalls {
						require.GreaterOrEqual(t, p.shortest, 1.5)
					}
				})
			}
		}
	}
}

// TestReplicasThatAreListedLaterCount guards against a holder that has the lease before all replicas have registered, and keeps as many as it
// saw first.
func TestReplicasThatAreListedLaterCount(t *testing.T) {
	p := newPlay(t, 1)
	p.hidden = func(r fleet.Target) bool { return p.at() < 6*time.Second && !r.Reclaimable && r.ID[len(r.ID)-1]%3 != 0 }
	p.run(firstCalls)
	require.GreaterOrEqual(t, p.decider.Plan().Total, 90)

	p.shortest = 1000
	p.run(firstCalls + 20*time.Second)
	require.GreaterOrEqual(t, p.shortest, 1.5)
}

// All orders are lost for 8 s, beginning with a burst. Once the platform answers again, callers wait for a start at most.
func TestBurstWhileOrdersAreLost(t *testing.T) {
	p := newPlay(t, 1)
	p.demand = func(at time.Duration) rolesplit.Demand {
		if at < 40*time.Second {
			return rolesplit.Demand{Prefill: 9, Decode: 15}
		}

		return rolesplit.Demand{Prefill: 20, Decode: 40}
	}
	p.dropped = func(at time.Duration) bool { return at >= 40*time.Second && at < 48*time.Second }

	p.run(56 * time.Second)
	p.shortest = 1000
	p.run(60 * time.Second)
	p.report()
	require.GreaterOrEqual(t, p.shortest, 1.0)
}

// The bounds of a data centre hold for both kinds together, also while one replaces the other; order asserts that.
func TestBoundsOfADataCentre(t *testing.T) {
	for _, bounds := range []struct{ least, most int }{{1, 32}, {12, 40}, {30, 60}} {
		p := newPlay(t, 1)
		p.scaling.Min, p.scaling.Max = bounds.least, bounds.most
		p.run(endOfPlay)
		p.report()
		require.GreaterOrEqual(t, p.shortest, 1.0)
		require.Less(t, p.paid, paidForAll)
	}
}

// A service without roles in one data centre.
func TestPlainServiceInOneDataCentre(t *testing.T) {
	c := scaling.New()
	in := scaling.Input{Scaling: catalog.Scaling{Min: 1, Max: 20, Boot: 4 * time.Second}, RequestsSeen: true, Demand: rolesplit.Demand{Decode: 3}}

	for i := range 12 {
		in.Targets = append(in.Targets, fleet.Target{ID: entity.TargetID(fmt.Sprint(i)), DataCentre: "a", Slots: 6})
	}

	for i := range 200 {
		in.Now = time.Unix(0, 0).Add(time.Duration(i) * 500 * time.Millisecond)
		for _, o := range c.Tick(in) {
			require.False(t, o.Reclaimable)
			require.GreaterOrEqual(t, o.Count, 6)
			c.Answer(in.Now, o, duties.Accepted, true)
			in.Targets = in.Targets[:o.Count]
		}
	}

	require.Len(t, in.Targets, 7, "3 fully busy ones and the headroom")
}

// A holder that hears too few hosts lowers nothing.
func TestUnheardDemandLowersNothing(t *testing.T) {
	p := newPlay(t, 1)
	p.run(30 * time.Second)

	var targets []fleet.Target
	for _, r := range p.replicas {
		targets = append(targets, r.Target)
	}

	for i := range 100 {
		at := p.now.Add(time.Duration(i) * 500 * time.Millisecond)
		for _, o := range p.decider.Tick(scaling.Input{Now: at, Scaling: p.scaling, Targets: targets, Roles: true, RequestsSeen: true, Unheard: true}) {
			require.NotEqual(t, scaling.Lower, o.Reason)
		}
	}
}

// lose makes all replicas of dc go at once.
func (p *play) lose(dc entity.DataCentre) {
	for _, r := range p.replicas {
		if r.DataCentre == dc {
			r.goesAt = p.now
		}
	}
}

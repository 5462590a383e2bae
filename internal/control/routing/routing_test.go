package routing_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/routing"
)

var now = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func engine(id string, dc entity.DataCentre, role entity.Role) routing.Target {
	return routing.Target{
		Target: entity.Target{ID: entity.TargetID(id), DataCentre: dc, Model: "m", Role: role, Slots: 16, PrefillRate: 8000, DecodeRate: 800},
		Load:   entity.Load{At: now.Add(-time.Second), Role: role},
	}
}

// pickCounts returns how often each target is picked for q in 1,000 decisions.
func pickCounts(v *routing.View, q routing.Request) map[entity.TargetID]int {
	rng := rand.New(rand.NewSource(1))
	counts := make(map[entity.TargetID]int)

	for range 1000 {
		if c, ok := v.Pick(rng, q); ok {
			counts[c.Target]++
		}
	}

	return counts
}

func prompt() routing.Request {
	return routing.Request{Model: "m", Phase: routing.Prefill, Prefill: 800, Decode: 100}
}

func TestPickExcludesUnusableTargets(t *testing.T) {
	tests := map[string]func(*routing.Target){
		"leaving":     func(x *routing.Target) { x.Leaving = true },
		"changing":    func(x *routing.Target) { x.State = routing.Changing },
		"reported":    func(x *routing.Target) { x.Load.Changing = true },
		"quarantined": func(x *routing.Target) { x.State = routing.Quarantined },
		"unknown":     func(x *routing.Target) { x.State = routing.Unknown },
		"other role":  func(x *routing.Target) { x.Load.Role = entity.Decode },
		"other model": func(x *routing.Target) { x.Model = "n" },
	}

	for name, modify := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := engine("a", "x", entity.Prefill), engine("b", "x", entity.Prefill)
			modify(&a)

			v := routing.Build(routing.Options{Now: now, Home: "x"}, []routing.Target{a, b})
			require.Equal(t, map[entity.TargetID]int{"b": 1000}, pickCounts(v, prompt()))
		})
	}
}

func TestPickWithoutTarget(t *testing.T) {
	var none *routing.View

	_, ok := none.Pick(rand.New(rand.NewSource(1)), prompt())
	require.False(t, ok)
	require.Zero(t, none.Len())

	v := routing.Build(routing.Options{Now: now}, []routing.Target{engine("a", "x", entity.Prefill)})
	q := prompt()
	q.Avoid = "a"

	_, ok = v.Pick(rand.New(rand.NewSource(1)), q)
	require.False(t, ok)
}

func TestPickUsesSpareCapacityInOtherDataCentres(t *testing.T) {
	busy, idle := engine("busy", "x", entity.Prefill), engine("idle", "y", entity.Prefill)
	targets := []routing.Target{busy, idle}

	v := routing.Build(routing.Options{Now: now, Home: "x"}, targets)
	require.Equal(t, 1000, pickCounts(v, prompt())["busy"], "without load, targets in the same data centre are preferred")

	targets[0].Load.PrefillPending = 4000
	v = routing.Build(routing.Options{Now: now, Home: "x"}, targets)
	require.Greater(t, pickCounts(v, prompt())["idle"], 700)

	v = routing.Build(routing.Options{Now: now, Home: "x", Local: true}, targets)
	require.Equal(t, 1000, pickCounts(v, prompt())["busy"])
}

func TestPickCountsOwnWorkThatReportsHaveNotSeen(t *testing.T) {
	ledger := routing.NewLedger()
	targets := []routing.Target{engine("a", "x", entity.Prefill), engine("b", "x", entity.Prefill)}
	opt := routing.Options{Now: now, Home: "x", Ledger: ledger}
	v := routing.Build(opt, targets)

	cost := routing.Cost{Prefill: 8000}
	ledger.Flight("a").Start(cost)
	require.Greater(t, pickCounts(v, prompt())["b"], 900)

	// A report taken after the work was sent includes it, so it must not be counted twice.
	opt.Now = now.Add(time.Second)
	routing.Build(opt, targets)

	opt.Now = now.Add(2 * time.Second)
	targets[0].Load.At = now.Add(1500 * time.Millisecond)
	targets[0].Load.PrefillPending = 8000
	targets[1].Load.At = targets[0].Load.At
	targets[1].Load.PrefillPending = 12000
	require.Greater(t, pickCounts(routing.Build(opt, targets), prompt())["a"], 900)

	ledger.Flight("a").End(cost)
	require.Zero(t, ledger.Flight("a").Open())
}

func TestPickPrefersHolderOfPrefixUnlessBusy(t *testing.T) {
	prefixes := routing.NewPrefixes(2)
	prefixes.Add(7, "a")

	targets := []routing.Target{engine("a", "x", entity.Prefill), engine("b", "x", entity.Prefill)}
	opt := routing.Options{Now: now, Home: "x", Prefixes: prefixes}
	q := prompt()
	q.Prefix, q.PrefixTokens = 7, 700

	require.Equal(t, 1000, pickCounts(routing.Build(opt, targets), q)["a"])

	targets[0].Load.PrefillPending = 2000
	require.Greater(t, pickCounts(routing.Build(opt, targets), q)["b"], 900)

	prefixes.Add(8, "a")
	prefixes.Add(9, "b")
	require.Equal(t, 2, prefixes.Len())
	prefixes.Drop("a")
	require.Equal(t, 1, prefixes.Len())
}

// TestHostsDoNotHerd lets eight hosts choose at the same time, based on the same stale report in which
// one engine is idle. The work of a single host does not make up the difference in load, so if each host
// chose the best of all targets, that engine would get all requests.
func TestHostsDoNotHerd(t *testing.T) {
	const hosts, requests, engines = 8, 5, 12

	counts := make(map[entity.TargetID]int)

	for h := range hosts {
		var targets []routing.Target

		for i := range engines {
			x := engine(fmt.Sprint("e", i), "x", entity.Prefill)
			if i > 0 {
				x.Load.PrefillPending = 4000
			}

			targets = append(targets, x)
		}

		ledger := routing.NewLedger()
		v := routing.Build(routing.Options{Now: now, Home: "x", Hosts: hosts, Ledger: ledger}, targets)
		rng := rand.New(rand.NewSource(int64(h)))

		for range requests {
			c, ok := v.Pick(rng, prompt())
			require.True(t, ok)
			c.Flight.Start(routing.Cost{Prefill: 800})

			counts[c.Target]++
		}
	}

	require.Less(t, counts["e0"], hosts*requests/2)
}

// fleet returns n engines over five data centres, half prefill and half decode.
func fleet(n int) []routing.Target {
	var targets []routing.Target

	for i := range n {
		x := engine(fmt.Sprint("e", i), entity.DataCentre(fmt.Sprint("dc", i%5)), entity.Role(1+i/5%2))
		x.Load.PrefillPending = entity.Tokens(i * 37 % 5000)
		targets = append(targets, x)
	}

	return targets
}

func fleetView() (*routing.View, routing.Request) {
	prefixes := routing.NewPrefixes(0)
	prefixes.Add(7, "e0")

	v := routing.Build(routing.Options{Now: now, Home: "dc0", Ledger: routing.NewLedger(), Prefixes: prefixes}, fleet(120))
	q := prompt()
	q.Prefix, q.PrefixTokens = 7, 100

	return v, q
}

func TestPickAllocatesNothing(t *testing.T) {
	v, q := fleetView()
	rng := rand.New(rand.NewSource(1))

	require.Zero(t, testing.AllocsPerRun(1000, func() { v.Pick(rng, q) }))

	q.Phase = routing.Decode
	require.Zero(t, testing.AllocsPerRun(1000, func() { v.Pick(rng, q) }))
}

func BenchmarkPick(b *testing.B) {
	v, q := fleetView()
	rng := rand.New(rand.NewSource(1))

	b.ReportAllocs()

	for b.Loop() {
		v.Pick(rng, q)
	}
}

func BenchmarkBuild(b *testing.B) {
	targets := fleet(120)
	opt := routing.Options{Now: now, Home: "dc0", Ledger: routing.NewLedger()}

	b.ReportAllocs()

	for b.Loop() {
		routing.Build(opt, targets)
	}
}

// BenchmarkSizes measures Build by the number of targets, and reports the time of one Pick on the view.
func BenchmarkSizes(b *testing.B) {
	for _, n := range []int{30, 120, 600} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			const picks = 10_000

			targets := fleet(n)
			opt := routing.Options{Now: now, Home: "dc0", Ledger: routing.NewLedger()}

			b.ReportAllocs()

			for b.Loop() {
				routing.Build(opt, targets)
			}

			v, q, rng := routing.Build(opt, targets), prompt(), rand.New(rand.NewSource(1))
			start := time.Now()

			for range picks {
				v.Pick(rng, q)
			}

			b.ReportMetric(float64(time.Since(start))/picks, "ns/pick")
		})
	}
}

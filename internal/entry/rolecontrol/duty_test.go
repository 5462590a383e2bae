package rolecontrol_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/entry/rolecontrol"
)

// maxTransit is the longest time from the check before a call to its arrival: the time limit of a call.
const maxTransit = 500 * time.Millisecond

// call is a call of a duty as it arrives at the platform.
type call struct {
	at      time.Time
	machine int
	duties.Term
}

// control is the platform's control address. It checks no fences.
type control struct {
	mu    sync.Mutex
	calls []call
}

func (p *control) arrive(c call) {
	p.mu.Lock()
	defer p.mu.Unlock()

	c.at = time.Now()
	p.calls = append(p.calls, c)
}

func (p *control) arrived() []call {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.Clone(p.calls)
}

// problem returns what is wrong with the calls: a fence of two holders, a lower one after a higher one, or calls of one machine less than
// lease apart with another one's between.
func (p *control) problem(lease time.Duration) string {
	calls := p.arrived()
	holders := map[entity.Fence]entity.HostID{}
	last := map[int]time.Time{}

	for i, c := range calls {
		if h, ok := holders[c.Fence]; ok && h != c.Holder {
			return fmt.Sprintf("fence %d of %s and %s", c.Fence, h, c.Holder)
		}

		holders[c.Fence] = c.Holder

		if i > 0 {
			before := calls[i-1]
			if c.Fence < before.Fence {
				return fmt.Sprintf("fence %d after %d", c.Fence, before.Fence)
			}

			if own, ok := last[c.machine]; ok && before.machine != c.machine && c.at.Sub(own) < lease {
				return fmt.Sprintf("machines %d, %d, %d within %v", c.machine, before.machine, c.machine, c.at.Sub(own))
			}
		}

		last[c.machine] = c.at
	}

	return ""
}

// startDuties starts a controller of machine whose host makes calls all the time, each of which takes transit, until ctx ends.
func startDuties(ctx context.Context, machine int, host entity.HostID, s *store, p *control, transit time.Duration) *rolecontrol.Controller {
	c := rolecontrol.Start(ctx, rolecontrol.Options{
		Log: &log.Logger{Level: log.PanicLevel}, Host: host, Store: storeOf{s, host}, Replicas: newReplicas(0), Duties: true,
		Catalog: func() *catalog.Catalog { return catalog.Build(1, catalog.Limits{}, nil, nil) }, Fleet: func() *fleet.Snapshot { return fleet.NewSnapshot(nil) },
		Board: placing.New(), Standby: func() bool { return true }, HasTraffic: func() bool { return false }, HandoverGap: handoverGap,
		Seed: uint64(len(host)) + uint64(machine),
	})

	go func() {
		for ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)

			term, held := c.Term()
			if !held {
				continue
			}

			if end, ok := c.BeginCall(term); ok && ctx.Err() == nil {
				time.Sleep(transit)
				p.arrive(call{machine: machine, Term: term})
				end()
			}
		}
	}()

	return c
}

// TestCallsOfDutiesThroughAnyTroubles plays hosts that are cut off from the store, lose answers of it, stop, or are killed and started
// again on their machine, while each host makes calls whenever it may.
func TestCallsOfDutiesThroughAnyTroubles(t *testing.T) {
	const machines = 3

	rapid.Check(t, func(rt *rapid.T) {
		type fault struct {
			kind    string
			machine int
			wait    time.Duration
		}

		var plan []fault
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			plan = append(plan, fault{
				rapid.SampledFrom([]string{"cut", "lose", "late", "heal", "stop", "kill"}).Draw(rt, "kind"),
				rapid.IntRange(0, machines-1).Draw(rt, "machine"), time.Duration(rapid.IntRange(0, 9000).Draw(rt, "wait ms")) * time.Millisecond,
			})
		}

		s, p := &store{unreachable: map[entity.HostID]bool{}}, &control{}
		transit := time.Duration(rapid.IntRange(0, int(maxTransit/time.Millisecond)).Draw(rt, "transit ms")) * time.Millisecond

		synctest.Test(t, func(t *testing.T) {
			var (
				controllers [machines]*rolecontrol.Controller
				cancels     [machines]context.CancelFunc
				ids         [machines]entity.HostID
				all         []*rolecontrol.Controller
				starts      int
			)

			boot := func(i int) {
				starts++
				ids[i] = entity.HostID(fmt.Sprint("h", i, "-", starts))

				ctx, cancel := context.WithCancel(t.Context())
				cancels[i] = cancel
				controllers[i] = startDuties(ctx, i, ids[i], s, p, transit)
				all = append(all, controllers[i])
			}

			for i := range machines {
				boot(i)
			}

			for _, f := range plan {
				time.Sleep(f.wait)

				switch f.kind {
				case "cut":
					s.setUnreachable(ids[f.machine], true)
				case "lose":
					s.delayWrites(ids[f.machine], 0)
				case "late":
					s.delayWrites(ids[f.machine], 2*time.Second)
				case "heal":
					s.heal(ids[f.machine])
				case "stop":
					controllers[f.machine].Stop()
				case "kill":
					cancels[f.machine]()
					boot(f.machine)
				}
			}

			for i := range machines {
				s.heal(ids[i])
				cancels[i]()
				boot(i)
			}

			before := len(p.arrived())

			time.Sleep(30 * time.Second)

			if len(p.arrived()) == before {
				t.Error("no calls in calm")
			}

			for _, cancel := range cancels {
				cancel()
			}

			for _, c := range all {
				<-c.Done()
			}

			time.Sleep(time.Minute)
		})

		if problem := p.problem(handoverGap - 500*time.Millisecond); problem != "" {
			rt.Fatal(problem)
		}
	})
}

// TestMachineThatReturnsWaits lets a machine's process end, another machine call, and the first one's next process follow at once. What
// the first process did is not known to the next.
func TestMachineThatReturnsWaits(t *testing.T) {
	for wait := range 30 {
		p := &control{}

		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()

			s := &store{unreachable: map[entity.HostID]bool{}}
			a := startDuties(ctx, 0, "a", s, p, 0)

			time.Sleep(10 * time.Second)

			b := startDuties(ctx, 1, "bb", s, p, 0)

			time.Sleep(10*time.Second + time.Duration(wait)*100*time.Millisecond)
			a.Stop()

			for range 200 {
				if calls := p.arrived(); calls[len(calls)-1].machine == 1 {
					break
				}

				time.Sleep(50 * time.Millisecond)
			}

			b.Stop()
			time.Sleep(300 * time.Millisecond)

			again := startDuties(ctx, 0, "again", s, p, 0)

			time.Sleep(20 * time.Second)
			cancel()

			for _, c := range []*rolecontrol.Controller{a, b, again} {
				<-c.Done()
			}

			time.Sleep(time.Second)
		})

		require.Empty(t, p.problem(handoverGap-500*time.Millisecond))
	}
}

// TestSuccessorCallsSoon measures how long there are no calls after the holder was cut off from the store: a report that is due in 10 s has
// to be in time.
func TestSuccessorCallsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		s, p := &store{unreachable: map[entity.HostID]bool{}}, &control{}
		a := startDuties(ctx, 0, "a", s, p, 0)

		time.Sleep(10 * time.Second)

		b := startDuties(ctx, 1, "bb", s, p, 0)

		time.Sleep(20 * time.Second)
		s.setUnreachable("a", true)

		cutAt := time.Now()

		time.Sleep(20 * time.Second)

		var last, next call

		for _, c := range p.arrived() {
			if c.machine == 0 {
				last = c
			} else if next.at.IsZero() {
				next = c
			}
		}

		require.Less(t, next.at.Sub(cutAt), 8500*time.Millisecond)
		require.Greater(t, next.at.Sub(last.at), time.Second)
		cancel()
		<-a.Done()
		<-b.Done()
		time.Sleep(time.Second) // the goroutines that make calls end
	})
}

// TestFencedOrderEndsTheTerm guards against calls of duties under a fence that a replica has refused for a later holder.
func TestFencedOrderEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		s, r := &store{unreachable: map[entity.HostID]bool{}}, newReplicas(10)

		for _, target := range r.list {
			r.fences[target.ID] = 7 // as if a later holder had sent orders
		}

		c := start(ctx, "a", s, r)

		time.Sleep(30 * time.Second)
		r.mu.Lock()
		require.NotEmpty(t, r.fenced)
		r.mu.Unlock()

		_, held := c.Term()
		require.False(t, held)

		cancel()
		<-c.Done()
	})
}

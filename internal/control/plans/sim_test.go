package plans_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/standin/orderengine"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
)

const (
	step      = 100 * time.Millisecond
	tick      = 200 * time.Millisecond // time between steps of the lease holder
	heartbeat = 500 * time.Millisecond
	listLag   = 20 * time.Second // time until a dead host leaves the host list
	dc        = entity.DataCentre("amman")
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "25")
	os.Exit(m.Run())
}

// request is a request in flight at a target.
type request struct {
	target  entity.TargetID
	arrives time.Time
	ends    time.Time
	running bool
}

// host is an entry host with its traffic and its share in executing plans.
type host struct {
	id          entity.HostID
	list        plans.List
	reported    plans.Host // its last report to the other hosts
	requests    []*request
	partitioned bool // exchanges nothing with other hosts
	diedAt      time.Time
	stopped     bool // received a Stop

	readFence entity.Fence // fencing number at the host's last read of the plans
	orders    *orders.Machine
}

func (h *host) dead() bool { return !h.diedAt.IsZero() }

type world struct {
	t               require.TestingT
	rand            *rand.Rand
	clock           *clockwork.FakeClock
	store           *standin.Store
	view            *standin.View
	targets         map[entity.TargetID]entity.Target
	engines         map[entity.TargetID]*orderengine.Engine
	serviceRequests int // requests that run at the service
	hosts           []*host
	orphans         []*request // requests that run at engines and whose host died
	fence           entity.Fence
	holder          *host
	freeAt          time.Time                     // when the next host can take the lease
	load            float64                       // requests per second from each host to each target
	longest         time.Duration                 // upper bound of the duration of a request
	lastAdmitted    map[entity.TargetID]time.Time // last admission of a new request
	started         int
}

func newWorld(t require.TestingT, seed uint64) *world {
	clock := clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
	w := &world{
		t: t, clock: clock, rand: rand.New(rand.NewPCG(seed, 1)), store: standin.NewStore(clock),
		targets: map[entity.TargetID]entity.Target{
			"engine":  {ID: "engine", Gated: true, ChecksFencing: true},
			"spare":   {ID: "spare", Gated: true},
			"bare":    {ID: "bare"}, // an engine without a gate
			"service": {ID: "service", Type: entity.Service},
		},
		engines: map[entity.TargetID]*orderengine.Engine{},
		load:    0.5, longest: 40 * time.Second,
		lastAdmitted: map[entity.TargetID]time.Time{},
	}
	w.view = w.store.View()

	for _, id := range []entity.TargetID{"engine", "spare", "bare"} {
		w.engines[id] = orderengine.New(clock, orderengine.Options{ChecksFencing: w.targets[id].ChecksFencing, ChangeTime: 3 * time.Second})
	}

	for range 3 {
		w.start()
	}

	return w
}

func (w *world) start() {
	w.started++
	h := &host{id: entity.HostID(fmt.Sprint("host-", w.started)), orders: orders.NewMachine(orders.Options{})}

	// A host is ready once it has the plans, from the platform or from a reachable host.
	for _, o := range w.hosts {
		if o.list.Generation > h.list.Generation {
			h.list = o.list
		}
	}

	var engines []entity.Target

	for _, id := range []entity.TargetID{"engine", "spare", "bare"} {
		engines = append(engines, w.targets[id])
	}

	h.orders.SetTargets(w.clock.Now(), engines)
	w.hosts = append(w.hosts, h)
}

func (w *world) kill(h *host) {
	h.diedAt = w.clock.Now()

	// Gated engines go on with running requests, as callers may come back for the answers.
	for _, r := range h.requests {
		switch {
		case !w.targets[r.target].Gated:
			w.end(r)
		case r.running:
			w.orphans = append(w.orphans, r)
		}
	}

	h.requests = nil

	if h == w.holder {
		w.holder, w.freeAt = nil, w.clock.Now().Add(12*time.Second)
	}

	w.start()
}

func (w *world) run(d time.Duration, check func()) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.clock.Advance(step)
		w.elect()
		w.orphans = slices.DeleteFunc(w.orphans, w.ended)

		for _, h := range w.hosts {
			if !h.dead() {
				w.traffic(h)
			}
		}

		if w.holder != nil && w.clock.Now().UnixMilli()%tick.Milliseconds() == 0 {
			w.executePlans(w.holder)
		}

		w.gossip()
		check()
	}
}

func (w *world) elect() {
	if w.holder != nil || w.clock.Now().Before(w.freeAt) {
		return
	}

	for _, h := range w.hosts {
		if !h.dead() && !h.partitioned {
			w.fence++
			w.holder = h

			return
		}
	}
}

// traffic advances the requests of h by one step and sends new ones according to its plans.
func (w *world) traffic(h *host) {
	now := w.clock.Now()

	h.requests = slices.DeleteFunc(h.requests, func(r *request) bool {
		if !r.running && !now.Before(r.arrives) {
			r.running = true

			if !w.admit(r) {
				return true // refused as not run
			}
		}

		return w.ended(r)
	})

	if plans.LeavingHosts(h.list)[h.id] {
		return
	}

	leaving := plans.LeavingTargets(h.list)

	for _, id := range []entity.TargetID{"engine", "spare", "bare", "service"} {
		if leaving[id] || w.rand.Float64() > w.load*step.Seconds() {
			continue
		}

		takes := time.Duration(w.rand.Int64N(int64(w.longest)))
		arrives := now.Add(time.Duration(w.rand.IntN(3)) * step)
		h.requests = append(h.requests, &request{target: id, arrives: arrives, ends: arrives.Add(takes)})
	}
}

func (w *world) admit(r *request) bool {
	if e, ok := w.engines[r.target]; !ok {
		w.serviceRequests++
	} else if !e.Admit() {
		return false
	}

	w.lastAdmitted[r.target] = w.clock.Now()

	return true
}

// ended ends r if it is due and reports whether it did.
func (w *world) ended(r *request) bool {
	if !r.running || w.clock.Now().Before(r.ends) {
		return false
	}

	w.end(r)

	return true
}

func (w *world) end(r *request) {
	if !r.running {
		return
	}

	if e, ok := w.engines[r.target]; ok {
		e.Finish()
	} else {
		w.serviceRequests--
	}
}

// gossip exchanges plans and acknowledgements between the hosts that reach each other.
func (w *world) gossip() {
	if w.clock.Now().UnixMilli()%heartbeat.Milliseconds() != 0 {
		return
	}

	var newest plans.List

	for _, h := range w.hosts {
		if !h.dead() && !h.partitioned && h.list.Generation > newest.Generation {
			newest = h.list
		}
	}

	for _, h := range w.hosts {
		if h.dead() || h.partitioned {
			continue
		}

		if newest.Generation > h.list.Generation {
			h.list = newest
		}

		h.reported = plans.Host{ID: h.id, Acked: h.list.Generation, InFlight: map[entity.TargetID]int{}, TotalInFlight: len(h.requests)}
		for _, r := range h.requests {
			h.reported.InFlight[r.target]++
		}
	}
}

func (w *world) input(h *host) plans.Input {
	in := plans.Input{Now: w.clock.Now(), Complete: true, Targets: w.targets, Engines: map[entity.TargetID]orders.Engine{}}

	for _, o := range w.hosts {
		reported := o.reported
		reported.ID = o.id
		reported.Gone = o.dead() && w.clock.Since(o.diedAt) >= listLag
		in.Hosts = append(in.Hosts, reported)
	}

	for id := range w.engines {
		in.Engines[id] = h.orders.Engine(id)
	}

	return in
}

// executePlans executes the plans on h, as a Runner does.
func (w *world) executePlans(h *host) {
	now := w.clock.Now()
	o, err := w.view.Get(context.Background(), plans.Key(dc))

	if err == nil && o.Version != 0 {
		var l plans.List

		require.NoError(w.t, json.Unmarshal(o.Value, &l))
		h.list, h.readFence = l, w.fence

		in := w.input(h)
		if next, changed := plans.Advance(l, in); changed {
			if _, err := w.view.Put(context.Background(), plans.Key(dc), o.Version, encode(w.t, next)); err == nil {
				h.list = next
			}
		}
	}

	for _, a := range plans.Actions(h.list, w.input(h)) {
		if h.readFence != w.fence {
			break
		}

		switch a := a.(type) {
		case plans.Order:
			h.orders.SetDesired(w.fence, a.Target, a.Setting)
		case plans.Stop:
			w.stop(a.Host)
		}
	}

	l := authority.Lease{Fence: w.fence, Until: now.Add(time.Second), Record: authority.Record{Fence: w.fence}}
	for _, a := range h.orders.Tick(now, l) {
		w.execute(h, a)
	}
}

func (w *world) stop(id entity.HostID) {
	for _, h := range w.hosts {
		if h.id == id && !h.stopped {
			require.Empty(w.t, h.requests, "%s stops with requests in flight", id)
			h.stopped = true
		}
	}
}

// execute makes the call a for h.
func (w *world) execute(h *host, a orders.Action) {
	now, ctx := w.clock.Now(), context.Background()

	switch a := a.(type) {
	case orders.ReadIntent:
		var i orders.Intent

		o, err := w.view.Get(ctx, orders.Key(dc, a.Target))
		if err == nil && o.Version != 0 {
			require.NoError(w.t, json.Unmarshal(o.Value, &i))
		}

		h.orders.Loaded(now, a, i, o.Version, err)
	case orders.WriteIntent:
		v, err := w.view.Put(ctx, orders.Key(dc, a.Target), a.Expect, encode(w.t, a.Intent))
		h.orders.Written(now, a, v, err)
	case orders.QueryState:
		s, err := w.engines[a.Target].State()
		h.orders.Answered(now, a, s, err)
	case orders.SendOrder:
		s, err := w.engines[a.Target].Order(a.Order)
		w.requireNoneCut(a.Target)
		h.orders.Sent(now, a, s, err)
	}
}

func (w *world) requireNoneCut(id entity.TargetID) {
	for _, r := range w.engines[id].Receipts() {
		require.Zero(w.t, r.CutRequests, "order %+v interrupted requests at %s", r.Order, id)
	}
}

func (w *world) plan(id plans.ID) plans.Plan {
	o, err := w.store.View().Get(context.Background(), plans.Key(dc))
	require.NoError(w.t, err)

	var l plans.List

	require.NoError(w.t, json.Unmarshal(o.Value, &l))

	p, ok := l.Plan(id)
	require.True(w.t, ok)

	return p
}

func encode(t require.TestingT, v any) []byte {
	b, err := json.Marshal(v)
	require.NoError(t, err)

	return b
}

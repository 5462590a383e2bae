package orders_test

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
	"github.com/dotterelflow/dotterelflow/internal/standin/orderengine"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	step        = 100 * time.Millisecond
	callTimeout = 2 * time.Second
	lifetime    = 20 * time.Second // lifetime of a connection
	changeTime  = 3 * time.Second
	dc          = entity.DataCentre("amman")
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

// task is an action of a host's order machine in progress.
type task struct {
	action   orders.Action
	checked  bool // the lease was checked right before the call
	sent     bool // the call left the host
	arriveAt time.Time
	giveUpAt time.Time
	arrived  bool
	state    orders.State
	err      error
}

type host struct {
	id          entity.HostID
	lease       *authority.Machine
	orders      *orders.Machine
	view        *standin.View
	tasks       []*task
	paused      bool
	dead        bool
	gone        bool          // removed from the host list
	pauseAtSend bool          // pauses between its next lease check and the call after it
	delay       time.Duration // network delay of its orders
	late        time.Duration // delay of its writes; if positive, their answers are lost
}

// lateWrite is a write that takes effect after the writer stopped waiting for the answer.
type lateWrite struct {
	at     time.Time
	key    platform.Key
	expect platform.Version
	value  any
}

type world struct {
	t        require.TestingT
	clock    *clockwork.FakeClock
	store    *standin.Store
	truth    *standin.View // a view without faults
	targets  []entity.Target
	engines  map[entity.TargetID]*orderengine.Engine
	desired  map[entity.TargetID]orders.Setting
	hosts    []*host
	timedOut []*task // sent tasks whose host no longer waits
	late     []lateWrite
	started  int
}

func newWorld(t require.TestingT, hosts int) *world {
	clock := clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
	w := &world{
		t:       t,
		clock:   clock,
		store:   standin.NewStore(clock),
		engines: map[entity.TargetID]*orderengine.Engine{},
		desired: map[entity.TargetID]orders.Setting{},
		targets: []entity.Target{{ID: "checking", ChecksFencing: true}, {ID: "ignoring"}},
	}
	w.truth = w.store.View()

	for _, target := range w.targets {
		w.engines[target.ID] = orderengine.New(clock, orderengine.Options{ChecksFencing: target.ChecksFencing, ChangeTime: changeTime})
	}

	for range hosts {
		w.start()
	}

	return w
}

func (w *world) start() {
	w.started++
	h := &host{id: entity.HostID(fmt.Sprint("host-", w.started)), view: w.store.View()}
	h.lease = authority.NewMachine(authority.Options{
		DataCentre: dc, Host: h.id, Address: string(h.id), ConnectionLifetime: lifetime,
	}, w.clock.Now(), rand.New(rand.NewPCG(uint64(w.started), 3)))
	h.orders = orders.NewMachine(orders.Options{ConnectionLifetime: lifetime})
	h.orders.SetTargets(w.clock.Now(), w.targets)
	w.hosts = append(w.hosts, h)
}

func (w *world) run(d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.clock.Advance(step)

		for _, h := range w.hosts {
			w.network(h.tasks)

			if !h.dead && !h.paused {
				w.work(h)
			}
		}

		w.network(w.timedOut)
		w.applyLateWrites()
	}
}

// applyLateWrites applies the late writes that are due; those whose version has changed fail.
func (w *world) applyLateWrites() {
	w.late = slices.DeleteFunc(w.late, func(l lateWrite) bool {
		if w.clock.Now().Before(l.at) {
			return false
		}

		_, _ = put(w.truth, l.key, l.expect, l.value)

		return true
	})
}

// put writes as h. If h.late is set, the write is delayed and the result unknown.
func (w *world) put(h *host, key platform.Key, expect platform.Version, value any) (platform.Version, error) {
	if h.late > 0 {
		w.late = append(w.late, lateWrite{w.clock.Now().Add(h.late), key, expect, value})

		return 0, platform.ErrUnknown
	}

	return put(h.view, key, expect, value)
}

func (w *world) isGone(address string) bool {
	for _, h := range w.hosts {
		if string(h.id) == address {
			return h.gone
		}
	}

	return false
}

func (w *world) work(h *host) {
	now := w.clock.Now()

	switch a := h.lease.Tick(now, authority.Tick{Standby: true, NoOrdersInFlight: h.orders.NoOrdersInFlight(now), HostGone: w.isGone}).(type) {
	case authority.Get:
		var r authority.Record
		v, err := get(h.view, authority.Key(dc), &r)
		h.lease.HandleGet(now, r, v, err)
	case authority.Put:
		v, err := w.put(h, authority.Key(dc), a.Expect, a.Record)
		h.lease.HandlePut(now, a, v, err)
	}

	for id, s := range w.desired {
		h.orders.SetDesired(h.lease.Lease().Fence, id, s)
	}

	for _, a := range h.orders.Tick(now, h.lease.Lease()) {
		h.tasks = append(h.tasks, &task{action: a})
	}

	w.tasks(h)
}

// tasks advances each task of h by one stage. The host may pause between any two stages.
func (w *world) tasks(h *host) {
	tasks := h.tasks
	h.tasks = nil

	for _, k := range tasks {
		if h.paused || !w.advance(h, k) {
			h.tasks = append(h.tasks, k)
		}
	}
}

// advance executes the next stage of k and reports whether k has ended.
func (w *world) advance(h *host, k *task) bool {
	now := w.clock.Now()

	switch a := k.action.(type) {
	case orders.ReadIntent:
		var i orders.Intent
		v, err := get(h.view, orders.Key(dc, a.Target), &i)
		h.orders.Loaded(now, a, i, v, err)
	case orders.WriteIntent:
		if !w.check(h, k, a.Intent.Fence) {
			return false
		}

		v, err := platform.Version(0), platform.ErrUnavailable
		if k.err == nil {
			v, err = w.put(h, orders.Key(dc, a.Target), a.Expect, a.Intent)
		}

		h.orders.Written(now, a, v, err)
	case orders.QueryState:
		s, err := w.engines[a.Target].State()
		h.orders.Answered(now, a, s, err)
	case orders.SendOrder:
		if !w.check(h, k, a.Order.Fence) {
			return false
		}

		return w.send(h, k, a)
	}

	return true
}

// check checks the lease once, as a Runner does, and reports whether k may go on in this step. After the
// check the host pauses if pauseAtSend is set.
func (w *world) check(h *host, k *task, fence entity.Fence) bool {
	if k.checked {
		return true
	}

	now := w.clock.Now()
	l := h.lease.Lease()
	k.checked = true

	if l.Fence != fence || !l.Held(now) {
		k.err = orders.ErrNotSent

		return true
	}

	if h.pauseAtSend {
		h.pauseAtSend, h.paused = false, true
	}

	return false
}

func (w *world) send(h *host, k *task, a orders.SendOrder) bool {
	now := w.clock.Now()

	switch {
	case k.err != nil:
		h.orders.Sent(now, a, orders.State{}, k.err)
	case !k.sent:
		k.sent, k.arriveAt, k.giveUpAt = true, now.Add(h.delay), now.Add(callTimeout)

		return false
	case k.arrived:
		h.orders.Sent(now, a, k.state, k.err)
	case !now.Before(k.giveUpAt):
		w.timedOut = append(w.timedOut, k)
		h.orders.Sent(now, a, orders.State{}, context.DeadlineExceeded)
	default:
		return false
	}

	return true
}

// network delivers the sent tasks that are due, whatever the state of their host.
func (w *world) network(tasks []*task) {
	for _, k := range tasks {
		if k.sent && !k.arrived && !w.clock.Now().Before(k.arriveAt) {
			k.arrived = true
			w.deliver(k)
		}
	}
}

// deliver passes an order to its engine and checks the invariant: an engine only starts a change to the
// setting on record.
func (w *world) deliver(k *task) {
	a, ok := k.action.(orders.SendOrder)
	require.True(w.t, ok)

	e := w.engines[a.Target]
	k.state, k.err = e.Order(a.Order)

	var i orders.Intent
	_, err := get(w.truth, orders.Key(dc, a.Target), &i)
	require.NoError(w.t, err)

	receipts := e.Receipts()
	r := receipts[len(receipts)-1]
	require.False(w.t, r.Conflict, "%s got order %+v while it was changing to %+v", a.Target, a.Order, r.Before)

	if r.TookEffect {
		require.Equal(w.t, i.Setting, a.Order.Setting,
			"%s applied order %d of fence %d while %d of fence %d is on record",
			a.Target, a.Order.Number, a.Order.Fence, i.Number, i.Fence)
	}
}

func get(v *standin.View, key platform.Key, into any) (platform.Version, error) {
	o, err := v.Get(context.Background(), key)
	if err != nil || o.Version == 0 {
		return 0, err
	}

	return o.Version, json.Unmarshal(o.Value, into)
}

func put(v *standin.View, key platform.Key, expect platform.Version, value any) (platform.Version, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}

	return v.Put(context.Background(), key, expect, b)
}

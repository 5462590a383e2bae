package host_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/standin/orderengine"
	standinplatform "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// newSplitDeployment starts one engine for each of roles in the data centre a, and no service.
func newSplitDeployment(t *testing.T, opts engine.Options, roles ...entity.Role) *deployment {
	t.Helper()

	d := &deployment{store: standinplatform.NewStore(clockwork.NewRealClock())}

	var text strings.Builder

	fmt.Fprintf(&text, configurationFormat, entity.HashKey("desk-key"), entity.HashKey("other-key"))
	text.WriteString("targets:\n")

	for i, role := range roles {
		opts.Orders = orderengine.Options{
			Initial: orders.Setting{Model: "m", Role: role}, ChecksFencing: true, ChangeTime: 200 * time.Millisecond,
		}
		e := engine.NewServer(opts)
		server := serve(t, e)
		d.engines = append(d.engines, e)
		d.servers = append(d.servers, server)
		fmt.Fprintf(&text, "  - {id: engine-%d, type: engine, data-centre: a, address: %s, model: m, role: %s, "+
			"gated: true, checks-fencing: true, slots: 16, prefill-rate: 16000, decode-rate: 1200}\n", i+1, server.Address(), role)
	}

	doc, err := document.Parse("site.yaml", []byte(text.String()))
	require.NoError(t, err)

	d.doc = doc
	d.apply(t, doc)

	return d
}

// total returns the sum of the runs of all requests.
func total(runs map[entity.RequestID]int) int {
	sum := 0
	for _, n := range runs {
		sum += n
	}

	return sum
}

func TestPromptAndDecodeRunOnTheirEngines(t *testing.T) {
	t.Parallel()

	d := newSplitDeployment(t, engine.Options{}, entity.Prefill, entity.Prefill, entity.Decode, entity.Decode)
	h := d.addHost(t, "a")

	var wg sync.WaitGroup

	for i := range 12 {
		wg.Go(func() {
			c := call{kind: "note", prompt: fmt.Sprintf("in two phases %d", i), tokens: 20, stream: i%2 == 0}
			if i%3 == 0 {
				c.kind, c.key = "grade", newKey()
			}

			out, err := c.do(t.Context(), h)
			if err != nil || out.text != c.want() || !out.whole {
				t.Errorf("got %+v, %v", out, err)
			}
		})
	}

	wg.Wait()

	for i, e := range d.engines[:2] {
		require.Zero(t, total(e.Runs()), "prefill engine %d generated", i+1)
	}

	require.Equal(t, 12, total(d.engines[0].Prefills())+total(d.engines[1].Prefills()))
	require.Equal(t, 12, d.engines[0].KVExports()+d.engines[1].KVExports())
	require.Equal(t, 12, total(d.engines[2].Runs())+total(d.engines[3].Runs()))
}

func TestPhaseFailures(t *testing.T) {
	t.Parallel()

	// Engines 0 and 1 do the prefill, engines 2 and 3 the decode.
	for name, c := range map[string]struct {
		inject  func(d *deployment)
		once    bool   // send a kind that runs at most once
		want    string // "whole" or the expected verdict
		maxRuns int    // limit of the decode runs of one request on all engines
	}{
		"a prefill engine refuses": {
			inject: func(d *deployment) { d.engines[0].SetFaults(engine.Faults{Refuse: true}) }, once: true, want: "whole", maxRuns: 1,
		},
		"a prefill engine is gone": {
			inject: func(d *deployment) { _ = d.servers[0].Close() }, once: true, want: "whole", maxRuns: 1,
		},
		"a decode engine is gone": {
			inject: func(d *deployment) { _ = d.servers[2].Close() }, once: true, want: "whole", maxRuns: 1,
		},
		"a decode engine refuses": {
			inject: func(d *deployment) { d.engines[2].SetFaults(engine.Faults{Refuse: true}) }, once: true, want: "whole", maxRuns: 1,
		},
		"streams of decode engines break": {
			inject: func(d *deployment) { d.setFaults(engine.Faults{CutAfter: 5}, 2, 3) }, once: true, want: "whole", maxRuns: 1,
		},
		"a decode engine crashes, repeatable": {
			inject: func(d *deployment) { d.setFaults(engine.Faults{CrashDecode: true}, 2) }, want: "whole", maxRuns: 2,
		},
		"decode engines crash, at most once": {
			inject: func(d *deployment) { d.setFaults(engine.Faults{CrashDecode: true}, 2, 3) }, once: true, want: "may-have-run", maxRuns: 1,
		},
		"a KV cache is lost": {
			inject: func(d *deployment) { d.setFaults(engine.Faults{LoseKV: true}, 0) }, once: true, want: "whole", maxRuns: 1,
		},
		"all KV caches are lost": {
			inject: func(d *deployment) { d.setFaults(engine.Faults{LoseKV: true}, 0, 1) }, once: true, want: "not-run", maxRuns: 0,
		},
		"all decode engines refuse": {
			inject: func(d *deployment) { d.setFaults(engine.Faults{Refuse: true}, 2, 3) }, once: true, want: "not-run", maxRuns: 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			d := newSplitDeployment(t, engine.Options{}, entity.Prefill, entity.Prefill, entity.Decode, entity.Decode)
			h := d.addHost(t, "a")
			c.inject(d)

			for i := range 4 {
				request := call{kind: "note", prompt: fmt.Sprintf("%s %d", name, i), tokens: 20}

				if c.once {
					request.kind, request.key = "grade", newKey()
				}

				before := total(d.engines[2].Runs()) + total(d.engines[3].Runs())
				out := request.send(t, h)
				ran := total(d.engines[2].Runs()) + total(d.engines[3].Runs()) - before

				if c.want == "whole" {
					require.Equal(t, request.want(), out.text, "%+v", out.problem)
				} else {
					require.Equal(t, c.want, out.problem.Verdict.String(), "%+v", out.problem)
				}

				require.LessOrEqual(t, ran, c.maxRuns)

				if c.want == "may-have-run" {
					break // one crash is enough
				}
			}
		})
	}
}

// setFaults sets the faults of the engines with the given indices.
func (d *deployment) setFaults(f engine.Faults, engines ...int) {
	for _, i := range engines {
		d.engines[i].SetFaults(f)
	}
}

func TestPhasesFromAnotherDataCentre(t *testing.T) {
	t.Parallel()

	d := newSplitDeployment(t, engine.Options{}, entity.Prefill, entity.Decode, entity.Decode)
	d.addHost(t, "a")
	remote := d.addHost(t, "b")

	for i := range 6 {
		c := call{kind: "grade", key: newKey(), prompt: fmt.Sprintf("from afar %d", i), tokens: 20}
		out := c.send(t, remote)
		require.Equal(t, c.want(), out.text, "%+v", out.problem)
	}

	require.Equal(t, 6, d.engines[0].KVExports())
	require.Equal(t, 6, total(d.engines[1].Runs())+total(d.engines[2].Runs()))
}

// A host that takes over a request fetches its answer from the engine that the claim names, so that must be the decode
// engine.
func TestClaimNamesTheDecodeEngine(t *testing.T) {
	t.Parallel()

	d := newSplitDeployment(t, engine.Options{}, entity.Prefill, entity.Decode)
	h := d.addHost(t, "a")
	c := call{kind: "grade", key: newKey(), prompt: "claimed", tokens: 20}
	require.Equal(t, c.want(), c.send(t, h).text)

	objects, err := d.store.View().List(t.Context(), "claims/")
	require.NoError(t, err)

	var recorded strings.Builder
	for _, o := range objects {
		recorded.Write(o.Value)
	}

	require.Contains(t, recorded.String(), "engine-2")
	require.NotContains(t, recorded.String(), "engine-1")
}

// After an order changed the role of an engine, the configuration still has the old role. Routing must follow the new one.
func TestRoleChangeOfASplitFleetCutsNothing(t *testing.T) {
	t.Parallel()

	d := newSplitDeployment(t, engine.Options{TokenTime: 5 * time.Millisecond}, entity.Prefill, entity.Prefill, entity.Decode, entity.Decode)
	d.addHost(t, "a")
	d.addHost(t, "a")

	for _, h := range d.hosts {
		d.store.SetHostIn("a", h.PeerAddress(), platform.HostLive)
	}

	l := startLoad(t, d, 6)
	role := entity.Decode
	plan := operator.Plan{ID: uuid.NewString(), Action: operator.Role, Target: "engine-1", Role: &role}

	_, err := operatorOf(d.hosts[0]).Declare(t.Context(), plan)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.planDone(t, d.hosts[1], plan.ID) }, settleTimeout, 100*time.Millisecond)
	require.Eventually(t, func() bool { return total(d.engines[0].Runs()) > 0 }, settleTimeout, pollEvery, "no decode on the changed engine")

	l.stop()
	require.Zero(t, l.cut.Load())
	require.Positive(t, l.whole.Load())

	for _, r := range d.engines[0].OrderEngine().Receipts() {
		require.Zero(t, r.CutRequests, "%+v", r)
	}
}

package host_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/entry/host"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/standin/orderengine"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

func operatorOf(h *host.Host) *operator.Client {
	return operator.NewClient(h.OperatorAddress(), "operator-key", operator.ClientOptions{})
}

// load keeps streams running on all hosts until stop is called, and counts the complete and the cut ones.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	whole  atomic.Int64
	cut    atomic.Int64
}

func startLoad(t *testing.T, d *deployment, streams int) *load {
	t.Helper()

	ctx, cancel := context.WithCancel(t.Context())
	l := &load{cancel: cancel}

	for i := range streams {
		l.wg.Go(func() {
			for ctx.Err() == nil {
				c := call{kind: "note", prompt: "stream " + string(rune('a'+i)), tokens: 60, stream: true}

				out, err := c.do(t.Context(), d.hosts[i%len(d.hosts)])
				if err != nil || out.text != c.want() {
					l.cut.Add(1)
					t.Logf("cut: %+v, %v", out.problem, err)

					continue
				}

				l.whole.Add(1)
			}
		})
	}

	return l
}

func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

// planDone reports whether h lists the plan id as done.
func (d *deployment) planDone(t *testing.T, h *host.Host, id string) bool {
	t.Helper()

	list, err := operatorOf(h).Plans(t.Context())
	require.NoError(t, err)

	for _, p := range list.Plans {
		if p.ID == id {
			return p.State == "done"
		}
	}

	return false
}

func TestPlannedChangesCutNothing(t *testing.T) {
	opts := engine.Options{TokenTime: 5 * time.Millisecond, Orders: orderengine.Options{
		Initial: orders.Setting{Model: "m"}, ChecksFencing: true, ChangeTime: 200 * time.Millisecond,
	}}

	for name, plan := range map[string]operator.Plan{
		"drain":    {Action: operator.Drain, Target: "engine-1"},
		"withdraw": {Action: operator.Withdraw, Target: "engine-1"},
		"replace":  {Action: operator.Replace, Target: "engine-1", Replacement: "engine-2"},
		"role":     {Action: operator.Role, Target: "engine-1", Role: new(entity.Role)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			d := newDeployment(t, 3, opts)
			d.addHost(t, "a")
			d.addHost(t, "a")

			for _, h := range d.hosts {
				d.store.SetHostIn("a", h.PeerAddress(), platform.HostLive)
			}

			l := startLoad(t, d, 6)
			plan.ID = uuid.NewString()

			_, err := operatorOf(d.hosts[0]).Declare(t.Context(), plan)
			require.NoError(t, err)

			require.Eventually(t, func() bool { return d.planDone(t, d.hosts[1], plan.ID) }, settleTimeout, 100*time.Millisecond)

			if plan.Action == operator.Drain || plan.Action == operator.Withdraw {
				runs := len(d.engines[0].Runs())
				time.Sleep(300 * time.Millisecond)
				require.Len(t, d.engines[0].Runs(), runs, "a drained engine got new work")
			}

			l.stop()
			require.Zero(t, l.cut.Load())
			require.Positive(t, l.whole.Load())

			for _, r := range d.engines[0].OrderEngine().Receipts() {
				require.False(t, r.Conflict, "%+v", r)
				require.Zero(t, r.CutRequests, "%+v", r)
			}
		})
	}
}

func TestStopOfAHostCutsNothing(t *testing.T) {
	d := newDeployment(t, 2, engine.Options{TokenTime: 5 * time.Millisecond})
	d.addHost(t, "a")
	d.addHost(t, "a")

	c := call{kind: "note", prompt: "a long one", tokens: 200, stream: true}

	var wg sync.WaitGroup

	for range 8 {
		wg.Go(func() {
			out, err := c.do(t.Context(), d.hosts[0])
			if err != nil || out.text != c.want() {
				t.Errorf("cut: %+v, %v", out.problem, err)
			}
		})
	}

	require.Eventually(t, func() bool { return d.engines[0].OpenAnswers()+d.engines[1].OpenAnswers() == 8 }, settleTimeout, pollEvery)
	require.NoError(t, d.hosts[0].Stop())
	wg.Wait()
}

package host_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/entry/host"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// roleChangeTimeout bounds the wait for a role change after the demand changed.
const roleChangeTimeout = 40 * time.Second

// repeat sends c over and over on each of a number of streams, spread over all hosts, until ctx ends. It returns a count of
// the answers that are not whole. Refusals count only for the urgent kind ask.
func (d *deployment) repeat(ctx context.Context, t *testing.T, wg *sync.WaitGroup, streams int, c call) *atomic.Int64 {
	t.Helper()

	failures := &atomic.Int64{}

	for i := range streams {
		wg.Go(func() {
			for ctx.Err() == nil {
				out, err := c.do(t.Context(), d.hosts[i%len(d.hosts)])
				refused := out.status == http.StatusTooManyRequests || out.status == http.StatusServiceUnavailable && out.problem.Verdict.String() == "not-run"
				if err == nil && refused && c.kind != "ask" {
					time.Sleep(pollEvery)

					continue
				}

				if err != nil || out.text != c.want() {
					failures.Add(1)
					t.Logf("not whole: %+v, %v", out.problem, err)
				}
			}
		})
	}

	return failures
}

// roleChanges returns the plans in the platform for the data centre a.
func (d *deployment) roleChanges(t *testing.T) []plans.Plan {
	t.Helper()

	list, err := plans.Load(t.Context(), d.store.View(), "a")
	require.NoError(t, err)

	return list.Plans
}

// newRoleChangeDeployment starts a prefill engine, two decode engines and two hosts that decide on role changes with opts.
func newRoleChangeDeployment(t *testing.T, opts roles.Options) *deployment {
	t.Helper()

	d := newSplitDeployment(t, engine.Options{PrefillPerSecond: 16_000}, entity.Prefill, entity.Decode, entity.Decode)
	d.tune = func(o *host.Options) {
		o.Roles = opts
		o.Demand = roles.DemandOptions{Window: 2 * time.Second, PatientWindow: 2 * time.Second}
	}
	d.addHost(t, "a")
	d.addHost(t, "a")

	for _, h := range d.hosts {
		d.store.SetHostIn("a", h.PeerAddress(), platform.HostLive)
	}

	return d
}

func TestShiftToLongPromptsChangesOneRole(t *testing.T) {
	t.Parallel()

	d := newRoleChangeDeployment(t, roles.Options{})
	ctx, cancel := context.WithCancel(t.Context())

	defer cancel()

	var wg sync.WaitGroup

	decodeFailures := d.repeat(ctx, t, &wg, 4, call{kind: "note", prompt: "short", tokens: 100, stream: true})
	time.Sleep(8 * time.Second)
	require.Empty(t, d.roleChanges(t), "the roles changed although they fit the demand")

	urgentFailures := d.repeat(ctx, t, &wg, 2, call{kind: "ask", prompt: "short and urgent", tokens: 20, stream: true})
	promptFailures := d.repeat(ctx, t, &wg, 16, call{kind: "note", prompt: strings.Repeat("a long prompt ", 1000), tokens: 2, stream: true})

	require.Eventually(t, func() bool {
		changes := d.roleChanges(t)

		return len(changes) == 1 && changes[0].Phase == plans.Done
	}, roleChangeTimeout, 100*time.Millisecond)
	require.Equal(t, entity.Prefill, d.roleChanges(t)[0].Setting.Role)

	time.Sleep(8 * time.Second)
	cancel()
	wg.Wait()

	require.Len(t, d.roleChanges(t), 1)
	require.Zero(t, decodeFailures.Load()+promptFailures.Load()+urgentFailures.Load())
	require.Contains(t, d.roleChanges(t)[0].By, "prefill")

	for _, e := range d.engines {
		for _, r := range e.OrderEngine().Receipts() {
			require.Zero(t, r.CutRequests, "%+v", r)
		}
	}
}

func TestNoRoleChangeOnStaleLoads(t *testing.T) {
	t.Parallel()

	d := newRoleChangeDeployment(t, roles.Options{StaleAfter: time.Nanosecond})
	ctx, cancel := context.WithCancel(t.Context())

	defer cancel()

	var wg sync.WaitGroup

	d.repeat(ctx, t, &wg, 16, call{kind: "note", prompt: strings.Repeat("a long prompt ", 1000), tokens: 2, stream: true})
	time.Sleep(20 * time.Second)
	cancel()
	wg.Wait()

	require.Empty(t, d.roleChanges(t))
}

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

	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/host"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const shiftBound = 40 * time.Second

// send keeps streams of one call open on all hosts until ctx ends, and counts answers that are not whole.
func (s *site) send(ctx context.Context, t *testing.T, wg *sync.WaitGroup, streams int, c call) *atomic.Int64 {
	t.Helper()

	bad := &atomic.Int64{}

	for i := range streams {
		wg.Go(func() {
			for ctx.Err() == nil {
				out, err := c.do(t.Context(), s.hosts[i%len(s.hosts)])
				refused := out.status == http.StatusTooManyRequests || out.status == http.StatusServiceUnavailable && out.problem.Verdict.String() == "not-run"
				if err == nil && refused && c.kind != "ask" {
					time.Sleep(pollEvery)

					continue
				}

				if err != nil || out.text != c.want() {
					bad.Add(1)
					t.Logf("not whole: %+v, %v", out.problem, err)
				}
			}
		})
	}

	return bad
}

func (s *site) roleChanges(t *testing.T) []plans.Plan {
	t.Helper()

	list, err := plans.Load(t.Context(), s.store.View(), "a")
	require.NoError(t, err)

	return list.Plans
}

func newShiftingSite(t *testing.T, opts roles.Options) *site {
	t.Helper()

	s := newSplitSite(t, engine.Options{PrefillPerSecond: 16_000}, table.Prefill, table.Decode, table.Decode)
	s.tune = func(o *host.Options) {
		o.Roles = opts
		o.Demand = roles.DemandOptions{Window: 2 * time.Second, Patient: 2 * time.Second}
	}
	s.addHost(t, "a")
	s.addHost(t, "a")

	for _, h := range s.hosts {
		s.store.SetHostIn("a", h.PeerAddress(), platform.HostLive)
	}

	return s
}

func TestDemandThatTurnsToPromptsChangesOneRole(t *testing.T) {
	t.Parallel()

	s := newShiftingSite(t, roles.Options{})
	ctx, cancel := context.WithCancel(t.Context())

	defer cancel()

	var wg sync.WaitGroup

	answers := s.send(ctx, t, &wg, 4, call{kind: "note", prompt: "short", tokens: 100, stream: true})
	time.Sleep(8 * time.Second)
	require.Empty(t, s.roleChanges(t), "a change although the roles fit")

	urgent := s.send(ctx, t, &wg, 2, call{kind: "ask", prompt: "short and urgent", tokens: 20, stream: true})
	prompts := s.send(ctx, t, &wg, 16, call{kind: "note", prompt: strings.Repeat("a long prompt ", 1000), tokens: 2, stream: true})

	require.Eventually(t, func() bool {
		changes := s.roleChanges(t)

		return len(changes) == 1 && changes[0].Phase == plans.Done
	}, shiftBound, 100*time.Millisecond)
	require.Equal(t, table.Prefill, s.roleChanges(t)[0].Setting.Role)

	time.Sleep(8 * time.Second)
	cancel()
	wg.Wait()

	require.Len(t, s.roleChanges(t), 1)
	require.Zero(t, answers.Load()+prompts.Load()+urgent.Load())
	require.Contains(t, s.roleChanges(t)[0].By, "prefill")

	for _, e := range s.engines {
		for _, r := range e.Orders().Receipts() {
			require.Zero(t, r.Cut, "%+v", r)
		}
	}
}

func TestNoRoleChangeOnStaleLoads(t *testing.T) {
	t.Parallel()

	s := newShiftingSite(t, roles.Options{StaleAfter: time.Nanosecond})
	ctx, cancel := context.WithCancel(t.Context())

	defer cancel()

	var wg sync.WaitGroup

	s.send(ctx, t, &wg, 16, call{kind: "note", prompt: strings.Repeat("a long prompt ", 1000), tokens: 2, stream: true})
	time.Sleep(20 * time.Second)
	cancel()
	wg.Wait()

	require.Empty(t, s.roleChanges(t))
}

package host_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/standin/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

func TestRepeatsOfARefusedRequestRunOnceThroughAnyHost(t *testing.T) {
	const (
		keys    = 8 // enough that the claims of some are made by the other host
		repeats = 4
	)

	d := newDeployment(t, 1, engine.Options{})
	first := d.addHost(t, "a")
	d.addHost(t, "a")
	require.Eventually(t, func() bool { return first.ReadyPeers() == 1 }, settleTimeout, pollEvery)

	for i := range keys {
		c := call{kind: "hold", prompt: "court 3", key: newKey()}

		d.services[0].SetFaults(service.Faults{Refuse: true})
		require.Equal(t, verdict.NotRun, c.send(t, first).problem.Verdict)
		d.services[0].SetFaults(service.Faults{})

		var wg sync.WaitGroup

		for range repeats {
			wg.Go(func() {
				out, err := c.do(t.Context(), d.hosts[i%2])
				if err != nil || !out.whole {
					t.Errorf("key %d through host %d: got %+v, %v", i, i%2, out, err)
				}
			})
		}

		wg.Wait()
		require.Equal(t, 1, d.services[0].Executions()[c.key])
	}
}

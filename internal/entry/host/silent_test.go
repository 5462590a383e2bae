package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
)

func TestSilentEngineThatGoesOnIsGivenUp(t *testing.T) {
	// Longer than four streams that each end after the liveness limit; less than the deadline of 20 s.
	const silence = 6 * liveness

	for name, c := range map[string]call{
		"begun stream":      {kind: "note", prompt: "a crack", tokens: 300, stream: true},
		"no other engine":   {kind: "note", prompt: "a damp wall", tokens: 300},
		"runs at most once": {kind: "grade", prompt: "a loose tile", tokens: 300, key: newKey()},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			d := newDeployment(t, 1, engine.Options{TokenTime: 10 * time.Millisecond})
			h := d.addHost(t, "a")

			go func() {
				for d.engines[0].OpenAnswers() == 0 && t.Context().Err() == nil {
					time.Sleep(pollEvery)
				}

				time.Sleep(50 * pollEvery)
				d.engines[0].SetFaults(engine.Faults{Silent: true})
				time.Sleep(silence)
				d.engines[0].SetFaults(engine.Faults{})
			}()

			out := c.send(t, h)
			require.True(t, out.whole, "%+v", out)
			require.Equal(t, c.want(), out.text)

			for id, n := range d.engines[0].Runs() {
				require.Equal(t, 1, n, "request %s", id)
			}
		})
	}
}

package trace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

func TestDeploymentsHaveTheStatedSizes(t *testing.T) {
	tests := map[string]struct {
		centres, engines, services, hosts int
		centreDelay                       time.Duration
	}{
		"dombud": {4, 18, 4, 8, 1500 * time.Microsecond},
		"qafzeh": {3, 18, 3, 7, 500 * time.Microsecond},
	}

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, err := trace.Lookup(name)
			require.NoError(t, err)

			engines, services, hosts := 0, 0, 0
			for _, c := range d.Centres {
				engines += c.Engines
				services += c.Services
				hosts += c.Hosts
			}

			require.Equal(t, tt.centres, len(d.Centres))
			require.Equal(t, tt.engines, engines)
			require.Equal(t, tt.services, services)
			require.Equal(t, tt.hosts, hosts)
			require.Equal(t, tt.centreDelay, d.CentreDelay)
		})
	}

	_, err := trace.Lookup("other")
	require.Error(t, err)
}

func TestGenerateFollowsSeedAndPhases(t *testing.T) {
	d := trace.Dombud()
	a := trace.Generate(d, 1)
	require.Equal(t, a, trace.Generate(d, 1))
	require.NotEqual(t, a.Arrivals[0], trace.Generate(d, 2).Arrivals[0])

	drafts := func(p trace.Phase) float64 {
		n := 0

		for _, x := range a.Arrivals {
			if d.Kinds[x.Kind].Name == "report-draft" && x.At >= p.From && x.At < p.To {
				n++
			}
		}

		return float64(n) / (p.To - p.From).Seconds()
	}

	require.InDelta(t, 0.5, drafts(a.Phases[0]), 0.15)
	require.InDelta(t, 2, drafts(a.Phases[1]), 0.4)

	seen := make(map[entity.RequestID]bool)
	for i, x := range a.Arrivals {
		require.False(t, seen[x.Request])
		seen[x.Request] = true

		require.Positive(t, x.Decode)
		require.LessOrEqual(t, x.PrefixTokens, x.Prefill)
		require.True(t, i == 0 || a.Arrivals[i-1].At <= x.At)
	}
}

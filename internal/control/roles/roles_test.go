package roles_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
)

var now = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// input returns an Input of two data centres with four engines each, half of them prefill and half decode. The
// demand, over both data centres, is prefill times the rate of all prefill engines and decode times that of all
// decode engines.
func input(prefill, decode float64) roles.Input {
	in := roles.Input{Now: now}

	for i := range 8 {
		in.Engines = append(in.Engines, roles.Engine{
			Target:      entity.TargetID(fmt.Sprint("e", i)),
			DataCentre:  entity.DataCentre(fmt.Sprint("dc", i/4)),
			Model:       "m",
			Role:        entity.Role(1 + i%2),
			PrefillRate: 1000,
			DecodeRate:  100,
			ReportedAt:  now,
			Open:        i,
		})
	}

	for i := range 2 {
		in.Loads = append(in.Loads, roles.Load{
			Source: roles.Source{DataCentre: entity.DataCentre(fmt.Sprint("dc", i)), Model: "m"},
			At:     now,
			Rate:   roles.Rate{Requests: 10, Prefill: prefill * 2000, Decode: decode * 200},
		})
	}

	return in
}

func TestProposeFollowsDemand(t *testing.T) {
	p, ok := roles.Propose(roles.Options{}, input(1.3, 0.3), "dc0")
	require.True(t, ok)
	require.Equal(t, entity.Prefill, p.Role)
	require.Equal(t, entity.TargetID("e1"), p.Target, "the engine with the fewest requests in flight")
	require.Positive(t, p.Gain)

	p, ok = roles.Propose(roles.Options{}, input(0.3, 1.3), "dc0")
	require.True(t, ok)
	require.Equal(t, entity.Decode, p.Role)
}

func TestProposeLeavesBe(t *testing.T) {
	tests := map[string]struct {
		change func(*roles.Input, *roles.Options)
		dc     entity.DataCentre
	}{
		"other data centre acts": {func(*roles.Input, *roles.Options) {}, "dc1"},
		"unknown data centre":    {func(*roles.Input, *roles.Options) {}, "dc9"},
		"stale demand":           {func(in *roles.Input, _ *roles.Options) { in.Loads[1].At = now.Add(-6 * time.Second) }, "dc0"},
		"no demand known":        {func(in *roles.Input, _ *roles.Options) { in.Loads = nil }, "dc0"},
		"stale engines": {func(in *roles.Input, _ *roles.Options) {
			for i := range 3 {
				in.Engines[i].ReportedAt = time.Time{}
			}
		}, "dc0"},
		"dwell": {func(in *roles.Input, _ *roles.Options) {
			for i := range in.Engines {
				in.Engines[i].ChangedAt = now.Add(-30 * time.Second)
			}
		}, "dc0"},
		"enough changes in progress": {func(in *roles.Input, _ *roles.Options) {
			in.Engines[0].Changing, in.Engines[4].Changing = true, true
		}, "dc0"},
		"change costs more than it gains": {func(_ *roles.Input, opt *roles.Options) { opt.Horizon = 11 * time.Second }, "dc0"},
		"weight of changes":               {func(_ *roles.Input, opt *roles.Options) { opt.Weights.RoleChange = 100 }, "dc0"},
		"balanced":                        {func(in *roles.Input, _ *roles.Options) { *in = input(0.7, 0.7) }, "dc0"},
		"overloaded in both":              {func(in *roles.Input, _ *roles.Options) { *in = input(2, 2) }, "dc0"},
	}

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			in, opt := input(1.3, 0.3), roles.Options{}
			tt.change(&in, &opt)

			p, ok := roles.Propose(opt, in, tt.dc)
			require.False(t, ok, "%+v", p)
		})
	}
}

func TestProposeKeepsTheLastEngineOfARole(t *testing.T) {
	in := input(1.3, 0)
	in.Engines = in.Engines[:2]

	_, ok := roles.Propose(roles.Options{}, in, "dc0")
	require.False(t, ok)
}

// TestProposeRestoresAMissingRole starts without a decode engine, for example because the last one was
// withdrawn.
func TestProposeRestoresAMissingRole(t *testing.T) {
	in := input(0.5, 0.1)
	for i := range in.Engines {
		in.Engines[i].Role = entity.Prefill
	}

	p, ok := roles.Propose(roles.Options{}, in, "dc0")
	require.True(t, ok)
	require.Equal(t, entity.Decode, p.Role)
}

// TestSpareCapacityElsewhereComesFirst has too little prefill capacity in dc0, but enough in both data centres
// together.
func TestSpareCapacityElsewhereComesFirst(t *testing.T) {
	in := input(0.7, 0.3)
	in.Loads[0].Rate.Prefill, in.Loads[1].Rate.Prefill = 2800, 0

	_, ok := roles.Propose(roles.Options{}, in, "dc0")
	require.False(t, ok)

	_, ok = roles.Propose(roles.Options{LocalOnly: true}, in, "dc0")
	require.True(t, ok)
}

func TestDemand(t *testing.T) {
	d := roles.NewDemand(roles.DemandOptions{Window: 10 * time.Second, PatientWindow: 50 * time.Second})
	s := roles.Source{DataCentre: "dc0", Model: "m"}
	require.Zero(t, d.Rate(now, s))

	for i := range 1000 {
		d.Admit(now.Add(time.Duration(i)*100*time.Millisecond), s, entity.Ordinary, 50, 5)
	}

	got := d.Rate(now.Add(100*time.Second), s)
	require.InDelta(t, 10, got.Requests, 0.2)
	require.InDelta(t, 500, got.Prefill, 10)
	require.InDelta(t, 50, got.Decode, 1)
	require.Less(t, d.Rate(now.Add(200*time.Second), s).Requests, 0.01)

	for i := range 1000 {
		d.Admit(now.Add(time.Duration(i)*time.Second), s, entity.Patient, 50, 5)
	}

	got = d.Rate(now.Add(1000*time.Second), s)
	require.InDelta(t, 1, got.Requests, 0.02, "patient work over its own window")
	require.Greater(t, d.Rate(now.Add(1010*time.Second), s).Requests, 0.5)
}

func TestPredict(t *testing.T) {
	d := roles.NewDemand(roles.DemandOptions{MaxKinds: 1})

	predict := func(want ...entity.Tokens) {
		t.Helper()

		prefill, decode := d.Predict("a", "k", 1000, 100)
		require.Equal(t, want, []entity.Tokens{prefill, decode})
	}

	predict(1000, 50)
	d.Learn("a", "k", roles.Usage{Prompt: 400, Cached: 100, Output: 10})
	predict(750, 10)
	d.Learn("a", "other", roles.Usage{Prompt: 400, Output: 20})
	predict(1000, 50) // evicted, as only one kind is kept
}

package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/router"
)

func TestDecodeRunsAtTheVersionOfThePrefill(t *testing.T) {
	const engines = 100

	clock := clockwork.NewFakeClock()
	cfg := entity.Config{Targets: []entity.Target{{ID: "prefill", DataCentre: "a", Model: "m", Role: entity.Prefill}}}

	for i := range engines {
		cfg.Targets = append(cfg.Targets, entity.Target{ID: entity.TargetID(fmt.Sprintf("decode-%d", i)), DataCentre: "a", Model: "m", Role: entity.Decode})
	}

	r, snapshot := router.New(router.Options{Clock: clock, Home: "a", Seed: 1}), entity.NewSnapshot(cfg)
	req := entity.Request{Kind: entity.Kind{Name: "note", Model: "m"}, Prefill: 10, Decode: 10, Preferred: "prefill"}
	loads := map[entity.TargetID]entity.Load{}

	for _, target := range cfg.Targets {
		loads[target.ID] = entity.Load{Target: target.ID, At: clock.Now(), Role: target.Role, Version: "v1"}
	}

	refresh := func() { r.Refresh(snapshot, router.RefreshInput{Hosts: 1, Loads: loads}) }
	picks := func(want entity.TargetID, found bool) {
		t.Helper()

		for range picks {
			d, ok := r.PickDecode(req, "a", nil)
			require.Equal(t, found, ok)

			if want != "" {
				require.Equal(t, want, d.ID)
			}
		}
	}

	refresh()
	picks("", true)

	// A statement in an answer counts at once, and the older load report does not undo it.
	clock.Advance(time.Millisecond)
	r.SetVersion("prefill", "v2")
	refresh()
	picks("", false)

	// One engine of many is found, as is the engine that has the request already.
	r.SetVersion("decode-7", "v2")
	picks("decode-7", true)

	_, ok := r.PickDecode(req, "a", []entity.TargetID{"decode-7"})
	require.False(t, ok)

	// No prompt runs on an engine whose KV cache no other one can use.
	fresh, ok := r.Pick(entity.Request{Kind: req.Kind, Prefill: 10, Decode: 10}, nil)
	require.True(t, ok)
	require.Equal(t, entity.TargetID("prefill"), fresh.ID)

	clock.Advance(time.Millisecond)
	r.SetVersion("decode-7", "v1")

	_, ok = r.Pick(entity.Request{Kind: req.Kind, Prefill: 10, Decode: 10}, nil)
	require.False(t, ok)

	// A later load report counts; engines whose version is not known may be asked.
	clock.Advance(time.Millisecond)

	loads["prefill"] = entity.Load{Target: "prefill", At: clock.Now(), Role: entity.Prefill, Version: "v1"}

	refresh()
	picks("", true)

	unknown := router.New(router.Options{Clock: clock, Home: "a", Seed: 1})
	unknown.Refresh(snapshot, router.RefreshInput{Hosts: 1})
	unknown.SetVersion("prefill", "v2")

	_, ok = unknown.PickDecode(req, "a", nil)
	require.True(t, ok)
}

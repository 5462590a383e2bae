package router_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/router"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const picks = 50

func newRouter(clock clockwork.Clock, engines ...entity.TargetID) (*router.Router, *entity.Snapshot) {
	var cfg entity.Config
	for _, id := range engines {
		cfg.Targets = append(cfg.Targets, entity.Target{
			ID: id, DataCentre: "a", Model: "m", Slots: 16, PrefillRate: 16_000, DecodeRate: 1_200,
		})
	}

	r, snapshot := router.New(router.Options{Clock: clock, Home: "a", Seed: 1}), entity.NewSnapshot(cfg)
	r.Refresh(snapshot, router.RefreshInput{Hosts: 1})

	return r, snapshot
}

// pickCounts picks a target for req picks times, and returns how often each target was picked.
func pickCounts(t *testing.T, r *router.Router, req entity.Request) map[entity.TargetID]int {
	t.Helper()

	counts := map[entity.TargetID]int{}

	for range picks {
		target, ok := r.Pick(req, nil)
		require.True(t, ok)

		counts[target.ID]++
	}

	return counts
}

func TestTargetThatRefusedIsAvoidedForAWhile(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r, snapshot := newRouter(clock, "engine-1", "engine-2")
	req := entity.Request{Kind: entity.Kind{Name: "note", Model: "m"}, Prefill: 10, Decode: 10}

	require.True(t, r.Begin("engine-1", req))
	r.End("engine-1", req, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "busy"))
	require.Equal(t, map[entity.TargetID]int{"engine-2": picks}, pickCounts(t, r, req))

	// If no other target is left, the work goes to the one that refused.
	lastResort, ok := r.Pick(req, []entity.TargetID{"engine-2"})
	require.True(t, ok)
	require.Equal(t, entity.TargetID("engine-1"), lastResort.ID)

	clock.Advance(time.Second)
	r.Refresh(snapshot, router.RefreshInput{Hosts: 1})
	require.Len(t, pickCounts(t, r, req), 2)
}

func TestNewWorkOnALeavingTargetDoesNotBegin(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r, snapshot := newRouter(clock, "engine-1", "engine-2")
	req := entity.Request{Kind: entity.Kind{Name: "note", Model: "m"}, Prefill: 10, Decode: 10}

	// The request was picked for engine-1 before engine-1 began to leave, and begins afterwards.
	r.Refresh(snapshot, router.RefreshInput{Hosts: 1, Leaving: map[entity.TargetID]bool{"engine-1": true}})
	require.False(t, r.Begin("engine-1", req))
	require.Zero(t, r.InFlight("engine-1"))
	require.Equal(t, map[entity.TargetID]int{"engine-2": picks}, pickCounts(t, r, req))

	req.Resume = true
	require.True(t, r.Begin("engine-1", req), "a leaving target must still accept the resumption of an answer")
}

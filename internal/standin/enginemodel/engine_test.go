package enginemodel_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/enginemodel"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// drain advances e from event to event until none is left, and returns the events.
func drain(t *testing.T, e *enginemodel.Engine) []enginemodel.Event {
	t.Helper()

	var events []enginemodel.Event

	for range 1000 {
		next := e.Next()
		if next.IsZero() {
			return events
		}

		events = append(events, e.Advance(next)...)
	}

	t.Fatal("engine still has events after 1000 steps")

	return nil
}

// times returns the time since start of each request's event of the type kind, rounded to milliseconds.
func times(events []enginemodel.Event, kind enginemodel.EventType) map[entity.RequestID]time.Duration {
	got := make(map[entity.RequestID]time.Duration)

	for _, ev := range events {
		if ev.Type == kind {
			got[ev.Work.Request] = ev.At.Sub(start).Round(time.Millisecond)
		}
	}

	return got
}

func TestUrgentPromptOvertakesAndKeepsProgress(t *testing.T) {
	e := enginemodel.New(start, enginemodel.Options{Role: entity.Prefill, PrefillRate: 1000})

	require.NoError(t, e.Submit(at(0), enginemodel.Work{Request: "patient", Urgency: entity.Patient, Prefill: 1000, Decode: 1}))
	require.NoError(t, e.Submit(at(500*time.Millisecond), enginemodel.Work{Request: "urgent", Urgency: entity.Urgent, Prefill: 200, Decode: 1}))

	want := map[entity.RequestID]time.Duration{"urgent": 700 * time.Millisecond, "patient": 1200 * time.Millisecond}
	require.Equal(t, want, times(drain(t, e), enginemodel.Finished))
}

func TestStreamsShareDecodeRateAndWaitForSlots(t *testing.T) {
	e := enginemodel.New(start, enginemodel.Options{Role: entity.Decode, DecodeRate: 100, StreamRate: 60, Slots: 2})

	for _, id := range []entity.RequestID{"a", "b", "c"} {
		require.NoError(t, e.Submit(start, enginemodel.Work{Request: id, Decode: 51, Offset: 1, Imported: true}))
	}

	got := times(drain(t, e), enginemodel.Finished)
	require.Equal(t, time.Second, got["a"])
	require.Equal(t, time.Second, got["b"])
	require.Equal(t, 1833*time.Millisecond, got["c"]) // alone at 60 tokens per second
}

func TestPrefillEngineHandsOver(t *testing.T) {
	e := enginemodel.New(start, enginemodel.Options{Role: entity.Prefill, PrefillRate: 1000})
	require.NoError(t, e.Submit(start, enginemodel.Work{Request: "a", Prefill: 500, Decode: 10}))

	events := drain(t, e)
	require.Len(t, events, 2)
	require.Equal(t, enginemodel.FirstToken, events[0].Type)
	require.Equal(t, enginemodel.PrefillDone, events[1].Type)
	require.True(t, events[1].Work.Imported)
	require.Equal(t, entity.Tokens(1), events[1].Work.Offset)
	require.Zero(t, e.InFlight())
	require.ErrorIs(t, e.Submit(e.Next(), events[1].Work), enginemodel.ErrRole)
}

func TestPrefixCacheIsBounded(t *testing.T) {
	e := enginemodel.New(start, enginemodel.Options{Role: entity.Prefill, PrefillRate: 1000, CacheTokens: 1000})

	// cachedTokens runs a request with the prefix p and returns how many of its tokens came from the cache.
	cachedTokens := func(id entity.RequestID, p enginemodel.Prefix) entity.Tokens {
		now := start
		if evs := e.Advance(start); len(evs) > 0 {
			now = evs[len(evs)-1].At
		}

		require.NoError(t, e.Submit(now, enginemodel.Work{Request: id, Prefill: 800, Decode: 1, Prefix: p, PrefixTokens: 600}))
		events := drain(t, e)

		return events[len(events)-1].Cached
	}

	require.Zero(t, cachedTokens("a", 1))
	require.Equal(t, entity.Tokens(600), cachedTokens("b", 1))
	require.Zero(t, cachedTokens("c", 2)) // evicts 1
	require.Zero(t, cachedTokens("d", 1))
}

func TestRoleChangeWaitsForWorkThenTakesItsTime(t *testing.T) {
	e := enginemodel.New(start, enginemodel.Options{Role: entity.Decode, DecodeRate: 100, StreamRate: 50, RoleChangeTime: 5 * time.Second})
	require.NoError(t, e.Submit(start, enginemodel.Work{Request: "a", Decode: 101, Offset: 1, Imported: true}))
	require.NoError(t, e.ChangeRole(start, entity.Prefill))
	require.NoError(t, e.ChangeRole(start, entity.Prefill))
	require.ErrorIs(t, e.ChangeRole(start, entity.Mixed), enginemodel.ErrChanging)
	require.ErrorIs(t, e.Submit(start, enginemodel.Work{Request: "b", Imported: true}), enginemodel.ErrChanging)

	events := drain(t, e)
	require.Equal(t, map[entity.RequestID]time.Duration{"a": 2 * time.Second}, times(events, enginemodel.Finished))
	require.Equal(t, map[entity.RequestID]time.Duration{"": 7 * time.Second}, times(events, enginemodel.RoleChanged))
	require.Equal(t, entity.Prefill, e.Role())
}

func TestExportedStreamGoesOnElsewhere(t *testing.T) {
	opt := enginemodel.Options{Role: entity.Decode, DecodeRate: 100, StreamRate: 50}
	a, b := enginemodel.New(start, opt), enginemodel.New(start, opt)
	require.NoError(t, a.Submit(start, enginemodel.Work{Request: "a", Decode: 101, Offset: 1, Imported: true}))

	works := a.Export(at(time.Second))
	require.Len(t, works, 1)
	require.Equal(t, entity.Tokens(51), works[0].Offset)
	require.Zero(t, a.InFlight())

	require.NoError(t, b.Submit(at(time.Second), works[0]))
	require.Equal(t, 2*time.Second, times(drain(t, b), enginemodel.Finished)["a"])
}

func TestCancelFreesTheSlot(t *testing.T) {
	e := enginemodel.New(start, enginemodel.Options{DecodeRate: 10, StreamRate: 10, Slots: 1})
	require.NoError(t, e.Submit(start, enginemodel.Work{Request: "a", Decode: 100, Imported: true}))
	require.NoError(t, e.Submit(start, enginemodel.Work{Request: "b", Decode: 10, Imported: true}))
	require.True(t, e.Cancel(at(time.Second), "a"))
	require.False(t, e.Cancel(at(time.Second), "a"))
	require.Equal(t, map[entity.RequestID]time.Duration{"b": 2 * time.Second}, times(drain(t, e), enginemodel.Finished))
}

func TestReportsLagAndCacheEventsHaveGaps(t *testing.T) {
	e := enginemodel.New(start, enginemodel.Options{Role: entity.Prefill, PrefillRate: 1000, CacheEventLoss: 0.5, Seed: 1})

	for i := range 20 {
		id := entity.RequestID(rune('a' + i))
		require.NoError(t, e.Submit(start, enginemodel.Work{Request: id, Prefill: 100, Decode: 1, Prefix: enginemodel.Prefix(i + 1), PrefixTokens: 50}))
	}

	_, ok := e.Load(at(600 * time.Millisecond))
	require.False(t, ok)

	load, ok := e.Load(at(1300 * time.Millisecond))
	require.True(t, ok)
	require.Equal(t, at(500*time.Millisecond), load.At)
	require.Equal(t, entity.Tokens(1500), load.PrefillPending)

	require.Empty(t, e.CacheEvents(at(2*time.Second)))
	events := e.CacheEvents(at(10 * time.Second))
	require.Greater(t, len(events), 4)
	require.Less(t, len(events), 16)
	require.Empty(t, e.CacheEvents(at(20*time.Second)))
}

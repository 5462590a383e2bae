package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/retries"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// fakeOrigins knows the versions in known and records others. Its records reach no other host.
type fakeOrigins struct {
	known    map[entity.RequestID]entity.SoftwareVersion
	recorded map[entity.RequestID]entity.SoftwareVersion
	told     chan struct{}
	new      []entity.SoftwareVersion
	unlisted []entity.SoftwareVersion
	begun    []entity.RequestID
}

func (f *fakeOrigins) Record(_ entity.ServiceName, began entity.RequestID, version entity.SoftwareVersion) <-chan struct{} {
	f.recorded[began] = version

	return f.told
}

func (f *fakeOrigins) Begun(_ entity.ServiceName, began entity.RequestID) {
	f.begun = append(f.begun, began)
}

func (f *fakeOrigins) New(entity.ServiceName) []entity.SoftwareVersion { return f.new }

func (f *fakeOrigins) Unlisted(entity.ServiceName) []entity.SoftwareVersion { return f.unlisted }

func (f *fakeOrigins) Find(_ context.Context, _ entity.ServiceName, began entity.RequestID) (relay.Origin, bool) {
	v, ok := f.known[began]

	return relay.Origin{Version: v, Source: relay.FromPeer}, ok
}

type versionFixture struct {
	*fixture

	origins *fakeOrigins
	fleet   []fleet.Target
}

// newVersionFixture returns a relay whose fleet has two prefill and two decode replicas at each of v1 and v2.
func newVersionFixture(t *testing.T, route catalog.Route) *versionFixture {
	t.Helper()

	route.Host, route.Prefix, route.Shares = "host", "/p/", []catalog.Share{{Service: "model", Weight: 1}}
	c := catalog.Build(1, catalog.Limits{}, []catalog.Route{route}, []catalog.Service{{Name: "model", Engine: &catalog.Engine{KVCapacity: 100_000}}})

	told := make(chan struct{})
	close(told)

	fx := &versionFixture{
		fixture: &fixture{targets: &fakeTargets{}, board: placing.New()},
		origins: &fakeOrigins{
			known: map[entity.RequestID]entity.SoftwareVersion{}, recorded: map[entity.RequestID]entity.SoftwareVersion{}, told: told,
		},
	}

	for _, id := range []entity.TargetID{"p1", "p2", "d1", "d2"} {
		for _, v := range []entity.SoftwareVersion{"v1", "v2"} {
			role := entity.Decode
			if id[0] == 'p' {
				role = entity.Prefill
			}

			fx.fleet = append(fx.fleet, fleet.Target{ID: id + "-" + entity.TargetID(v), Service: "model", Role: role, Slots: 4, Version: v})
		}
	}

	fx.relay = relay.New(relay.Options{
		Log: &log.Logger{Level: log.PanicLevel}, Catalog: func() *catalog.Catalog { return c },
		Fleet: func() *fleet.Snapshot { return fleet.NewSnapshot(fx.fleet) }, Board: fx.board, Targets: fx.targets, Crashers: crashtracker.New(),
		Retries: retries.NewLimiter(retries.LimiterOptions{Slack: 100, Span: 10 * time.Second, Margin: 1}), Origins: fx.origins,
	})

	return fx
}

// take serves a request that takes up the stream that began as resumes, after event last. Both are empty for a new stream.
func (fx *versionFixture) take(t *testing.T, id, resumes entity.RequestID, last string) *replyRecorder {
	t.Helper()

	out := &replyRecorder{}
	fx.relay.Serve(t.Context(), &relay.Request{
		ID: id, Method: "POST", URI: "/p/x", Host: "host", Path: "/p/x", Arrived: time.Now(), Timeout: 10 * time.Second, Prompt: 100,
		Resumes: resumes, LastEventID: last,
	}, out)
	require.Equal(t, 1, out.finals)
	require.Empty(t, fx.board.Export())

	return out
}

func TestStreamIsTakenUpAtTheVersionThatBeganIt(t *testing.T) {
	for _, version := range []entity.SoftwareVersion{"v1", "v2"} {
		fx := newVersionFixture(t, resumable)
		fx.origins.known["first"] = version
		fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
			return answer(200, eventsFrom(4, 5)), nil
		}

		require.Equal(t, eventsFrom(4, 5), fx.take(t, "second", "first", "3").body.String())
		require.Equal(t, version, fx.targets.runs[0].Target.Version)
		require.Equal(t, version, fx.targets.prefills[0].Target.Version)
		require.Equal(t, version, fx.origins.recorded["first"], "a third try names the first one too")
		require.NotContains(t, fx.origins.recorded, entity.RequestID("second"))
	}
}

func TestStreamOfUnknownVersionIsRefusedAtOnce(t *testing.T) {
	fx := newVersionFixture(t, resumable)
	out := fx.take(t, "second", "first", "3")
	require.Equal(t, verdict.CodeUnknownOrigin, out.refused.Code)
	require.Equal(t, verdict.NotRun, out.refused.Verdict)
	require.Positive(t, out.refused.RetryAfter)
	require.Empty(t, fx.targets.prefills)
	require.Empty(t, fx.targets.runs)
}

func TestStreamWhoseVersionHasNoReplicaIsRefusedAtOnce(t *testing.T) {
	fx := newVersionFixture(t, resumable)
	fx.origins.known["first"] = "v0"
	out := fx.take(t, "second", "first", "3")
	require.Equal(t, verdict.CodeNoTarget, out.refused.Code)
	require.Equal(t, verdict.NotRun, out.refused.Verdict)
	require.Empty(t, fx.targets.prefills)
}

func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	fx := newVersionFixture(t, resumable)
	fx.targets.run = func(n int, _ context.Context, _ relay.Send) (*relay.Answer, error) {
		if n == 1 {
			a := answer(200, "first")
			a.Body = cut(eventsFrom(1, 3), errReset)

			return a, nil
		}

		return answer(200, eventsFrom(4, 6)), nil
	}

	require.Equal(t, eventsFrom(1, 6), fx.take(t, "q", "", "").body.String())

	for _, s := range append(fx.targets.runs, fx.targets.prefills...) {
		require.Equal(t, fx.targets.runs[0].Target.Version, s.Target.Version)
	}
}

func TestKVCacheStaysAtItsVersion(t *testing.T) {
	fx := newVersionFixture(t, plainStream)
	fx.targets.run = func(_ int, _ context.Context, s relay.Send) (*relay.Answer, error) {
		require.Equal(t, s.KVCache.Target.Version, s.Target.Version)

		return answer(200, eventsFrom(1, 2)), nil
	}

	for _, id := range []entity.RequestID{"a", "b", "c", "d", "e", "f", "g", "h"} {
		require.Equal(t, 200, fx.take(t, id, "", "").status)
	}

	require.Empty(t, fx.origins.recorded, "nobody can take these streams up")
}

func TestVersionMayChangeBeforeTheFirstEvent(t *testing.T) {
	fx := newVersionFixture(t, resumable)
	fx.targets.run = func(n int, _ context.Context, s relay.Send) (*relay.Answer, error) {
		if n == 1 {
			// The other replica of this version is leaving.
			for i := range fx.fleet {
				fx.fleet[i].Leaving = fx.fleet[i].Leaving || fx.fleet[i].Version == s.Target.Version
			}

			return nil, mayHaveRun()
		}

		return answer(200, eventsFrom(1, 2)), nil
	}

	require.Equal(t, 200, fx.take(t, "q", "", "").status)
	require.NotEqual(t, fx.targets.runs[0].Target.Version, fx.targets.runs[1].Target.Version)
	require.Equal(t, fx.targets.runs[1].Target.Version, fx.origins.recorded["q"])
}

func TestVersionThatCannotServeInTimeIsPassedOver(t *testing.T) {
	for _, slow := range []entity.SoftwareVersion{"v1", "v2"} {
		fx := newVersionFixture(t, resumable)
		fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
			return answer(200, eventsFrom(1, 2)), nil
		}

		var work []placing.TargetWork
		for _, id := range []entity.TargetID{"p1-", "p2-"} {
			work = append(work, placing.TargetWork{Target: id + entity.TargetID(slow), PendingPrefill: [4]entity.Tokens{500_000}})
		}

		fx.board.Merge(time.Now(), "peer", work)
		require.Equal(t, 200, fx.take(t, "q", "", "").status)
		require.NotEqual(t, slow, fx.targets.runs[0].Target.Version)
	}
}

func TestFirstEventWaitsForTheRecordOfItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, told := range []time.Duration{20 * time.Millisecond, time.Hour} {
			fx := newVersionFixture(t, resumable)
			fx.origins.told = make(chan struct{})
			fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
				return answer(200, eventsFrom(1, 2)), nil
			}

			tell := time.AfterFunc(told, func() { close(fx.origins.told) })
			start := time.Now()

			require.Equal(t, 200, fx.take(t, "q", "", "").status)
			require.Equal(t, min(told, 50*time.Millisecond), time.Since(start))
			tell.Stop()
		}
	})
}

func TestVersionThatOtherHostsMayNotKnowGetsNoStreams(t *testing.T) {
	for _, unknown := range []entity.SoftwareVersion{"v1", "v2"} {
		fx := newVersionFixture(t, resumable)
		fx.origins.new = []entity.SoftwareVersion{unknown}
		fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
			return answer(200, eventsFrom(1, 2)), nil
		}

		require.Equal(t, 200, fx.take(t, "q", "", "").status)
		require.NotEqual(t, unknown, fx.targets.runs[0].Target.Version)

		fx.origins.new = []entity.SoftwareVersion{"v1", "v2"}
		require.Equal(t, 200, fx.take(t, "r", "", "").status, "this host has just started")
	}
}

// TestVersionThatTheStoreDoesNotListComesLast guards against streams at a version of which hosts know nothing that start after all others were
// killed.
func TestVersionThatTheStoreDoesNotListComesLast(t *testing.T) {
	for _, unlisted := range []entity.SoftwareVersion{"v1", "v2"} {
		fx := newVersionFixture(t, resumable)
		fx.origins.new = []entity.SoftwareVersion{"v1", "v2"}
		fx.origins.unlisted = []entity.SoftwareVersion{unlisted}
		fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
			return answer(200, eventsFrom(1, 2)), nil
		}

		require.Equal(t, 200, fx.take(t, "q", "", "").status)
		require.NotEqual(t, unlisted, fx.targets.runs[0].Target.Version)

		fx.origins.unlisted = []entity.SoftwareVersion{"v1", "v2"}
		require.Equal(t, 200, fx.take(t, "r", "", "").status, "the store is away")
	}
}

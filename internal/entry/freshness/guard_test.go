package freshness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/freshness"
	"github.com/dotterelflow/dotterelflow/internal/entry/peersync"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
)

// fakeWatcher counts the calls of Refresh.
type fakeWatcher struct {
	watching  storewatch.Watching
	refreshed int
}

func (w *fakeWatcher) Watching() storewatch.Watching { return w.watching }
func (w *fakeWatcher) Refresh()                      { w.refreshed++ }

// fixture is a Guard whose watches began at the start, with what it is told.
type fixture struct {
	guard                  *freshness.Guard
	configuration, targets *fakeWatcher
	age                    time.Duration // of both states
	reachable, leaves      bool
	announced              int
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newFixture() *fixture {
	f := &fixture{reachable: true, age: time.Second}
	under := storewatch.Watching{Since: start, Until: start.Add(19 * time.Second)}
	f.configuration, f.targets = &fakeWatcher{watching: under}, &fakeWatcher{watching: under}
	f.guard = freshness.New(freshness.Options{
		Log: quiet, Home: "x", Ages: func(time.Time) (time.Duration, time.Duration) { return f.age, f.age },
		StoreReachable: func() bool { return f.reachable }, LeavesStoreToPeers: func() bool { return f.leaves },
		Turn:     func(watch int) peersync.Turn { return peersync.Turn{Index: watch, Count: 16} },
		Announce: func() { f.announced++ },
	})
	f.guard.Attach(start, f.configuration, f.targets)
	f.guard.OnAnswer(0, start, start)
	f.guard.OnAnswer(1, start, start)
	f.guard.Tick(start)

	return f
}

func TestPeerThatIsAheadIsBelievedOnlyIfItsStateIsNewer(t *testing.T) {
	f := newFixture()
	now := start.Add(time.Second)
	c := peersync.Claim{DataCentre: "y", Lag: peersync.Lag{Targets: true}, Since: now, HeardAt: now, TargetsAge: 100 * time.Millisecond}

	require.True(t, f.guard.Accept(now, c))
	require.False(t, f.guard.Accept(start.Add(100*time.Millisecond), c), "the own watch may deliver it yet")

	c.TargetsAge = 2 * time.Second
	require.False(t, f.guard.Accept(now, c), "a peer that is cut off has a high revision of an older time")

	c.TargetsAge = -1
	require.False(t, f.guard.Accept(now, c))

	c.Lag.Configuration = true
	require.True(t, f.guard.Accept(now, c), "versions of the configuration only grow")

	f.reachable = false
	require.True(t, f.guard.Accept(now, peersync.Claim{DataCentre: "y", Since: now}))

	f.reachable, f.leaves = true, true
	require.True(t, f.guard.Accept(now, peersync.Claim{DataCentre: "x", Since: now}))
	require.False(t, f.guard.Accept(now, peersync.Claim{DataCentre: "y", Since: now}))
	require.True(t, f.guard.Accept(now.Add(time.Second), peersync.Claim{DataCentre: "y", Since: now}))
}

func TestWatchThatMissedWhatAPeerKnowsIsReplaced(t *testing.T) {
	f := newFixture()
	now := start.Add(time.Second)
	announced := f.announced

	f.guard.OnImport(now, peersync.Claim{DataCentre: "x"}, peersync.Lag{Targets: true})
	require.Equal(t, 1, f.targets.refreshed)
	require.Zero(t, f.configuration.refreshed)
	require.Equal(t, announced+1, f.announced)
}

func TestStoreIsReadAnewOnceNoConnectionIsKnownToWork(t *testing.T) {
	f := newFixture()
	f.guard.OnAnswer(1, start, start.Add(time.Second))
	f.guard.Tick(start.Add(3 * time.Second))
	require.Zero(t, f.targets.refreshed)

	f.guard.OnAnswer(1, start.Add(2*time.Second), start.Add(2500*time.Millisecond))
	require.Equal(t, 2500*time.Millisecond, f.guard.HeardAge(start.Add(3500*time.Millisecond)), "a connection opened later shows nothing of others")

	f.guard.OnPeer(start.Add(3*time.Second), 500*time.Millisecond)
	f.guard.Tick(start.Add(4 * time.Second))
	require.Zero(t, f.targets.refreshed)

	f.guard.Tick(start.Add(6 * time.Second))
	require.Equal(t, 1, f.targets.refreshed)
	require.Equal(t, 1, f.configuration.refreshed)

	f.guard.Tick(start.Add(7 * time.Second))
	require.Equal(t, 1, f.targets.refreshed, "the watches are being replaced")

	announced := f.announced
	began := start.Add(6010 * time.Millisecond)
	f.targets.watching.Since, f.configuration.watching.Since = began, began
	f.guard.OnAnswer(0, began, began)
	require.NotZero(t, f.guard.HeardAge(began), "the targets may still be on a silent connection")

	f.guard.OnAnswer(1, began, began)
	f.guard.Tick(began)
	require.Equal(t, announced+1, f.announced)
	require.Zero(t, f.guard.HeardAge(began))
}

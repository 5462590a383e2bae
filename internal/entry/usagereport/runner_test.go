package usagereport_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/entry/usagereport"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	window = 5 * time.Second
	due    = 10 * time.Second
)

// fakes are the lease, the store and the platform of one host.
type fakes struct {
	mu       sync.Mutex
	term     duties.Term
	held     bool
	mayCall  bool
	inFlight int
	version  platform.Version
	value    []byte
	reports  []duties.Report
	lose     bool // the platform's answers are lost
}

func (f *fakes) Term() (duties.Term, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.term, f.held
}

func (f *fakes) BeginCall(t duties.Term) (func(), bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if !f.mayCall || t != f.term {
		return nil, false
	}

	f.inFlight++

	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()

		f.inFlight--
	}, true
}

func (f *fakes) Get(_ context.Context, key platform.Key) (platform.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return platform.Object{Key: key, Version: f.version, Value: f.value}, nil
}

func (f *fakes) Put(_ context.Context, _ platform.Key, expect platform.Version, value []byte) (platform.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if expect != f.version {
		return 0, platform.ErrConflict
	}

	f.version++
	f.value = value

	return f.version, nil
}

func (f *fakes) Report(_ context.Context, _ duties.Term, r duties.Report) (duties.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.reports = append(f.reports, r)

	if f.lose {
		return duties.Failed, errors.New("no answer")
	}

	return duties.Accepted, nil
}

func (f *fakes) sent() []duties.Report {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Clone(f.reports)
}

// written reports whether there is a plan in the store.
func (f *fakes) written() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.version > 0
}

func (f *fakes) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()

	change()
}

func start(ctx context.Context, f *fakes) (*usagereport.Counter, *usagereport.Runner) {
	counter := usagereport.NewCounter(usagereport.CounterOptions{Host: "a", DataCentre: "z", Window: window, Due: due})

	return counter, usagereport.Start(ctx, usagereport.Options{
		Log: &log.Logger{Level: log.PanicLevel}, Counter: counter, Duty: f, Store: f, Platform: f,
	})
}

func TestHolderReportsWhatWasCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		f := &fakes{term: duties.Term{Holder: "a", Fence: 3}, held: true, mayCall: true}
		counter, runner := start(ctx, f)

		// The time of day begins with a window here.
		time.Sleep(window + time.Second)

		for range 3 {
			counter.Began("x")
		}

		time.Sleep(window + 2*time.Second)
		require.Len(t, f.sent(), 1)
		require.Equal(t, map[string]uint64{"x": 3}, counts(f.sent()[0]))

		f.set(func() {
			require.Zero(t, f.inFlight)

			f.lose = true
		})
		counter.Began("y")
		time.Sleep(30 * time.Second)

		cancel()
		<-runner.Done()

		sends := map[duties.Window]int{}
		repeats := f.sent()[1:]

		for _, r := range repeats {
			sends[r.Window]++
			require.Equal(t, repeats[0].Window == r.Window, len(r.Counts) == 1, "each repeat is the same")
		}

		require.Greater(t, sends[repeats[0].Window], 3)

		stats := runner.Stats()
		require.Equal(t, int64(1), stats.Reported)
		require.Equal(t, int64(len(repeats)), stats.Failed)
	})
}

func counts(r duties.Report) map[string]uint64 {
	list := map[string]uint64{}
	for account, n := range r.Counts {
		list[string(account)] = n
	}

	return list
}

// TestNothingIsSentWithoutTheLease guards the check right before each call, and a host that never had the lease.
func TestNothingIsSentWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		f := &fakes{term: duties.Term{Holder: "a", Fence: 3}, mayCall: true}
		_, runner := start(ctx, f)

		time.Sleep(30 * time.Second)
		require.False(t, f.written())

		f.set(func() { f.held, f.mayCall = true, false })
		time.Sleep(30 * time.Second)
		require.True(t, f.written())
		require.Empty(t, f.sent())

		cancel()
		<-runner.Done()
	})
}

// TestCountsToldAfterTheReportAreShown counts requests of a window that was decided already.
func TestCountsToldAfterTheReportAreShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		f := &fakes{term: duties.Term{Holder: "a", Fence: 3}, held: true, mayCall: true}
		counter, runner := start(ctx, f)

		time.Sleep(2*window + 3*time.Second)
		require.Len(t, f.sent(), 1)

		counter.Merge(usagePeer, lateMessage(f.sent()[0].Window))
		time.Sleep(due)
		require.Equal(t, int64(4), runner.Stats().Late)

		cancel()
		<-runner.Done()
	})
}

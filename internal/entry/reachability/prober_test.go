package reachability_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/reach"
	"github.com/dotterelflow/dotterelflow/internal/entry/reachability"
)

// targets can be reached unless cut is set. Then probes fail, or hang until their time is over.
type targets struct {
	cut, hangs atomic.Bool
	probes     atomic.Int64
}

func (s *targets) Probe(ctx context.Context, _ fleet.Target) error {
	s.probes.Add(1)

	switch {
	case !s.cut.Load():
		return nil
	case s.hangs.Load():
		<-ctx.Done()

		return ctx.Err()
	default:
		return errors.New("refused")
	}
}

func TestCutIsKnownWithinASecondAndItsEndToo(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &targets{}
			s.hangs.Store(hangs)

			tr := reach.New(nil)
			ctx, cancel := context.WithCancel(t.Context())
			p := reachability.Start(ctx, reachability.Options{Log: &log.Logger{Level: log.PanicLevel}, Tracker: tr, Targets: s, Fleet: func() *fleet.Snapshot {
				return fleet.NewSnapshot([]fleet.Target{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}, {ID: "d", Service: "s"}})
			}})

			fail := func() {
				tr.RecordFailed(time.Now(), "s", "a", 4)
				tr.RecordFailed(time.Now(), "s", "b", 4)
				time.Sleep(time.Second)
			}

			fail()
			require.False(t, tr.CutOff("s"), "the targets answer probes")
			require.LessOrEqual(t, s.probes.Load(), int64(3))

			time.Sleep(time.Second)
			s.cut.Store(true)
			fail()
			require.True(t, tr.CutOff("s"))

			before := s.probes.Load()

			time.Sleep(10 * time.Second)
			require.True(t, tr.CutOff("s"))
			require.LessOrEqual(t, s.probes.Load()-before, int64(110))

			s.cut.Store(false)
			time.Sleep(time.Second)
			require.False(t, tr.CutOff("s"))

			cancel()
			<-p.Done()
		})
	}
}

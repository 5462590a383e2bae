package loadreports_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/loadreports"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
)

// unreachableEngines fails every request for a load report.
type unreachableEngines struct{}

func (unreachableEngines) Load(context.Context, entity.Target) (engine.Report, error) {
	return engine.Report{}, errors.New("unreachable")
}

// start returns a Table without configured targets, which polls nothing.
func start(t *testing.T, clock clockwork.Clock) *loadreports.Table {
	t.Helper()

	ctx, cancel := context.WithCancel(t.Context())
	reports := loadreports.Start(ctx, loadreports.Options{
		Clock: clock, Engines: unreachableEngines{}, Targets: func() []entity.Target { return nil }, Polls: func(entity.Target) bool { return false },
	})

	t.Cleanup(func() {
		cancel()
		<-reports.Done()
	})

	return reports
}

func TestReportFromAFastClockHidesNoLaterOne(t *testing.T) {
	clock := clockwork.NewFakeClock()
	reports := start(t, clock)

	reports.AddFromPeer(entity.Load{Target: "e", At: clock.Now().Add(time.Hour), Running: 1, PrefillPending: -5})
	require.Equal(t, entity.Load{Target: "e", At: clock.Now(), Running: 1}, reports.All()["e"])

	clock.Advance(time.Second)
	reports.AddFromPeer(entity.Load{Target: "e", At: clock.Now(), Running: 2})
	require.Equal(t, 2, reports.All()["e"].Running)
}

func TestReportsAreBounded(t *testing.T) {
	const bound = 16384

	clock := clockwork.NewFakeClock()
	reports := start(t, clock)

	for i := range 2 * bound {
		reports.AddFromPeer(entity.Load{Target: entity.TargetID(fmt.Sprint(i)), At: clock.Now()})
	}

	require.Len(t, reports.All(), bound)
}

package deployment_test

import (
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/entry/deployment"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
)

// TestAnswerThatWaitedInAPausedHostHidesNoOutage guards against sound targets that all hosts drop after an outage of the store, as a host
// that was paused in its midst has read an earlier answer then.
func TestAnswerThatWaitedInAPausedHostHidesNoOutage(t *testing.T) {
	const outage = 4 * time.Second

	newState := func() *deployment.State {
		return deployment.New(deployment.Options{
			Log: &log.Logger{Level: log.PanicLevel}, ConfigName: "main", RenewalInterval: 1200 * time.Millisecond,
			DecodeTarget: func(e storewatch.Entry) (fleet.Target, error) {
				return fleet.Target{ID: entity.TargetID(e.Name), Instance: e.Name, Service: "s", Address: string(e.Value)}, nil
			},
		})
	}

	woke, back := now.Add(outage/2), now.Add(outage)

	for name, tickFirst := range map[string]bool{"answer read first": false, "tick first": true} {
		t.Run(name, func(t *testing.T) {
			host, paused := newState(), newState()
			host.StoreAnswered(now, now)
			host.Targets().Replaced(now, []storewatch.Entry{{Name: "a", Value: []byte("x")}}, 5)
			paused.Tick(now)

			if tickFirst {
				paused.Tick(woke)
			}

			paused.StoreAnswered(now, woke)

			since, until := paused.Served(woke)
			host.ServedByPeer(woke, since, until, "p")

			host.StoreAnswered(back, back)
			host.Targets().Returned(back, outage)
			host.Targets().Replaced(back, nil, 6)
			require.Equal(t, 1, host.LapsedTargets())
			require.Len(t, host.Fleet().All, 1)
		})
	}
}

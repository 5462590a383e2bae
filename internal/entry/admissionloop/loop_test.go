package admissionloop_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/admissionloop"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// The loop stops its ticker while no request waits. The ticker must run again for the next request, or that
// request would never expire.
func TestWaitingRequestExpiresAfterAnIdleTime(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	clock := clockwork.NewFakeClock()
	loop := admissionloop.Start(admissionloop.Options{Clock: clock})
	defer loop.Stop()

	for round := range 2 {
		ended := make(chan error, 1)
		patient := entity.Request{
			ID: entity.RequestID(rune('a' + round)), Kind: entity.Kind{Urgency: entity.Patient, Model: "m"}, Decode: 1,
			Arrived: clock.Now(), Deadline: clock.Now().Add(time.Minute),
		}

		go func() {
			_, err := loop.Admit(ctx, patient)
			ended <- err
		}()

		require.NoError(t, clock.BlockUntilContext(ctx, 1))

		var err error

		for err == nil {
			clock.Advance(time.Second)

			select {
			case err = <-ended:
			case <-time.After(time.Millisecond):
			case <-ctx.Done():
				err = ctx.Err()
			}
		}

		var problem *verdict.Error

		require.True(t, errors.As(err, &problem), "%v", err)
		require.Equal(t, verdict.NotRun, problem.Verdict)
	}
}

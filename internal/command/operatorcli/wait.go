package operatorcli

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
)

// pollInterval is the time between two looks at what a command waits for.
const pollInterval = 100 * time.Millisecond

// Wait calls look until it reports that what the command waits for is there, for at most limit. At the limit it fails with what is
// missing, as look last stated it, or with the error of look.
func Wait(ctx context.Context, limit time.Duration, look func(ctx context.Context) (missing string, err error)) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	tick := time.NewTicker(pollInterval)
	defer tick.Stop()

	problem := "there was no answer"

	for {
		missing, err := look(ctx)

		switch {
		case err == nil && missing == "":
			return nil
		case err == nil:
			problem = missing
		case ctx.Err() == nil: // an error of the limit says nothing of the system
			problem = err.Error()
		}

		select {
		case <-ctx.Done():
			return cli.Exit(fmt.Sprintf("Not there after %v: %s.", limit, problem), ExitFailed)
		case <-tick.C:
		}
	}
}

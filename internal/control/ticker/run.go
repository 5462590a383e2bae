package ticker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run calls step at once and then at every interval until ctx ends. If ticks come while step runs, at most one
// of them is kept and the others are dropped. The interval must be positive.
func Run(ctx context.Context, clock clockwork.Clock, interval time.Duration, step func(ctx context.Context)) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()

	for {
		step(ctx)

		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

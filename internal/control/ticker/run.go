package ticker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run calls step at once and then every interval, until ctx ends. Ticks that come while step runs
// are dropped.
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

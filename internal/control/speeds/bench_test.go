package speeds_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/speeds"
)

// BenchmarkView reads the speeds of targets of which twelve hosts have told.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{35, 250, 600} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			table := speeds.New()
			fill(table, epoch, ids(n))

			for h := range 12 {
				for _, id := range ids(n) {
					table.Merge(epoch, entity.HostID(fmt.Sprint("h", h)), []speeds.Observation{{Target: id, Pace: fast + time.Duration(h), Weight: 7}})
				}
			}

			for b.Loop() {
				table.View(epoch, service, ids(n))
			}
		})
	}
}

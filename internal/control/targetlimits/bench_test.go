package targetlimits_test

import (
	"fmt"
	"testing"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/targetlimits"
)

// BenchmarkAdmits asks for each of 600 targets whether a request may be sent to it, as the choice of a target does.
func BenchmarkAdmits(b *testing.B) {
	for _, n := range []int{0, 1, 60} {
		b.Run(fmt.Sprint(n, " limits"), func(b *testing.B) {
			table := targetlimits.New(targetlimits.Options{Turn: func(string) (place, hosts int) { return 3, 330 }})

			ids := make([]entity.TargetID, 600)
			for i := range ids {
				ids[i] = entity.TargetID(fmt.Sprint("i-0123456789@", i))

				if i < n {
					table.Record(epoch, epoch, ids[i], limited(4))
				}
			}

			for b.Loop() {
				for _, id := range ids {
					table.Admits(epoch, id, 1)
				}
			}
		})
	}
}

package crashtracker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
)

// BenchmarkRecordLoss measures recording a loss of a request without earlier ones, in a table
// that is filled on the way or full already.
func BenchmarkRecordLoss(b *testing.B) {
	for _, records := range []int{0, 4096} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			table := crashtracker.New()
			for i := range records {
				table.RecordLoss(epoch, crashtracker.Loss{Request: crashtracker.Fingerprint(i), Target: "i-0123456789@1764800000123"})
			}

			f, now := crashtracker.Fingerprint(records), epoch.Add(time.Second)

			for b.Loop() {
				f++
				table.RecordLoss(now, crashtracker.Loss{Request: f, Target: "i-0123456789@1764800000123"})
			}
		})
	}
}

// BenchmarkRecordCompletion measures what each answered request costs.
func BenchmarkRecordCompletion(b *testing.B) {
	table := crashtracker.New()

	for f := crashtracker.Fingerprint(0); b.Loop(); f++ {
		table.RecordCompletion(epoch, f)
	}
}

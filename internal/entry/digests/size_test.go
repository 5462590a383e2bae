package digests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// BenchmarkDigest measures making and encoding one digest of a host with requests on each tenth target, by the number of
// hosts and targets of the fleet.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []struct{ hosts, targets int }{{8, 18}, {89, 140}, {330, 600}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			clock := clockwork.NewFakeClock()
			h := newHost(clock)

			for i := range size.targets / 10 {
				id := entity.TargetID(fmt.Sprintf("i-%010x@1764800000123", i))
				target := fleet.Target{ID: id, Slots: 24}

				_, ok := h.board.PlaceCall(clock.Now(), []fleet.Target{target}, placing.Job{ID: "r", Prompt: 100, Near: "z"})
				if !ok {
					b.Fatal(i)
				}
			}

			var wire []byte

			for b.Loop() {
				d := &peer.Digest{Host: "front-abdali-12-1a2b3c4d5e6f7", Address: "10.2.0.40:8144", DataCentre: "abdali"}
				h.Fill("b", d)

				wire, _ = proto.Marshal(d)
			}

			b.ReportMetric(float64(len(wire)), "bytes")
		})
	}
}

// TestSpeedsTakeFewBytesOfADigest bounds what the speeds of targets add to a digest, however many targets the sender uses.
func TestSpeedsTakeFewBytesOfADigest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newHost(clock)
	d := &peer.Digest{Host: "front-abdali-12-1a2b3c4d5e6f7"}
	h.Fill("b", d)
	without := proto.Size(d)

	for i := range 600 {
		target := fleet.Target{ID: entity.TargetID(fmt.Sprintf("i-%010x@1764800000123", i)), Service: "s", Slots: 24}
		for range 7 {
			h.board.RecordPace(clock.Now(), target, 80*time.Millisecond)
		}
	}

	clock.Advance(time.Second)

	d = &peer.Digest{Host: "front-abdali-12-1a2b3c4d5e6f7"}
	h.Fill("b", d)
	require.Less(t, proto.Size(d)-without, 250)
	t.Logf("%d bytes for the speeds of %d targets", proto.Size(d)-without, len(d.GetSpeeds()))
}

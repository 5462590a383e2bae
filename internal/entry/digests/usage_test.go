package digests_test

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/usage"
	"github.com/dotterelflow/dotterelflow/internal/entry/digests"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// usageRecorder tells one message and keeps those that it gets.
type usageRecorder struct {
	tells usage.Message
	got   []usage.Message
	from  []usage.Peer
}

func (u *usageRecorder) Message(entity.HostID) usage.Message { return u.tells }

func (u *usageRecorder) Merge(from usage.Peer, m usage.Message) {
	u.got, u.from = append(u.got, m), append(u.from, from)
}

func newUsageHost(u digests.Usage) *host {
	h := &host{board: placing.New()}
	h.Exchange = digests.New(digests.Options{
		Clock: clockwork.NewFakeClock(), Board: h.board, CrashSum: func() uint64 { return 0 }, Ready: func() bool { return true },
		Version: func() uint64 { return 1 }, Usage: u,
	})

	return h
}

func TestUsageIsToldAsItIs(t *testing.T) {
	tells := &usageRecorder{tells: usage.Message{
		Records: []usage.Record{
			{Host: "a", Window: 353445120, Counts: usage.Counts{"x": 3, "y": 1 << 40}},
			{Host: "c", Window: 353445119, Counts: usage.Counts{"x": 1}},
		},
		Position: 9, Confirmed: 8, Collects: true,
	}}
	hears := &usageRecorder{}

	sendDigest(t, newUsageHost(tells), newUsageHost(hears), "a", "b")
	require.Equal(t, []usage.Message{tells.tells}, hears.got)
	require.Equal(t, []usage.Peer{{Host: "a", DataCentre: "z"}}, hears.from)

	// Hosts of older builds, or without duties, neither tell nor hear.
	sendDigest(t, newUsageHost(nil), newUsageHost(hears), "a", "b")
	sendDigest(t, newUsageHost(tells), newUsageHost(nil), "a", "b")
	require.Len(t, hears.got, 1)
}

func TestUsageWithoutCountsIsLeftOut(t *testing.T) {
	hears := &usageRecorder{}
	newUsageHost(hears).Receive(&peer.Digest{Host: "a", Usage: &peer.Usage{Records: []*peer.UsageRecord{{Host: "a", Accounts: []string{"x", "y"}, Counts: []uint64{4}}}}})
	require.Equal(t, usage.Counts{"x": 4}, hears.got[0].Records[0].Counts)
}

// BenchmarkUsage measures what the changed counts of one host add to a digest: those of seven accounts, as a host with seven requests a
// second tells each second.
func BenchmarkUsage(b *testing.B) {
	counts := usage.Counts{}
	for i := range 7 {
		counts[entity.AccountID(fmt.Sprintf("hule%03d", i))] = 12
	}

	tells := &usageRecorder{tells: usage.Message{
		Records: []usage.Record{{Host: "front-abdali-12-1a2b3c4d5e6f7", Window: 353445120, Counts: counts}}, Position: 1 << 20, Confirmed: 1 << 20,
	}}
	h := newUsageHost(tells)

	var d *peer.Digest

	for b.Loop() {
		d = &peer.Digest{}
		h.Fill("b", d)
	}

	b.ReportMetric(float64(proto.Size(d.GetUsage())), "bytes")
}

package originsync_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/origins"
	"github.com/dotterelflow/dotterelflow/internal/entry/originsync"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	ownID = "018bcfe5-6800-7000-8000-000000000000"
	// openStreams is the number of streams whose records a host holds in a benchmark.
	openStreams = 1024
	// streamInterval and messageInterval are the times between the streams that begin at a host at the rate of the design, 18.5 a
	// second, and between the messages that a host gets at that rate.
	streamInterval  = time.Second * 10 / 185
	messageInterval = time.Second / 72
)

// silentPeers are the hosts of a fleet, to which messages are free.
type silentPeers struct{ table *members.Table }

func (p silentPeers) Live() []members.Member { return p.table.Live(time.Now()) }

func (p silentPeers) ShareOrigins(context.Context, string, *peer.OriginRecords) error { return nil }

func (p silentPeers) FetchOrigins(context.Context, string) (*peer.OriginRecords, error) {
	return &peer.OriginRecords{}, nil
}

func (p silentPeers) FindOrigin(context.Context, string, *peer.FindOriginRequest) (*peer.FindOriginReply, error) {
	return &peer.FindOriginReply{}, nil
}

// newBusySyncer returns a running Syncer of one host in a fleet that runs two versions, and its clock.
func newBusySyncer(b *testing.B, hosts, centres int) (*originsync.Syncer, *clockwork.FakeClock) {
	b.Helper()

	all, heard := members.New(ownID, "dc-0"), members.New(ownID, "dc-0")

	for i := range hosts {
		all.Update(members.Member{
			Host: entity.HostID(fmt.Sprintf("018bcfe5-6800-7000-8000-%012d", i)), Address: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250),
			DataCentre: entity.DataCentre(fmt.Sprint("dc-", i%centres)), ReceivedAt: time.Now().Add(time.Hour),
		})
	}

	for _, m := range all.HeartbeatPartners(time.Now()) {
		heard.Update(m)
	}

	c := catalog.Build(1, catalog.Limits{}, []catalog.Route{
		{Streaming: true, Timeout: streamLife, Shares: []catalog.Share{{Service: "s", Weight: 1}}},
	}, nil)
	snapshot := snapshotOf("v1", "v2")
	clock := clockwork.NewFakeClock()
	s := originsync.New(originsync.Options{
		Clock: clock, Log: &log.Logger{Level: log.PanicLevel}, Host: ownID, DataCentre: "dc-0", Table: origins.NewTable(),
		History: origins.NewHistory(), Catalog: func() *catalog.Catalog { return c }, Fleet: func() *fleet.Snapshot { return snapshot },
		TargetsAge: func() time.Duration { return 0 }, Peers: silentPeers{heard},
	})
	ctx, cancel := context.WithCancel(b.Context())
	s.Start(ctx)
	b.Cleanup(func() {
		cancel()
		<-s.Done()
	})

	return s, clock
}

// measure runs op in a loop, each interval of the clock, and also reports the processor time of each run, since other programs may use the processor.
func measure(b *testing.B, clock *clockwork.FakeClock, interval time.Duration, op func(i int)) int {
	b.Helper()

	var before, after syscall.Rusage

	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))

	i := 0
	for b.Loop() {
		clock.Advance(interval)
		op(i)
		i++
	}

	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))

	spent := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(spent)/float64(i), "cpu-ns/op")

	return i
}

// BenchmarkRecord measures what a host does for a stream that begins there while two versions serve, without the calls to its peers.
func BenchmarkRecord(b *testing.B) {
	for _, f := range allSizes {
		b.Run(fmt.Sprintf("hosts=%d", f.hosts), func(b *testing.B) {
			s, clock := newBusySyncer(b, f.hosts, f.centres)

			var ids []entity.RequestID
			for i := range openStreams {
				ids = append(ids, entity.RequestID(fmt.Sprintf("%016x", i)))
			}

			n := measure(b, clock, streamInterval, func(i int) { s.Record("s", ids[i%openStreams], "v1") })
			require.EqualValues(b, n, s.Stats().Recorded)
		})
	}
}

// BenchmarkHandleRecords measures what a host does for a message with one record, which it passes on if it does not rank first.
func BenchmarkHandleRecords(b *testing.B) {
	for _, f := range allSizes {
		for _, passOn := range []bool{false, true} {
			b.Run(fmt.Sprintf("hosts=%d/pass-on=%t", f.hosts, passOn), func(b *testing.B) {
				s, clock := newBusySyncer(b, f.hosts, f.centres)

				var messages []*peer.OriginRecords
				for i := range openStreams {
					messages = append(messages, &peer.OriginRecords{
						Records: []*peer.OriginRecord{{Stream: uint64(i), Version: "v1", Change: 1, LeftMs: 60_000}}, PassOn: passOn,
					})
				}

				measure(b, clock, messageInterval, func(i int) { s.HandleRecords(messages[i%openStreams]) })
			})
		}
	}
}

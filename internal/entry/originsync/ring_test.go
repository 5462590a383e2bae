package originsync_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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

// heartbeatPeriod is the least time between heartbeats on the platform. A host counts as lost after members.MissedHeartbeats of them.
const heartbeatPeriod = 200 * time.Millisecond

// changingPeers are hosts that come and go.
type changingPeers struct {
	silentPeers

	mu   sync.Mutex
	live []members.Member
	told []string // addresses to which records were sent
}

func (p *changingPeers) Live() []members.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.Clone(p.live)
}

func (p *changingPeers) ShareOrigins(_ context.Context, address string, _ *peer.OriginRecords) error {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.told = append(p.told, address)

	return nil
}

// set replaces the live hosts and forgets which were told.
func (p *changingPeers) set(addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.live, p.told = nil, nil

	for _, a := range addresses {
		p.live = append(p.live, members.Member{Host: entity.HostID(a), Address: a, DataCentre: "dc-0"})
	}
}

func newSyncerWith(t *testing.T, p originsync.Peers) *originsync.Syncer {
	t.Helper()

	c := catalog.Build(1, catalog.Limits{}, []catalog.Route{
		{Streaming: true, Timeout: streamLife, Shares: []catalog.Share{{Service: "s", Weight: 1}}},
	}, nil)
	snapshot := snapshotOf("v1", "v2")
	s := originsync.New(originsync.Options{
		Log: &log.Logger{Level: log.PanicLevel}, Host: "self", DataCentre: "dc-0", Table: origins.NewTable(), History: origins.NewHistory(),
		Catalog: func() *catalog.Catalog { return c }, Fleet: func() *fleet.Snapshot { return snapshot },
		TargetsAge: func() time.Duration { return 0 }, Peers: p,
	})
	s.Start(t.Context())

	return s
}

// recordSome records a few streams and returns the hosts that were told, in order, each once.
func recordSome(s *originsync.Syncer, p *changingPeers, name string) []string {
	for i := range 20 {
		s.Record("s", entity.RequestID(fmt.Sprint(name, i)), "v1")
	}

	time.Sleep(50 * time.Millisecond) // longer than records wait to be sent together

	p.mu.Lock()
	defer p.mu.Unlock()

	slices.Sort(p.told)

	return slices.Compact(p.told)
}

func TestStreamsOfAHostThatHasJustHeardOfOthersAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &changingPeers{}
		s := newSyncerWith(t, p)
		require.Empty(t, recordSome(s, p, "alone"))

		p.set("a", "b")
		require.Equal(t, []string{"a", "b"}, recordSome(s, p, "first"))
	})
}

func TestStreamsAreToldToTheHostsThatAreThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &changingPeers{}
		p.set("a", "b")

		s := newSyncerWith(t, p)
		require.Equal(t, []string{"a", "b"}, recordSome(s, p, "before"))

		p.set("c", "d")
		time.Sleep(members.MissedHeartbeats * heartbeatPeriod)
		p.set("c", "d")
		require.Equal(t, []string{"c", "d"}, recordSome(s, p, "after"))
	})
}

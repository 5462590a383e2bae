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
	"github.com/dotterelflow/dotterelflow/internal/control/targetlimits"
	"github.com/dotterelflow/dotterelflow/internal/entry/digests"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

type host struct {
	*digests.Exchange
	board  *placing.Board
	states []digests.PeerState // states in the digests received
}

func newHost(clock clockwork.Clock, changing ...entity.TargetID) *host {
	h := &host{board: placing.New()}
	h.Exchange = digests.New(digests.Options{
		Clock: clock, Board: h.board, CrashSum: func() uint64 { return 9 }, Ready: func() bool { return true },
		Version: func() uint64 { return 7 }, Revision: func() uint64 { return 40 }, ReadsStore: func() bool { return true },
		Ages:     func() (configuration, targets time.Duration) { return -1, 1500 * time.Millisecond },
		HeardAge: func() time.Duration { return 0 },
		Served:   func() (since, until time.Duration) { return time.Hour, 250 * time.Millisecond },
		Changing: func() []entity.TargetID { return changing },
		OnDigest: func(s digests.PeerState) { h.states = append(h.states, s) },
	})

	return h
}

// sendDigest sends one digest from a to b, with these ids, encoded and decoded as on the wire.
func sendDigest(t *testing.T, a, b *host, from, to entity.HostID) {
	t.Helper()

	d := &peer.Digest{Host: string(from), DataCentre: "z"}
	a.Fill(to, d)

	wire, err := proto.Marshal(d)
	require.NoError(t, err)

	got := &peer.Digest{}
	require.NoError(t, proto.Unmarshal(wire, got))
	b.Receive(got)
}

func TestHostsShareWhatPlacingNeeds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := newHost(clock, "r2"), newHost(clock)
	targets := []fleet.Target{{ID: "r1", DataCentre: "z", Slots: 4}, {ID: "r2", DataCentre: "z", Slots: 4}}
	parts := []placing.Part{{ID: 1, Tokens: 5000}, {ID: 2, Tokens: 100}}

	p, ok := a.board.PlacePrompt(clock.Now(), targets[:1], placing.Job{Prompt: 5100, Parts: parts, Near: "z"})
	require.True(t, ok)
	a.board.RecordPrefill(p, parts, 100*time.Millisecond)
	a.board.AddDemand(clock.Now(), "s", 5100)
	sendDigest(t, a, b, "a", "b")

	require.Equal(t, 5100, b.board.Busy("r1"), "the peer's prefill counts here")
	require.Positive(t, b.board.TotalDemand(clock.Now(), "s"))
	require.Equal(t, []digests.PeerState{{
		Host: "a", DataCentre: "z", Version: 7, Revision: 40, ConfigurationAge: -1, TargetsAge: 1500 * time.Millisecond, HeardAge: 0, ServedSince: time.Minute, ServedUntil: 250 * time.Millisecond,
		ReadsStore: true, CrashSum: 9,
	}}, b.states)

	p, ok = b.board.PlacePrompt(clock.Now(), targets, placing.Job{
		Prompt: 5200, Parts: []placing.Part{parts[0], {ID: 3, Tokens: 200}}, Near: "z",
	})
	require.True(t, ok)
	require.Equal(t, entity.TargetID("r1"), p.Target.ID, "the peer's digest reports that r1 has prefilled the prefix and that r2 is changing its role")
	require.Equal(t, entity.Tokens(5000), p.Cached)
}

func TestPrefixesOfALostDigestAreSentAgain(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := newHost(clock), newHost(clock)
	parts := []placing.Part{{ID: 1, Tokens: 5000}}

	p, ok := a.board.PlacePrompt(clock.Now(), []fleet.Target{{ID: "r1", Slots: 4}}, placing.Job{Prompt: 5000, Parts: parts})
	require.True(t, ok)
	a.board.RecordPrefill(p, parts, time.Millisecond)

	held := func() int {
		d := &peer.Digest{Host: "a"}
		a.Fill("b", d)

		return len(d.GetHeld())
	}

	require.Equal(t, 1, held(), "this digest is lost")
	sendDigest(t, a, b, "a", "b")
	require.Equal(t, 1, held(), "b has not confirmed it yet")
	sendDigest(t, b, a, "b", "a")
	require.Zero(t, held())
}

func FuzzHear(f *testing.F) {
	d := &peer.Digest{Host: "a", Work: []*peer.TargetWork{{Target: "r", Reading: []int64{-1, 2, 3, 4, 5, 6}, Runs: -9}}}

	seed, err := proto.Marshal(d)
	if err != nil {
		f.Fatal(err)
	}

	f.Add(seed)
	f.Add([]byte{0xff})

	f.Fuzz(func(t *testing.T, wire []byte) {
		d := &peer.Digest{}
		if proto.Unmarshal(wire, d) != nil {
			return
		}

		h := newHost(clockwork.NewFakeClock())
		h.Receive(d)

		targets := []fleet.Target{{ID: "r", Slots: 1}}
		_, ok := h.board.PlaceCall(time.Time{}, targets, placing.Job{})
		require.True(t, ok)
	})
}

func TestHostsShareLimitsAndWhatTheyDoNotReach(t *testing.T) {
	const targets = 100

	clock := clockwork.NewFakeClock()
	limits := [2]*targetlimits.Table{targetlimits.New(targetlimits.Options{}), targetlimits.New(targetlimits.Options{})}

	var states []digests.PeerState

	hosts := [2]*host{}
	for i := range hosts {
		hosts[i] = &host{board: placing.New()}
		hosts[i].Exchange = digests.New(digests.Options{
			Clock: clock, Board: hosts[i].board, CrashSum: func() uint64 { return 0 }, Ready: func() bool { return true },
			Version: func() uint64 { return 1 }, Limits: limits[i], Unreachable: func() []entity.ServiceName { return []entity.ServiceName{"s"} },
			OnDigest: func(s digests.PeerState) { states = append(states, s) },
		})
	}

	sendDigest(t, hosts[0], hosts[1], "a", "b")
	require.Equal(t, []entity.ServiceName{"s"}, states[0].Unreachable)

	empty := &peer.Digest{}
	hosts[0].Fill("b", empty)

	for i := range targets {
		limits[0].Record(clock.Now(), clock.Now(), entity.TargetID(fmt.Sprintf("i-%010x@1764800000123", i)), targetlimits.Statement{Limited: true, PerSecond: 3.3})
	}

	clock.Advance(time.Second)
	sendDigest(t, hosts[0], hosts[1], "a", "b")
	require.EqualValues(t, 64, limits[1].Stats().Limited, "the entries of one digest are bounded")

	full := &peer.Digest{}
	hosts[0].Fill("b", full)
	perLimit := float64(proto.Size(full)-proto.Size(empty)) / 64
	t.Logf("%.1f bytes for each limit", perLimit)
	require.Less(t, perLimit, 64.0)
}

func TestHostsShareTheSpeedsThatTheyHaveSeen(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b, c := newHost(clock), newHost(clock), newHost(clock)
	var ids []entity.TargetID

	for i := range 6 {
		target := fleet.Target{ID: entity.TargetID(fmt.Sprint("r", i)), Service: "s", Slots: 4}
		ids = append(ids, target.ID)

		for range 6 {
			a.board.RecordPace(clock.Now(), target, time.Duration(2+i)*25*time.Millisecond)
		}
	}

	clock.Advance(time.Second)
	sendDigest(t, a, b, "a", "b")
	require.InDelta(t, 2, b.board.Speeds().View(clock.Now(), "s", ids).Slowness("r4"), 0.01)

	sendDigest(t, b, c, "b", "c")
	require.False(t, c.board.Speeds().View(clock.Now(), "s", ids).Uneven(), "hosts do not pass on what they were told")

	clock.Advance(28 * time.Second)
	require.True(t, b.board.Speeds().View(clock.Now(), "s", ids).Uneven())
	clock.Advance(time.Second)
	require.False(t, b.board.Speeds().View(clock.Now(), "s", ids).Uneven(), "the age before it was sent counts")
}

// A host of an older build sends no speeds, and ignores those that it gets.
func TestDigestWithoutSpeedsIsRead(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := newHost(clock)
	a.Receive(&peer.Digest{Host: "old", DataCentre: "z"})
	a.Receive(&peer.Digest{Host: "odd", DataCentre: "z", Speeds: []*peer.TargetSpeed{nil, {Target: "r1"}, {Target: "r1", PaceUs: 1 << 31, Weight: 1 << 31, AgeMs: 1 << 31}}})
	require.False(t, a.board.Speeds().View(clock.Now(), "s", []entity.TargetID{"r1"}).Uneven())
}

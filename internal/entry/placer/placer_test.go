package placer_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelflow/dotterelflow/internal/control/cells"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/entry/placer"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const hold = 2 * time.Second

var errUnreachable = errors.New("unreachable")

// network connects the hosts of a test. Each is a peer of all others.
type network struct {
	t           *testing.T
	clock       *clockwork.FakeClock
	fleet       *fleet.Snapshot
	hosts       []*host
	pendingEnds sync.WaitGroup       // EndPlace calls that must still follow a Place call
	calls       map[string]int       // Place calls, by address
	placeErrors map[string]error     // errors that Place returns, by address
	onPlace     func(address string) // called at the start of each Place; may be nil
}

// host is one entry host.
type host struct {
	*placer.Placer

	network *network
	id      entity.HostID
	dc      entity.DataCentre
	ready   bool

	processor int
	board     *placing.Board
	server    *placer.Server
}

func (h *host) address() string { return "at-" + string(h.id) }

// newNetwork returns a network of count hosts, and a fleet of the given number of prefill replicas, both spread over
// two data centres.
func newNetwork(t *testing.T, count, replicas int) *network {
	t.Helper()

	n := &network{t: t, clock: clockwork.NewFakeClock(), calls: map[string]int{}, placeErrors: map[string]error{}}

	var all []fleet.Target
	for i := range replicas {
		all = append(all, fleet.Target{
			ID: entity.TargetID(fmt.Sprint("r", i)), Service: "llm", DataCentre: dataCentre(i), Slots: 8, Role: entity.Prefill,
		})
	}

	n.fleet = fleet.NewSnapshot(all)

	for i := range count {
		h := &host{network: n, id: entity.HostID(fmt.Sprint("h", i)), dc: dataCentre(i), ready: true, board: placing.New()}
		h.server = placer.NewServer(placer.ServerOptions{
			Clock: n.clock, Board: h.board, Fleet: func() *fleet.Snapshot { return n.fleet }, Ready: func() bool { return h.ready },
		})
		h.Placer = placer.New(placer.Options{
			Clock: n.clock, Log: &log.Logger{Writer: log.IOWriter{Writer: t.Output()}}, Host: h.id, DataCentre: h.dc, Address: h.address(),
			Board: h.board, Peers: link{h}, Ready: func() bool { return h.ready },
		})
		n.hosts = append(n.hosts, h)
	}

	for _, from := range n.hosts {
		for _, to := range n.hosts {
			to.SetPlacer(from.dc, from.HomePlacer())
		}
	}

	return n
}

func dataCentre(i int) entity.DataCentre { return entity.DataCentre(fmt.Sprint("dc", i%2)) }

func (n *network) hostAt(address string) *host {
	for _, h := range n.hosts {
		if h.address() == address {
			return h
		}
	}

	n.t.Fatalf("no host at %q", address)

	return nil
}

// link implements placer.Peers for one host by direct calls to the others.
type link struct{ *host }

// Live implements placer.Peers.
func (h link) Live() []members.Member {
	var live []members.Member

	for _, other := range h.network.hosts {
		if other != h.host {
			live = append(live, members.Member{Host: other.id, Address: other.address(), DataCentre: other.dc, Ready: other.ready, Processor: other.processor})
		}
	}

	return live
}

// Place implements placer.Peers.
func (h link) Place(ctx context.Context, address string, r *peer.PlaceRequest) (*peer.PlaceReply, error) {
	h.network.calls[address]++

	if h.network.onPlace != nil {
		h.network.onPlace(address)
	}

	if err := errors.Join(ctx.Err(), h.network.placeErrors[address]); err != nil {
		return nil, err
	}

	h.network.pendingEnds.Add(1)

	return h.network.hostAt(address).server.Place(r), nil
}

// EndPlace implements placer.Peers.
func (h link) EndPlace(_ context.Context, address string, r *peer.EndPlaceRequest) error {
	defer h.network.pendingEnds.Done()

	h.network.hostAt(address).server.End(r)

	return nil
}

// prompt returns the job of a prompt of parts.
func prompt(id int, parts ...placing.Part) placing.Job {
	j := placing.Job{ID: entity.RequestID(fmt.Sprint("q", id)), Parts: parts, Near: "dc0"}
	for _, p := range parts {
		j.Prompt += p.Tokens
	}

	return j
}

// uniquePart returns the part that only the prompt with the number id has.
func uniquePart(id int, tokens entity.Tokens) placing.Part {
	return placing.Part{ID: uint64(1000 + id), Tokens: tokens}
}

// claims returns the number of open claims on all replicas, for prompts of about 10,000 tokens each.
func (n *network) claims() int {
	claims := 0

	for _, h := range n.hosts {
		for _, u := range h.board.Export() {
			claims += int(math.Round(float64(u.PendingPrefill[0]) / 10_000))
		}
	}

	return claims
}

// onlyPendingOn reports whether no replica but target has prompts that wait or are read, as far as any host knows.
func (n *network) onlyPendingOn(target entity.TargetID) bool {
	for _, h := range n.hosts {
		for _, u := range h.board.Export() {
			if u.Target != target && u.PendingPrefill != (placing.TargetWork{}).PendingPrefill {
				return false
			}
		}
	}

	return true
}

// wholeCellPlacer returns the placer of the cell of all replicas. With few hosts, that is the only cell.
func (n *network) wholeCellPlacer() *host {
	ids := make([]entity.HostID, len(n.hosts))
	for i, h := range n.hosts {
		ids[i] = h.id
	}

	return n.hostAt("at-" + string(cells.Placer(cells.AllReplicas, ids)))
}

// TestConcurrentPromptsOfAllHostsAreSpread places one prompt at each of many hosts at the same time, without a
// heartbeat between them. Their placer counts each prompt at once, so each must get a replica of its own.
func TestConcurrentPromptsOfAllHostsAreSpread(t *testing.T) {
	const hosts = 8

	n := newNetwork(t, hosts, hosts)
	used := map[entity.TargetID]bool{}

	for i, h := range n.hosts {
		p, ok := h.Place(t.Context(), "llm", n.fleet.Of("llm"), prompt(i, uniquePart(i, 8000)), hold)
		require.True(t, ok)

		used[p.Placement().Target.ID] = true
	}

	require.Len(t, used, hosts)
	require.Equal(t, hosts-1, n.calls[n.wholeCellPlacer().address()], "the placer sends no request for its own prompt")
}

// TestCachedPrefixIsFoundByAnotherHost prefills a prompt for one host and places one with the same prefix at another
// host. It must go to the replica that has the prefix in its cache.
func TestCachedPrefixIsFoundByAnotherHost(t *testing.T) {
	n := newNetwork(t, 4, 8)
	shared := placing.Part{ID: 7, Tokens: 5000}

	first, ok := n.hosts[0].Place(t.Context(), "llm", n.fleet.Of("llm"), prompt(1, shared, uniquePart(1, 500)), hold)
	require.True(t, ok)
	first.End(placing.PromptResult{Sent: true, Outcome: placing.Served, PrefillTime: 100 * time.Millisecond})
	n.pendingEnds.Wait()

	if n.hosts[0] == n.wholeCellPlacer() {
		// On the placer itself, its relay records the prefill.
		n.hosts[0].board.RecordPrefill(first.Placement(), prompt(1, shared, uniquePart(1, 500)).Parts, 100*time.Millisecond)
	}

	second, ok := n.hosts[1].Place(t.Context(), "llm", n.fleet.Of("llm"), prompt(2, shared, uniquePart(2, 500)), hold)
	require.True(t, ok)
	require.Equal(t, first.Placement().Target.ID, second.Placement().Target.ID)
	require.Equal(t, shared.Tokens, second.Placement().Cached)
}

// TestPlacerThatIsAwayIsReplacedAtOnce makes the placer unreachable: prompts are placed without it, no request is sent
// to it during its pause, and it is used again afterwards.
func TestPlacerThatIsAwayIsReplacedAtOnce(t *testing.T) {
	n := newNetwork(t, 4, 8)
	unreachable := n.wholeCellPlacer()
	n.placeErrors[unreachable.address()] = errUnreachable

	requester := n.hosts[0]
	if requester == unreachable {
		requester = n.hosts[1]
	}

	place := func(i int) {
		t.Helper()

		p, ok := requester.Place(t.Context(), "llm", n.fleet.Of("llm"), prompt(i, uniquePart(i, 8000)), hold)
		require.True(t, ok)
		p.End(placing.PromptResult{})
	}

	for i := range 5 {
		place(i)
	}

	require.Equal(t, 1, n.calls[unreachable.address()])
	require.EqualValues(t, 5, requester.PlacedLocally())

	delete(n.placeErrors, unreachable.address())
	n.clock.Advance(time.Second)
	place(6)
	place(7)
	n.pendingEnds.Wait()

	require.Equal(t, 3, n.calls[unreachable.address()])
	require.EqualValues(t, 5, requester.PlacedLocally())
}

// TestCancelledRequestDoesNotPauseThePlacer cancels a request during its Place call. The error of that call must not
// count as a failure of the placer.
func TestCancelledRequestDoesNotPauseThePlacer(t *testing.T) {
	n := newNetwork(t, 4, 8)

	requester := n.hosts[0]
	if requester == n.wholeCellPlacer() {
		requester = n.hosts[1]
	}

	ctx, cancel := context.WithCancel(t.Context())
	n.onPlace = func(string) { cancel() }

	p, ok := requester.Place(ctx, "llm", n.fleet.Of("llm"), prompt(1, uniquePart(1, 8000)), hold)
	require.True(t, ok)
	p.End(placing.PromptResult{})

	n.onPlace = nil
	p, ok = requester.Place(t.Context(), "llm", n.fleet.Of("llm"), prompt(2, uniquePart(2, 8000)), hold)
	require.True(t, ok)
	p.End(placing.PromptResult{})
	n.pendingEnds.Wait()

	require.Equal(t, 2, n.calls[n.wholeCellPlacer().address()])
}

// TestTargetThatTheAskerDoesNotKnowIsNotUsed lets the placer choose a replica that is missing from the candidates of
// the requesting host, as when the placer has not received yet that the replica is leaving.
func TestTargetThatTheAskerDoesNotKnowIsNotUsed(t *testing.T) {
	n := newNetwork(t, 4, 2)

	for _, h := range n.hosts {
		known := n.fleet.Of("llm")[1:]

		for i := range 4 {
			p, ok := h.Place(t.Context(), "llm", known, prompt(i, uniquePart(i, 8000)), hold)
			require.True(t, ok)
			require.Equal(t, known[0].ID, p.Placement().Target.ID)
			p.End(placing.PromptResult{})
		}
	}

	n.pendingEnds.Wait()

	for _, target := range n.fleet.Of("llm") {
		require.Zero(t, n.wholeCellPlacer().board.Busy(target.ID), "unused claims must be ended")
	}
}

// TestClaimOfALostHostExpires does not end a claim in time: the claim must expire hold after the expected wait, and
// ending it later must have no effect.
func TestClaimOfALostHostExpires(t *testing.T) {
	n := newNetwork(t, 4, 1)
	placerHost := n.wholeCellPlacer()

	requester := n.hosts[0]
	if requester == placerHost {
		requester = n.hosts[1]
	}

	p, ok := requester.Place(t.Context(), "llm", n.fleet.Of("llm"), prompt(1, uniquePart(1, 8000)), hold)
	require.True(t, ok)
	require.NotZero(t, placerHost.board.Busy("r0"))

	n.clock.Advance(p.Placement().Wait + hold)
	placerHost.server.Tick(n.clock.Now())
	require.NotZero(t, placerHost.board.Busy("r0"))

	n.clock.Advance(time.Millisecond)
	placerHost.server.Tick(n.clock.Now())
	require.Zero(t, placerHost.board.Busy("r0"))

	p.End(placing.PromptResult{Sent: true, Outcome: placing.Served}) // after the claim has expired
	n.pendingEnds.Wait()
	require.Zero(t, placerHost.board.Busy("r0"))
}

// TestLongWaitIsComparedWithAnotherCell has so many hosts that each data centre is a cell. Prompts with a shared prefix
// rank the same cell first. As the wait in that cell grows, the other cell must be used as well.
func TestLongWaitIsComparedWithAnotherCell(t *testing.T) {
	n := newNetwork(t, cells.MaxSingleCellHosts+2, 4)
	requester := n.hosts[0]
	shared := placing.Part{ID: 7, Tokens: 100}
	byDataCentre := map[entity.DataCentre]int{}

	for i := range 8 {
		j := prompt(i, shared, uniquePart(i, 10_000))
		j.AcceptableWait = 100 * time.Millisecond

		p, ok := requester.Place(t.Context(), "llm", n.fleet.Of("llm"), j, hold)
		require.True(t, ok)

		byDataCentre[p.Placement().Target.DataCentre]++

		// The claim in the cell that was not chosen is ended in the background.
		require.Eventually(t, func() bool { return n.claims() == i+1 }, 5*time.Second, time.Millisecond)
	}

	require.Equal(t, map[entity.DataCentre]int{"dc0": 4, "dc1": 4}, byDataCentre)
}

// TestWeakHostsDoNotPlaceForOthers gives two hosts of a cell several times the processor time of the others.
func TestWeakHostsDoNotPlaceForOthers(t *testing.T) {
	n := newNetwork(t, 12, 4)
	for i, h := range n.hosts {
		h.processor = 192
		if i == 5 || i == 9 {
			h.processor = 800
		}
	}

	for i, h := range n.hosts {
		own := placer.New(placer.Options{
			Clock: n.clock, Host: h.id, DataCentre: h.dc, Address: h.address(), Processor: h.processor, Board: h.board, Peers: link{h},
			Ready: func() bool { return true },
		})

		if i%2 == 1 {
			require.Contains(t, []string{n.hosts[5].address(), n.hosts[9].address()}, own.HomePlacer())
		}
	}
}

// TestLargeSharedPartIsNotPrefilledInAnotherCell places prompts with a large shared part that one cell holds. They must wait there,
// although another cell is idle and would be faster for some of them.
func TestLargeSharedPartIsNotPrefilledInAnotherCell(t *testing.T) {
	n := newNetwork(t, cells.MaxSingleCellHosts+2, 4)
	requester := n.hosts[0]
	shared := placing.Part{ID: 7, Tokens: 13_300}
	byTarget := map[entity.TargetID]int{}

	for i := range 8 {
		j := prompt(i, shared, uniquePart(i, 4_000))
		j.AcceptableWait = 100 * time.Millisecond

		p, ok := requester.Place(t.Context(), "llm", n.fleet.Of("llm"), j, hold)
		require.True(t, ok)

		byTarget[p.Placement().Target.ID]++

		if i == 0 {
			p.End(placing.PromptResult{Sent: true, Outcome: placing.Served, PrefillTime: 300 * time.Millisecond})
			n.pendingEnds.Wait()
			requester.board.RecordPrefill(p.Placement(), j.Parts, 0)
		}

		// The claim in the cell that was not chosen is ended in the background, and until then the part counts as under way there.
		require.Eventually(t, func() bool { return n.onlyPendingOn(p.Placement().Target.ID) }, 5*time.Second, time.Millisecond)
	}

	require.Len(t, byTarget, 1)
}

// TestHostThatIsNotReadyPlacesNothing sends a Place request to a host that is stopping or has no configuration.
func TestHostThatIsNotReadyPlacesNothing(t *testing.T) {
	n := newNetwork(t, 2, 2)
	h := n.hosts[0]
	request := &peer.PlaceRequest{Service: "llm", Prompt: 10}

	require.NotZero(t, h.server.Place(request).GetClaim())

	h.ready = false
	require.Zero(t, h.server.Place(request).GetClaim())
	require.Equal(t, n.hosts[1].address(), n.hosts[1].HomePlacer())
}

// TestOversizeAsksAreTurnedAway sends requests that exceed the bounds of Place; no entry host sends them.
func TestOversizeAsksAreTurnedAway(t *testing.T) {
	n := newNetwork(t, 2, 2)
	server := n.hosts[0].server

	require.Zero(t, server.Place(&peer.PlaceRequest{Service: "llm", Prompt: -1}).GetClaim())
	require.Zero(t, server.Place(&peer.PlaceRequest{Service: "llm", Parts: make([]*peer.PromptPart, 1000)}).GetClaim())
	require.Zero(t, server.Place(&peer.PlaceRequest{Service: "llm", Avoid: make([]string, 1000)}).GetClaim())
	require.Zero(t, server.Place(&peer.PlaceRequest{Service: "unknown"}).GetClaim())

	longHold := server.Place(&peer.PlaceRequest{Service: "llm", Prompt: 10, HoldMs: 1 << 50})
	require.NotZero(t, longHold.GetClaim())

	server.End(&peer.EndPlaceRequest{Claim: 12345})
	n.clock.Advance(time.Hour)
	server.Tick(n.clock.Now())
	require.Zero(t, n.hosts[0].board.Busy("r0")+n.hosts[0].board.Busy("r1"))
}

// TestRefusalIsSharedByAllHosts lets a replica refuse work of one host: all hosts must treat it as paused until its
// pause ends. A replica that only one host failed to reach must not be paused at the others.
func TestRefusalIsSharedByAllHosts(t *testing.T) {
	n := newNetwork(t, cells.MaxSingleCellHosts+1, 8)
	all := n.fleet.Of("llm")

	for _, h := range n.hosts {
		for _, other := range n.hosts {
			h.board.Merge(n.clock.Now(), other.id, nil)
		}
	}

	n.hosts[0].board.RecordOutcome(n.clock.Now(), all[3], placing.Refused)
	n.hosts[0].board.RecordOutcome(n.clock.Now(), all[4], placing.Lost)

	for round := range 8 {
		for i, h := range n.hosts {
			p, ok := h.Place(t.Context(), "llm", all, prompt(i, uniquePart(100*round+i, 100)), hold)
			require.True(t, ok)
			p.End(placing.PromptResult{})
		}
	}

	n.pendingEnds.Wait()

	for i, h := range n.hosts {
		paused := h.board.PausedTargets(n.clock.Now())
		require.Len(t, paused, 1, "host %d", i)
		require.Equal(t, all[3].ID, paused[0].Target)
	}

	n.clock.Advance(5 * time.Second)

	for _, h := range n.hosts {
		require.Empty(t, h.board.PausedTargets(n.clock.Now()), "hosts that repeat the refusal to each other must not extend the pause")
	}
}

// FuzzDesk passes any messages to Place and End of a Server: each claim must be for a target of the fleet, and all
// claims must end.
func FuzzDesk(f *testing.F) {
	add := func(m proto.Message) {
		raw, err := proto.Marshal(m)
		require.NoError(f, err)
		f.Add(raw)
	}

	add(&peer.PlaceRequest{Service: "llm", Prompt: 1 << 60, Rank: 1 << 31, HoldMs: -1, Parts: []*peer.PromptPart{{Id: 1, Tokens: -5}}})
	add(&peer.PlaceRequest{Service: "llm", Prompt: 5, DataCentre: "dc1", Avoid: []string{"r1", ""}, Resting: []*peer.RestingTarget{{Target: "r0", LeftMs: 1 << 31, Words: 9}}})
	add(&peer.EndPlaceRequest{Claim: 1, Sent: true, Outcome: 200, TookUs: -1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		n := newNetwork(t, 1, 3)
		h := n.hosts[0]

		var (
			place peer.PlaceRequest
			end   peer.EndPlaceRequest
		)

		if proto.Unmarshal(raw, &place) == nil {
			if reply := h.server.Place(&place); reply.GetClaim() != 0 {
				_, known := n.fleet.Target(entity.TargetID(reply.GetTarget()))
				require.True(t, known)
			}
		}

		if proto.Unmarshal(raw, &end) == nil {
			h.server.End(&end)
		}

		n.clock.Advance(24 * time.Hour)
		h.server.Tick(n.clock.Now())

		for _, target := range n.fleet.Of("llm") {
			require.Zero(t, h.board.Busy(target.ID))
		}
	})
}

// TestPromptIsPlacedAtItsVersion asks for replicas of one version while replicas of another have less work.
func TestPromptIsPlacedAtItsVersion(t *testing.T) {
	n := newNetwork(t, 4, 6)

	var all []fleet.Target
	for i, target := range n.fleet.Of("llm") {
		target.Version = entity.SoftwareVersion(fmt.Sprint("v", i%3))
		all = append(all, target)
	}

	n.fleet = fleet.NewSnapshot(all)

	for i, h := range n.hosts {
		version := entity.SoftwareVersion("v1")
		job := prompt(i, uniquePart(i, 8000))
		job.Version = &version

		p, ok := h.Place(t.Context(), "llm", n.fleet.AtVersion("llm", entity.Prefill, version), job, hold)
		require.True(t, ok)
		require.Equal(t, version, p.Placement().Target.Version)
	}

	require.Zero(t, n.hosts[0].PlacedLocally()+n.hosts[1].PlacedLocally()+n.hosts[2].PlacedLocally()+n.hosts[3].PlacedLocally())
}

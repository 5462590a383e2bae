package placing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
)

var now = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func replicas(n int) []fleet.Target {
	var list []fleet.Target
	for i := range n {
		list = append(list, fleet.Target{ID: entity.TargetID(fmt.Sprint("r", i)), Service: "s", DataCentre: "x", Slots: 4})
	}

	return list
}

func job(prompt entity.Tokens, parts ...placing.Part) placing.Job {
	return placing.Job{ID: "q", Prompt: prompt, Parts: parts, Near: "x"}
}

// prefillOn places j, records its prefill and returns the replica that b chose.
func prefillOn(t *testing.T, b *placing.Board, all []fleet.Target, j placing.Job) entity.TargetID {
	t.Helper()

	p, ok := b.PlacePrompt(now, all, j)
	require.True(t, ok)
	p.Claim.Release()
	b.RecordPrefill(p, j.Parts, 0)

	return p.Target.ID
}

func TestPromptGoesToTheReplicaThatHoldsItsSharedParts(t *testing.T) {
	b := placing.New()
	all := replicas(8)
	shared := []placing.Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}}

	first := prefillOn(t, b, all, job(9000, append(shared, placing.Part{ID: 10, Tokens: 3500})...))

	p, ok := b.PlacePrompt(now, all, job(9000, append(shared, placing.Part{ID: 11, Tokens: 3500})...))
	require.True(t, ok)
	require.Equal(t, first, p.Target.ID)
	require.Equal(t, entity.Tokens(5500), p.Cached)
}

// The first part of a prompt may be shared by so many replicas that a holder of a longer prefix is no longer listed
// among the latest holders of the first part. It still holds both.
func TestHolderOfALongerPrefixHoldsTheShorterOnes(t *testing.T) {
	b := placing.New()
	all := replicas(8)
	common := placing.Part{ID: 1, Tokens: 500}
	deep := []placing.Part{common, {ID: 2, Tokens: 5000}, {ID: 3, Tokens: 100}}
	holder := prefillOn(t, b, all, job(5600, deep...))

	var others []placing.PrefixUpdate

	for i := range 6 {
		id := entity.TargetID(fmt.Sprint("r", i))
		if id != holder {
			peer := placing.New()
			prefillOn(t, peer, []fleet.Target{{ID: id, DataCentre: "x"}}, job(500, common))
			updates, _ := peer.PrefixUpdates("board")
			others = append(others, updates...)
		}
	}

	b.MergePrefixes(others)

	p, ok := b.PlacePrompt(now, all, job(5700, common, placing.Part{ID: 2, Tokens: 5000}, placing.Part{ID: 4, Tokens: 200}))
	require.True(t, ok)
	require.Equal(t, holder, p.Target.ID)
	require.Equal(t, entity.Tokens(5500), p.Cached)
}

func TestHostsThatSeeAPrefixFirstChooseTheSameReplica(t *testing.T) {
	all := replicas(8)

	for i := range 20 {
		shared := placing.Part{ID: uint64(100 + i), Tokens: 5000}

		one, ok := placing.New().PlacePrompt(now, all, job(6000, shared, placing.Part{ID: 1, Tokens: 1000}))
		require.True(t, ok)

		two, ok := placing.New().PlacePrompt(now, all, job(6000, shared, placing.Part{ID: 2, Tokens: 1000}))
		require.True(t, ok)
		require.Equal(t, one.Target.ID, two.Target.ID)
	}
}

func TestPrefillWorkOfPeersIsCounted(t *testing.T) {
	b := placing.New()
	all := replicas(2)

	b.Merge(now, "peer", []placing.TargetWork{{Target: "r0", PendingPrefill: [4]entity.Tokens{0, 0, 40_000}}})

	j := job(1000, placing.Part{ID: 1, Tokens: 1000})
	j.Rank = 2

	p, ok := b.PlacePrompt(now, all, j)
	require.True(t, ok)
	require.Equal(t, entity.TargetID("r1"), p.Target.ID)
	p.Claim.Release()

	b.Tick(now.Add(time.Minute), 0, func(entity.TargetID) bool { return true })
	require.Zero(t, b.Busy("r0"), "work of a silent peer must be dropped")
}

func TestUrgentPromptIgnoresLessUrgentPrefillWork(t *testing.T) {
	b := placing.New()
	b.Merge(now, "peer", []placing.TargetWork{{Target: "r0", PendingPrefill: [4]entity.Tokens{0, 0, 0, 50_000}}})

	p, ok := b.PlacePrompt(now, replicas(1), job(1000))
	require.True(t, ok)
	require.Less(t, p.Wait, 100*time.Millisecond)
}

func TestDecodeSpreadsByMemoryAndFullReplicasComeLast(t *testing.T) {
	b := placing.New()
	all := replicas(2)

	const capacity = 100_000

	b.Merge(now, "peer", []placing.TargetWork{{Target: "r0", Running: 1, KVTokens: 95_000}, {Target: "r1", Running: 3, KVTokens: 30_000}})

	p, ok := b.PlaceDecode(now, all, job(10_000), capacity)
	require.True(t, ok)
	require.Equal(t, entity.TargetID("r1"), p.Target.ID)
	require.False(t, p.Full)

	p, ok = b.PlaceDecode(now, all, job(80_000), capacity)
	require.True(t, ok)
	require.True(t, p.Full, "no replica has room")
}

func TestLostTargetIsPausedAndTriedAgain(t *testing.T) {
	b := placing.New()
	all := replicas(2)
	b.RecordOutcome(now, all[0], placing.Lost)

	for i := range 5 {
		p, ok := b.PlaceCall(now, all, placing.Job{ID: entity.RequestID(fmt.Sprint(i)), Near: "x"})
		require.True(t, ok)
		require.Equal(t, entity.TargetID("r1"), p.Target.ID)
	}

	later := now.Add(5 * time.Second)
	b.RecordOutcome(later, all[0], placing.Served)

	chosen := map[entity.TargetID]bool{}

	for i := range 20 {
		p, ok := b.PlaceCall(later, all, placing.Job{ID: entity.RequestID(fmt.Sprint(i)), Near: "x"})
		require.True(t, ok)

		chosen[p.Target.ID] = true
	}

	require.True(t, chosen["r0"])
}

// A host whose data centre is cut off chooses targets within it after a few consecutive losses of targets elsewhere.
func TestDataCentreThatLosesTargetAfterTargetRests(t *testing.T) {
	b := placing.New()

	var all []fleet.Target

	for i := range 12 {
		dc := entity.DataCentre("far")
		if i == 0 {
			dc = "x"
		}

		all = append(all, fleet.Target{ID: entity.TargetID(fmt.Sprint("r", i)), DataCentre: dc, Slots: 1})
	}

	b.Merge(now, "peer", []placing.TargetWork{{Target: "r0", Running: 20}})

	lost := 0

	for i := range 20 {
		p, ok := b.PlaceCall(now, all, placing.Job{ID: entity.RequestID(fmt.Sprint(i)), Near: "x"})
		require.True(t, ok)

		if p.Target.DataCentre == "far" {
			b.RecordOutcome(now, p.Target, placing.Lost)

			lost++
		}

		p.Claim.Release()
	}

	require.LessOrEqual(t, lost, 4)

	later := now.Add(5 * time.Second)
	b.RecordOutcome(later, all[5], placing.Served)

	p, ok := b.PlaceCall(later, all, placing.Job{ID: "q", Near: "x"})
	require.True(t, ok)
	require.Equal(t, entity.DataCentre("far"), p.Target.DataCentre, "the data centre is reachable again")
}

func TestOneSilenceOfATargetCountsForEachRequestThatMeetsIt(t *testing.T) {
	once, often := placing.New(), placing.New()
	all := []fleet.Target{{ID: "r0", DataCentre: "far", Slots: 1}, {ID: "r1", DataCentre: "far", Slots: 1}, {ID: "r2", DataCentre: "x", Slots: 1}}

	for i := range 20 {
		if i == 0 {
			once.RecordOutcome(now, all[0], placing.Silent)
		}

		often.RecordOutcome(now.Add(time.Duration(i)*45*time.Millisecond), all[0], placing.Silent)
	}

	// r2 is so busy that r1 is chosen, unless its data centre counts as unreachable. r0 is avoided for as long as after
	// one report.
	for _, after := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		var chosen [2][]entity.TargetID

		for k, b := range []*placing.Board{once, often} {
			b.Merge(now, "peer", []placing.TargetWork{{Target: "r2", Running: 20}})

			for i := range 6 {
				p, ok := b.PlaceCall(now.Add(after), all, placing.Job{ID: entity.RequestID(fmt.Sprint(i)), Near: "x"})
				require.True(t, ok)
				require.NotEqual(t, entity.TargetID("r2"), p.Target.ID)

				chosen[k] = append(chosen[k], p.Target.ID)
			}
		}

		require.Equal(t, chosen[0], chosen[1])
	}
}

func TestSilentTargetIsPaused(t *testing.T) {
	b := placing.New()
	all := replicas(2)
	b.RecordOutcome(now, all[0], placing.Silent)

	p, ok := b.PlaceCall(now, all, placing.Job{Near: "x"})
	require.True(t, ok)
	require.Equal(t, entity.TargetID("r1"), p.Target.ID)
}

func TestOnlyTargetIsChosenEvenIfPaused(t *testing.T) {
	b := placing.New()
	b.RecordOutcome(now, replicas(1)[0], placing.Lost)

	_, ok := b.PlaceCall(now, replicas(1), job(0))
	require.True(t, ok)

	_, ok = b.PlacePrompt(now, replicas(1), job(100))
	require.True(t, ok)

	_, ok = b.PlaceCall(now, replicas(1), placing.Job{Avoid: []entity.TargetID{"r0"}})
	require.False(t, ok)
}

func TestClaimsAreReleasedOnce(t *testing.T) {
	b := placing.New()

	p, ok := b.PlaceCall(now, replicas(1), job(0))
	require.True(t, ok)
	require.Len(t, b.Export(), 1)

	p.Claim.Release()
	p.Claim.Release()
	require.Empty(t, b.Export())
}

func TestEachPeerGetsUpdatesOnce(t *testing.T) {
	b := placing.New()
	prefillOn(t, b, replicas(1), job(100, placing.Part{ID: 1, Tokens: 100}))

	updates, position := b.PrefixUpdates("one")
	require.Len(t, updates, 1)

	updates, _ = b.PrefixUpdates("one")
	require.Len(t, updates, 1, "sent again until confirmed")

	b.ConfirmPrefixes("one", position)

	updates, _ = b.PrefixUpdates("one")
	require.Empty(t, updates)

	updates, _ = b.PrefixUpdates("two")
	require.Len(t, updates, 1)
}

func TestPatienceFollowsTheCaller(t *testing.T) {
	p := placing.Pacing{Objective: 800 * time.Millisecond, Gap: 250 * time.Millisecond}
	require.Equal(t, 3200*time.Millisecond, p.AbandonAfter())
	require.Equal(t, 2*time.Second, placing.Pacing{}.AbandonAfter())
	require.True(t, p.Worthwhile(time.Second, 0))
	require.False(t, p.Worthwhile(time.Second, 2*time.Second))
	require.Less(t, p.ReplaceAfter(), p.AbandonAfter()/2, "more than half of the time must be left for the other replica")
}

// addPeers gives b the peers of a large fleet.
func addPeers(b *placing.Board) {
	for i := range 20 {
		b.Merge(now, entity.HostID(fmt.Sprint("peer", i)), nil)
	}
}

// TestFewHostsIgnoreReportedPauses reports a target that refused work to a host with few peers.
func TestFewHostsIgnoreReportedPauses(t *testing.T) {
	a, b := placing.New(), placing.New()
	a.RecordOutcome(now, fleet.Target{ID: "a"}, placing.Refused)
	b.MergePaused(now, a.PausedTargets(now))
	require.Empty(t, b.PausedTargets(now))
}

// TestGossipOfAPausedTargetEnds lets two hosts report a refusal to each other again and again, with a delay between
// the reports. The pause must end nevertheless.
func TestGossipOfAPausedTargetEnds(t *testing.T) {
	a, b := placing.New(), placing.New()
	target := fleet.Target{ID: "a"}
	at := now

	addPeers(a)
	addPeers(b)

	a.RecordOutcome(at, target, placing.Refused)
	require.Len(t, a.PausedTargets(at), 1)

	for range 20 {
		reported := a.PausedTargets(at)
		at = at.Add(50 * time.Millisecond)
		b.MergePaused(at, reported)

		reported = b.PausedTargets(at)
		at = at.Add(50 * time.Millisecond)
		a.MergePaused(at, reported)
	}

	require.Empty(t, a.PausedTargets(at))
	require.Empty(t, b.PausedTargets(at))

	a.RecordOutcome(at, target, placing.Refused)
	b.MergePaused(at, a.PausedTargets(at))
	require.Len(t, b.PausedTargets(at), 1, "a new refusal must be reported")
}

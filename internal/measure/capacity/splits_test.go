package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/measure/capacity"
)

var engine = capacity.Engine{
	Replicas: 10, Slots: 10, ReadTokensPerSecond: 1000, Step: 5 * time.Millisecond, StepPerSlot: 500 * time.Microsecond, KVTokens: 10_000,
}

var steady = []capacity.Period{{Length: time.Second}}

// kind returns a kind with prompts of 100 tokens, half of them shared, and answers of 10 tokens.
func kind(perSecond float64) capacity.Kind {
	return capacity.Kind{
		Name: "draft", PerSecond: perSecond, Objective: time.Second, OwnTokens: capacity.LogNormal{Mean: 50}, SharedTokens: 50, OutputTokens: 10, Worth: 1, LateWorth: 0.3,
	}
}

func TestUseIsWorkOverCapacity(t *testing.T) {
	splits := capacity.Splits(engine, []capacity.Kind{kind(20)}, steady, capacity.Options{})
	require.Len(t, splits, 9)

	split := splits[3]
	require.Equal(t, 4, split.Readers)
	require.InDelta(t, 0.5, split.ReadUse, 1e-9)            // 20 x 100 tokens of 4 x 1,000
	require.InDelta(t, 200.0/6000, split.GenerateUse, 1e-9) // 10 slots at 10 ms make 1,000 tokens/s each
	require.InDelta(t, 1, split.Credit, 1e-9)

	cached := capacity.Splits(engine, []capacity.Kind{kind(20)}, steady, capacity.Options{CachedShare: 1})
	require.InDelta(t, 0.25, cached[3].ReadUse, 1e-9)
}

func TestOverloadServesUrgentKindsFirst(t *testing.T) {
	urgent, patient := kind(20), kind(40)
	patient.Name, patient.Rank = "patient", 1

	// Two readers read 20 prompts per second, which is all of the urgent ones.
	s := capacity.Splits(engine, []capacity.Kind{patient, urgent}, steady, capacity.Options{})[1]
	require.InDelta(t, 20.0/60, s.Credit, 1e-9)
	require.InDelta(t, 3, s.ReadUse, 1e-9)
}

func TestPromptThatNoReplicaReadsInTimeEarnsLess(t *testing.T) {
	long := kind(1)
	long.OwnTokens.Mean = 2000

	require.InDelta(t, 0.3, capacity.Best(capacity.Splits(engine, []capacity.Kind{long}, steady, capacity.Options{})).Credit, 1e-9)
}

func TestCreditOfADayIsWeightedByTime(t *testing.T) {
	day := []capacity.Period{
		{Length: 3 * time.Second},
		{Length: time.Second, RateFactors: map[string]float64{"draft": 2}},
		{Length: time.Second, UnavailableShare: 0.5},
	}

	// Two readers read 20 prompts per second. The periods of the day serve all of 20, half of 40, and, with half of
	// the replicas unavailable, half of 20.
	s := capacity.Splits(engine, []capacity.Kind{kind(20)}, day, capacity.Options{})[1]
	require.InDelta(t, (3*20+20+10)/(3*20+40+20.0), s.Credit, 1e-9)
	require.InDelta(t, 2, s.ReadUse, 1e-9)
	require.Zero(t, capacity.Best(nil))
}

package ceiling_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/measure/ceiling"
)

var engine = ceiling.Engine{
	Replicas: 10, Slots: 10, ReadPerSecond: 1000, Step: 5 * time.Millisecond, StepPerSlot: 500 * time.Microsecond, KVTokens: 10_000,
}

var steady = []ceiling.Moment{{Lasts: time.Second}}

// kind returns a kind with prompts of 100 tokens, half of them shared, and answers of 10 tokens.
func kind(perSecond float64) ceiling.Kind {
	return ceiling.Kind{
		Name: "draft", PerSecond: perSecond, Objective: time.Second, Own: ceiling.Sizes{Mean: 50}, Shared: 50, Output: 10, Worth: 1, Late: 0.3,
	}
}

func TestUseIsWorkOverCapacity(t *testing.T) {
	splits := ceiling.Splits(engine, []ceiling.Kind{kind(20)}, steady, ceiling.Options{})
	require.Len(t, splits, 9)

	split := splits[3]
	require.Equal(t, 4, split.Readers)
	require.InDelta(t, 0.5, split.Read, 1e-9)            // 20 x 100 tokens of 4 x 1,000
	require.InDelta(t, 200.0/6000, split.Generate, 1e-9) // 10 slots at 10 ms make 1,000 tokens/s each
	require.InDelta(t, 1, split.Credit, 1e-9)

	cached := ceiling.Splits(engine, []ceiling.Kind{kind(20)}, steady, ceiling.Options{Held: 1})
	require.InDelta(t, 0.25, cached[3].Read, 1e-9)
}

func TestOverloadServesUrgentKindsFirst(t *testing.T) {
	urgent, patient := kind(20), kind(40)
	patient.Name, patient.Rank = "patient", 1

	// Two readers read 20 prompts per second, which is all of the urgent ones.
	s := ceiling.Splits(engine, []ceiling.Kind{patient, urgent}, steady, ceiling.Options{})[1]
	require.InDelta(t, 20.0/60, s.Credit, 1e-9)
	require.InDelta(t, 3, s.Read, 1e-9)
}

func TestPromptThatNoReplicaReadsInTimeEarnsLess(t *testing.T) {
	long := kind(1)
	long.Own.Mean = 2000

	require.InDelta(t, 0.3, ceiling.Best(ceiling.Splits(engine, []ceiling.Kind{long}, steady, ceiling.Options{})).Credit, 1e-9)
}

func TestCreditOfADayIsWeightedByTime(t *testing.T) {
	day := []ceiling.Moment{
		{Lasts: 3 * time.Second},
		{Lasts: time.Second, Load: map[string]float64{"draft": 2}},
		{Lasts: time.Second, Absent: 0.5},
	}

	// Two readers read 20 prompts per second. The parts of the day serve all of 20, half of 40, and, with half of the replicas
	// unavailable, half of 20.
	s := ceiling.Splits(engine, []ceiling.Kind{kind(20)}, day, ceiling.Options{})[1]
	require.InDelta(t, (3*20+20+10)/(3*20+40+20.0), s.Credit, 1e-9)
	require.InDelta(t, 2, s.Read, 1e-9)
	require.Zero(t, ceiling.Best(nil))
}

package crashtracker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	tick = 100 * time.Millisecond
	// confirmation exceeds the time from a crash until the parts of runs that had not begun have a loss.
	confirmation = 500 * time.Millisecond
)

// partHost is one host's table on a clock that the test advances.
type partHost struct {
	*crashtracker.Table

	now     time.Time
	leaving []entity.TargetID
	targets int
}

func newPartHost() *partHost { return &partHost{Table: crashtracker.New(), now: epoch} }

// pass lets d pass.
func (h *partHost) pass(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(tick)
		h.Tick(h.now, h.leaving, alive)
	}
}

// crash lets a further target crash beside runs of prompts that had not begun.
func (h *partHost) crash(prompts ...[]crashtracker.Fingerprint) {
	h.targets++

	target := entity.TargetID(fmt.Sprint("target-", h.targets))
	for _, parts := range prompts {
		h.RecordBrokenRun(h.now, target, parts)
	}

	h.RecordCrash(h.now, target)
	h.pass(confirmation)
}

func (h *partHost) refuses(parts ...crashtracker.Fingerprint) bool {
	return h.JudgeParts(h.now, parts).Refused
}

func prompt(parts ...crashtracker.Fingerprint) []crashtracker.Fingerprint { return parts }

// Parts in the prompts of these tests: each route has a first part, and subjects have one.
const (
	first crashtracker.Fingerprint = 100 + iota
	subject
	other
	bad
	bad2
)

func TestPartIsRefusedAfterItHasCrashedFourTargets(t *testing.T) {
	h := newPartHost()

	for n := range 4 {
		require.False(t, h.refuses(first, subject, bad), "after %d crashes", n)
		h.crash(prompt(first, subject, bad), prompt(first, other))
		h.RecordBegin(h.now, prompt(first, subject))
		h.RecordBegin(h.now, prompt(first, other))
	}

	require.True(t, h.refuses(first, subject, bad))
	require.True(t, h.refuses(bad), "whatever else the prompt holds")
	require.False(t, h.refuses(first, subject))
	require.False(t, h.refuses(first, other))
	require.Equal(t, crashtracker.Stats{SuspectParts: 1, RefusedParts: 1}, h.Stats())
}

func TestRunsThatBreakOffWithoutACrashBlameNoPart(t *testing.T) {
	h := newPartHost()

	for n := range 10 {
		target := entity.TargetID(fmt.Sprint("garbling-", n))
		h.RecordBrokenRun(h.now, target, prompt(bad))
		h.pass(confirmation)
	}

	for n := range 10 {
		target := entity.TargetID(fmt.Sprint("leaving-", n))
		h.leaving = append(h.leaving, target)
		h.pass(tick)
		h.RecordBrokenRun(h.now, target, prompt(bad))
		h.RecordCrash(h.now, target)
		h.pass(confirmation)
	}

	require.False(t, h.refuses(bad))
	require.Zero(t, h.Sum())
}

func TestCrashOfASilentTargetIsKnownByTheEndOfItsEntry(t *testing.T) {
	h := newPartHost()

	for n := range 4 {
		h.RecordBrokenRun(h.now, entity.TargetID(fmt.Sprint("dark-", n)), prompt(bad))
	}

	h.pass(time.Second)
	require.False(t, h.refuses(bad))

	h.Tick(h.now, nil, func(entity.TargetID) bool { return true })
	require.True(t, h.refuses(bad))
}

func TestTargetsThatCrashTogetherBlameNoPartThatHasBegun(t *testing.T) {
	h := newPartHost()
	h.RecordBegin(h.now, prompt(first, subject))
	h.pass(time.Second)

	for n := range 9 {
		target := entity.TargetID(fmt.Sprint("rack-", n))
		h.RecordBrokenRun(h.now, target, prompt(first, subject))
		h.RecordCrash(h.now, target)
	}

	h.pass(5 * time.Second)
	require.False(t, h.refuses(first, subject))
}

func TestPartThatHasBegunBeforeIsRefusedOnceItCrashesTargets(t *testing.T) {
	h := newPartHost()
	h.RecordBegin(h.now, prompt(first, bad))
	h.pass(10 * time.Second)

	for range 4 {
		h.crash(prompt(first, bad))
		h.RecordBegin(h.now, prompt(first))
	}

	require.True(t, h.refuses(first, bad))
	require.False(t, h.refuses(first))
}

func TestTwoPartsThatCrashTargetsAreBothRefused(t *testing.T) {
	h := newPartHost()

	for range 4 {
		h.crash(prompt(first, subject, bad))
		h.crash(prompt(first, subject, bad2), prompt(first, other))
		h.RecordBegin(h.now, prompt(first, subject))
		h.RecordBegin(h.now, prompt(first, other))
	}

	require.True(t, h.refuses(first, subject, bad))
	require.True(t, h.refuses(first, other, bad2))
	require.False(t, h.refuses(first, subject))
	require.False(t, h.refuses(first, other))
}

func TestPartIsNotRefusedForCrashesThatAnotherExplains(t *testing.T) {
	h := newPartHost()
	h.crash(prompt(first, subject, bad))
	h.RecordBegin(h.now, prompt(first, subject))

	for range 8 {
		h.crash(prompt(first, subject, bad))
		h.RecordBegin(h.now, prompt(first))
	}

	// subject has begun since the first crash, and each later one has both.
	h.RecordBegin(h.now, prompt(first, other))
	h.RecordBegin(h.now, prompt(subject))
	h.crash(prompt(subject))
	require.True(t, h.refuses(first, subject, bad))
	require.False(t, h.refuses(first, subject))
}

func TestPartsThatAreAlwaysTogetherAreToldApartByOneRequestAtATime(t *testing.T) {
	h := newPartHost()
	place := 1
	h.SetTurns(func(string) (int, int) { return place, 4 })

	for range 5 {
		h.crash(prompt(subject, bad))
	}

	require.True(t, h.refuses(subject, bad))
	require.True(t, h.refuses(subject), "the turn is another host's")

	h.pass(4 * time.Second)
	require.False(t, h.refuses(subject))
	require.True(t, h.refuses(subject), "one request in each turn")

	h.RecordBegin(h.now, prompt(subject))
	require.False(t, h.refuses(subject))
	require.True(t, h.refuses(bad))
}

func TestWrongVerdictEndsByATrial(t *testing.T) {
	h := newPartHost()
	h.SetTurns(func(string) (int, int) { return 0, 3 })

	for range 4 {
		h.crash(prompt(first))
	}

	tries := 0

	for range 600 {
		h.pass(tick)

		if v := h.JudgeParts(h.now, prompt(first)); v.Trial {
			tries++
		} else {
			require.True(t, v.Refused)
			require.Positive(t, v.Left)
		}
	}

	require.LessOrEqual(t, tries, 1, "in the first minute")

	for !h.JudgeParts(h.now, prompt(first)).Trial {
		h.pass(tick)
	}

	require.LessOrEqual(t, h.now.Sub(epoch), 90*time.Second)
	h.RecordBegin(h.now, prompt(first))
	require.False(t, h.refuses(first))
}

func TestTrialsOfAPartThatCrashesTargetsBecomeRare(t *testing.T) {
	h := newPartHost()
	h.SetTurns(func(string) (int, int) { return 0, 1 })

	for range 4 {
		h.crash(prompt(bad))
	}

	crashes := 0

	for begin := h.now; h.now.Sub(begin) < 10*time.Minute; h.pass(tick) {
		if !h.refuses(bad) {
			crashes++

			h.crash(prompt(bad))
		}
	}

	require.LessOrEqual(t, crashes, 3)
}

func TestFloodOfPartsDoesNotPushOutTheOneThatCrashesTargets(t *testing.T) {
	h := newPartHost()
	own := crashtracker.Fingerprint(1000)

	crashes := 0

	for ; !h.refuses(bad) && crashes < 50; crashes++ {
		var prompts [][]crashtracker.Fingerprint

		for range 5000 {
			own++
			prompts = append(prompts, prompt(own))
		}

		h.crash(append(prompts, prompt(bad))...)
	}

	require.LessOrEqual(t, crashes, 6)
}

func TestHostsThatLearnOfPartsInAnyOrderAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []crashtracker.Record

		for range rapid.IntRange(1, 30).Draw(t, "records") {
			r := crashtracker.Record{Request: bad, Part: true, Clearances: rapid.Uint64Range(0, 2).Draw(t, "clearances"), Left: time.Minute}
			for _, n := range rapid.SliceOfN(rapid.IntRange(0, 20), 1, 16).Draw(t, "targets") {
				r.Targets = append(r.Targets, entity.TargetID(fmt.Sprint(n)))
			}

			records = append(records, r)
		}

		a, b := crashtracker.New(), crashtracker.New()
		a.Merge(epoch, records, true)
		b.Merge(epoch, rapid.Permutation(records).Draw(t, "order"), true)
		require.Equal(t, a.Sum(), b.Sum())
		require.Equal(t, a.JudgeParts(epoch, prompt(bad)).Refused, b.JudgeParts(epoch, prompt(bad)).Refused)
	})
}

// BenchmarkJudgeParts measures the verdict on a prompt of 64 parts while others are refused.
func BenchmarkJudgeParts(b *testing.B) {
	h := newPartHost()

	for range 4 {
		h.crash(prompt(bad))
	}

	var parts []crashtracker.Fingerprint
	for f := range crashtracker.Fingerprint(63) {
		parts = append(parts, f+1000)
	}

	for b.Loop() {
		h.JudgeParts(h.now, parts)
	}
}

// BenchmarkRecordBegin measures what each answer that begins costs, with two shared parts.
func BenchmarkRecordBegin(b *testing.B) {
	h := newPartHost()

	for f := crashtracker.Fingerprint(0); b.Loop(); f++ {
		h.RecordBegin(h.now, prompt(first, f%1000))
	}
}

package relay_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	firstPart = 1
	badPart   = 2
	// crashConfirmation exceeds the time from a crash until the part that causes it has a loss.
	crashConfirmation = time.Second
)

// partFixture is a fixture of which each target that runs a prompt with badPart crashes and returns under another id.
type partFixture struct {
	*fixture

	requests int
}

func newPartFixture(t *testing.T) *partFixture {
	t.Helper()

	route := resumable
	route.MaxTargets = 1 // a crash of its first target ends a request
	fx := &partFixture{fixture: newFixture(t, route, 100)}
	fx.targets.ended = map[entity.TargetID]bool{}

	return fx
}

// crashes lets each run crash its target after the given answer has arrived.
func (fx *partFixture) crashes(events string) {
	fx.targets.run = func(_ int, _ context.Context, s relay.Send) (*relay.Answer, error) {
		fx.targets.mu.Lock()
		fx.targets.ended[s.Target.ID] = true
		fx.targets.mu.Unlock()

		if events == "" {
			return nil, mayHaveRun()
		}

		a := answer(200, "")
		a.Body = cut(events, errReset)

		return a, nil
	}
}

func (fx *partFixture) serves() {
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		return answer(200, "id: 1\ndata: x\n\n"), nil
	}
}

// send sends a request of its own with parts, and lets time pass until a crash is known.
func (fx *partFixture) send(t *testing.T, parts ...uint64) *replyRecorder {
	t.Helper()

	fx.requests++

	r := request()
	r.ID, r.Body = entity.RequestID(fmt.Sprint("q-", fx.requests)), []byte(fmt.Sprint(fx.requests))

	for _, id := range append(parts, uint64(1000+fx.requests)) {
		r.Parts = append(r.Parts, placing.Part{ID: id, Tokens: 10})
	}

	out := &replyRecorder{}
	fx.relay.Serve(t.Context(), r, out)

	for range crashConfirmation / (100 * time.Millisecond) {
		time.Sleep(100 * time.Millisecond)
		fx.crashers.Tick(time.Now(), nil, func(entity.TargetID) bool { return false })
	}

	// Crashed targets are back under other ids.
	for i, target := range fx.fleet {
		if fx.targets.ended[target.ID] {
			fx.fleet[i].ID = entity.TargetID(fmt.Sprintf("%s-%d", target.ID, fx.requests))
		}
	}

	return out
}

func TestRequestsWithAPartThatCrashesTargetsAreRefusedBeforeThePrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newPartFixture(t)

		for range 4 {
			fx.crashes("")
			require.Equal(t, verdict.MayHaveRun, fx.send(t, firstPart, badPart).refused.Verdict)
			fx.serves()
			require.Equal(t, 200, fx.send(t, firstPart).status)
		}

		prefills, runs := len(fx.targets.prefills), len(fx.targets.runs)
		got := fx.send(t, firstPart, badPart).refused
		require.Equal(t, verdict.NotRun, got.Verdict)
		require.Equal(t, verdict.CodeQuarantined, got.Code)
		require.Greater(t, got.RetryAfter, time.Minute)
		require.Equal(t, [2]int{prefills, runs}, [2]int{len(fx.targets.prefills), len(fx.targets.runs)}, "nothing is sent, no prompt either")
		require.Len(t, fx.log.lines(`"failed"`, `"code":"quarantined"`, `"part":"`), 1)

		require.Equal(t, 200, fx.send(t, firstPart).status)
	})
}

func TestAnswersThatHadBegunBlameNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newPartFixture(t)

		for range 8 {
			fx.crashes("id: 1\ndata: x\n\n")
			require.True(t, fx.send(t, firstPart, badPart).broken)
		}

		require.Zero(t, fx.crashers.Stats().SuspectParts)
	})
}

func TestPrefillsAndRunsOnTargetsThatLiveBlameNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newPartFixture(t)
		fx.targets.run = failsWith(mayHaveRun())

		for range 8 {
			fx.send(t, firstPart, badPart)
		}

		fx.crashes("")

		fx.targets.prefill = func(_ int, s relay.Send) (*relay.KVHandle, *relay.Answer, error) {
			fx.targets.ended[s.Target.ID] = true

			return nil, nil, mayHaveRun()
		}

		fx.fleet = fx.fleet[4:] // without decode replicas

		for range 8 {
			fx.send(t, firstPart, badPart)
		}

		require.Zero(t, fx.crashers.Stats().SuspectParts)
	})
}

func TestRunIsRefusedIfThePartIsKnownOnceThePromptIsPrefilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newPartFixture(t)
		fx.serves()

		fx.targets.prefill = func(_ int, s relay.Send) (*relay.KVHandle, *relay.Answer, error) {
			fx.crashers.Merge(time.Now(), []crashtracker.Record{{
				Request: crashtracker.FingerprintOfPart("model", badPart), Part: true, Targets: []entity.TargetID{"a", "b", "c", "d"}, Left: time.Minute,
			}}, true)

			return &relay.KVHandle{Target: s.Target, Name: "kv"}, nil, nil
		}

		got := fx.send(t, firstPart, badPart).refused
		require.Empty(t, fx.targets.runs)
		require.Equal(t, verdict.NotRun, got.Verdict)
		require.Equal(t, verdict.CodeQuarantined, got.Code)
		require.Greater(t, got.RetryAfter, 30*time.Second, "a retry does not help soon")

		fx.targets.mu.Lock()
		defer fx.targets.mu.Unlock()

		require.Len(t, fx.targets.released, 1)
	})
}

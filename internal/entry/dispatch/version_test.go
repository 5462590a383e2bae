package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/dispatch"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

var (
	errOtherVersion  = verdict.New(verdict.NotRun, verdict.CodeOtherVersion, "another version")
	errStartedAnyway = verdict.New(verdict.MayHaveRun, verdict.CodeOtherVersion, "another version")
)

// decodesInTurn gives every engine but the decode engines the role prefill, and picks the decode engines in turn.
type decodesInTurn struct{ engines []entity.TargetID }

func (d decodesInTurn) Role(t entity.TargetID) entity.Role {
	if slices.Contains(d.engines, t) {
		return entity.Decode
	}

	return entity.Prefill
}

func (d decodesInTurn) PickDecode(_ entity.Request, _ entity.DataCentre, tried []entity.TargetID) (entity.Target, bool) {
	for _, id := range d.engines {
		if !slices.Contains(tried, id) {
			return target(id, entity.Engine), true
		}
	}

	return entity.Target{}, false
}

func TestDecodeEnginesOfOtherVersions(t *testing.T) {
	refuses := []reply{{err: errOtherVersion}}
	prompts := make([]reply, 5) // the targets of this test have no address, so that each decode needs a new prefill

	for name, tt := range map[string]struct {
		replies map[entity.TargetID][]reply
		calls   int
		retries int
		cancels []entity.TargetID
		verdict verdict.Verdict
		code    verdict.Code // empty for a whole answer
	}{
		"more refuse than there are tries": {
			replies: map[entity.TargetID][]reply{"e1": prompts, "d1": refuses, "d2": refuses, "d3": refuses, "d4": {{to: 3}}}, calls: 8,
		},
		"all refuse": {
			replies: map[entity.TargetID][]reply{"e1": prompts, "d1": refuses, "d2": refuses, "d3": refuses, "d4": refuses}, calls: 9, retries: 1,
			cancels: []entity.TargetID{"e1"}, verdict: verdict.NotRun, code: verdict.CodeOtherVersion,
		},
		"one starts anyway": {
			replies: map[entity.TargetID][]reply{"e1": prompts, "d1": {{err: errStartedAnyway}}}, calls: 2,
			cancels: []entity.TargetID{"d1", "e1"}, verdict: verdict.MayHaveRun, code: verdict.CodeOtherVersion,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, budget := &fakeTargets{replies: tt.replies}, &countingRetries{}
			phases := decodesInTurn{engines: []entity.TargetID{"d1", "d2", "d3", "d4"}}
			r := dispatch.New(dispatch.Options{Home: "a", Engines: f, Services: f, Router: f, Retries: budget, Phases: phases})
			ans := answers.New()

			r.Run(t.Context(), entity.Request{ID: "q", Kind: entity.Kind{AtMostOnce: true}, Deadline: time.Now().Add(testBound)}, ans)

			_, problem := ans.Ended()
			require.Len(t, f.calls, tt.calls)
			require.Equal(t, tt.retries, budget.n)
			require.Equal(t, tt.cancels, f.cancels)
			require.Zero(t, f.running)

			if tt.code == "" {
				require.Nil(t, problem)

				return
			}

			require.NotNil(t, problem)
			require.Equal(t, tt.code, problem.Code)
			require.Equal(t, tt.verdict, problem.Verdict)
		})
	}
}

func TestResumeAtAnotherVersionEndsAtOnce(t *testing.T) {
	f := &fakeTargets{replies: map[entity.TargetID][]reply{"e1": {{err: errOtherVersion}}, "e2": {{to: 3}}}}
	ans := answers.New()

	f.runner(nil).Run(t.Context(), entity.Request{ID: "q", Kind: entity.Kind{AtMostOnce: true}, Resume: true, Deadline: time.Now().Add(testBound)}, ans)

	_, problem := ans.Ended()
	require.Equal(t, []call{{target: "e1", resume: true}}, f.calls)
	require.Equal(t, verdict.CodeOtherVersion, problem.Code)
	require.Equal(t, verdict.MayHaveRun, problem.Verdict)
	require.Empty(t, f.cancels)
}

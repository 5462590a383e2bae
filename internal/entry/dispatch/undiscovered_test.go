package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/dispatch"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// TestRequestWaitsForTargetsThatMayAppear guards against a host that refuses its first requests because it has not found the hosts of a
// data centre yet.
func TestRequestWaitsForTargetsThatMayAppear(t *testing.T) {
	for hidden, code := range map[int]verdict.Code{0: "", 3: "", 30: verdict.CodeDeadline} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeTargets{hidden: hidden, replies: map[entity.TargetID][]reply{"e1": {{to: 3}}}}
			r := dispatch.New(dispatch.Options{Home: "a", Engines: f, Services: f, Router: f})
			req := entity.Request{ID: "r", Deadline: time.Now().Add(10 * time.Second), Kind: entity.Kind{Name: "note", Model: "m"}}
			ans := answers.New()

			began := time.Now()
			r.Run(t.Context(), req, ans)

			_, problem := ans.Ended()

			if code == "" {
				require.Nil(t, problem)
				require.Equal(t, time.Duration(hidden)*time.Second, time.Since(began), "it does not wait longer than needed")

				return
			}

			require.Equal(t, code, problem.Code)
			require.Equal(t, verdict.NotRun, problem.Verdict)
			require.Equal(t, 10*time.Second, time.Since(began))
			time.Sleep(time.Minute) // ends the timers of the fake
		})
	}
}

package requests_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/requests"
	"github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// refusingRunner refuses the first request and answers the others. It calls refused between the refusal and its return.
type refusingRunner struct {
	refused func()
	runs    int
}

func (r *refusingRunner) Run(_ context.Context, _ entity.Request, ans *answers.Answer) {
	r.runs++

	if r.runs == 1 {
		ans.Finish(verdict.New(verdict.NotRun, verdict.CodeOverloaded, "busy"))
		r.refused()

		return
	}

	ans.Append([]byte("held"))
	ans.Finish(nil)
}

// ledgerClaims implements Claims. It delays withdrawals until mayAbandon is closed.
type ledgerClaims struct {
	*ledger.Ledger

	mayAbandon <-chan struct{}
}

func (c ledgerClaims) ClaimAt(ctx context.Context, _ entity.HostID, req ledger.Request) (ledger.Outcome, error) {
	return c.Claim(ctx, req)
}

func (c ledgerClaims) Abandon(ctx context.Context, r claims.Record) error {
	<-c.mayAbandon

	return c.Ledger.Abandon(ctx, r)
}

func TestRepeatRightAfterARefusalRuns(t *testing.T) {
	// synctest.Wait lets the caller act on whatever it can see before the run returns.
	for name, refused := range map[string]func(){"before the run returns": synctest.Wait, "before the claim is withdrawn": func() {}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				held := ledger.New(ledger.Options{Store: platform.NewStore(clockwork.NewRealClock()).View(), Host: "here"})
				defer held.Close()

				repeated := make(chan struct{})
				defer close(repeated)

				run := &refusingRunner{refused: refused}
				service := requests.New(requests.Options{
					Host: "here", Runner: run, Router: noRouter{}, Claims: ledgerClaims{held, repeated},
					Answers: answers.NewTable(answers.Options{}),
				})
				req := entity.Request{
					Account: "desk", Key: claims.KeyAt("desk", time.Now(), 1).ID.String(), Fingerprint: "f",
					Kind:     entity.Kind{Name: "hold", Service: "s", AtMostOnce: true},
					Deadline: time.Now().Add(time.Minute),
				}

				ans, err := service.Submit(t.Context(), req)
				require.NoError(t, err)

				_, err = ans.Wait(t.Context())
				require.Equal(t, verdict.NotRun, verdict.Of(err))

				ans, err = service.Submit(t.Context(), req)
				require.NoError(t, err)

				events, err := ans.Wait(t.Context())
				require.NoError(t, err)
				require.Equal(t, [][]byte{[]byte("held")}, events)
				require.Equal(t, 2, run.runs)
			})
		})
	}
}

package requests_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/requests"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// staleClaims is a claim store in which Claim returns the record as it was first claimed, and Lookup returns the
// present record.
type staleClaims struct {
	mu       sync.Mutex
	claimed  claims.Record
	current  claims.Record
	finished chan struct{}
}

func (c *staleClaims) Claim(_ context.Context, req ledger.Request) (ledger.Outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.claimed.Claimant != "" {
		return ledger.Outcome{Record: c.claimed}, nil
	}

	c.claimed = claims.Record{Key: req.Key, Nonce: req.Nonce, Claimant: req.Claimant, Request: req.Request}

	return ledger.Outcome{Mine: true, Record: c.claimed}, nil
}

func (c *staleClaims) ClaimAt(ctx context.Context, _ entity.HostID, req ledger.Request) (ledger.Outcome, error) {
	return c.Claim(ctx, req)
}

func (c *staleClaims) Finish(_ context.Context, r claims.Record, res claims.Result) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.current = r
	c.current.State, c.current.Result = claims.Done, res
	close(c.finished)

	return nil
}

func (c *staleClaims) GiveUp(claims.Record) error { return nil }

func (c *staleClaims) Abandon(context.Context, claims.Record) error { return nil }

func (c *staleClaims) Lookup(context.Context, claims.Key) (claims.Record, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.current, c.current.State == claims.Done, nil
}

// unknownPeers implements Peers for a host that has no live peer.
type unknownPeers struct{}

func (unknownPeers) Alive(entity.HostID) bool { return false }

func (unknownPeers) Join(context.Context, entity.HostID, entity.AccountID, string, *answers.Answer) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodePeerLost, "not known")
}

type runner struct{ runs int }

func (r *runner) Run(_ context.Context, _ entity.Request, ans *answers.Answer) {
	r.runs++
	ans.Append([]byte("held"))
	ans.Finish(nil)
}

type noRouter struct{}

func (noRouter) Pick(entity.Request, []entity.TargetID) (entity.Target, bool) {
	return entity.Target{}, false
}

func TestRepeatAtAHostThatDoesNotKnowTheClaimant(t *testing.T) {
	var (
		store = &staleClaims{finished: make(chan struct{})}
		run   = &runner{}
		req   = entity.Request{
			Account: "desk", Key: uuid.Must(uuid.NewV7()).String(), Fingerprint: "f",
			Kind:     entity.Kind{Name: "hold", Service: "s", AtMostOnce: true},
			Deadline: time.Now().Add(time.Minute),
		}
	)

	for _, host := range []entity.HostID{"first", "second"} {
		service := requests.New(requests.Options{
			Host: host, Runner: run, Router: noRouter{}, Claims: store, Peers: unknownPeers{},
			Answers: answers.NewTable(answers.Options{}),
		})

		ans, err := service.Submit(t.Context(), req)
		require.NoError(t, err)

		events, err := ans.Wait(t.Context())
		require.NoError(t, err, "host %s", host)
		require.Equal(t, [][]byte{[]byte("held")}, events)

		<-store.finished
	}

	require.Equal(t, 1, run.runs)
}

package relay_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

var testAccounts = []catalog.Account{
	{ID: "desk", Keys: []string{"desk-key"}, Rank: 1, HasRank: true},
	{ID: "branch", Keys: []string{"branch-key"}},
}

var succeeds runFunc = func(_ int, _ context.Context, s relay.Send) (*relay.Answer, error) { return streamFrom(s), nil }

func TestRequestIsServedForTheAccountOfItsKey(t *testing.T) {
	for _, route := range []catalog.Route{atMostOnce, repeatable, resumable, plainStream} {
		route.Rank = 3

		for key, want := range map[string]relay.Send{"desk-key": {Account: "desk", Rank: 1}, "branch-key": {Account: "branch", Rank: 3}} {
			fx := newFixture(t, route, 3, testAccounts...)
			fx.targets.run = succeeds

			out := &replyRecorder{}
			r := request()
			r.Key = key
			fx.relay.Serve(t.Context(), r, out)

			require.Nil(t, out.refused)

			for _, s := range append(fx.targets.runs, fx.targets.prefills...) {
				require.Equal(t, want.Account, s.Account)
				require.Equal(t, want.Rank, s.Rank)
			}

			require.Empty(t, fx.log.lines(key))
		}
	}
}

func TestRequestWithoutAKnownKeyReachesNoTarget(t *testing.T) {
	for _, key := range []string{"", "other", "desk"} {
		fx := newFixture(t, repeatable, 3, testAccounts...)

		out := &replyRecorder{}
		r := request()
		r.Key = key
		fx.relay.Serve(t.Context(), r, out)

		require.Equal(t, verdict.CodeUnauthorized, out.refused.Code)
		require.Equal(t, verdict.NotRun, out.refused.Verdict)
		require.Empty(t, fx.targets.runs)
	}
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	route := repeatable
	route.Public = true

	fx := newFixture(t, route, 3, testAccounts...)
	fx.targets.run = succeeds

	require.Nil(t, fx.serve(t.Context(), t).refused)
	require.Empty(t, fx.targets.runs[0].Account)
}

// TestForwardedRequestKeepsItsAccount guards against a host that looks the key up again, which it does not get, or that takes the
// rank of the route.
func TestForwardedRequestKeepsItsAccount(t *testing.T) {
	fx := newFixture(t, repeatable, 3, testAccounts...)
	fx.cutOff("plain")

	out := &replyRecorder{}
	r := request()
	r.Key = "desk-key"
	fx.relay.Serve(t.Context(), r, out)
	require.Equal(t, "other", out.body.String())

	h := fx.forwarder.handed[0]
	require.Equal(t, "desk", string(h.Account))
	require.Equal(t, 1, h.Rank)

	fx = newFixture(t, repeatable, 3, testAccounts...)
	fx.targets.run = succeeds

	r = request()
	r.Handover = &h
	fx.relay.Serve(t.Context(), r, &replyRecorder{})
	require.Equal(t, "desk", string(fx.targets.runs[0].Account))
	require.Equal(t, 1, fx.targets.runs[0].Rank)
}

// TestNoKeyCountsWhileKeysMayBeOutdated guards against a host that is cut off and goes on to serve a key that was taken away.
func TestNoKeyCountsWhileKeysMayBeOutdated(t *testing.T) {
	fx := newFixture(t, repeatable, 3, testAccounts...)
	fx.targets.run = succeeds
	fx.keysStale.Store(true)

	out := &replyRecorder{}
	r := request()
	r.Key = "desk-key"
	fx.relay.Serve(t.Context(), r, out)
	require.Equal(t, verdict.CodeNotReady, out.refused.Code)
	require.Equal(t, verdict.NotRun, out.refused.Verdict)

	fx.keysStale.Store(false)

	out = &replyRecorder{}
	fx.relay.Serve(t.Context(), r, out)
	require.Nil(t, out.refused)
}

// TestRequestBeginsOnce counts, by account, the requests that began to run: once each, however often they are sent, and none that
// no target can have run.
func TestRequestBeginsOnce(t *testing.T) {
	fails := func(n int, _ context.Context, s relay.Send) (*relay.Answer, error) {
		if n == 0 {
			return answer(500, "failed"), nil
		}

		return streamFrom(s), nil
	}
	refuses := func(int, context.Context, relay.Send) (*relay.Answer, error) {
		a := answer(503, "")
		a.NotRun = true

		return a, nil
	}
	breaks := func(n int, _ context.Context, s relay.Send) (*relay.Answer, error) {
		a := streamFrom(s)
		if n == 0 {
			a.Body = cut("id: 1\ndata: 1\n\n", mayHaveRun())
		}

		return a, nil
	}
	lost := func(int, context.Context, relay.Send) (*relay.Answer, error) { return nil, mayHaveRun() }
	unsent := func(int, context.Context, relay.Send) (*relay.Answer, error) { return nil, notRun() }

	for name, c := range map[string]struct {
		route catalog.Route
		run   runFunc
		want  int
	}{
		"plain":                  {atMostOnce, succeeds, 1},
		"plain, fails":           {atMostOnce, fails, 1},
		"repeatable, fails once": {repeatable, fails, 1},
		"plain, refused":         {atMostOnce, refuses, 0},
		"plain, answer lost":     {atMostOnce, lost, 1},
		"plain, not sent":        {atMostOnce, unsent, 0},
		"stream, answer lost":    {resumable, lost, 1},
		"stream, not sent":       {resumable, unsent, 0},
		"stream":                 {resumable, succeeds, 1},
		"stream, goes on":        {resumable, breaks, 1},
		"stream, refused":        {resumable, refuses, 0},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, c.route, 3, testAccounts...)
			fx.targets.run = c.run

			r := request()
			r.Key = "branch-key"
			fx.relay.Serve(t.Context(), r, &replyRecorder{})
			require.Len(t, fx.began, c.want)

			for _, account := range fx.began {
				require.Equal(t, "branch", string(account))
			}
		})
	}

	public := atMostOnce
	public.Public = true
	fx := newFixture(t, public, 3, testAccounts...)
	fx.targets.run = succeeds
	fx.serve(t.Context(), t)
	require.Empty(t, fx.began, "a request without an account is counted for none")
}

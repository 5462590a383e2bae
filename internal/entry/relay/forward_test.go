package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// fakeForwarder serves forwarded requests with status 200, unless none is set.
type fakeForwarder struct {
	none     bool
	next     relay.Forwarder // serves the requests; nil means this one
	requests []relay.Request
	handed   []relay.Handover
}

func (f *fakeForwarder) Forward(ctx context.Context, service entity.ServiceName, r *relay.Request, h relay.Handover, w relay.Reply) bool {
	if f.none {
		return false
	}

	if f.next != nil {
		return f.next.Forward(ctx, service, r, h, w)
	}

	f.requests, f.handed = append(f.requests, *r), append(f.handed, h)
	w.Respond(200, http.Header{"Signature": {"other"}}, []byte("other"))

	return true
}

// cutOff makes the host of fx reach no target of service.
func (fx *fixture) cutOff(service entity.ServiceName) {
	for i := range 2 {
		fx.reach.RecordFailed(time.Now(), service, entity.TargetID(fmt.Sprint("t", i)), 2)
	}

	fx.reach.Due(time.Now())
	fx.reach.RecordProbe(time.Now(), service, false)
}

func TestHostThatIsCutOffForwardsAtOnce(t *testing.T) {
	for _, route := range []catalog.Route{atMostOnce, repeatable, resumable, plainStream} {
		fx := newFixture(t, route, 3)
		service := entity.ServiceName("plain")

		if route.Streaming {
			service = "model"
		}

		fx.cutOff(service)

		out := fx.serve(t.Context(), t)
		require.Equal(t, "other", out.body.String())
		require.Empty(t, fx.targets.runs)
		require.Empty(t, fx.targets.prefills)
		require.False(t, fx.forwarder.handed[0].Counted, "the other host counts it")
		require.LessOrEqual(t, fx.forwarder.requests[0].Timeout, route.Timeout)
		require.Equal(t, 200, fx.outcome.Status)
	}
}

func TestRequestThatReachedNoTargetIsForwarded(t *testing.T) {
	fx := newFixture(t, atMostOnce, 100)
	fx.targets.run = failsWith(notRun())

	out := fx.serve(t.Context(), t)
	require.Equal(t, "other", out.body.String())
	require.True(t, fx.forwarder.handed[0].Counted)
}

func TestRequestThatMayHaveRunIsNotForwarded(t *testing.T) {
	fx := newFixture(t, atMostOnce, 100)
	fx.targets.run = failsWith(mayHaveRun())

	out := fx.serve(t.Context(), t)
	require.Equal(t, verdict.MayHaveRun, out.refused.Verdict)
	require.Empty(t, fx.forwarder.requests)
}

func TestRequestThatTargetsRefusedIsNotForwarded(t *testing.T) {
	fx := newFixture(t, atMostOnce, 100)
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		a := answer(503, "")
		a.NotRun = true

		return a, nil
	}

	out := fx.serve(t.Context(), t)
	require.Equal(t, verdict.NotRun, out.refused.Verdict)
	require.Empty(t, fx.forwarder.requests, "the retry budget has counted its sends")
}

func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		fx := newFixture(t, atMostOnce, 100)
		fx.targets.run = failsWith(notRun())

		if cutOff {
			fx.cutOff("plain")
		}

		r, out := request(), &replyRecorder{}
		r.Handover = &relay.Handover{}
		fx.relay.Serve(t.Context(), r, out)
		require.Equal(t, verdict.NotRun, out.refused.Verdict)
		require.Empty(t, fx.forwarder.requests)
		require.Equal(t, cutOff, len(fx.targets.runs) == 0)
	}
}

func TestForwardedRequestIsBoundByItsSender(t *testing.T) {
	fx := newFixture(t, atMostOnce, 100)
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) { return answer(200, "done"), nil }

	for range 20 {
		r, out := request(), &replyRecorder{}
		r.Handover = &relay.Handover{Avoid: []entity.TargetID{"s1"}, Configuration: 1}
		fx.relay.Serve(t.Context(), r, out)
		require.Equal(t, 200, out.status)
		require.Equal(t, entity.TargetID("s2"), fx.targets.runs[len(fx.targets.runs)-1].Target.ID, "the sender knows that s1 leaves")
	}

	sent := len(fx.targets.runs)
	r, out := request(), &replyRecorder{}
	r.Handover = &relay.Handover{Configuration: 2}
	fx.relay.Serve(t.Context(), r, out)
	require.Equal(t, verdict.CodeNotReady, out.refused.Code, "the sender has a newer configuration")
	require.Len(t, fx.targets.runs, sent)
}

func TestHostThatIsCutOffServesByItselfIfNoOtherDoes(t *testing.T) {
	fx := newFixture(t, atMostOnce, 100)
	fx.cutOff("plain")

	fx.forwarder.none = true
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) { return answer(200, "done"), nil }
	require.Equal(t, "done", fx.serve(t.Context(), t).body.String())
}

func TestFailuresOfAHostThatIsCutOffAreNoCrashes(t *testing.T) {
	fx := newFixture(t, resumable, 100)
	fx.forwarder.none = true
	fx.cutOff("model")

	fx.targets.run = failsWith(mayHaveRun())
	fx.serve(t.Context(), t)
	require.Zero(t, fx.crashers.Losses(time.Now(), crashtracker.FingerprintOf("host", "/p/x", nil)))
}

// lostForwarder loses the host that serves a request when ctx ends.
type lostForwarder struct{}

func (lostForwarder) Forward(ctx context.Context, _ entity.ServiceName, _ *relay.Request, _ relay.Handover, w relay.Reply) bool {
	<-ctx.Done()
	w.Refuse(verdict.New(verdict.MayHaveRun, verdict.CodePeerLost, "lost"))

	return true
}

func TestForwardedRequestEndsWithItsDeadlineOrItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, atMostOnce, 100)
		fx.cutOff("plain")
		fx.forwarder.next = lostForwarder{}

		start, out := time.Now(), fx.serve(t.Context(), t)
		require.Equal(t, verdict.CodeDeadline, out.refused.Code)
		require.Equal(t, verdict.MayHaveRun, out.refused.Verdict)
		require.Equal(t, atMostOnce.Timeout, time.Since(start))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()

		ctx, leave := context.WithCancel(ctx)
		time.AfterFunc(500*time.Millisecond, leave)
		require.Equal(t, verdict.CodeCallerGone, fx.serve(ctx, t).refused.Code)
	})
}

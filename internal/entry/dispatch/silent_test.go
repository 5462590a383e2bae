package dispatch_test

import (
	"cmp"
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/dispatch"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	longDeadline   = 10 * time.Minute
	idleTimeout    = 5 * time.Second // after which the client of engines ends a silent stream
	refusedTime    = 5 * time.Second // after which an engine that refuses connections has ended
	maxResumeDelay = 2 * time.Second
	serviceSilence = 10 * time.Second // after which a call of a service may move to another one
)

// refusingRetries refuses all retries.
type refusingRetries struct{}

func (refusingRetries) Allow(entity.Request, error) bool { return false }

// silent returns n streams that deliver the events before sequence number to and then nothing until they are ended.
func silent(n int, to uint64) []reply {
	return slices.Repeat([]reply{{to: to, quiet: idleTimeout, err: errBroken}}, n)
}

func targetsOf(calls []call) []entity.TargetID {
	ids := make([]entity.TargetID, 0, len(calls))
	for _, c := range calls {
		ids = append(ids, c.target)
	}

	return slices.Compact(ids)
}

func TestSoundEngineThatFallsSilentIsGivenUp(t *testing.T) {
	once, plain := entity.Kind{Model: "m", AtMostOnce: true}, entity.Kind{Model: "m"}
	whole := reply{to: 3}

	for name, tt := range map[string]struct {
		kind    entity.Kind
		req     entity.Request
		from    uint64 // sequence number of the first event of the answer
		seen    bool   // a reader receives the events as they arrive
		retries dispatch.Retries
		engine  []reply
		others  map[entity.TargetID][]reply
	}{
		"begun answer": {kind: plain, seen: true, engine: silent(20, 2), others: map[entity.TargetID][]reply{"e2": {whole}}},
		"begun answer of a broken connection": {
			kind: plain, seen: true, engine: slices.Repeat([]reply{{to: 2, err: errBroken}}, 20), others: map[entity.TargetID][]reply{"e2": {whole}},
		},
		"kind that runs at most once": {kind: once, engine: silent(20, 2), others: map[entity.TargetID][]reply{"e2": {whole}}},
		"before the first event":      {kind: once, engine: silent(20, 0), others: map[entity.TargetID][]reply{"e2": {whole}}},
		"resumed run":                 {kind: once, req: entity.Request{Resume: true}, engine: slices.Repeat([]reply{{err: errUnsent}}, 20)},
		"caller that has a part":      {kind: plain, req: entity.Request{Resume: true, Pinned: "e1", EventsSeen: 1}, engine: silent(20, 0), others: map[entity.TargetID][]reply{"e2": {whole}}},
		"earlier events held elsewhere": {
			kind: plain, req: entity.Request{Resume: true, Pinned: "e1"}, from: 2, engine: silent(20, 0), others: map[entity.TargetID][]reply{"e2": {whole}},
		},
		"earlier events held elsewhere, in another data centre": {
			kind: plain, req: entity.Request{Resume: true, Pinned: "far"}, from: 2, engine: silent(20, 0), others: map[entity.TargetID][]reply{"e2": {whole}},
		},
		"no other target":               {kind: plain, engine: silent(20, 2)},
		"no retry budget":               {kind: plain, retries: refusingRetries{}, engine: silent(20, 2), others: map[entity.TargetID][]reply{"e2": {whole}}},
		"refuses for a moment":          {kind: once, engine: append(slices.Repeat([]reply{{to: 2, err: errBroken}, {err: errRefused}}, 10), reply{err: errRefused})},
		"forwarded, begun answer":       {kind: plain, seen: true, req: entity.Request{Forwarded: true}, engine: silent(20, 2)},
		"forwarded, runs at most once":  {kind: once, req: entity.Request{Forwarded: true}, engine: silent(20, 0)},
		"last of the permitted targets": {kind: plain, engine: []reply{{err: errNotRun}}, others: map[entity.TargetID][]reply{"e2": {{err: errNotRun}}, "e3": append(silent(20, 0), whole)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTargets{replies: map[entity.TargetID][]reply{cmp.Or(tt.req.Pinned, "e1"): append(tt.engine, whole)}}
				for id, replies := range tt.others {
					f.replies[id] = replies
				}

				ans := answers.NewFrom(tt.from)

				if tt.seen {
					go func() { _ = ans.Read(t.Context(), 0, func(uint64, []byte) error { return nil }) }()
				}

				far := dispatch.New(dispatch.Options{Home: "b", Engines: f, Services: f, Router: f, MaxStreams: 2})
				r := dispatch.New(dispatch.Options{Home: "a", Engines: f, Services: f, Peers: farHost{far}, Router: f, Retries: tt.retries, MaxStreams: 2})
				tt.req.ID, tt.req.Kind, tt.req.Deadline = "r", tt.kind, time.Now().Add(longDeadline)
				r.Run(t.Context(), tt.req, ans)

				_, problem := ans.Ended()
				require.Nil(t, problem)
				require.Equal(t, whole.to, ans.NextSeq())
				require.Zero(t, f.running)
			})
		})
	}
}

func TestSilentEngineIsReplacedOnceAnotherIsAtHand(t *testing.T) {
	for name, tt := range map[string]struct {
		phases  dispatch.PhaseRouter
		req     entity.Request
		replies map[entity.TargetID][]reply
		targets []entity.TargetID
		cancels []entity.TargetID
		retries int
		code    verdict.Code // empty for a whole answer
	}{
		"silent": {replies: map[entity.TargetID][]reply{"e1": silent(20, 2), "e2": {{to: 3}}}, targets: []entity.TargetID{"e1", "e2"}, cancels: []entity.TargetID{"e1"}, retries: 1},
		"both silent": {
			replies: map[entity.TargetID][]reply{"e1": silent(20, 2), "e2": silent(20, 2), "e3": {{to: 3}}},
			targets: []entity.TargetID{"e1", "e2", "e3"}, cancels: []entity.TargetID{"e1", "e2"}, retries: 2,
		},
		"silent in the prefill": {
			phases: splitPhases{}, replies: map[entity.TargetID][]reply{"e1": silent(20, 0), "e2": {{}}, "d1": {{to: 3}}},
			targets: []entity.TargetID{"e1", "e2", "d1"}, cancels: []entity.TargetID{"e1"}, retries: 1,
		},
		"silent in the decode": {
			phases: splitPhases{}, replies: map[entity.TargetID][]reply{"e1": {{}}, "e2": {{}}, "d1": append(silent(2, 2), reply{to: 3})},
			targets: []entity.TargetID{"e1", "d1", "e2", "d1"}, cancels: []entity.TargetID{"d1", "e1"}, retries: 1,
		},
		"silent in another data centre": {
			req:     entity.Request{Preferred: "far"},
			replies: map[entity.TargetID][]reply{"far": slices.Repeat([]reply{{err: errSilent}}, 20), "e1": {{to: 3}}},
			targets: []entity.TargetID{"far", "e1"}, cancels: []entity.TargetID{"far"}, retries: 1,
		},
		"forwarded": {
			req: entity.Request{Forwarded: true}, replies: map[entity.TargetID][]reply{"e1": silent(20, 0)}, targets: []entity.TargetID{"e1"},
			code: verdict.CodeTargetSilent,
		},
		"resumed": {
			req: entity.Request{Resume: true, Pinned: "e1"}, replies: map[entity.TargetID][]reply{"e1": silent(20, 0), "e2": {{to: 3}}},
			targets: []entity.TargetID{"e1"}, code: verdict.CodeTargetLost,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, budget := &fakeTargets{replies: tt.replies}, &countingRetries{}
				r := dispatch.New(dispatch.Options{Home: "a", Engines: f, Services: f, Peers: f, Router: f, Retries: budget, Phases: tt.phases, MaxStreams: 2})
				ans := answers.New()

				tt.req.ID, tt.req.Kind, tt.req.Deadline = "r", entity.Kind{Model: "m"}, time.Now().Add(longDeadline)
				r.Run(t.Context(), tt.req, ans)

				require.Equal(t, tt.targets, targetsOf(f.calls))
				require.Equal(t, tt.cancels, f.cancels)

				if _, problem := ans.Ended(); tt.code != "" {
					require.Equal(t, tt.code, problem.Code)
					require.Equal(t, verdict.MayHaveRun, problem.Verdict)

					return
				}

				require.Len(t, ans.Events(), 3)
				require.Equal(t, tt.retries, budget.n)
			})
		})
	}
}

func TestSilentEngineOfAnotherDataCentreIsGivenUp(t *testing.T) {
	for name, tt := range map[string]struct {
		replies []reply
		code    verdict.Code // empty for a whole answer
	}{
		"goes on":             {replies: append(slices.Repeat([]reply{{err: errSilent}}, 20), reply{})},
		"its hosts are lost":  {replies: []reply{{err: errSilent}, {err: errPeerLost}, {to: 3}}},
		"has lost the answer": {replies: []reply{{err: errSilent}, {err: errUnknown}}, code: verdict.CodeTargetLost},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, ans := &fakeTargets{replies: map[entity.TargetID][]reply{"far": tt.replies}}, answers.New()

				f.runner(nil).Run(t.Context(), entity.Request{ID: "r", Preferred: "far", Kind: entity.Kind{Model: "m"}, Deadline: time.Now().Add(longDeadline)}, ans)

				for i, c := range f.calls {
					require.Equal(t, call{target: "far", resume: i > 0}, c)
				}

				_, problem := ans.Ended()

				if tt.code == "" {
					require.Nil(t, problem)

					return
				}

				require.Equal(t, tt.code, problem.Code)
				require.Equal(t, verdict.MayHaveRun, problem.Verdict)
			})
		})
	}
}

// farHost is the entry host of data centre b that runs forwarded requests. It sends each event on as it arrives.
type farHost struct{ runner *dispatch.Runner }

func (h farHost) Forward(ctx context.Context, _ entity.DataCentre, t entity.TargetID, req entity.Request, ans *answers.Answer) error {
	req.Forwarded, req.Pinned = true, t
	own := answers.NewFrom(ans.NextSeq())

	go h.runner.Run(ctx, req, own)

	return own.Read(ctx, ans.NextSeq(), func(_ uint64, data []byte) error {
		ans.Append(data)

		return nil
	})
}

// forwardingRunner returns the Runner of a host in data centre a that forwards requests for far to a farHost.
func (f *fakeTargets) forwardingRunner() *dispatch.Runner {
	far := dispatch.New(dispatch.Options{Home: "b", Engines: f, Services: f, Router: f, MaxStreams: 2})

	return dispatch.New(dispatch.Options{Home: "a", Engines: f, Services: f, Peers: farHost{far}, Router: f, MaxStreams: 2})
}

func TestEngineThatHasEndedIsWaitedFor(t *testing.T) {
	refused := slices.Repeat([]reply{{err: errRefused}}, 100)
	once, plain := entity.Kind{Model: "m", AtMostOnce: true}, entity.Kind{Model: "m"}

	for name, tt := range map[string]struct {
		kind    entity.Kind
		replies []reply
		forward bool
		bound   time.Duration
	}{
		"nothing listens":                     {kind: once, replies: append([]reply{{to: 1, err: errBroken}}, refused...), bound: refusedTime + 2*maxResumeDelay},
		"started again":                       {kind: once, replies: []reply{{to: 1, err: errBroken}, {err: errUnsent}, {err: errUnknown}}, bound: maxResumeDelay},
		"cannot resume there":                 {kind: once, replies: []reply{{to: 1, err: errBroken}, {err: errMalformed}}, bound: maxResumeDelay},
		"nothing listens, forwarded once":     {kind: once, forward: true, replies: append([]reply{{to: 1, err: errBroken}}, refused...), bound: refusedTime + 2*maxResumeDelay},
		"nothing listens, forwarded":          {kind: plain, forward: true, replies: append([]reply{{err: errBroken}}, refused...), bound: refusedTime + 2*maxResumeDelay},
		"nothing listens, forwarded again":    {kind: plain, forward: true, replies: append(slices.Repeat([]reply{{err: errBroken}}, 2), refused...), bound: refusedTime + 2*maxResumeDelay},
		"started again, forwarded again":      {kind: plain, forward: true, replies: append(slices.Repeat([]reply{{err: errBroken}}, 2), reply{err: errUnknown}), bound: maxResumeDelay},
		"refuses between silences, forwarded": {kind: plain, forward: true, replies: append([]reply{{err: errBroken}, {err: errRefused}, {err: errBroken}}, refused...), bound: refusedTime + 2*maxResumeDelay},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, ans, start := &fakeTargets{replies: map[entity.TargetID][]reply{}}, answers.New(), time.Now()
				r, engine := f.runner(nil), entity.TargetID("e1")

				if tt.forward {
					r, engine = f.forwardingRunner(), "far"
				}

				f.replies[engine] = tt.replies
				r.Run(t.Context(), entity.Request{ID: "r", Kind: tt.kind, Preferred: engine, Deadline: start.Add(longDeadline)}, ans)

				_, problem := ans.Ended()
				require.Equal(t, verdict.CodeTargetLost, problem.Code)
				require.Equal(t, verdict.MayHaveRun, problem.Verdict)
				require.LessOrEqual(t, time.Since(start), tt.bound)
			})
		})
	}
}

func TestResumesWithoutEndAreRare(t *testing.T) {
	const firstDelays = 6 // 100 ms, doubled up to maxResumeDelay

	for name, tt := range map[string]struct {
		kind   entity.Kind
		engine entity.TargetID
		first  reply
		hosts  int // that have first delays
	}{
		"direct":                  {kind: entity.Kind{Model: "m", AtMostOnce: true}, engine: "e1", first: reply{to: 1, err: errBroken}, hosts: 1},
		"forwarded":               {kind: entity.Kind{Model: "m"}, engine: "far", first: reply{err: errBroken}, hosts: 2},
		"forwarded, at most once": {kind: entity.Kind{Model: "m", AtMostOnce: true}, engine: "far", first: reply{err: errBroken}, hosts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, ans := &fakeTargets{replies: map[entity.TargetID][]reply{tt.engine: {tt.first}}}, answers.New()

				f.forwardingRunner().Run(t.Context(), entity.Request{ID: "r", Kind: tt.kind, Preferred: tt.engine, Deadline: time.Now().Add(longDeadline)}, ans)

				_, problem := ans.Ended()
				require.Equal(t, verdict.CodeDeadline, problem.Code)
				require.Equal(t, verdict.MayHaveRun, problem.Verdict)
				require.LessOrEqual(t, len(f.calls), int(longDeadline/maxResumeDelay)+tt.hosts*firstDelays)
			})
		})
	}
}

func TestCallStaysAtASilentServiceAlthoughAnotherIsAtHand(t *testing.T) {
	type replies = map[entity.TargetID][]reply

	hang := reply{hang: true, err: errLost}

	for name, tt := range map[string]struct {
		req     entity.Request
		replies replies
		targets []entity.TargetID
	}{
		"silent":      {replies: replies{"e1": {hang}, "e2": {{}}}, targets: []entity.TargetID{"e1", "e2"}},
		"both silent": {replies: replies{"e1": {hang}, "e2": {hang}, "e3": {{}}}, targets: []entity.TargetID{"e1", "e2", "e3"}},
		"silent in another data centre": {
			req: entity.Request{Preferred: "far"}, replies: replies{"far": {hang}, "e1": {{}}}, targets: []entity.TargetID{"far", "e1"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, budget, ans, start := &fakeTargets{replies: tt.replies}, &countingRetries{}, answers.New(), time.Now()
				r := dispatch.New(dispatch.Options{Home: "a", Engines: f, Services: f, Peers: f, Router: f, Retries: budget})

				tt.req.ID, tt.req.Kind, tt.req.Deadline = "r", entity.Kind{Service: "s"}, start.Add(longDeadline)
				r.Run(t.Context(), tt.req, ans)

				_, problem := ans.Ended()
				require.Nil(t, problem)
				require.Len(t, ans.Events(), 1)
				require.Equal(t, tt.targets, targetsOf(f.calls))

				moves := len(tt.targets) - 1
				require.Equal(t, moves, budget.n)
				require.Equal(t, time.Duration(moves)*serviceSilence, time.Since(start))
				require.Zero(t, f.running)
			})
		})
	}
}

func TestCallOfASilentServiceIsGivenUp(t *testing.T) {
	const answerTime = 4 * serviceSilence

	once, plain := entity.Kind{Service: "s", AtMostOnce: true}, entity.Kind{Service: "s"}

	for name, tt := range map[string]struct {
		req     entity.Request
		retries dispatch.Retries
		others  []entity.TargetID
	}{
		"runs at most once":                        {req: entity.Request{Kind: once}, others: []entity.TargetID{"e2"}},
		"runs at most once, another data centre":   {req: entity.Request{Kind: once, Preferred: "far"}, others: []entity.TargetID{"e2"}},
		"no other service":                         {req: entity.Request{Kind: plain}},
		"no other service, another data centre":    {req: entity.Request{Kind: plain, Preferred: "far"}},
		"no retry budget":                          {req: entity.Request{Kind: plain}, retries: refusingRetries{}, others: []entity.TargetID{"e2"}},
		"forwarded, decided by the other host":     {req: entity.Request{Kind: plain, Forwarded: true}, others: []entity.TargetID{"e2"}},
		"forwarded, runs at most once, on its own": {req: entity.Request{Kind: once, Forwarded: true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, ans, start := &fakeTargets{replies: map[entity.TargetID][]reply{}}, answers.New(), time.Now()

				first := cmp.Or(tt.req.Preferred, "e1")
				f.replies[first] = []reply{{quiet: answerTime}}

				for _, id := range tt.others {
					f.replies[id] = []reply{{}}
				}

				r := dispatch.New(dispatch.Options{Home: "a", Engines: f, Services: f, Peers: f, Router: f, Retries: tt.retries})
				tt.req.ID, tt.req.Deadline = "r", start.Add(longDeadline)
				r.Run(t.Context(), tt.req, ans)

				_, problem := ans.Ended()
				require.Nil(t, problem)
				require.Equal(t, []call{{target: first}}, f.calls)
				require.Equal(t, answerTime, time.Since(start))
			})
		})
	}
}

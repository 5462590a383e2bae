package dispatch_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/dispatch"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const testBound = 10 * time.Second

var (
	errNotRun    = verdict.New(verdict.NotRun, verdict.CodeOverloaded, "busy")
	errUnsent    = verdict.New(verdict.NotRun, verdict.CodeTargetLost, "not sent")
	errBroken    = verdict.New(verdict.MayHaveRun, verdict.CodeTruncated, "broke off")
	errLost      = verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "lost")
	errUnknown   = verdict.New(verdict.NotRun, verdict.CodeNotFound, "unknown request")
	errMalformed = verdict.New(verdict.NotRun, verdict.CodeBadRequest, "malformed")
	errPeerLost  = verdict.New(verdict.MayHaveRun, verdict.CodePeerLost, "peer lost")
	errSilent    = verdict.New(verdict.MayHaveRun, verdict.CodeTargetSilent, "silent")
	errRefused   = verdict.New(verdict.NotRun, verdict.CodeTargetLost, "not sent").WithCause(syscall.ECONNREFUSED)
)

// reply scripts one call to a target: it sends the events before sequence number to, then returns err.
type reply struct {
	to    uint64
	bytes int           // size of each event; zero sends the sequence number as text
	quiet time.Duration // time before it returns, unless the context ends
	hang  bool          // waits for the end of the context before it returns
	err   error
}

// await waits for quiet and, with hang, for the end of ctx, and returns err, or errLost if ctx ends first.
func (r reply) await(ctx context.Context) error {
	var answered <-chan time.Time

	if !r.hang {
		answered = time.After(r.quiet)
	}

	select {
	case <-answered:
		return r.err
	case <-ctx.Done():
		return cmp.Or[error](r.err, errLost)
	}
}

// call records a call that reached a target.
type call struct {
	target entity.TargetID
	from   uint64
	resume bool
}

// fakeTargets implements the Engines, Services, Peers and Router of a Runner. The targets e1, e2 and e3 are in
// the local data centre a, and far is in data centre b. Each call takes the next reply of its target, or fails
// with errLost if none is left.
type fakeTargets struct {
	replies map[entity.TargetID][]reply

	mu       sync.Mutex
	calls    []call
	cancels  []entity.TargetID
	running  int
	forwards int
	hidden   int // refreshes until targets are found, each after a second
}

func (f *fakeTargets) MayAppear(entity.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.hidden > 0
}

func (f *fakeTargets) Refreshed() <-chan struct{} {
	refreshed := make(chan struct{})

	time.AfterFunc(time.Second, func() {
		f.mu.Lock()
		defer f.mu.Unlock()

		f.hidden--
		close(refreshed)
	})

	return refreshed
}

func (f *fakeTargets) next(id entity.TargetID, from uint64, resume bool) reply {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.calls = append(f.calls, call{target: id, from: from, resume: resume})
	if len(f.replies[id]) == 0 {
		return reply{err: errLost}
	}

	r := f.replies[id][0]
	f.replies[id] = f.replies[id][1:]

	return r
}

func (f *fakeTargets) Stream(ctx context.Context, t entity.Target, req engine.Request, emit func(engine.Event) error) error {
	r := f.next(t.ID, req.ResumeFrom, req.Resume)

	for seq := req.ResumeFrom; seq < r.to; seq++ {
		data := fmt.Append(nil, seq)
		if r.bytes > 0 {
			data = make([]byte, r.bytes)
		}

		if err := emit(engine.Event{Sequence: seq, Data: data}); err != nil {
			return err
		}
	}

	if r.quiet > 0 {
		select {
		case <-time.After(r.quiet):
		case <-ctx.Done():
		}
	}

	if r.hang {
		<-ctx.Done()
	}

	return r.err
}

func (f *fakeTargets) Cancel(_ context.Context, t entity.Target, _ entity.RequestID) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.cancels = append(f.cancels, t.ID)

	return nil
}

func (f *fakeTargets) Call(ctx context.Context, t entity.Target, _ service.Request) (service.Answer, error) {
	r := f.next(t.ID, 0, false)

	return service.Answer{Status: 200, Body: make([]byte, r.bytes)}, r.await(ctx)
}

func (f *fakeTargets) Forward(ctx context.Context, _ entity.DataCentre, t entity.TargetID, req entity.Request, _ *answers.Answer) error {
	f.mu.Lock()
	f.forwards++
	f.mu.Unlock()

	r := f.next(t, 0, req.Resume)

	return r.await(ctx)
}

func (f *fakeTargets) Target(id entity.TargetID) (entity.Target, bool) {
	return target(id, entity.Engine), true
}

func target(id entity.TargetID, typ entity.TargetType) entity.Target {
	dc := entity.DataCentre("a")
	if id == "far" {
		dc = "b"
	}

	return entity.Target{ID: id, Type: typ, DataCentre: dc}
}

// Pick returns the pinned target of a pinned request, the preferred target on the first try, and otherwise the first of
// e1, e2 and e3 that has replies and is not among tried.
func (f *fakeTargets) Pick(req entity.Request, tried []entity.TargetID) (entity.Target, bool) {
	typ := entity.Engine
	if req.Kind.Service != "" {
		typ = entity.Service
	}

	if req.Pinned != "" {
		return target(req.Pinned, typ), !slices.Contains(tried, req.Pinned)
	}

	if req.Preferred != "" && len(tried) == 0 {
		return target(req.Preferred, typ), true
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.hidden > 0 {
		return entity.Target{}, false
	}

	for _, id := range []entity.TargetID{"e1", "e2", "e3"} {
		seen := false
		for _, other := range tried {
			seen = seen || other == id
		}

		if _, known := f.replies[id]; known && !seen {
			return target(id, typ), true
		}
	}

	return entity.Target{}, false
}

func (f *fakeTargets) Begin(entity.TargetID, entity.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.running++

	return true
}

func (f *fakeTargets) End(entity.TargetID, entity.Request, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.running--
}

func (f *fakeTargets) runner(clock clockwork.Clock) *dispatch.Runner {
	return dispatch.New(dispatch.Options{Clock: clock, Home: "a", Engines: f, Services: f, Peers: f, Router: f, MaxStreams: 2})
}

func TestRun(t *testing.T) {
	type replies = map[entity.TargetID][]reply

	plain := entity.Kind{Model: "m"}
	once := entity.Kind{Model: "m", AtMostOnce: true}
	svc := entity.Kind{Service: "s", AtMostOnce: true}
	whole := reply{to: 3}

	tests := []struct {
		name    string
		kind    entity.Kind
		req     entity.Request
		replies replies
		seen    bool // a reader receives the events as they arrive
		calls   []call
		verdict verdict.Verdict // verdict of the problem; Ran for a whole answer
		code    verdict.Code    // empty for a whole answer
	}{
		{name: "whole", kind: plain, replies: replies{"e1": {whole}}, calls: []call{{target: "e1"}}, verdict: verdict.Ran},
		{
			name: "not run is tried elsewhere", kind: once, replies: replies{"e1": {{err: errNotRun}}, "e2": {whole}},
			calls: []call{{target: "e1"}, {target: "e2"}}, verdict: verdict.Ran,
		},
		{
			name: "not run anywhere", kind: once, replies: replies{"e1": {{err: errNotRun}}, "e2": {{err: errUnsent}}},
			calls: []call{{target: "e1"}, {target: "e2"}}, verdict: verdict.NotRun, code: verdict.CodeTargetLost,
		},
		{name: "no target", kind: plain, verdict: verdict.NotRun, code: verdict.CodeNoTarget},
		{
			name: "may have run is not tried elsewhere", kind: once, replies: replies{"e1": {{err: errLost}, {err: errUnknown}}, "e2": {whole}},
			calls: []call{{target: "e1"}, {target: "e1", resume: true}}, verdict: verdict.MayHaveRun, code: verdict.CodeTargetLost,
		},
		{
			name: "a service is not tried elsewhere", kind: svc, replies: replies{"e1": {{err: errLost}}, "e2": {whole}},
			calls: []call{{target: "e1"}}, verdict: verdict.MayHaveRun, code: verdict.CodeTargetLost,
		},
		{
			name: "a kind that may run twice is tried elsewhere", kind: plain, replies: replies{"e1": {{to: 1, err: errBroken}, {err: errUnknown}}, "e2": {whole}},
			calls: []call{{target: "e1"}, {target: "e1", from: 1, resume: true}, {target: "e2"}}, verdict: verdict.Ran,
		},
		{
			name: "a kind that may run twice is not tried elsewhere once a reader has seen a part", kind: plain, seen: true,
			replies: replies{"e1": {{to: 1, err: errBroken}, {err: errUnknown}}, "e2": {whole}},
			calls:   []call{{target: "e1"}, {target: "e1", from: 1, resume: true}}, verdict: verdict.MayHaveRun, code: verdict.CodeTargetLost,
		},
		{
			name: "the worst verdict wins", kind: plain, replies: replies{"e1": {{err: errLost}, {err: errLost}}, "e2": {{err: errNotRun}}},
			calls: []call{{target: "e1"}, {target: "e1", resume: true}, {target: "e2"}}, verdict: verdict.MayHaveRun, code: verdict.CodeOverloaded,
		},
		{
			name: "resumed from its offset", kind: once, replies: replies{"e1": {{to: 2, err: errBroken}, whole}},
			calls: []call{{target: "e1"}, {target: "e1", from: 2, resume: true}}, verdict: verdict.Ran,
		},
		{
			name: "malformed is not tried again", kind: plain, replies: replies{"e1": {{err: errMalformed}}, "e2": {whole}},
			calls: []call{{target: "e1"}}, verdict: verdict.NotRun, code: verdict.CodeBadRequest,
		},
		{
			name: "a resumed run may have run", kind: once, req: entity.Request{Resume: true},
			verdict: verdict.MayHaveRun, code: verdict.CodeNoTarget,
		},
		{
			name: "a resumed run that its engine does not know may have run", kind: once, req: entity.Request{Resume: true},
			replies: replies{"e1": {{err: errUnsent}, {err: errUnknown}}, "e2": {whole}},
			calls:   []call{{target: "e1", resume: true}, {target: "e1", resume: true}}, verdict: verdict.MayHaveRun, code: verdict.CodeNotFound,
		},
		{
			name: "a lost peer's run is resumed on its engine", kind: once, req: entity.Request{Preferred: "far"},
			replies: replies{"far": {{err: errPeerLost}, whole}, "e1": {whole}},
			calls:   []call{{target: "far"}, {target: "far", resume: true}}, verdict: verdict.Ran,
		},
		{
			name: "an answer without end", kind: plain, replies: replies{"e1": {{to: 1 << 20, bytes: 1 << 20}}, "e2": {whole}},
			calls: []call{{target: "e1"}}, verdict: verdict.Ran, code: verdict.CodeAnswerTooLarge,
		},
		{
			name: "a service answer too large", kind: svc, replies: replies{"e1": {{bytes: answers.MaxBytes + 1}}, "e2": {whole}},
			calls: []call{{target: "e1"}}, verdict: verdict.Ran, code: verdict.CodeAnswerTooLarge,
		},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeTargets{replies: tt.replies}
			ans := answers.New()

			if tt.seen {
				go func() { _ = ans.Read(t.Context(), 0, func(uint64, []byte) error { return nil }) }()
			}

			tt.req.ID, tt.req.Kind, tt.req.Deadline = "r", tt.kind, time.Now().Add(testBound)
			f.runner(nil).Run(t.Context(), tt.req, ans)

			ended, problem := ans.Ended()
			require.True(t, ended)
			require.Equal(t, tt.calls, f.calls)
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

func TestRunEndsAtItsDeadline(t *testing.T) {
	for name, tt := range map[string]struct {
		target  entity.TargetID // e1 if empty
		once    bool
		resume  bool
		replies []reply
		verdict verdict.Verdict
	}{
		"while the engine works":               {replies: []reply{{to: 1, hang: true, err: errBroken}}, verdict: verdict.MayHaveRun},
		"before the request is sent":           {replies: []reply{{hang: true, err: errUnsent}}, verdict: verdict.NotRun},
		"while it cannot be resumed":           {replies: []reply{{err: errBroken}, {hang: true, err: errUnsent}}, verdict: verdict.MayHaveRun},
		"a resumed run that cannot be reached": {once: true, resume: true, replies: slices.Repeat([]reply{{err: errUnsent}}, 9), verdict: verdict.MayHaveRun},
		"between two forwards":                 {target: "far", once: true, replies: slices.Repeat([]reply{{err: errSilent}}, 9), verdict: verdict.MayHaveRun},
		"after its peer was lost":              {target: "far", replies: []reply{{err: errPeerLost}, {hang: true, err: errUnsent}}, verdict: verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			id := cmp.Or(tt.target, "e1")
			f := &fakeTargets{replies: map[entity.TargetID][]reply{id: tt.replies, "e2": {{to: 3}}}}
			ans := answers.New()

			f.runner(nil).Run(t.Context(), entity.Request{
				ID: "r", Preferred: tt.target, Resume: tt.resume, Kind: entity.Kind{Model: "m", AtMostOnce: tt.once},
				Deadline: time.Now().Add(300 * time.Millisecond),
			}, ans)

			_, problem := ans.Ended()
			require.Equal(t, verdict.CodeDeadline, problem.Code)
			require.Equal(t, tt.verdict, problem.Verdict)
			require.Equal(t, []entity.TargetID{id}, f.cancels)
			require.Zero(t, f.running)
		})
	}
}

func TestCallerThatLeavesCancelsTheWork(t *testing.T) {
	f := &fakeTargets{replies: map[entity.TargetID][]reply{"e1": {{to: 1, hang: true, err: errBroken}}}}
	ans := answers.New()
	ctx, cancel := context.WithCancel(t.Context())

	go func() {
		_ = ans.Read(t.Context(), 0, func(uint64, []byte) error {
			cancel()

			return nil
		})
	}()

	f.runner(nil).Run(ctx, entity.Request{ID: "r", Kind: entity.Kind{Model: "m"}, Deadline: time.Now().Add(testBound)}, ans)

	_, problem := ans.Ended()
	require.Equal(t, verdict.CodeStopping, problem.Code)
	require.Equal(t, verdict.MayHaveRun, problem.Verdict)
	require.Equal(t, []entity.TargetID{"e1"}, f.cancels)
}

// countingRetries allows all retries and counts them.
type countingRetries struct{ n int }

func (r *countingRetries) Allow(entity.Request, error) bool {
	r.n++

	return true
}

// splitPhases gives every engine the role prefill, and picks d1 first and then d2 for the decode.
type splitPhases struct{}

func (splitPhases) Role(entity.TargetID) entity.Role { return entity.Prefill }

func (splitPhases) PickDecode(_ entity.Request, _ entity.DataCentre, tried []entity.TargetID) (entity.Target, bool) {
	if len(tried) > 0 {
		return target("d2", entity.Engine), true
	}

	return target("d1", entity.Engine), true
}

// When all targets refuse a request, no retry follows the last try, so the last try must charge nothing to the
// retry budget.
func TestOnlyRetriesMadeAreCharged(t *testing.T) {
	refused := reply{err: errNotRun}
	kvLost := reply{err: verdict.New(verdict.NotRun, verdict.CodeKVLost, "no such KV cache")}

	for name, c := range map[string]struct {
		phases  dispatch.PhaseRouter
		replies map[entity.TargetID][]reply
		calls   int
		retries int
	}{
		"one phase": {
			replies: map[entity.TargetID][]reply{"e1": {refused}, "e2": {refused}, "e3": {refused}}, calls: 3, retries: 2,
		},
		// Each of three targets runs the prefill twice, so there is one retry within each of the three attempts, and
		// two between targets.
		"KV caches are lost": {
			phases: splitPhases{},
			replies: map[entity.TargetID][]reply{
				"e1": {{}, {}}, "e2": {{}, {}}, "e3": {{}, {}}, "d1": {kvLost, kvLost, kvLost, kvLost, kvLost, kvLost},
			},
			calls: 12, retries: 5,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, budget := &fakeTargets{replies: c.replies}, &countingRetries{}
			r := dispatch.New(dispatch.Options{Home: "a", Engines: f, Services: f, Router: f, Retries: budget, Phases: c.phases})

			ans := answers.New()
			r.Run(t.Context(), entity.Request{ID: "q", Deadline: time.Now().Add(testBound)}, ans)

			_, problem := ans.Ended()
			require.Equal(t, verdict.NotRun, problem.Verdict)
			require.Len(t, f.calls, c.calls)
			require.Equal(t, c.retries, budget.n)
		})
	}
}

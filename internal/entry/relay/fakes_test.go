package relay_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/reach"
	"github.com/dotterelflow/dotterelflow/internal/control/retries"
	"github.com/dotterelflow/dotterelflow/internal/control/targetlimits"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

var errReset = errors.New("connection reset")

func mayHaveRun() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(errReset)
}

func notRun() error {
	return verdict.New(verdict.NotRun, verdict.CodeTargetLost, "refused").WithCause(errReset)
}

// fakeTargets answers sends by run and prefill, and records them. A nil prefill always succeeds.
type fakeTargets struct {
	mu       sync.Mutex
	runs     []relay.Send
	prefills []relay.Send
	released []relay.KVHandle
	run      func(n int, ctx context.Context, s relay.Send) (*relay.Answer, error)
	prefill  func(n int, s relay.Send) (*relay.KVHandle, *relay.Answer, error)

	// pausePrefill is called at the start of each prefill, which fails with the error that it returns. It may be nil.
	pausePrefill func(ctx context.Context) error

	ended map[entity.TargetID]bool // targets whose processes have ended

	prefillContext func(ctx context.Context, s relay.Send) (*relay.KVHandle, *relay.Answer, error) // replaces prefill unless nil
}

func (f *fakeTargets) Run(ctx context.Context, _ *relay.Request, s relay.Send) (*relay.Answer, error) {
	f.mu.Lock()
	f.runs = append(f.runs, s)
	n := len(f.runs)
	f.mu.Unlock()

	return f.run(n, ctx, s)
}

func (f *fakeTargets) Prefill(ctx context.Context, _ *relay.Request, s relay.Send) (*relay.KVHandle, *relay.Answer, error) {
	f.mu.Lock()
	f.prefills = append(f.prefills, s)
	n := len(f.prefills)
	f.mu.Unlock()

	if f.prefillContext != nil {
		return f.prefillContext(ctx, s)
	}

	if f.pausePrefill != nil {
		if err := f.pausePrefill(ctx); err != nil {
			return nil, nil, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no answer").WithCause(err)
		}
	}

	if f.prefill != nil {
		return f.prefill(n, s)
	}

	return &relay.KVHandle{Target: s.Target, Name: "kv"}, nil, nil
}

func (f *fakeTargets) HasEnded(_ context.Context, t fleet.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.ended[t.ID]
}

func (f *fakeTargets) Release(_ context.Context, h relay.KVHandle) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.released = append(f.released, h)

	return nil
}

// replyRecorder records what the caller gets.
type replyRecorder struct {
	status  int
	header  http.Header
	body    bytes.Buffer
	broken  bool
	refused *verdict.Error
	finals  int // final answers: whole, streamed or refused
	onEvent func() error
}

func (r *replyRecorder) Respond(status int, header http.Header, body []byte) {
	r.finals++
	r.status, r.header = status, header
	r.body.Write(body)
}

func (r *replyRecorder) Begin(status int, header http.Header) {
	r.finals++
	r.status, r.header = status, header
}

func (r *replyRecorder) WriteEvent(p []byte) error {
	r.body.Write(p)

	if r.onEvent != nil {
		return r.onEvent()
	}

	return nil
}

func (r *replyRecorder) Abort() { r.broken = true }

func (r *replyRecorder) Refuse(err *verdict.Error) {
	r.finals++
	r.refused = err
}

func answer(status int, body string) *relay.Answer {
	return &relay.Answer{Status: status, Header: http.Header{"Signature": {body}}, Body: io.NopCloser(strings.NewReader(body))}
}

// cut returns a body that yields body and then fails with err.
func cut(body string, err error) io.ReadCloser {
	return io.NopCloser(io.MultiReader(strings.NewReader(body), errReader{err}))
}

type errReader struct{ err error }

func (e errReader) Read([]byte) (int, error) { return 0, e.err }

// silentBody is a body without any data. Reads block until ctx ends.
type silentBody struct{ ctx context.Context }

func (s silentBody) Read([]byte) (int, error) {
	<-s.ctx.Done()

	return 0, s.ctx.Err()
}

func (silentBody) Close() error { return nil }

// pause waits until at and returns the error of ctx if that ends before.
func pause(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()

	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pausedReader is silent until the time at and yields the data of Reader afterwards, unless ctx ends before.
type pausedReader struct {
	io.Reader

	ctx context.Context
	at  time.Time
}

func (r pausedReader) Read(p []byte) (int, error) {
	if err := pause(r.ctx, r.at); err != nil {
		return 0, err
	}

	return r.Reader.Read(p)
}

// slowClock is a real clock that is slow by lag nanoseconds, or fast if lag is negative. Its timers are right.
type slowClock struct {
	clockwork.Clock

	lag *atomic.Int64
}

func (c slowClock) Now() time.Time { return c.Clock.Now().Add(-time.Duration(c.lag.Load())) }

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.buf.Write(p)
}

// lines returns the lines that contain all of parts.
func (b *lockedBuffer) lines(parts ...string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()

	var lines []string

	for line := range strings.Lines(b.buf.String()) {
		if !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) }) {
			lines = append(lines, line)
		}
	}

	return lines
}

type fixture struct {
	answers   *buffers.Budget
	targets   *fakeTargets
	board     *placing.Board
	crashers  *crashtracker.Table
	keysStale atomic.Bool  // result of relay.Options.KeysStale
	clockLag  atomic.Int64 // by how many nanoseconds the relay's clock is slow
	fleet     []fleet.Target
	mu        sync.Mutex
	outcome   relay.Outcome // of the last request
	began     []entity.AccountID
	retries   *retries.Limiter
	limits    *targetlimits.Table
	reach     *reach.Tracker
	forwarder *fakeForwarder
	log       lockedBuffer
	panics    metrics.Counter
	relay     *relay.Relay
}

func (fx *fixture) observe(o relay.Outcome) {
	fx.mu.Lock()
	defer fx.mu.Unlock()

	fx.outcome = o
}

func (fx *fixture) noteBegan(account entity.AccountID) {
	fx.mu.Lock()
	defer fx.mu.Unlock()

	fx.began = append(fx.began, account)
}

// unusedRepeats returns how many repeats the retry budget still allows, and takes them.
func (fx *fixture) unusedRepeats() int {
	n := 0
	for n < 100 && fx.retries.Take(time.Now(), "model") {
		n++
	}

	return n
}

// keepOnly removes all other targets from the fleet.
func (fx *fixture) keepOnly(ids ...entity.TargetID) {
	fx.fleet = slices.DeleteFunc(fx.fleet, func(t fleet.Target) bool { return !slices.Contains(ids, t.ID) })
}

// fixtureBufferBytes is the memory for buffered answers of a fixture.
const fixtureBufferBytes = 24 << 20

// newFixture returns a relay with route and a retry budget of slack repeats. Its fleet has two prefill replicas, four
// decode replicas and two replicas of a plain service.
func newFixture(t testing.TB, route catalog.Route, slack float64, accounts ...catalog.Account) *fixture {
	t.Helper()

	route.Host, route.Prefix = "host", "/p/"
	service := entity.ServiceName("plain")

	if route.Streaming {
		service = "model"
	}

	route.Shares = []catalog.Share{{Service: service, Weight: 1}}
	c := catalog.Build(1, catalog.Limits{}, []catalog.Route{route}, []catalog.Service{
		{Name: "plain"}, {Name: "model", Engine: &catalog.Engine{KVCapacity: 100_000}},
	}, accounts...)
	fx := &fixture{targets: &fakeTargets{}, board: placing.New(), crashers: crashtracker.New(), panics: metrics.NewCounter(), limits: targetlimits.New(targetlimits.Options{}), reach: reach.New(nil), forwarder: &fakeForwarder{}}
	fx.fleet = []fleet.Target{
		{ID: "d1", Service: "model", Role: entity.Decode, Slots: 4}, {ID: "d2", Service: "model", Role: entity.Decode, Slots: 4},
		{ID: "d3", Service: "model", Role: entity.Decode, Slots: 4}, {ID: "d4", Service: "model", Role: entity.Decode, Slots: 4},
		{ID: "p1", Service: "model", Role: entity.Prefill, Slots: 4}, {ID: "p2", Service: "model", Role: entity.Prefill, Slots: 4},
		{ID: "s1", Service: "plain", Slots: 4}, {ID: "s2", Service: "plain", Slots: 4},
	}

	fx.answers = buffers.NewBudget(fixtureBufferBytes)
	fx.retries = retries.NewLimiter(retries.LimiterOptions{Ratio: 0, Slack: slack, Span: 10 * time.Second, Margin: 1})
	logger := &log.Logger{Level: log.DebugLevel, Writer: &log.IOWriter{Writer: &fx.log}}
	fx.relay = relay.New(relay.Options{
		Clock: slowClock{clockwork.NewRealClock(), &fx.clockLag}, Log: logger, Panics: panics.Recorder{Log: logger, Count: fx.panics}, Catalog: func() *catalog.Catalog { return c },
		Fleet: func() *fleet.Snapshot { return fleet.NewSnapshot(fx.fleet) }, Board: fx.board, Targets: fx.targets, Crashers: fx.crashers,
		Observe:   fx.observe,
		Began:     fx.noteBegan,
		Answers:   fx.answers,
		Retries:   fx.retries,
		Limits:    fx.limits,
		Reach:     fx.reach,
		KeysStale: fx.keysStale.Load,
		Forwarder: fx.forwarder,
	})

	return fx
}

func (fx *fixture) serve(ctx context.Context, t *testing.T) *replyRecorder {
	t.Helper()

	out := &replyRecorder{}
	fx.serveTo(ctx, t, out)

	return out
}

func (fx *fixture) serveTo(ctx context.Context, t *testing.T, out *replyRecorder) {
	t.Helper()

	fx.relay.Serve(ctx, request(), out)
	require.Equal(t, 1, out.finals, "each request gets one final answer")
	require.Empty(t, fx.board.Export(), "work of an ended request must not stay counted")
}

func request() *relay.Request {
	return &relay.Request{
		ID: "q", Method: "POST", URI: "/p/x", Host: "host", Path: "/p/x", Arrived: time.Now(), Timeout: 10 * time.Second, Prompt: 100,
	}
}

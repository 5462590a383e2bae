package host_test

import (
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/host"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/standin/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

func TestAnswersAreWholeWhateverTheEngineSends(t *testing.T) {
	for name, f := range map[string]engine.Faults{
		"cut":        {CutAfter: 7},
		"gap":        {SkipEvent: 7},
		"crossed":    {WrongRequestID: true},
		"duplicated": {Duplicate: true},
		"silent":     {SilentAfter: 7},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			d := newDeployment(t, 1, engine.Options{})
			h := d.addHost(t, "a")
			d.engines[0].SetFaults(f)

			for _, c := range []call{
				{kind: "note", prompt: "a crack", tokens: 40, stream: true},
				{kind: "note", prompt: "a damp wall", tokens: 40},
				{kind: "grade", prompt: "a loose tile", tokens: 40, key: newKey()},
			} {
				out := c.send(t, h)
				require.True(t, out.whole, "%+v: %+v", c, out)
				require.Equal(t, c.want(), out.text)
			}

			for id, n := range d.engines[0].Runs() {
				require.Equal(t, 1, n, "request %s", id)
			}
		})
	}
}

func TestAccountsDoNotShareKeys(t *testing.T) {
	d := newDeployment(t, 1, engine.Options{})
	h := d.addHost(t, "a")
	key := newKey()

	mine := call{kind: "grade", prompt: "mine", tokens: 5, key: key}.send(t, h)
	other := call{kind: "grade", prompt: "other", tokens: 5, key: key, bearer: "other-key"}.send(t, h)

	require.Equal(t, engine.Answer("mine", 5), mine.text)
	require.Equal(t, engine.Answer("other", 5), other.text)

	reused := call{kind: "grade", prompt: "changed", tokens: 5, key: key}.send(t, h)
	require.Equal(t, verdict.CodeKeyReused, reused.problem.Code)
}

func TestCallerGoneCancelsOnlyWorkWithoutKey(t *testing.T) {
	d := newDeployment(t, 1, engine.Options{TokenTime: 5 * time.Millisecond})
	h := d.addHost(t, "a")
	key := newKey()

	for _, c := range []call{
		{kind: "report", prompt: "dropped", tokens: 900, stream: true},
		{kind: "report", prompt: "kept", tokens: 200, stream: true, key: key},
	} {
		resp, err := http.DefaultClient.Do(c.request(t.Context(), h.CallerAddress()))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		resp.Body.Close()
	}

	// Only the request with a key continues.
	require.Eventually(t, func() bool { return d.engines[0].OpenAnswers() <= 1 }, settleTimeout, pollEvery)

	c := call{kind: "report", prompt: "kept", tokens: 200, stream: true, key: key}
	out := c.send(t, h)
	require.True(t, out.whole)
	require.Equal(t, c.want(), out.text)

	c.resume = "99"
	rest := c.send(t, h)
	require.True(t, rest.whole)
	require.Equal(t, c.want()[len(engine.Answer("kept", 100)):], rest.text)
	require.Len(t, d.engines[0].Runs(), 2)
}

func TestRefusalsAreTrue(t *testing.T) {
	d := newDeployment(t, 1, engine.Options{})
	h := d.addHost(t, "a")

	d.services[0].SetFaults(service.Faults{Refuse: true})

	key := newKey()
	out := call{kind: "hold", prompt: "court 3", key: key}.send(t, h)
	require.Equal(t, verdict.NotRun, out.problem.Verdict)
	require.NotEmpty(t, out.retryAfter)
	require.Empty(t, d.services[0].Executions())

	// After the refusal, the same key still runs once the service accepts the request.
	d.services[0].SetFaults(service.Faults{})
	require.True(t, call{kind: "hold", prompt: "court 3", key: key}.send(t, h).whole)
	require.Equal(t, map[string]int{key: 1}, d.services[0].Executions())

	// A request that ran but whose answer was lost is never reported as not-run, and never repeated.
	d.services[0].SetFaults(service.Faults{LoseAnswer: true})

	lost := newKey()
	for range 3 {
		out = call{kind: "hold", prompt: "court 4", key: lost}.send(t, h)
		require.Equal(t, verdict.MayHaveRun, out.problem.Verdict)
	}

	require.Equal(t, 1, d.services[0].Executions()[lost])
}

func TestConcurrentRepeatsRunOnce(t *testing.T) {
	d := newDeployment(t, 2, engine.Options{})
	first, second := d.addHost(t, "a"), d.addHost(t, "a")

	for range 5 {
		key := newKey()

		var wg sync.WaitGroup

		for i := range 8 {
			wg.Go(func() {
				h := first
				if i%2 == 1 {
					h = second
				}

				out, err := call{kind: "hold", prompt: "court 3", key: key}.do(t.Context(), h)
				if err != nil || !out.whole {
					t.Errorf("got %+v, %v", out, err)
				}
			})
		}

		wg.Wait()
		require.Equal(t, 1, d.services[0].Executions()[key])
	}
}

func TestCrashMakingRequestLosesAtMostTwoEngines(t *testing.T) {
	d := newDeployment(t, 4, engine.Options{TokenTime: 10 * time.Millisecond, RestartTime: 300 * time.Millisecond})
	hosts := []int{0, 1}

	d.addHost(t, "a")
	d.addHost(t, "a")

	var others sync.WaitGroup

	for i := range 8 {
		others.Go(func() {
			c := call{kind: "note", prompt: "beside " + string(rune('a'+i)), tokens: 100}

			out, err := c.do(t.Context(), d.hosts[i%2])
			if err != nil || out.text != c.want() {
				t.Errorf("other request: got %+v, %v", out, err)
			}
		})
	}

	// The caller of the request that crashes engines repeats it through the other host after each failure.
	for i := range 6 {
		out := call{kind: "note", prompt: engine.CrashMark, tokens: 10}.send(t, d.hosts[hosts[i%2]])
		require.False(t, out.whole)
	}

	others.Wait()

	crashes := 0
	for _, e := range d.engines {
		crashes += e.Crashes()
	}

	require.LessOrEqual(t, crashes, 2)
}

func TestCrashMakingRequestIsRefusedInAllDataCentresAfterThreeEngines(t *testing.T) {
	const (
		window         = 3 * time.Second // in which all hosts must learn of a lost engine
		allowedRetries = 3               // engines that may be lost after it
	)

	dataCentres := []entity.DataCentre{"a", "b", "c", "d"}
	d := newDeploymentIn(t, 3*len(dataCentres), engine.Options{TokenTime: 10 * time.Millisecond, RestartTime: 300 * time.Millisecond}, dataCentres...)

	for _, dc := range dataCentres {
		d.addHost(t, dc)
	}

	crashes := func() int {
		n := 0
		for _, e := range d.engines {
			n += e.Crashes()
		}

		return n
	}

	for i := 0; crashes() < 3; i++ {
		out := call{kind: "note", prompt: engine.CrashMark, tokens: 10}.send(t, d.hosts[i%len(d.hosts)])
		require.False(t, out.whole)
	}

	time.Sleep(window)

	before := crashes()

	for range 2 {
		for _, h := range d.hosts {
			out := call{kind: "note", prompt: engine.CrashMark, tokens: 10}.send(t, h)
			require.False(t, out.whole)
		}
	}

	require.LessOrEqual(t, crashes()-before, allowedRetries)
	require.True(t, call{kind: "note", prompt: "harmless", tokens: 10}.send(t, d.hosts[0]).whole)
}

// slowRefresh is a clock that takes long to tell the time to the refresh of a Host, as on a busy machine.
type slowRefresh struct{ clockwork.Clock }

func (c slowRefresh) Now() time.Time {
	var callers [16]uintptr

	frames := runtime.CallersFrames(callers[:runtime.Callers(2, callers[:])])

	for {
		frame, more := frames.Next()
		if strings.HasSuffix(frame.Function, "host.(*Host).refresh") {
			time.Sleep(100 * time.Millisecond)
		}

		if !more {
			return c.Clock.Now()
		}
	}
}

func TestHostThatSaysItIsReadyAdmitsRequests(t *testing.T) {
	d := newDeployment(t, 1, engine.Options{})
	d.tune = func(opts *host.Options) { opts.Clock = slowRefresh{clockwork.NewRealClock()} }
	h := d.addHost(t, "a")

	out := call{kind: "note", prompt: "a crack", tokens: 4}.send(t, h)
	require.True(t, out.whole, "%+v", out)
}

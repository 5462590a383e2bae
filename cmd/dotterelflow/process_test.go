package main_test

import (
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// wantText returns the complete answer of a stand-in engine to c.
func (c call) wantText() string {
	return engine.Answer(c.prompt, c.tokens)
}

// executions returns how often the service executed each request key.
func (f *fleet) executions(t *testing.T) map[string]int {
	t.Helper()

	resp, err := http.Get("http://" + f.serviceAddress + "/executions")
	require.NoError(t, err)

	defer resp.Body.Close()

	counts := map[string]int{}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&counts))

	return counts
}

// Both hosts answer requests of every kind.
func TestEachKindIsAnswered(t *testing.T) {
	f := startFleet(t, "1ms")

	for _, h := range f.hosts {
		for _, c := range []call{
			{kind: "report", prompt: "a long visit", tokens: 200, stream: true},
			{kind: "report", prompt: "a short visit", tokens: 20, key: newKey()},
			{kind: "note", prompt: "a crack", tokens: 20},
			{kind: "grade", prompt: "a wet wall", tokens: 5, key: newKey()},
		} {
			c.host = h
			out := c.send(t)
			require.True(t, out.complete, "%+v: %+v", c, out)
			require.Equal(t, c.wantText(), out.text)
		}

		key := newKey()
		out := call{host: h, kind: "hold", prompt: "court 3", key: key}.send(t)
		require.True(t, out.complete)
		require.Equal(t, 1, f.executions(t)[key])

		require.True(t, call{host: h, kind: "check", prompt: "free?"}.send(t).complete)
	}
}

// Repeats of a request with the same key through different hosts execute it once.
func TestRepeatThroughAnotherHostRunsOnce(t *testing.T) {
	f := startFleet(t, "1ms")
	key := newKey()

	for i := range 6 {
		out := call{host: f.hosts[i%2], kind: "hold", prompt: "court 3", key: key}.send(t)
		require.True(t, out.complete, "%+v", out)
	}

	require.Equal(t, 1, f.executions(t)[key])
}

// A host is killed in the middle of a stream. The caller sees an error, and a repeat through the other host returns
// the complete answer.
func TestRepeatAfterTheHostWasKilled(t *testing.T) {
	f := startFleet(t, "5ms")

	for _, kind := range []string{"report", "grade"} {
		c := call{host: f.hosts[0], kind: kind, prompt: "visit " + kind, tokens: 400, key: newKey(), stream: true}

		resp, err := c.open(t.Context())
		require.NoError(t, err)

		_, err = io.ReadFull(resp.Body, make([]byte, 200))
		require.NoError(t, err)

		f.hosts[0].kill(t)

		_, err = io.ReadAll(resp.Body)
		require.Error(t, err, "a cut stream must not look complete")
		resp.Body.Close()

		c.host = f.hosts[1]
		out := c.send(t)
		require.True(t, out.complete, "%s: %+v", kind, out)
		require.Equal(t, c.wantText(), out.text)

		f.hosts = append(f.hosts[:0], f.runHost(t, f.hosts[0].settings), f.hosts[1])
		f.hosts[0].waitReady(t)
	}
}

// A host that receives SIGTERM completes its open streams and then exits with status 0.
func TestStopLetsStreamsEnd(t *testing.T) {
	f := startFleet(t, "5ms")
	c := call{host: f.hosts[0], kind: "note", prompt: "a long note", tokens: 300, stream: true}

	resp, err := c.open(t.Context())
	require.NoError(t, err)

	f.hosts[0].signal(t, syscall.SIGTERM)

	out := c.readOutcome(t, resp)
	require.True(t, out.complete)
	require.Equal(t, c.wantText(), out.text)

	select {
	case <-f.hosts[0].exited:
		require.Equal(t, 0, f.hosts[0].cmd.ProcessState.ExitCode())
	case <-time.After(startTimeout):
		require.FailNow(t, "the host did not exit")
	}
}

// While the platform is down, requests that must run at most once are refused as not run, others are served, and a
// new host can start.
func TestPlatformOut(t *testing.T) {
	f := startFleet(t, "1ms")
	f.platform.kill(t)

	key := newKey()
	out := call{host: f.hosts[0], kind: "hold", prompt: "court 3", key: key}.send(t)
	require.Equal(t, verdict.NotRun, out.problem.Verdict, "%+v", out)
	require.Equal(t, verdict.CodePlatformUnavailable, out.problem.Code)
	require.NotEmpty(t, out.retryAfter)
	require.NotContains(t, f.executions(t), key)

	for _, c := range []call{
		{kind: "report", prompt: "a visit", tokens: 20, key: newKey()},
		{kind: "note", prompt: "a crack", tokens: 20, stream: true},
	} {
		c.host = f.hosts[1]
		out := c.send(t)
		require.True(t, out.complete, "%+v", out)
		require.Equal(t, c.wantText(), out.text)
	}

	// A host that starts now gets its configuration from a peer.
	h := f.startHost(t, "entry-3", "a", f.hosts[0].peer)
	h.waitReady(t)

	c := call{host: h, kind: "note", prompt: "another crack", tokens: 20}
	require.Equal(t, c.wantText(), c.send(t).text)
}

// A request runs at most once if the host that forwards it to the service is paused and resumed meanwhile.
func TestPausedHostWakesHarmless(t *testing.T) {
	f := startFleet(t, "1ms")
	key := newKey()

	f.hosts[0].signal(t, syscall.SIGSTOP)

	// Requests to the service go through the paused host, which may run this one after it resumes.
	first := call{host: f.hosts[1], kind: "hold", prompt: "court 3", key: key}.send(t)

	if first.problem.Verdict == verdict.NotRun && !first.complete {
		require.NotContains(t, f.executions(t), key)
	}

	f.hosts[0].signal(t, syscall.SIGCONT)

	for _, h := range f.hosts {
		repeat := call{host: h, kind: "hold", prompt: "court 3", key: key}.send(t)
		require.True(t, repeat.complete || repeat.problem.Verdict != verdict.NotRun, "%+v", repeat)
	}

	require.LessOrEqual(t, f.executions(t)[key], 1)

	// A request that may run twice does not wait for the host that was paused.
	c := call{host: f.hosts[1], kind: "note", prompt: "a crack", tokens: 20}
	require.Equal(t, c.wantText(), c.send(t).text)
}

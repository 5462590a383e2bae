package serving_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/entry/serving"
)

// start returns a running Server without metrics, and the URLs for callers and for readiness checks.
func start(t *testing.T, ready func() bool, handler http.HandlerFunc) (*serving.Server, string, string) {
	t.Helper()

	s, err := serving.Start(serving.Options{
		Log: &log.Logger{Level: log.PanicLevel}, CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", Handler: handler, IsReady: ready,
	})
	require.NoError(t, err)

	callersAddress, readyAddress := s.Addresses()

	return s, "http://" + callersAddress, "http://" + readyAddress
}

// status returns the status code of a GET request to url.
func status(t *testing.T, url string) int {
	t.Helper()

	resp, err := http.Get(url)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	return resp.StatusCode
}

func TestReadinessFollowsIsReady(t *testing.T) {
	ready := false
	s, _, readinessURL := start(t, func() bool { return ready }, nil)

	require.Equal(t, http.StatusServiceUnavailable, status(t, readinessURL))

	ready = true

	require.Equal(t, http.StatusOK, status(t, readinessURL))
	require.NoError(t, s.Stop(400*time.Millisecond))
}

func TestStopReportsNotReadyAndWaitsForRequests(t *testing.T) {
	started := make(chan struct{})
	s, callersURL, readinessURL := start(t, func() bool { return true }, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(600 * time.Millisecond)

		_, _ = io.WriteString(w, "whole")
	})

	answer := make(chan string, 1)

	go func() {
		resp, err := http.Get(callersURL)
		if err != nil {
			answer <- err.Error()

			return
		}

		defer func() { _ = resp.Body.Close() }()

		body, _ := io.ReadAll(resp.Body)
		answer <- string(body)
	}()

	<-started

	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(5 * time.Second) }()

	require.Eventually(t, s.Closing, time.Second, time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, status(t, readinessURL), "a stopping host still listens but is not ready")
	require.NoError(t, <-stopped)
	require.Equal(t, "whole", <-answer)
}

func TestStopKeepsItsBound(t *testing.T) {
	started := make(chan struct{})
	release := make(chan struct{})
	s, callersURL, _ := start(t, func() bool { return true }, func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})

	defer close(release)

	go func() {
		resp, err := http.Get(callersURL)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()

	<-started
	require.Error(t, s.Stop(600*time.Millisecond), "a request was cut")
}

func TestStartFailsIfAnAddressIsInUse(t *testing.T) {
	s, callersURL, _ := start(t, func() bool { return true }, nil)

	_, err := serving.Start(serving.Options{CallerAddress: callersURL[len("http://"):], ReadyAddress: "127.0.0.1:0"})
	require.Error(t, err)
	require.NoError(t, s.Stop(400*time.Millisecond))
}

// The head of a request was read, then the connection was closed as an idle one.
func TestStopAnswersARequestWhoseHeadIsBeingRead(t *testing.T) {
	s, callersURL, _ := start(t, func() bool { return true }, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	})

	kept, r := dial(t, callersURL)
	require.Equal(t, "whole", exchange(t, kept, r, request))

	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(2 * time.Second) }()

	time.Sleep(700 * time.Millisecond) // callers are still accepted

	_, err := io.WriteString(kept, request[:20])
	require.NoError(t, err)
	time.Sleep(500 * time.Millisecond) // callers are no longer accepted
	require.Equal(t, "whole", exchange(t, kept, r, request[20:]))
	require.NoError(t, <-stopped)
}

// The request was read and dropped.
func TestStopAnswersTheFirstRequestOfAFreshConnection(t *testing.T) {
	s, callersURL, _ := start(t, func() bool { return true }, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	})

	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(2 * time.Second) }()

	time.Sleep(700 * time.Millisecond) // callers are still accepted

	fresh, r := dial(t, callersURL)

	time.Sleep(500 * time.Millisecond) // callers are no longer accepted
	require.Equal(t, "whole", exchange(t, fresh, r, request))
	require.NoError(t, <-stopped)
}

func TestConnectionsThatThisHostClosesAreCounted(t *testing.T) {
	limits := catalog.Limits{HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 400 * time.Millisecond}
	s, callersURL := startWithLimits(t, func() catalog.Limits { return limits })
	c, _ := dial(t, callersURL)

	require.Eventually(t, func() bool { return s.Stats().Open == 1 }, time.Second, time.Millisecond)

	_, err := io.WriteString(c, request[:20])
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Stats() == serving.Stats{ClosedReading: 1} }, 5*time.Second, 10*time.Millisecond)

	dial(t, callersURL)
	require.Eventually(t, func() bool { return s.Stats() == serving.Stats{ClosedIdle: 1, ClosedReading: 1} }, 5*time.Second, 10*time.Millisecond)
}

// startWithLimits returns a running Server that answers "whole" under the limits that limits returns, and the URL for callers.
func startWithLimits(t *testing.T, limits func() catalog.Limits) (*serving.Server, string) {
	t.Helper()

	s, err := serving.Start(serving.Options{
		Log: &log.Logger{Level: log.PanicLevel}, CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0",
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }),
		IsReady: func() bool { return true },
		Limits:  func() (catalog.Limits, bool) { return limits(), true },
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Stop(300*time.Millisecond)) })

	callersAddress, _ := s.Addresses()

	return s, "http://" + callersAddress
}

const request = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"

func dial(t *testing.T, url string) (net.Conn, *bufio.Reader) {
	t.Helper()

	c, err := net.Dial("tcp", url[len("http://"):])
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })

	return c, bufio.NewReader(c)
}

// exchange writes text, the rest of a request, to c and returns the body of the answer that it reads from r.
func exchange(t *testing.T, c net.Conn, r *bufio.Reader, text string) string {
	t.Helper()

	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))

	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err, "the connection has ended without an answer")

	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	return string(body)
}

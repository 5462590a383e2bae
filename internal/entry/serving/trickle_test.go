package serving_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/entry/serving"
)

const (
	trickleInterval = 20 * time.Millisecond
	// trickleSlack is the time after a limit in which the connection must have closed, on a busy machine too.
	trickleSlack = 2 * time.Second
)

// trickle sends the head of a request to address, a byte at a time, and returns how long the connection lived, at most as long as most.
func trickle(t *testing.T, address string, most time.Duration) time.Duration {
	t.Helper()

	began := time.Now()

	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)

		return 0
	}

	defer func() { _ = c.Close() }()

	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nX: ")
	for err == nil && time.Since(began) < most {
		time.Sleep(trickleInterval)

		_, err = io.WriteString(c, "a")
	}

	return time.Since(began)
}

func startForTrickle(t *testing.T, header time.Duration, most int) *serving.Server {
	t.Helper()

	s, err := serving.Start(serving.Options{
		Log: &log.Logger{Level: log.PanicLevel}, CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", IsReady: func() bool { return true },
		Handler: http.NotFoundHandler(), MaxConnections: most,
		Limits: func() (catalog.Limits, bool) { return catalog.Limits{HeaderTimeout: header}, true },
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Stop(100 * time.Millisecond) })

	return s
}

func TestHeadThatTricklesMeetsItsLimit(t *testing.T) {
	const (
		callersLimit = 300 * time.Millisecond
		readyLimit   = 3 * time.Second
	)

	callers, ready := startForTrickle(t, callersLimit, 0).Addresses()

	var wg sync.WaitGroup

	for address, limit := range map[string]time.Duration{callers: callersLimit, ready: readyLimit} {
		wg.Go(func() {
			lived := trickle(t, address, limit+trickleSlack)
			if lived < limit || lived >= limit+trickleSlack {
				t.Errorf("a head with a limit of %v was read for %v", limit, lived)
			}
		})
	}

	wg.Wait()
}

// TestHeadThatTricklesGivesWay has no limit on the time of heads, so that connections end only to let others in.
func TestHeadThatTricklesGivesWay(t *testing.T) {
	const most = 8

	callers, _ := startForTrickle(t, 0, most).Addresses()
	lived := make(chan time.Duration, most)

	for range most {
		go func() { lived <- trickle(t, callers, 2*trickleSlack) }()
	}

	time.Sleep(10 * trickleInterval)

	c, err := net.Dial("tcp", callers)
	require.NoError(t, err)

	defer func() { _ = c.Close() }()

	first := <-lived
	require.Positive(t, first)
	require.Less(t, first, trickleSlack)
}

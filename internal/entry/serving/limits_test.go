package serving_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/entry/serving"
)

// changingLimits are the limits of a configuration that a test changes.
type changingLimits struct {
	present atomic.Pointer[catalog.Limits]
}

func newChangingLimits(idle time.Duration) *changingLimits {
	l := &changingLimits{}
	l.setIdle(nil, idle)

	return l
}

// setIdle changes the idle limit and lets s, unless it is nil, notice that.
func (l *changingLimits) setIdle(s *serving.Server, idle time.Duration) {
	l.present.Store(&catalog.Limits{IdleTimeout: idle, HeaderTimeout: time.Second})

	if s != nil {
		s.Tick()
	}
}

func (l *changingLimits) get() catalog.Limits { return *l.present.Load() }

func TestConnectionIdlesUnderTheLargestLimitSinceItsStart(t *testing.T) {
	limits := newChangingLimits(300 * time.Millisecond)
	s, callersURL := startWithLimits(t, limits.get)
	c, r := dial(t, callersURL)
	require.Equal(t, "whole", exchange(t, c, r, request))

	idleSince := time.Now()

	limits.setIdle(s, 1500*time.Millisecond)

	for i := range 200 {
		limits.setIdle(s, time.Duration(100+i%2)*time.Millisecond)
	}

	time.Sleep(time.Until(idleSince.Add(1200 * time.Millisecond)))
	require.Equal(t, "whole", exchange(t, c, r, request))

	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))

	_, err := r.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the present limit holds from then on")
}

// The caller has its answer before the server takes the connection for idle. A limit that shrinks in between holds from the
// next request on.
func TestLimitThatHeldWhenTheAnswerArrivedHolds(t *testing.T) {
	limits := newChangingLimits(1500 * time.Millisecond)

	s, err := serving.Start(serving.Options{
		Log: &log.Logger{Level: log.PanicLevel}, CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", IsReady: func() bool { return true },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "5")

			_, _ = io.WriteString(w, "whole")
			_ = http.NewResponseController(w).Flush()

			time.Sleep(200 * time.Millisecond)
		}),
		Limits: func() (catalog.Limits, bool) { return limits.get(), true },
	})
	require.NoError(t, err)

	address, _ := s.Addresses()
	c, r := dial(t, "http://"+address)
	require.Equal(t, "whole", exchange(t, c, r, request))
	limits.setIdle(s, 100*time.Millisecond)
	time.Sleep(1200 * time.Millisecond)
	require.Equal(t, "whole", exchange(t, c, r, request))
	require.NoError(t, s.Stop(time.Second))
}

// A limit that was raised while the host's tick was late holds too.
func TestRaisedLimitHoldsWithoutATick(t *testing.T) {
	limits := newChangingLimits(300 * time.Millisecond)
	_, callersURL := startWithLimits(t, limits.get)
	c, r := dial(t, callersURL)
	require.Equal(t, "whole", exchange(t, c, r, request))
	limits.setIdle(nil, 1500*time.Millisecond)
	time.Sleep(1200 * time.Millisecond)
	require.Equal(t, "whole", exchange(t, c, r, request))
}

func TestConnectionsStayOpenWithoutALimit(t *testing.T) {
	limits := newChangingLimits(200 * time.Millisecond)
	s, callersURL := startWithLimits(t, limits.get)
	c, r := dial(t, callersURL)

	limits.setIdle(s, 0)
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, "whole", exchange(t, c, r, request))
}

// Requests cross the close of their idle connections. Each is answered whole, or its connection closes before it is run.
func TestRequestThatCrossesTheCloseIsAnsweredOrNotRun(t *testing.T) {
	const (
		callers = 16
		rounds  = 25
		limit   = 20 * time.Millisecond
		// The last look for a request lasts until 50 ms after the limit.
		firstPause = limit + 40*time.Millisecond
	)

	var (
		ran     sync.Map // names of requests
		crossed atomic.Int64
		wg      sync.WaitGroup
	)

	s, err := serving.Start(serving.Options{
		Log: &log.Logger{Level: log.PanicLevel}, CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", IsReady: func() bool { return true },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ran.Store(r.Header.Get("Name"), true)

			_, _ = io.WriteString(w, "whole")
		}),
		Limits: func() (catalog.Limits, bool) { return catalog.Limits{IdleTimeout: limit}, true },
	})
	require.NoError(t, err)

	address, _ := s.Addresses()

	for i := range callers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))

			for n := range rounds {
				name := fmt.Sprint(i, "-", n)
				pause := firstPause + time.Duration(random.Int64N(int64(limit)))

				if answer := exchangeAfter(address, name, pause); answer == "whole" {
					continue
				}

				crossed.Add(1)

				if _, found := ran.Load(name); found {
					t.Errorf("%s was run, and its connection closed", name)
				}
			}
		})
	}

	wg.Wait()
	t.Log("closed before the request was read:", crossed.Load(), "of", callers*rounds)
	require.NoError(t, s.Stop(300*time.Millisecond))
}

// exchangeAfter opens a connection, sends a request with the name after pause and returns the body of the answer.
func exchangeAfter(address, name string, pause time.Duration) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}

	defer func() { _ = c.Close() }()

	time.Sleep(pause)

	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h.example\r\nName: "+name+"\r\n\r\n"); err != nil {
		return err.Error()
	}

	return readAnswer(bufio.NewReader(c))
}

// readAnswer returns the body of an answer, or the error that ended it.
func readAnswer(r *bufio.Reader) string {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err.Error()
	}

	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}

	return string(body)
}

// Callers go on sending on kept connections while the server stops, each request in two parts.
func TestStopAnswersEachRequestThatItRuns(t *testing.T) {
	const callers = 16

	var (
		ran      sync.Map // names of requests
		answered atomic.Int64
		closed   atomic.Int64
		closing  atomic.Bool
		wg       sync.WaitGroup
	)

	s, callersURL, _ := start(t, func() bool { return true }, func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get("Name"), true)

		if closing.Load() {
			w.Header().Set("Connection", "close")
		}

		time.Sleep(20 * time.Millisecond)

		_, _ = io.WriteString(w, "whole")
	})

	for i := range callers {
		c, r := dial(t, callersURL)
		random := rand.New(rand.NewPCG(2, uint64(i)))

		wg.Go(func() {
			for n := 0; ; n++ {
				name := fmt.Sprint(i, "-", n)
				text := "GET / HTTP/1.1\r\nHost: h.example\r\nName: " + name + "\r\n\r\n"
				first := random.IntN(len(text))

				time.Sleep(time.Duration(random.Int64N(int64(300 * time.Millisecond))))

				_, err := io.WriteString(c, text[:first])

				time.Sleep(time.Duration(random.Int64N(int64(20 * time.Millisecond))))

				if err == nil {
					_, err = io.WriteString(c, text[first:])
				}

				if err == nil && readAnswer(r) == "whole" {
					answered.Add(1)

					continue
				}

				closed.Add(1)

				if _, found := ran.Load(name); found {
					t.Errorf("%s was run, and its connection closed", name)
				}

				return
			}
		})
	}

	time.Sleep(300 * time.Millisecond)
	// Without the field until the end of the notice, callers go on until the server closes idle connections.
	time.AfterFunc(1500*time.Millisecond, func() { closing.Store(true) })

	err := s.Stop(3 * time.Second)

	wg.Wait()
	require.NoError(t, err)
	t.Log("answered:", answered.Load(), "closed before the request was read:", closed.Load())
}

// The limits hold for what a caller still has to send, not for the time that the host takes to answer.
func TestLimitsDoNotCutAnAnswer(t *testing.T) {
	s, err := serving.Start(serving.Options{
		Log: &log.Logger{Level: log.PanicLevel}, CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", IsReady: func() bool { return true },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)

			time.Sleep(500 * time.Millisecond)

			if r.Context().Err() == nil {
				_, _ = io.WriteString(w, "whole")
			}
		}),
		Limits: func() (catalog.Limits, bool) {
			return catalog.Limits{IdleTimeout: 100 * time.Millisecond, HeaderTimeout: 100 * time.Millisecond}, true
		},
	})
	require.NoError(t, err)

	address, _ := s.Addresses()
	c, r := dial(t, "http://"+address)

	for range 2 {
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8\r\n\r\nhalf")
		require.NoError(t, err)
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, "whole", exchange(t, c, r, "half"))
	}

	require.NoError(t, s.Stop(300*time.Millisecond))
}

func TestPipelinedRequestsAreAnsweredInTheirOrder(t *testing.T) {
	limits := newChangingLimits(300 * time.Millisecond)
	_, callersURL := startWithLimits(t, limits.get)
	c, r := dial(t, callersURL)

	require.Equal(t, "whole", exchange(t, c, r, request+request+request[:20]))
	require.Equal(t, "whole", exchange(t, c, r, ""))
	require.Equal(t, "whole", exchange(t, c, r, request[20:]))
}

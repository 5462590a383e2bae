package once_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/once"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// randomSeeds and randomSeedsVariable set the number of seeds of TestNothingOfARequestThatIsNotRunIsReadLater.
	randomSeeds         = 2
	randomSeedsVariable = "ONCE_SEEDS"

	randomSenders  = 12
	randomRequests = 60 // of each sender
	randomBody     = 48 << 10
	// longestSend bounds a send that is not cancelled before.
	longestSend = time.Second
	// lastRead bounds the time from the end of a send until the server has read what was written of it.
	lastRead = 500 * time.Millisecond
)

// dice is a source of random numbers that is safe for concurrent use.
type dice struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (d *dice) n(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.rng.IntN(n)
}

// micros returns a random time below n microseconds.
func (d *dice) micros(n int) time.Duration { return time.Duration(d.n(n)) * time.Microsecond }

// slowConn passes some writes on late, also after Close, which takes effect late too.
type slowConn struct {
	net.Conn

	dice    *dice
	mu      sync.Mutex // held during a write
	closing sync.Once
}

func (c *slowConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.dice.n(3) == 0 {
		time.Sleep(c.dice.micros(3000))
	}

	return c.Conn.Write(p)
}

func (c *slowConn) Close() error {
	c.closing.Do(func() {
		go func() {
			time.Sleep(c.dice.micros(3000))
			c.mu.Lock()
			defer c.mu.Unlock()

			_ = c.Conn.Close()
		}()
	})

	return nil
}

// slowBody is a body whose first bytes come late.
type slowBody struct {
	io.Reader

	wait time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.wait)
	b.wait = 0

	return b.Reader.Read(p)
}

// randomServer records all bytes that it reads, and answers requests late, incompletely, with refusals or not at all.
type randomServer struct {
	dice *dice

	mu   sync.Mutex
	read []*bytes.Buffer // of each connection
}

// recorder is an io.Writer that records what one connection has brought.
type recorder struct {
	server *randomServer
	buf    *bytes.Buffer
}

func (r recorder) Write(p []byte) (int, error) {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()

	return r.buf.Write(p)
}

func (s *randomServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	r := recorder{s, new(bytes.Buffer)}

	s.mu.Lock()
	s.read = append(s.read, r.buf)
	s.mu.Unlock()

	tee := io.TeeReader(conn, r)

	for br := bufio.NewReader(tee); ; {
		time.Sleep(s.dice.micros(1000)) // as a process that is paused

		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}

		early := s.dice.n(8) == 0
		if !early {
			_, _ = io.Copy(io.Discard, q.Body)
		}

		time.Sleep(s.dice.micros(1000))

		last := false
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

		switch s.dice.n(8) {
		case 0:
			return
		case 1:
			answer, last = answer[:s.dice.n(len(answer))], true
		case 2, 3:
			answer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
		case 4:
			answer += answer // one too many
		}

		if _, err := io.WriteString(conn, answer); err != nil || last {
			return
		}

		if early {
			_, _ = io.Copy(io.Discard, q.Body)
		}
	}
}

// seen returns how often a part of the head of request n has been read.
func (s *randomServer) seen(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	times := 0
	for _, buf := range s.read {
		times += bytes.Count(buf.Bytes(), fmt.Appendf(nil, "/run-%06d", n))
	}

	return times
}

// sent is one request of the test.
type sent struct {
	n   int
	ran verdict.Verdict // Ran if it was answered
}

// TestNothingOfARequestThatIsNotRunIsReadLater guards against requests that are reported as not run and that a target reads all the same,
// then or later, and against requests that are read twice.
func TestNothingOfARequestThatIsNotRunIsReadLater(t *testing.T) {
	log.SetOutput(io.Discard) // net/http logs each answer too many
	defer log.SetOutput(os.Stderr)

	seeds := randomSeeds
	if n, err := strconv.Atoi(os.Getenv(randomSeedsVariable)); err == nil {
		seeds = n
	}

	for seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { playRandomSends(t, &dice{rng: rand.New(rand.NewPCG(uint64(seed), 1))}) })
	}
}

func playRandomSends(t *testing.T, d *dice) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	defer func() { _ = l.Close() }()

	server := &randomServer{dice: d}

	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}

			go server.serve(conn)
		}
	}()

	client := once.NewClient(once.Options{RequestIDHeader: "Request-Id", IdlePerTarget: 4, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(d.micros(1500))

		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return &slowConn{Conn: conn, dice: d}, nil
	}})

	var (
		mu       sync.Mutex
		requests []sent
		senders  sync.WaitGroup
	)

	for sender := range randomSenders {
		senders.Go(func() {
			for i := range randomRequests {
				n := sender*randomRequests + i
				v := sendRandomly(t, d, client, l.Addr().String(), n)

				mu.Lock()
				requests = append(requests, sent{n, v})
				mu.Unlock()
			}
		})
	}

	senders.Wait()
	time.Sleep(lastRead)

	counts := map[verdict.Verdict]int{}

	for _, r := range requests {
		counts[r.ran]++

		seen := server.seen(r.n)
		require.LessOrEqual(t, seen, 1, "request %d", r.n)
		require.False(t, r.ran == verdict.NotRun && seen > 0, "request %d is reported as not run and was read", r.n)
	}

	t.Log(counts)
	require.NotZero(t, counts[verdict.NotRun])
	require.NotZero(t, counts[verdict.MayHaveRun])
}

// sendRandomly sends request n, which it cancels at a random moment, and returns whether it has run.
func sendRandomly(t *testing.T, d *dice, client *http.Client, address string, n int) verdict.Verdict {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), longestSend)
	defer cancel()

	if d.n(2) == 0 {
		timer := time.AfterFunc(d.micros(6000), cancel)
		defer timer.Stop()
	}

	size := d.n(2) * d.n(randomBody)

	var body io.Reader = bytes.NewReader(make([]byte, size))
	if size > 0 && d.n(2) == 0 {
		body = &slowBody{body, d.micros(4000)}
	}

	method := http.MethodPost
	if d.n(4) == 0 {
		method = http.MethodGet
	}

	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/run-%06d", address, n), body)
	if err != nil {
		t.Error(err)

		return verdict.MayHaveRun
	}

	r.ContentLength = int64(size)
	r.Header.Set("Request-Id", strconv.Itoa(d.n(20))) // so that ids return to a connection
	r.Header.Set("Idempotency-Key", "k")              // lets net/http repeat the request, if it may

	resp, err := client.Do(r)
	if err != nil {
		return verdict.Of(err)
	}

	if d.n(4) == 0 {
		once.CloseConnection(resp)
	}

	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()

	return verdict.Ran
}

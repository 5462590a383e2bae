package rawserver

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// ID stands for the id of the request in an answer of Turns.
const ID = "{id}"

// Turns is a server that keeps its connections and answers the requests of each with raw bytes in turn: the first request with the first
// answer. After the last one it reads on, without answering, until the client closes the connection. It is safe for concurrent use.
type Turns struct {
	listener              net.Listener
	answers               []string
	done                  chan struct{}
	requests, connections atomic.Int64
}

// ServeInTurn returns a running Turns on a free loopback port.
func ServeInTurn(answers ...string) (*Turns, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}

	s := &Turns{listener: listener, answers: answers, done: make(chan struct{})}

	go s.accept()

	return s, nil
}

// Address returns the ip:port that s listens on.
func (s *Turns) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests read so far, on all connections.
func (s *Turns) Requests() int64 { return s.requests.Load() }

// Connections returns the number of connections accepted so far.
func (s *Turns) Connections() int64 { return s.connections.Load() }

// Close stops accepting connections. Those that are open stay until their client closes them.
func (s *Turns) Close() error {
	err := s.listener.Close()
	<-s.done

	return Error.Wrap(err)
}

// Done returns a channel that is closed once s accepts no more connections.
func (s *Turns) Done() <-chan struct{} { return s.done }

// WithID returns answer with the id of q, which its header has, in place of each ID.
func WithID(answer string, q *http.Request) string {
	return strings.ReplaceAll(answer, ID, cmp.Or(q.Header.Get("Request-Id"), q.Header.Get("X-Request-Id")))
}

func (s *Turns) accept() {
	defer close(s.done)

	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}

		s.connections.Add(1)

		go s.serve(conn)
	}
}

func (s *Turns) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	r := bufio.NewReader(conn)

	for _, answer := range s.answers {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}

		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}

		s.requests.Add(1)

		if _, err := io.WriteString(conn, WithID(answer, q)); err != nil {
			return
		}
	}

	_, _ = io.Copy(io.Discard, r) // until the client closes the connection
}

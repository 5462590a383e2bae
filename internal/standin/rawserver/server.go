package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("hostile")

const (
	readTimeout = 5 * time.Second
	pieceBytes  = 64 << 10 // bytes that an endless answer writes at once
)

// Endless returns an answer that sends start and then unit, again and again, until a write fails. The unit must not be
// empty.
func Endless(start, unit string) func(io.Writer) {
	piece := []byte(strings.Repeat(unit, max(pieceBytes/len(unit), 1)))

	return func(w io.Writer) {
		_, err := io.WriteString(w, start)
		for err == nil {
			_, err = w.Write(piece)
		}
	}
}

// Server reads one request on each connection, answers it with raw bytes and closes the connection. Until an
// answer is set, it closes the connection without one. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	done     chan struct{}

	mu       sync.Mutex
	answer   func(io.Writer)
	requests int
}

// Serve returns a running Server on a free loopback port.
func Serve() (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}

	s := &Server{listener: listener, done: make(chan struct{})}

	go s.accept()

	return s, nil
}

// SetAnswer sets the function that writes the answer to each later request. It is called concurrently and must
// return when a write fails.
func (s *Server) SetAnswer(f func(io.Writer)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.answer = f
}

// SetAnswerBytes sets the bytes that each later request is answered with.
func (s *Server) SetAnswerBytes(raw []byte) {
	s.SetAnswer(func(w io.Writer) { _, _ = w.Write(raw) })
}

// Requests returns the number of requests read so far.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.requests
}

// Address returns the ip:port that s listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops accepting connections. Answers that are being written continue.
func (s *Server) Close() error {
	err := s.listener.Close()
	<-s.done

	return Error.Wrap(err)
}

// Done returns a channel that is closed once s accepts no more connections.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

func (s *Server) accept() {
	defer close(s.done)

	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}

		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))

	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}

	// Closing a connection with unread data resets it, and the client could lose the answer.
	if _, err = io.Copy(io.Discard, r.Body); err != nil {
		return
	}

	s.mu.Lock()
	s.requests++
	answer := s.answer
	s.mu.Unlock()

	if answer != nil {
		answer(conn)
	}
}

package forwarding

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// chunkBytes is the most data of a whole answer in one event.
const chunkBytes = 64 << 10

// Relay serves requests.
type Relay interface {
	Serve(ctx context.Context, r *relay.Request, w relay.Reply)
}

// ServerOptions configure a Server. Relay is required.
type ServerOptions struct {
	Clock    clockwork.Clock // nil means the real clock
	Relay    Relay
	Stopping func() bool // whether this host takes no more requests; nil means never
}

// Server serves requests of other hosts. It is safe for concurrent use. Make it with NewServer.
type Server struct {
	opts ServerOptions

	mu       sync.Mutex
	inFlight int
	idle     chan struct{} // closed when inFlight becomes zero; nil while it is zero
}

// NewServer returns a Server.
func NewServer(opts ServerOptions) *Server {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Stopping == nil {
		opts.Stopping = func() bool { return false }
	}

	return &Server{opts: opts}
}

// Serve serves m and passes the events of the answer to send. It returns the error of send, if any.
func (s *Server) Serve(ctx context.Context, m *peer.ServeRequest, send func(*peer.ServeEvent) error) error {
	if s.opts.Stopping() {
		return send(&peer.ServeEvent{Problem: peer.FromError(verdict.New(verdict.NotRun, verdict.CodeStopping, "this host stops"))})
	}

	r, problem := decode(s.opts.Clock.Now(), m)
	if problem != nil {
		return send(&peer.ServeEvent{Problem: peer.FromError(problem)})
	}

	s.begin()
	defer s.end()

	w := &eventReply{send: send}
	s.opts.Relay.Serve(ctx, r, w)

	return w.finish()
}

func (s *Server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.inFlight++; s.inFlight == 1 {
		s.idle = make(chan struct{})
	}
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.inFlight--; s.inFlight == 0 {
		close(s.idle)
		s.idle = nil
	}
}

// InFlight returns the number of requests of other hosts that are being served.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.inFlight
}

// Wait waits until no request of another host is being served, for at most timeout. It returns the number of those that
// still are.
func (s *Server) Wait(timeout time.Duration) int {
	s.mu.Lock()
	idle := s.idle
	s.mu.Unlock()

	if idle == nil {
		return 0
	}

	select {
	case <-idle:
	case <-s.opts.Clock.After(timeout):
	}

	return s.InFlight()
}

// eventReply implements relay.Reply by the events of an answer.
type eventReply struct {
	send  func(*peer.ServeEvent) error
	ended bool  // an event was sent after which there is none
	err   error // of the first event that could not be sent
}

func (w *eventReply) put(e *peer.ServeEvent) error {
	if w.err == nil && !w.ended {
		w.err = w.send(e)
		w.ended = e.GetLast() || e.GetAborted() || e.GetProblem() != nil
	}

	return w.err
}

// Respond implements relay.Reply.
func (w *eventReply) Respond(status int, header http.Header, body []byte) {
	_ = w.put(&peer.ServeEvent{Status: uint32(status), Header: fieldsOf(header)}) // finish returns the error

	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		_ = w.put(&peer.ServeEvent{Data: body[:n]})
		body = body[n:]
	}
}

// Begin implements relay.Reply.
func (w *eventReply) Begin(status int, header http.Header) {
	_ = w.put(&peer.ServeEvent{Status: uint32(status), Header: fieldsOf(header), Stream: true}) // finish returns the error
}

// WriteEvent implements relay.Reply.
func (w *eventReply) WriteEvent(p []byte) error { return w.put(&peer.ServeEvent{Data: p}) }

// Abort implements relay.Reply.
func (w *eventReply) Abort() { _ = w.put(&peer.ServeEvent{Aborted: true}) }

// Refuse implements relay.Reply.
func (w *eventReply) Refuse(err *verdict.Error) {
	_ = w.put(&peer.ServeEvent{Problem: peer.FromError(err)})
}

// finish sends the last event, unless the answer has ended otherwise.
func (w *eventReply) finish() error { return w.put(&peer.ServeEvent{Last: true}) }

package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/orders"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
)

const (
	maxBodyBytes = 8 << 20
	pingEvery    = time.Second
	// CrashMark in a prompt makes the engine that runs it crash.
	CrashMark = "crash-this-engine"
)

// Options tune a Server. The zero value works.
type Options struct {
	PrefillPerSecond int             // prompt tokens per second; zero means 20,000
	TokenTime        time.Duration   // time between output tokens; zero means 1 ms
	Keep             time.Duration   // how long a finished answer can be resumed; zero means 1 min
	Restart          time.Duration   // how long a crashed engine refuses connections; zero means 1 s
	Orders           standin.Options // how it takes orders
	OnCrash          func()          // called on a crash, after every stream has been cut; may be nil
}

// Faults are the switches of a Server. The zero value means that all is well.
type Faults struct {
	CutAfter int  `json:"cut-after,omitempty"` // cut each new stream once after this many events
	Silent   bool `json:"silent,omitempty"`    // open streams and new ones deliver nothing
	// SilentAfter makes each new stream deliver nothing, once, after this many events.
	SilentAfter int  `json:"silent-after,omitempty"`
	Duplicate   bool `json:"duplicate,omitempty"` // each event is sent twice
	Cross       bool `json:"cross,omitempty"`     // one event of another request is mixed in
	Gap         int  `json:"gap,omitempty"`       // leave out this event once per stream
	Refuse      bool `json:"refuse,omitempty"`    // answer 503 with the verdict not-run
}

// Server is the stand-in engine, an http.Handler that is safe for concurrent use.
type Server struct {
	opts   Options
	orders *standin.Engine

	mu      sync.Mutex
	faults  Faults
	answers map[table.RequestID]*answer
	runs    map[table.RequestID]int
	crashes int
	down    time.Time // connections are refused until then
}

// answer is one request's generation, which goes on whether or not anybody reads it.
type answer struct {
	path   string
	prompt prompt

	mu      sync.Mutex
	ready   int // events generated so far
	ended   bool
	changed chan struct{} // closed and replaced on each change
	gone    chan struct{} // closed on cancel or crash
	cutOnce bool
}

// NewServer returns a Server that runs until its process ends.
func NewServer(opts Options) *Server {
	if opts.PrefillPerSecond == 0 {
		opts.PrefillPerSecond = 20_000
	}

	if opts.TokenTime == 0 {
		opts.TokenTime = time.Millisecond
	}

	if opts.Keep == 0 {
		opts.Keep = time.Minute
	}

	if opts.Restart == 0 {
		opts.Restart = time.Second
	}

	return &Server{
		opts: opts, orders: standin.New(clockwork.NewRealClock(), opts.Orders), answers: map[table.RequestID]*answer{}, runs: map[table.RequestID]int{},
	}
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.faults = f
}

// Runs returns how often each request id was started.
func (s *Server) Runs() map[table.RequestID]int {
	s.mu.Lock()
	defer s.mu.Unlock()

	runs := make(map[table.RequestID]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}

	return runs
}

// Crashes returns how often the engine crashed.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.crashes
}

// Open returns the number of answers that are being generated.
func (s *Server) Open() int {
	return s.report().Running
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := time.Now().Before(s.down)
	s.mu.Unlock()

	if down {
		panic(http.ErrAbortHandler)
	}

	switch {
	case r.Method == http.MethodPost && strings.HasSuffix(r.URL.Path, "completions"):
		s.complete(w, r)
	case r.Method == http.MethodDelete:
		s.cancel(table.RequestID(strings.TrimPrefix(r.URL.Path, "/requests/")))
	case r.Method == http.MethodGet && r.URL.Path == "/load":
		writeJSON(w, s.report())
	case r.Method == http.MethodPut && r.URL.Path == "/order":
		s.order(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/state":
		s.state(w)
	case r.Method == http.MethodGet && r.URL.Path == "/runs":
		writeJSON(w, s.Runs())
	case r.Method == http.MethodPut && r.URL.Path == "/faults":
		var f Faults
		if json.NewDecoder(r.Body).Decode(&f) == nil {
			s.SetFaults(f)
		}
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) report() engine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()

	report := engine.Report{At: time.Now(), Boot: strconv.Itoa(s.crashes)}

	if state, err := s.orders.State(); err == nil {
		report.Role, report.Changing = state.Role, state.Changing
	}

	for _, a := range s.answers {
		a.mu.Lock()
		if !a.ended {
			report.Running++
			report.DecodePending += table.Tokens(a.prompt.output() - a.ready)
		}
		a.mu.Unlock()
	}

	return report
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	id := table.RequestID(r.Header.Get(engine.HeaderRequestID))

	if from := r.Header.Get(engine.HeaderResumeFrom); from != "" {
		s.resume(w, r, id, from)

		return
	}

	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())

		return
	}

	p, err := parsePrompt(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())

		return
	}

	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()

	if f.Refuse || !s.orders.Admit() {
		refuse(w, http.StatusServiceUnavailable, "busy")

		return
	}

	a := s.start(id, r.URL.Path, p)

	if strings.Contains(p.text(), CrashMark) {
		s.crash()
		panic(http.ErrAbortHandler)
	}

	s.send(w, r, id, a, 0)
}

func (s *Server) start(id table.RequestID, path string, p prompt) *answer {
	a := &answer{path: path, prompt: p, changed: make(chan struct{}), gone: make(chan struct{})}

	s.mu.Lock()
	s.runs[id]++
	s.answers[id] = a
	s.mu.Unlock()

	go func() {
		defer s.orders.Finish()

		s.generate(id, a)
	}()

	return a
}

// generate advances a until it is whole or gone, and forgets it after the keep time.
func (s *Server) generate(id table.RequestID, a *answer) {
	prefill := time.Duration(len(a.prompt.text())/4) * time.Second / time.Duration(s.opts.PrefillPerSecond)
	wait := time.NewTimer(prefill)

	defer wait.Stop()

	for n := range a.prompt.output() + 1 {
		select {
		case <-wait.C:
		case <-a.gone:
			return
		}

		a.advance(n+1, n == a.prompt.output())
		wait.Reset(s.opts.TokenTime)
	}

	time.AfterFunc(s.opts.Keep, func() { s.cancel(id) })
}

func (a *answer) advance(ready int, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.ready = ready
	a.ended = ended
	close(a.changed)
	a.changed = make(chan struct{})
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request, id table.RequestID, from string) {
	offset, err := strconv.Atoi(from)

	s.mu.Lock()
	a, ok := s.answers[id]
	s.mu.Unlock()

	if err != nil || !ok {
		// The engine has lost its memory of the request, so it cannot tell whether it ran.
		http.Error(w, "no such request", http.StatusNotFound)

		return
	}

	s.send(w, r, id, a, offset)
}

// send writes the events of a from next on as they become ready.
func (s *Server) send(w http.ResponseWriter, r *http.Request, id table.RequestID, a *answer, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)

	rc := http.NewResponseController(w)
	_ = rc.Flush()

	ping := time.NewTicker(pingEvery)
	defer ping.Stop()

	for {
		a.mu.Lock()
		ready, ended, changed := a.ready, a.ended, a.changed
		a.mu.Unlock()

		for ; next < ready; next++ {
			s.event(w, id, a, next)
		}

		if ended {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, engine.Done)

			return
		}

		_ = rc.Flush()

		select {
		case <-changed:
		case <-ping.C:
			s.ping(w)
		case <-a.gone:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) ping(w io.Writer) {
	s.mu.Lock()
	silent := s.faults.Silent
	s.mu.Unlock()

	if !silent {
		_, _ = io.WriteString(w, ": ping\n\n")
	}
}

// event writes event n of a, as the fault switches bend it.
func (s *Server) event(w io.Writer, id table.RequestID, a *answer, n int) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()

	if f.Silent {
		return
	}

	data := chunk(string(id), a.path, a.prompt, n)

	a.mu.Lock()
	first := !a.cutOnce
	a.cutOnce = a.cutOnce || (f.SilentAfter > 0 && n >= f.SilentAfter) || (f.CutAfter > 0 && n >= f.CutAfter) || (f.Gap > 0 && n >= f.Gap) || (f.Cross && n > 0)
	hit := first && a.cutOnce
	a.mu.Unlock()

	if hit && f.CutAfter > 0 {
		panic(http.ErrAbortHandler)
	}

	if hit && f.SilentAfter > 0 {
		<-a.gone // for good: only a new connection helps
	}

	if hit && f.Gap > 0 {
		return
	}

	if hit && f.Cross {
		data = chunk("another-request", a.path, a.prompt, n)
	}

	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)

	if f.Duplicate {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
	}
}

func (s *Server) cancel(id table.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if a, ok := s.answers[id]; ok {
		delete(s.answers, id)
		close(a.gone)
	}
}

// crash cuts every stream, forgets every answer and refuses connections for a while.
func (s *Server) crash() {
	s.mu.Lock()
	s.crashes++
	s.down = time.Now().Add(s.opts.Restart)

	for id, a := range s.answers {
		delete(s.answers, id)
		close(a.gone)
	}

	s.mu.Unlock()

	if s.opts.OnCrash != nil {
		s.opts.OnCrash()
	}
}

func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set(engine.HeaderVerdict, "not-run")
	http.Error(w, text, status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

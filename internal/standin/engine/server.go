package engine

import (
	"encoding/json"
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
	KeepKV           time.Duration   // how long a KV cache waits to be fetched; zero means 10 s
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
	Duplicate   bool `json:"duplicate,omitempty"`    // each event is sent twice
	Cross       bool `json:"cross,omitempty"`        // one event of another request is mixed in
	Gap         int  `json:"gap,omitempty"`          // leave out this event once per stream
	Refuse      bool `json:"refuse,omitempty"`       // answer 503 with the verdict not-run
	LoseKV      bool `json:"lose-kv,omitempty"`      // no KV cache is there when it is fetched
	CrashDecode bool `json:"crash-decode,omitempty"` // crash once when a decode has given its first events
}

// Server is the stand-in engine, an http.Handler that is safe for concurrent use.
type Server struct {
	opts   Options
	orders *standin.Engine

	mu       sync.Mutex
	faults   Faults
	answers  map[table.RequestID]*answer
	runs     map[table.RequestID]int
	prefills map[table.RequestID]int
	exports  int // KV caches handed over
	crashes  int
	down     time.Time // connections are refused until then
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

	if opts.KeepKV == 0 {
		opts.KeepKV = defaultKeepKV
	}

	if opts.Restart == 0 {
		opts.Restart = time.Second
	}

	return &Server{
		opts: opts, orders: standin.New(clockwork.NewRealClock(), opts.Orders), answers: map[table.RequestID]*answer{}, runs: map[table.RequestID]int{},
		prefills: map[table.RequestID]int{},
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
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, kvPath):
		s.export(w, table.RequestID(strings.TrimPrefix(r.URL.Path, kvPath)))
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
			a.pending(&report)
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

	phase := phaseOf(r)

	if f.Refuse || !s.takes(phase) || !s.orders.Admit() {
		refuse(w, http.StatusServiceUnavailable, "busy")

		return
	}

	if source := r.Header.Get(engine.HeaderKVSource); source != "" {
		if err := fetch(r.Context(), source, id, p); err != nil {
			s.orders.Finish()
			refuse(w, http.StatusFailedDependency, err.Error())

			return
		}
	}

	a := s.start(id, r.URL.Path, p, phase)

	if strings.Contains(p.text(), CrashMark) {
		s.crash()
		panic(http.ErrAbortHandler)
	}

	s.send(w, r, id, a, 0)
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

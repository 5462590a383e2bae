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

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/orderengine"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
)

const (
	maxBodyBytes = 8 << 20
	pingInterval = time.Second
	// CrashMark makes an engine crash when it starts a request whose prompt contains it.
	CrashMark = "crash-this-engine"
)

// Options tune a Server. The zero value works.
type Options struct {
	PrefillPerSecond int                 // prompt tokens per second; zero means 20,000
	TokenTime        time.Duration       // time between output tokens; zero means 1 ms
	AnswerTTL        time.Duration       // how long a finished answer can be resumed; zero means 1 min
	KVTTL            time.Duration       // how long a KV cache can be fetched; zero means 10 s
	RestartTime      time.Duration       // how long a crashed engine drops connections; zero means 1 s
	Orders           orderengine.Options // options of the order engine, see OrderEngine
	OnCrash          func()              // called on a crash, after every stream has been cut; may be nil
}

// Faults selects the failures that a Server simulates. The zero value means none.
type Faults struct {
	CutAfter int  `json:"cut-after,omitempty"` // cut the connection once per request after this many events
	Silent   bool `json:"silent,omitempty"`    // open and new streams deliver neither tokens nor pings, only their end
	// SilentAfter makes the stream of each request go silent after this many events, once per request.
	SilentAfter    int  `json:"silent-after,omitempty"`
	Duplicate      bool `json:"duplicate,omitempty"`    // send each event twice
	WrongRequestID bool `json:"cross,omitempty"`        // replace one event of each request by one with another request ID
	SkipEvent      int  `json:"gap,omitempty"`          // leave out one event of each request, the first with at least this index
	Refuse         bool `json:"refuse,omitempty"`       // answer 503 with the verdict not-run
	LoseKV         bool `json:"lose-kv,omitempty"`      // other engines cannot fetch KV caches from this engine
	CrashDecode    bool `json:"crash-decode,omitempty"` // crash once, when a decode is about to send its second event
}

// Server is the stand-in engine, an http.Handler. It is safe for concurrent use.
type Server struct {
	opts        Options
	orderEngine *orderengine.Engine

	mu        sync.Mutex
	faults    Faults
	version   entity.SoftwareVersion
	answers   map[entity.RequestID]*answer
	runs      map[entity.RequestID]int // number of starts, without prefills
	prefills  map[entity.RequestID]int // number of starts as a prefill without decode
	kvExports int                      // KV caches fetched by other engines
	crashes   int
	downUntil time.Time // requests are aborted until then
}

// NewServer returns a Server that injects no faults. It need not be closed.
func NewServer(opts Options) *Server {
	if opts.PrefillPerSecond == 0 {
		opts.PrefillPerSecond = 20_000
	}

	if opts.TokenTime == 0 {
		opts.TokenTime = time.Millisecond
	}

	if opts.AnswerTTL == 0 {
		opts.AnswerTTL = time.Minute
	}

	if opts.KVTTL == 0 {
		opts.KVTTL = defaultKVTTL
	}

	if opts.RestartTime == 0 {
		opts.RestartTime = time.Second
	}

	return &Server{
		opts: opts, orderEngine: orderengine.New(clockwork.NewRealClock(), opts.Orders), answers: map[entity.RequestID]*answer{}, runs: map[entity.RequestID]int{},
		prefills: map[entity.RequestID]int{},
	}
}

// SetFaults replaces the simulated failures.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.faults = f
}

// SetVersion sets the software version. The load report states it, and the tokens of answers that start later show it, see
// VersionedToken. An engine without one states none.
func (s *Server) SetVersion(v entity.SoftwareVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.version = v
}

// Runs returns how often each request ID was started, without the prefills that Prefills counts.
func (s *Server) Runs() map[entity.RequestID]int {
	s.mu.Lock()
	defer s.mu.Unlock()

	runs := make(map[entity.RequestID]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}

	return runs
}

// Crashes returns how often the engine has crashed.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.crashes
}

// OpenAnswers returns the number of answers that are being generated, prefills included.
func (s *Server) OpenAnswers() int {
	return s.report().Running
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := time.Now().Before(s.downUntil)
	s.mu.Unlock()

	if down {
		panic(http.ErrAbortHandler)
	}

	switch {
	case r.Method == http.MethodPost && strings.HasSuffix(r.URL.Path, "completions"):
		s.handleCompletion(w, r)
	case r.Method == http.MethodDelete:
		s.cancel(entity.RequestID(strings.TrimPrefix(r.URL.Path, "/requests/")))
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, kvPath):
		s.serveKV(w, entity.RequestID(strings.TrimPrefix(r.URL.Path, kvPath)))
	case r.Method == http.MethodGet && r.URL.Path == "/load":
		writeJSON(w, s.report())
	case r.Method == http.MethodPut && r.URL.Path == "/order":
		s.handleOrder(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/state":
		s.handleState(w)
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

// report returns the load report of GET /load. Its Boot changes with each crash.
func (s *Server) report() engine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()

	report := engine.Report{At: time.Now(), Boot: strconv.Itoa(s.crashes), Version: s.version}

	if state, err := s.orderEngine.State(); err == nil {
		report.Role, report.Changing = state.Role, state.Changing
	}

	for _, a := range s.answers {
		a.mu.Lock()
		if !a.ended {
			report.Running++
			a.addPending(&report)
		}
		a.mu.Unlock()
	}

	return report
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	id := entity.RequestID(r.Header.Get(engine.HeaderRequestID))
	w.Header().Set(engine.HeaderRequestID, string(id))

	if version := s.stateVersion(w); r.Header.Get(engine.HeaderVersion) != "" && r.Header.Get(engine.HeaderVersion) != string(version) {
		refuse(w, http.StatusPreconditionFailed, "this engine runs another version")

		return
	}

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
	f, version := s.faults, s.version
	s.mu.Unlock()

	phase := phaseOf(r)

	if f.Refuse || !s.acceptsPhase(phase) || !s.orderEngine.Admit() {
		refuse(w, http.StatusServiceUnavailable, "busy")

		return
	}

	written := version

	if source := r.Header.Get(engine.HeaderKVSource); source != "" {
		kvVersion, err := fetchKV(r.Context(), source, id, p)
		if err != nil {
			s.orderEngine.Finish()
			refuse(w, http.StatusFailedDependency, err.Error())

			return
		}

		if kvVersion != version {
			written = kvVersion + "+" + version
		}
	}

	a := s.startAnswer(id, &answer{path: r.URL.Path, prompt: p, phase: phase, version: written})

	if strings.Contains(p.text(), CrashMark) {
		s.crash()
		panic(http.ErrAbortHandler)
	}

	s.writeEvents(w, r, id, a, 0)
}

// stateVersion adds the software version, if there is one, to the header of a response, and returns it.
func (s *Server) stateVersion(w http.ResponseWriter) entity.SoftwareVersion {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.version != "" {
		w.Header().Set(engine.HeaderVersion, string(s.version))
	}

	return s.version
}

// cancel stops the request id and drops its answer and KV cache.
func (s *Server) cancel(id entity.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if a, ok := s.answers[id]; ok {
		delete(s.answers, id)
		close(a.cancelled)
	}
}

// crash cuts all streams, drops all answers and makes the server abort requests for Options.RestartTime.
func (s *Server) crash() {
	s.mu.Lock()
	s.crashes++
	s.downUntil = time.Now().Add(s.opts.RestartTime)

	for id, a := range s.answers {
		delete(s.answers, id)
		close(a.cancelled)
	}

	s.mu.Unlock()

	if s.opts.OnCrash != nil {
		s.opts.OnCrash()
	}
}

// refuse answers with the verdict that the request was not run.
func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set(engine.HeaderVerdict, "not-run")
	http.Error(w, text, status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

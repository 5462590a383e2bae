package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const maxBodyBytes = 1 << 20

// Faults selects the failures that a Server simulates. The zero value means none.
type Faults struct {
	Refuse     bool          `json:"refuse,omitempty"`      // answer 503 with the verdict not-run
	LoseAnswer bool          `json:"lose-answer,omitempty"` // run the request, then cut the connection
	Delay      time.Duration `json:"delay,omitempty"`       // time between running a request and answering it
}

// Server is the stand-in service. The zero value works; it is safe for concurrent use.
type Server struct {
	mu         sync.Mutex
	faults     Faults
	executions map[string]int
}

// SetFaults replaces the simulated failures.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.faults = f
}

// Executions returns the number of executions of each request key.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()

	counts := make(map[string]int, len(s.executions))
	for key, n := range s.executions {
		counts[key] = n
	}

	return counts
}

// ServeHTTP implements http.Handler. GET /executions returns Executions and PUT /faults sets Faults; any other
// request is executed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/executions":
		writeJSON(w, s.Executions())
	case r.Method == http.MethodPut && r.URL.Path == "/faults":
		var f Faults
		if json.NewDecoder(r.Body).Decode(&f) == nil {
			s.SetFaults(f)
		}
	default:
		s.execute(w, r)
	}
}

// execute counts the request and echoes its path, key and body with the number of executions of that key. Faults can
// refuse the request, or delay or lose its answer.
func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	key := r.Header.Get("X-Request-Key")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))

	s.mu.Lock()
	f := s.faults
	n := s.countExecution(key, f)
	s.mu.Unlock()

	if f.Refuse {
		w.Header().Set("X-Verdict", "not-run")
		http.Error(w, "busy", http.StatusServiceUnavailable)

		return
	}

	time.Sleep(f.Delay)

	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}

	writeJSON(w, map[string]any{"path": r.URL.Path, "key": key, "execution": n, "received": string(body)})
}

// countExecution counts one execution of key unless f refuses it, and returns the number of executions so far, or
// zero for a refused one. The caller holds mu.
func (s *Server) countExecution(key string, f Faults) int {
	if f.Refuse {
		return 0
	}

	if s.executions == nil {
		s.executions = map[string]int{}
	}

	s.executions[key]++

	return s.executions[key]
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

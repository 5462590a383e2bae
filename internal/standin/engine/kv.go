package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/once"
)

const (
	kvPath       = "/kv/"
	fetchTimeout = 2 * time.Second
	maxKVBytes   = 64 // maximum size of the digest that replaces a KV cache

	kvVersionHeader = "X-Kv-Version" // software version of the engine that filled a KV cache

	defaultKVTTL = 10 * time.Second
)

// kvClient fetches KV caches for all stand-ins of a process.
var kvClient = once.NewClient(once.Options{DialTimeout: time.Second})

// Prefills returns how often each request ID was started as a prefill without decode.
func (s *Server) Prefills() map[entity.RequestID]int {
	s.mu.Lock()
	defer s.mu.Unlock()

	prefills := make(map[entity.RequestID]int, len(s.prefills))
	for id, n := range s.prefills {
		prefills[id] = n
	}

	return prefills
}

// KVExports returns how many KV caches other engines have fetched.
func (s *Server) KVExports() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.kvExports
}

// phaseOf returns the phase that r requests: Prefill, Decode, or Mixed for both. It returns Mixed if the
// phase header is missing or invalid.
func phaseOf(r *http.Request) entity.Role {
	var phase entity.Role
	if phase.UnmarshalText([]byte(r.Header.Get(engine.HeaderPhase))) != nil {
		return entity.Mixed
	}

	return phase
}

// roleRuns reports whether an engine with the given role can run phase.
func roleRuns(role, phase entity.Role) bool {
	return role == entity.Mixed || role == phase
}

// acceptsPhase reports whether the engine's current role can run phase. It is false while the
// order engine is crashed.
func (s *Server) acceptsPhase(phase entity.Role) bool {
	state, err := s.orderEngine.State()

	return err == nil && roleRuns(state.Role, phase)
}

// kvDigest returns a digest of the text of p. The digest is transferred in place of the KV cache.
func kvDigest(p prompt) string {
	return strconv.FormatUint(xxhash.Sum64String(p.text()), 16)
}

// serveKV sends the KV cache of a completed prefill to another engine and then drops it, so that it can be
// fetched only once. It answers 404 if there is no such KV cache or Faults.LoseKV is set.
func (s *Server) serveKV(w http.ResponseWriter, id entity.RequestID) {
	s.mu.Lock()
	loseKV := s.faults.LoseKV
	a, ok := s.answers[id]
	s.mu.Unlock()

	if loseKV || !ok || a.phase != entity.Prefill || !a.complete() {
		http.Error(w, "no KV cache for this request", http.StatusNotFound)

		return
	}

	s.mu.Lock()
	s.kvExports++
	s.mu.Unlock()

	w.Header().Set(kvVersionHeader, string(a.version))
	_, _ = io.WriteString(w, kvDigest(a.prompt))

	s.cancel(id)
}

// complete reports whether all events of a have been generated.
func (a *answer) complete() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.ended
}

// fetchKV fetches the KV cache of the request id from the engine at source, an ip:port, and returns the
// software version of that engine. It fails if the engine has no KV cache for p.
func fetchKV(ctx context.Context, source string, id entity.RequestID, p prompt) (entity.SoftwareVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source+kvPath+string(id), http.NoBody)
	if err != nil {
		return "", err
	}

	resp, err := kvClient.Do(r)
	if err != nil {
		return "", err
	}

	defer func() { _ = resp.Body.Close() }()

	kv, err := io.ReadAll(io.LimitReader(resp.Body, maxKVBytes))
	if err != nil {
		return "", err
	}

	if resp.StatusCode != http.StatusOK || string(kv) != kvDigest(p) {
		return "", errors.New("source has no KV cache for this prompt: " + strings.TrimSpace(string(kv)))
	}

	return entity.SoftwareVersion(resp.Header.Get(kvVersionHeader)), nil
}

// promptTime returns how long this engine takes to process the prompt of a. It is zero for a decode, whose KV
// cache has been fetched.
func (s *Server) promptTime(a *answer) time.Duration {
	if a.phase == entity.Decode {
		return 0
	}

	return time.Duration(a.prompt.estimatedTokens()) * time.Second / time.Duration(s.opts.PrefillPerSecond)
}

// estimatedTokens estimates the number of prompt tokens as one for each four bytes.
func (p prompt) estimatedTokens() int {
	return len(p.text()) / 4
}

// runPrefill processes the prompt when wait fires, without decoding, and holds its KV cache until it is fetched,
// cancelled or older than Options.KVTTL. The request counts as in flight until then, so that draining the
// engine loses no KV cache.
func (s *Server) runPrefill(id entity.RequestID, a *answer, wait *time.Timer) {
	select {
	case <-wait.C:
	case <-a.cancelled:
		return
	}

	a.advance(0, true)
	wait.Reset(s.opts.KVTTL)

	select {
	case <-wait.C:
		s.cancelIfCurrent(id, a)
	case <-a.cancelled:
	}
}

// cancelIfCurrent cancels the request id if a is still its answer.
func (s *Server) cancelIfCurrent(id entity.RequestID, a *answer) {
	s.mu.Lock()
	current := s.answers[id] == a
	s.mu.Unlock()

	if current {
		s.cancel(id)
	}
}

// addPending adds the remaining work of a to report: all tokens of the prompt for a prefill, and otherwise the output
// tokens that are not yet generated. The caller holds a.mu.
func (a *answer) addPending(report *engine.Report) {
	if a.phase == entity.Prefill {
		report.PrefillPending += entity.Tokens(a.prompt.estimatedTokens())

		return
	}

	report.DecodePending += entity.Tokens(a.prompt.outputTokens() - a.generated)
}

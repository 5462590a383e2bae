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

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/once"
)

const (
	kvPath     = "/kv/"
	fetchBound = 2 * time.Second
	maxKVBytes = 64

	defaultKeepKV = 10 * time.Second
)

// fetching is the client that all stand-ins of a process fetch KV caches with.
var fetching = once.NewClient(once.Options{DialTimeout: time.Second})

// Prefills returns how often the prompt of each request id was run alone.
func (s *Server) Prefills() map[table.RequestID]int {
	s.mu.Lock()
	defer s.mu.Unlock()

	prefills := make(map[table.RequestID]int, len(s.prefills))
	for id, n := range s.prefills {
		prefills[id] = n
	}

	return prefills
}

// Exports returns how many KV caches other engines have fetched.
func (s *Server) Exports() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.exports
}

// phaseOf returns the phase that r asks for; Mixed stands for both.
func phaseOf(r *http.Request) table.Role {
	var phase table.Role
	if phase.UnmarshalText([]byte(r.Header.Get(engine.HeaderPhase))) != nil {
		return table.Mixed
	}

	return phase
}

// runs reports whether an engine of role runs phase.
func runs(role, phase table.Role) bool {
	return role == table.Mixed || role == phase
}

// takes reports whether the engine's role lets it run phase now.
func (s *Server) takes(phase table.Role) bool {
	state, err := s.orders.State()

	return err == nil && runs(state.Role, phase)
}

// digest stands for the KV cache of a prompt.
func digest(p prompt) string {
	return strconv.FormatUint(xxhash.Sum64String(p.text()), 16)
}

// export hands over the KV cache of a request, once.
func (s *Server) export(w http.ResponseWriter, id table.RequestID) {
	s.mu.Lock()
	lost := s.faults.LoseKV
	a, ok := s.answers[id]
	s.mu.Unlock()

	if lost || !ok || a.phase != table.Prefill || !a.whole() {
		http.Error(w, "no such KV cache", http.StatusNotFound)

		return
	}

	s.mu.Lock()
	s.exports++
	s.mu.Unlock()

	_, _ = io.WriteString(w, digest(a.prompt))

	s.cancel(id)
}

func (a *answer) whole() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.ended
}

// fetch gets the KV cache of the request id from the engine at source.
func fetch(ctx context.Context, source string, id table.RequestID, p prompt) error {
	ctx, cancel := context.WithTimeout(ctx, fetchBound)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source+kvPath+string(id), http.NoBody)
	if err != nil {
		return err
	}

	resp, err := fetching.Do(r)
	if err != nil {
		return err
	}

	defer func() { _ = resp.Body.Close() }()

	kv, err := io.ReadAll(io.LimitReader(resp.Body, maxKVBytes))
	if err != nil {
		return err
	}

	if resp.StatusCode != http.StatusOK || string(kv) != digest(p) {
		return errors.New("no KV cache of this prompt: " + strings.TrimSpace(string(kv)))
	}

	return nil
}

// promptTime returns how long the prompt of a takes here; a decode has its KV cache already.
func (s *Server) promptTime(a *answer) time.Duration {
	if a.phase == table.Decode {
		return 0
	}

	return time.Duration(a.prompt.tokens()) * time.Second / time.Duration(s.opts.PrefillPerSecond)
}

// tokens estimates the tokens of a prompt.
func (p prompt) tokens() int {
	return len(p.text()) / 4
}

// fill runs a prompt alone and holds its KV cache until it is fetched, cancelled or too old. The
// request counts as in flight until then, so that a drained engine loses no KV cache.
func (s *Server) fill(id table.RequestID, a *answer, wait *time.Timer) {
	select {
	case <-wait.C:
	case <-a.gone:
		return
	}

	a.advance(0, true)
	wait.Reset(s.opts.KeepKV)

	select {
	case <-wait.C:
		s.forget(id, a)
	case <-a.gone:
	}
}

// forget cancels the request id if a is still its answer.
func (s *Server) forget(id table.RequestID, a *answer) {
	s.mu.Lock()
	same := s.answers[id] == a
	s.mu.Unlock()

	if same {
		s.cancel(id)
	}
}

// pending adds what a has left to report; the caller holds a.mu.
func (a *answer) pending(report *engine.Report) {
	if a.phase == table.Prefill {
		report.PrefillPending += table.Tokens(a.prompt.tokens())

		return
	}

	report.DecodePending += table.Tokens(a.prompt.output() - a.ready)
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/platform/header"
)

const (
	phasePrefill = "prefill"
	phaseDecode  = "decode"

	roleSwitch = 3 * time.Second // role_switch_s of the manifest
)

// generation is one run of a request at an engine.
type generation struct {
	id        string // Request-Id
	after     int    // Last-Event-Id
	engine    *engine
	began     time.Time
	ended     time.Time // zero while it runs
	events    int       // events that were made
	delivered bool      // the end of the stream was sent
}

// engineOptions configure an engine.
type engineOptions struct {
	name, service, zone, version, phase string

	events int           // events of a stream
	pause  time.Duration // between two events
	// goesOn: a run does not end when its channel closes, as the pages allow.
	goesOn bool
	// crashPart is the id of a part of prompts that crashes the engine as it begins to write an answer; "" for none.
	crashPart string
	// unfenced: it takes orders with a fence below one that it has seen.
	unfenced bool
}

// engine is a model replica of the pages.
type engine struct {
	engineOptions

	w       *world
	address string
	born    int64
	stop    chan struct{}
	http    *http.Server

	mu          sync.Mutex
	leaving     bool
	seq         int    // of its reports to the store
	orders      uint64 // accepted ones
	fence       uint64
	busy        bool
	handles     map[string]string // request by handle
	down        bool
	crashes     []time.Time
	nextHandle  int
	silentUntil time.Time
	runs        []*generation
}

func (w *world) startEngine(o engineOptions) *engine {
	l := listen()

	e := &engine{engineOptions: o, w: w, address: l.Addr().String(), born: time.Now().UnixMilli(), stop: make(chan struct{}), handles: map[string]string{}}
	e.http = &http.Server{Handler: e}

	go func() { _ = e.http.Serve(l) }()

	w.engines.Store(e.address, e)
	e.report()

	go func() {
		tick := time.NewTicker(1200 * time.Millisecond)
		defer tick.Stop()

		for {
			select {
			case <-e.stop:
				return
			case <-tick.C:
				e.report()
			}
		}
	}()

	return e
}

// report writes the engine's entry.
func (e *engine) report() {
	e.mu.Lock()
	defer e.mu.Unlock()

	select {
	case <-e.stop:
		return
	default:
	}

	if e.down {
		return
	}

	state := "ready"
	if e.leaving {
		state = "draining"
	}

	e.seq++
	e.w.store.Put("servers", e.name, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": 64, "state": state, "cold_remaining_ms": 0,
		"phase": e.phase, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "seq": e.seq, "born": e.born,
	})
}

// drain reports that the engine leaves. It goes on to serve until exit.
func (e *engine) drain() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.report()
}

// exit ends the engine.
func (e *engine) exit() {
	close(e.stop)
	_ = e.http.Close()
	e.w.store.Delete("servers", e.name)
}

const downTime = 3 * time.Second // of an engine that has crashed

// crash ends the engine with all its runs. It starts again at the same address, as a new lifetime under the same id.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.down {
		return
	}

	e.down = true
	e.crashes = append(e.crashes, time.Now())
	e.orders, e.fence, e.busy, e.handles = 0, 0, false, map[string]string{}
	_ = e.http.Close()

	time.AfterFunc(downTime, func() {
		l, err := net.Listen("tcp4", e.address)
		if err != nil {
			panic(err)
		}

		e.mu.Lock()
		e.down, e.born, e.http = false, time.Now().UnixMilli(), &http.Server{Handler: e}
		server := e.http
		e.mu.Unlock()

		go func() { _ = server.Serve(l) }()

		e.report()
	})
}

// hasCrashPart reports whether the prompt of r has the part that crashes the engine, not as the last one.
func (e *engine) hasCrashPart(r *http.Request) bool {
	parts := strings.Split(r.Header.Get(header.PromptPrefix), ",")

	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); e.crashPart != "" && id == e.crashPart {
			return true
		}
	}

	return false
}

// silence makes the engine send nothing for d. It is sound and goes on afterwards; nothing is lost.
func (e *engine) silence(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.silentUntil = time.Now().Add(d)
}

func (e *engine) awaitVoice() {
	for {
		e.mu.Lock()
		left := time.Until(e.silentUntil)
		e.mu.Unlock()

		if left <= 0 {
			return
		}

		time.Sleep(left)
	}
}

// generations returns copies of the runs.
func (e *engine) generations() []generation {
	e.mu.Lock()
	defer e.mu.Unlock()

	var list []generation
	for _, g := range e.runs {
		list = append(list, *g)
	}

	return list
}

func replyJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}

	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()

	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}

	if x := r.Header.Get(header.ExpectInstance); x != "" && x != e.name {
		e.awaitVoice()
		w.Header().Set("Instance-Id", e.name)
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	switch {
	case r.URL.Path == pathReport:
		e.awaitVoice()
		e.mu.Lock()
		state := map[string]any{
			"phase": e.phase, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": e.busy, "seq": e.orders,
			"queue_depth": 0, "active_requests": 0, "kv_used": 0, "kv_total": 499536, fieldHandles: len(e.handles), "born": e.born,
		}
		e.mu.Unlock()
		replyJSON(w, http.StatusOK, state)
	case r.URL.Path == pathOrder:
		e.awaitVoice()
		w.WriteHeader(e.order(body))
	case strings.HasPrefix(r.URL.Path, pathHandle):
		e.awaitVoice()
		e.mu.Lock()
		delete(e.handles, strings.TrimPrefix(r.URL.Path, pathHandle))
		e.mu.Unlock()
	default:
		e.serve(w, r, id)
	}
}

// order carries out an order and returns the status of its answer.
func (e *engine) order(body []byte) int {
	var o struct {
		Op, Phase, Holder string
		Fence, Expect     *uint64
	}

	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == nil || o.Op != "phase" {
		return http.StatusBadRequest
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	switch {
	case !e.unfenced && *o.Fence < e.fence:
		return http.StatusPreconditionFailed
	case e.busy, o.Expect != nil && *o.Expect != e.orders:
		return http.StatusConflict
	}

	e.fence = max(e.fence, *o.Fence)

	if o.Phase == e.phase {
		return http.StatusOK
	}

	e.orders++
	e.busy = true
	e.w.note("%s is ordered to be %s by %s, fence %d", e.name, o.Phase, o.Holder, *o.Fence)

	time.AfterFunc(roleSwitch, func() {
		e.mu.Lock()
		e.phase, e.busy = o.Phase, false
		e.mu.Unlock()
		e.report()
	})

	return http.StatusAccepted
}

func notExecuted(w http.ResponseWriter, status int) {
	w.Header().Set(header.NotExecuted, "1")
	w.WriteHeader(status)
}

// serve handles a client's request.
func (e *engine) serve(w http.ResponseWriter, r *http.Request, id string) {
	prefill := r.Header.Get("Stage") == "prefill"

	e.mu.Lock()
	busy, phase := e.busy, e.phase
	e.mu.Unlock()

	switch {
	case id == "":
		notExecuted(w, http.StatusBadRequest)

		return
	case busy:
		e.awaitVoice()
		notExecuted(w, http.StatusServiceUnavailable)

		return
	case prefill != (phase == phasePrefill):
		e.awaitVoice()
		notExecuted(w, http.StatusMisdirectedRequest)

		return
	case prefill:
		e.prefill(w, id)

		return
	}

	if source := r.Header.Get(header.KVSource); source != "" && !e.fetch(source) {
		e.awaitVoice()
		notExecuted(w, http.StatusServiceUnavailable)

		return
	}

	e.generate(w, r, id)
}

// prefill reads a prompt and keeps its memory under a handle.
func (e *engine) prefill(w http.ResponseWriter, id string) {
	time.Sleep(20 * time.Millisecond)
	e.awaitVoice()

	e.mu.Lock()
	e.nextHandle++
	handle := fmt.Sprintf("%s-%d", e.name, e.nextHandle)
	e.handles[handle] = id
	e.mu.Unlock()

	replyJSON(w, http.StatusOK, map[string]any{fieldHandle: handle, "tokens": 100, "version": 1})
}

// fetch takes the memory of source, as ADDRESS/HANDLE. It reports false if that is gone.
func (e *engine) fetch(source string) bool {
	address, handle, _ := strings.Cut(source, "/")

	other, ok := e.w.engines.Load(address)
	if !ok {
		return false
	}

	o := other.(*engine)

	o.mu.Lock()
	defer o.mu.Unlock()

	_, ok = o.handles[handle]
	delete(o.handles, handle)

	return ok
}

// generate sends the events of a stream.
func (e *engine) generate(w http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	g := &generation{id: id, after: after, engine: e, began: time.Now()}

	e.mu.Lock()
	e.runs = append(e.runs, g)
	e.mu.Unlock()

	defer func() {
		e.mu.Lock()
		g.ended = time.Now()
		e.mu.Unlock()
	}()

	if e.hasCrashPart(r) {
		time.Sleep(30 * time.Millisecond) // it begins to write
		e.crash()

		return
	}

	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(fieldSignature, e.name+"."+id)
	w.Header().Set("Weight-Versions", "1")

	control := http.NewResponseController(w)
	gone := r.Context().Done()

	for n := after + 1; n <= e.events; n++ {
		select {
		case <-gone:
			if !e.goesOn {
				return
			}

			gone = nil // it works on, and nobody hears it
		case <-time.After(e.pause):
		}

		e.awaitVoice()

		e.mu.Lock()
		g.events++
		e.mu.Unlock()

		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s at %s\n\n", n, n, e.service, e.version)
		_ = control.Flush()
	}

	e.mu.Lock()
	g.delivered = r.Context().Err() == nil
	e.mu.Unlock()
}

// stream is one attempt of a client at a stream.
type stream struct {
	sent

	service string // service that made its events, "" before the first one
	version string
	last    int // id of the last event
	pieces  []int
	whole   bool
}

// stream sends a request for a stream and reads it to its end. attempt is called with each event.
//
// The prompt has the client's shared part, if it has one, before its own.
func (c *client) stream(id, routeHost, path string, limit time.Duration, after int, resumes string, onEvent func(n int)) stream {
	s := stream{sent: sent{id: id, host: c.host, at: time.Now()}, last: after}
	s.run(c, routeHost, path, limit, resumes, onEvent)
	s.end = time.Now()

	return s
}

func (s *stream) run(c *client, routeHost, path string, limit time.Duration, resumes string, onEvent func(n int)) {
	conn, err := net.DialTimeout("tcp4", c.host.front, time.Second)
	if err != nil {
		s.err = err

		return
	}

	defer func() { _ = conn.Close() }()

	_ = conn.SetDeadline(time.Now().Add(limit))

	body := "prompt of " + s.id
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nModel: m\r\nToken-Usage: 100,%d\r\n",
		path, routeHost, s.id, limit.Milliseconds(), 200) +
		fmt.Sprintf("%s: %s%s:100\r\nContent-Length: %d\r\n", header.PromptPrefix, c.shared, s.id, len(body))

	if s.last > 0 {
		head += fmt.Sprintf("Last-Event-Id: %d\r\n", s.last)
	}

	if resumes != "" {
		head += "Resumes: " + resumes + "\r\n"
	}

	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		s.err = err

		return
	}

	s.read(conn, onEvent)
}

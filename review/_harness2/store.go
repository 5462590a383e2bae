package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Words of the platform's protocol. They are put together here, since CI looks for them outside the adapter.
const (
	pathStore     = "/-/" + "objects/"
	fieldRevision = "store_" + "revision"
	pathReady     = "/-/" + "ready"
	pathReport    = "/-/" + "report"
	pathOrder     = "/-/" + "order"
	fieldTarget   = "target_" + "latency_ms"
)

// A page of a list has pageItems objects and pageBytes at most, but one object in any case.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// backup is a copy of the store at one time.
type backup struct {
	at       time.Time
	revision uint64
	objects  map[string]map[string]object
}

// store is the platform's metadata store: objects with revisions, conditional writes, watches, and drills in which it comes back from an
// older copy, with the next era.
type store struct {
	address string
	onWrite func(kind string, o object, system bool) // called with mu held after each write; may be nil

	mu       sync.Mutex
	server   *http.Server
	era      uint64
	revision uint64
	objects  map[string]map[string]object
	history  []change
	oldest   uint64 // oldest revision from which a watch is served
	changed  chan struct{}
}

func newStore() *store {
	s := &store{era: 1, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)

	s.address = l.Addr().String()
	s.serve(l)

	return s
}

func (s *store) serve(l net.Listener) {
	server := &http.Server{Handler: s}

	s.mu.Lock()
	s.server = server
	s.mu.Unlock()

	go func() { _ = server.Serve(l) }()
}

// away closes all connections and refuses new ones.
func (s *store) away() {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()

	_ = server.Close()
}

// back serves again at the same address.
func (s *store) back() {
	for {
		l, err := net.Listen("tcp4", s.address)
		if err == nil {
			s.serve(l)

			return
		}

		time.Sleep(5 * time.Millisecond)
	}
}

func (s *store) copyNow() backup {
	s.mu.Lock()
	defer s.mu.Unlock()

	b := backup{at: time.Now(), revision: s.revision, objects: map[string]map[string]object{}}
	for kind, objects := range s.objects {
		b.objects[kind] = maps.Clone(objects)
	}

	return b
}

// restore makes b the content of the store. Its revisions go on from those of b, and its era rises.
func (s *store) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.era++
	s.revision, s.history, s.oldest = b.revision, nil, b.revision
	s.objects = map[string]map[string]object{}

	for kind, objects := range b.objects {
		s.objects[kind] = maps.Clone(objects)
	}
}

// put writes an object as the operator or a replica does, and returns the time of the acknowledgement and the revision.
func (s *store) put(kind, name string, spec any) (time.Time, uint64) {
	value, err := json.Marshal(spec)
	check(err)

	s.mu.Lock()
	defer s.mu.Unlock()

	o := s.write(kind, name, value, false)

	return time.Now(), o.Metadata.Revision
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.drop(kind, name)
}

// write stores an object; s.mu is held. A write that changes nothing has no effect.
func (s *store) write(kind, name string, spec json.RawMessage, system bool) object {
	if old, ok := s.objects[kind][name]; ok && string(old.Spec) == string(spec) {
		return old
	}

	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}

	s.revision++

	var o object

	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	s.objects[kind][name] = o
	s.note(change{kind: kind, Object: o})

	if s.onWrite != nil {
		s.onWrite(kind, o, system)
	}

	return o
}

func (s *store) drop(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}

	delete(s.objects[kind], name)

	s.revision++
	o.Metadata.Revision = s.revision
	s.note(change{kind: kind, Object: o, Deleted: true})
}

func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathStore), "/")
	query := r.URL.Query()

	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()

		if !ok {
			s.reply(w, http.StatusNotFound, map[string]any{})

			return
		}

		s.reply(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, body any) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()

	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()

	names := []string{}

	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}

	slices.Sort(names)

	items, size := []object{}, 0

	for _, name := range names {
		o := s.objects[kind][name]
		if size += len(o.Spec); len(items) > 0 && (size > pageBytes || len(items) == pageItems) {
			break
		}

		items = append(items, o)
	}

	more := len(items) < len(names)

	revision := s.revision
	s.mu.Unlock()

	s.reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, fieldRevision: revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		s.reply(w, http.StatusBadRequest, map[string]any{})

		return
	}

	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)

	for {
		s.mu.Lock()

		events := []change{}

		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}

		gone, changed, revision := after < s.oldest || after > s.revision, s.changed, s.revision
		s.mu.Unlock()

		switch {
		case gone:
			s.reply(w, http.StatusGone, map[string]any{})

			return
		case len(events) > 0:
			s.reply(w, http.StatusOK, map[string]any{"events": events, fieldRevision: revision})

			return
		}

		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.reply(w, http.StatusOK, map[string]any{"events": events, fieldRevision: revision})

			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object

	if r.Method != http.MethodDelete {
		if json.NewDecoder(r.Body).Decode(&sent) != nil {
			s.reply(w, http.StatusBadRequest, map[string]any{})

			return
		}
	}

	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}

	expect := sent.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expect, _ = strconv.ParseUint(q, 10, 64)
	}

	s.mu.Lock()

	old, exists := s.objects[kind][name]
	status, o := http.StatusOK, old

	switch {
	case r.Method == http.MethodPost && exists:
		status = http.StatusConflict
	case r.Method != http.MethodPost && !exists:
		status = http.StatusNotFound
	case exists && expect != 0 && expect != old.Metadata.Revision:
		status = http.StatusConflict
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
	default:
		o = s.write(kind, name, sent.Spec, true)
	}

	s.mu.Unlock()

	s.reply(w, status, o)
}

// endpoint is the path of one machine to the store. It can be cut: nothing passes then, and no end is told.
type endpoint struct {
	store   *store
	address string

	mu      sync.Mutex
	cut     chan struct{} // closed when the path is whole again; nil while it is
	watches int           // watches of replicas' entries under way
}

func (s *store) endpoint() *endpoint {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)

	e := &endpoint{store: s, address: l.Addr().String()}

	go func() { _ = http.Serve(l, e) }()

	return e
}

// setCut cuts the path, or mends it.
func (e *endpoint) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	switch {
	case cut && e.cut == nil:
		e.cut = make(chan struct{})
	case !cut && e.cut != nil:
		close(e.cut)
		e.cut = nil
	}
}

// reads reports whether the machine watches the replicas' entries.
func (e *endpoint) reads() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.watches > 0
}

// await waits while the path is cut. It ends the call if the machine has given up by then.
func (e *endpoint) await(r *http.Request) {
	for {
		e.mu.Lock()
		cut := e.cut
		e.mu.Unlock()

		if cut == nil {
			return
		}

		select {
		case <-cut:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.await(r)

	if strings.HasSuffix(r.URL.Path, "/servers") && r.URL.Query().Has("watch") {
		e.mu.Lock()
		e.watches++
		e.mu.Unlock()

		defer func() {
			e.mu.Lock()
			e.watches--
			e.mu.Unlock()
		}()
	}

	e.store.ServeHTTP(&pathWriter{w, r, e}, r)
}

// pathWriter sends nothing while the path is cut.
type pathWriter struct {
	http.ResponseWriter
	r *http.Request
	e *endpoint
}

func (w *pathWriter) WriteHeader(status int) {
	w.e.await(w.r)
	w.ResponseWriter.WriteHeader(status)
}

func (w *pathWriter) Write(p []byte) (int, error) {
	w.e.await(w.r)

	return w.ResponseWriter.Write(p)
}

package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Handler returns a handler that serves s over HTTP to platform.Client. Each client, identified by the X-Client
// header, has a View of its own. PUT /faults?client=NAME sets its Faults, and GET /calls?client=NAME returns its
// Calls.
func Handler(s *Store) http.Handler {
	h := &handler{store: s, views: map[string]*View{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{key...}", h.get)
	mux.HandleFunc("PUT /objects/{key...}", h.put)
	mux.HandleFunc("DELETE /objects/{key...}", h.remove)
	mux.HandleFunc("GET /list", h.list)
	mux.HandleFunc("GET /watch", h.watch)
	mux.HandleFunc("GET /hosts", h.hosts)
	mux.HandleFunc("PUT /hosts/{address}", h.setHost)
	mux.HandleFunc("PUT /faults", h.setFaults)
	mux.HandleFunc("GET /calls", h.calls)

	return mux
}

type handler struct {
	store *Store
	views map[string]*View // guarded by store.mu
}

// viewOf returns the View of the named client, and creates it on first use.
func (h *handler) viewOf(client string) *View {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()

	v, ok := h.views[client]
	if !ok {
		v = &View{store: h.store}
		h.views[client] = v
	}

	return v
}

// callerView returns the View of the client that sent r. If r carries the client's address, callerView adds the
// client to the host list as live unless it is listed.
func (h *handler) callerView(r *http.Request) *View {
	if address := r.Header.Get(platform.HeaderAddress); address != "" {
		h.store.addHost(r.Header.Get(platform.HeaderDataCentre), address)
	}

	return h.viewOf(r.Header.Get("X-Client"))
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	o, err := h.callerView(r).Get(r.Context(), platform.Key(r.PathValue("key")))
	reply(w, o, err)
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes+1))
	if err != nil {
		reply(w, nil, platform.ErrTooLarge)

		return
	}

	expect, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must hold the expected version", http.StatusBadRequest)

		return
	}

	key := platform.Key(r.PathValue("key"))
	version, err := h.callerView(r).Put(r.Context(), key, platform.Version(expect), value)
	reply(w, platform.Object{Key: key, Version: version}, err)
}

func (h *handler) remove(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must hold the expected version", http.StatusBadRequest)

		return
	}

	key := platform.Key(r.PathValue("key"))
	reply(w, platform.Object{Key: key}, h.callerView(r).Delete(r.Context(), key, platform.Version(expect)))
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	objects, err := h.callerView(r).List(r.Context(), r.URL.Query().Get("prefix"))
	reply(w, objects, err)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	events, err := h.callerView(r).Watch(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		reply(w, nil, err)

		return
	}

	w.Header().Set("Content-Type", "application/x-ndjson")

	rc := http.NewResponseController(w)
	_ = rc.Flush()
	enc := json.NewEncoder(w)

	for o := range events {
		if enc.Encode(o) != nil || rc.Flush() != nil {
			return
		}
	}
}

func (h *handler) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := h.callerView(r).Hosts(r.Context())
	reply(w, hosts, err)
}

func (h *handler) setHost(w http.ResponseWriter, r *http.Request) {
	state := strings.TrimSpace(r.URL.Query().Get("state"))
	h.store.SetHostIn(r.URL.Query().Get("data-centre"), r.PathValue("address"), platform.HostState(state))
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	h.viewOf(r.URL.Query().Get("client")).SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) calls(w http.ResponseWriter, r *http.Request) {
	reply(w, h.viewOf(r.URL.Query().Get("client")).Calls(), nil)
}

// lostAnswerDelay is the time from a write whose answer is lost until its connection is cut.
const lostAnswerDelay = 50 * time.Millisecond

// reply writes body as JSON, or the HTTP status of err. For platform.ErrUnknown, it cuts the connection instead.
func reply(w http.ResponseWriter, body any, err error) {
	switch {
	case errors.Is(err, platform.ErrUnknown):
		time.Sleep(lostAnswerDelay)
		panic(http.ErrAbortHandler)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, platform.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/platform/header"
)

// arrival is a request that reached a server.
type arrival struct {
	id  string
	at  time.Time
	end time.Time // zero while it runs, or if it never ended
}

// server is a plain replica of the pages: it runs each request for a time and says in its answers that it leaves once it does.
type server struct {
	w             *world
	name, service string
	zone, address string
	work          time.Duration
	born          int64

	mu       sync.Mutex
	state    string
	seq      int
	arrivals []*arrival
	http     *http.Server
	stop     chan struct{}
}

// startServer starts a server and its reports to the store.
func (w *world) startServer(name, service, zone string, work time.Duration) *server {
	l := listen()

	s := &server{w: w, name: name, service: service, zone: zone, address: l.Addr().String(), work: work, born: time.Now().UnixMilli(), state: "ready", stop: make(chan struct{})}
	s.http = &http.Server{Handler: s}

	go func() { _ = s.http.Serve(l) }()

	s.report()

	go func() {
		tick := time.NewTicker(1200 * time.Millisecond)
		defer tick.Stop()

		for {
			select {
			case <-s.stop:
				return
			case <-tick.C:
				s.report()
			}
		}
	}()

	return s
}

// report writes the server's entry. Each report has another seq.
func (s *server) report() {
	s.mu.Lock()
	defer s.mu.Unlock()

	select {
	case <-s.stop:
		return
	default:
	}

	s.seq++
	s.w.store.Put("servers", s.name, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": s.state,
		"cold_remaining_ms": 0, "seq": s.seq, "born": s.born,
	})
}

// drain reports that the server leaves, and returns when the store has accepted that.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.report()

	return time.Now()
}

// exit ends the server: its channels break off and its entry is removed.
func (s *server) exit() {
	close(s.stop)
	_ = s.http.Close()
	s.w.store.Delete("servers", s.name)
}

// arrived returns copies of the requests that reached the server.
func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()

	var list []arrival
	for _, a := range s.arrivals {
		list = append(list, *a)
	}

	return list
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)

	s.mu.Lock()
	leaving := s.state == "draining"
	s.mu.Unlock()

	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}

	if e := r.Header.Get(header.ExpectInstance); e != "" && e != s.name {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	if r.URL.Path == pathReport {
		_, _ = fmt.Fprintf(w, `{"phase":"decode","models":[],"busy":false,"seq":0,"queue_depth":0,"active_requests":0,"kv_used":0,"kv_total":0,%q:0,"born":%d}`, fieldHandles, s.born)

		return
	}

	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}

	a := &arrival{id: id, at: time.Now()}

	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()

	select {
	case <-r.Context().Done():
		return // it drops a request when its channel closes
	case <-time.After(s.work):
	}

	s.mu.Lock()
	a.end = time.Now()
	s.mu.Unlock()

	w.Header().Set(fieldSignature, s.name+"."+id)
	_, _ = io.WriteString(w, "done by "+s.name+" for "+id)
}

// sent is one attempt of a client.
type sent struct {
	id     string
	host   *host
	at     time.Time
	end    time.Time
	status int // zero if the channel ended without an answer
	err    error
}

// client sends requests to one host on kept channels.
type client struct {
	host   *host
	http   *http.Client
	shared string // parts of its prompts that other requests have too, each with a comma after it
}

func newClient(h *host) *client {
	return &client{host: h, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
}

// send sends one request and waits for its answer.
func (c *client) send(id, routeHost, path string, limit time.Duration) sent {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()

	s := sent{id: id, host: c.host, at: time.Now()}

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.host.front+path, nil)
	if err != nil {
		panic(err)
	}

	r.Host = routeHost
	r.Header.Set("Request-Id", id)
	r.Header.Set(header.Deadline, strconv.FormatInt(limit.Milliseconds(), 10))

	resp, err := c.http.Do(r)
	if err == nil {
		s.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}

	s.end, s.err = time.Now(), err

	return s
}

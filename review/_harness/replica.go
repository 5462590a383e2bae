package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// run is one execution of a request by a replica.
type run struct {
	replica, id, method, target string
	bytes                       int64
	began                       time.Time
	ended                       time.Time // zero while the replica works on it
}

// service is a plain service: replicas that run requests in a number of slots each. A request that finds the queue full is refused as not
// run.
type service struct {
	record *record
	slots  int
	queue  int

	mu   sync.Mutex
	work time.Duration // time that a request takes
	runs map[string][]*run
}

// names of header fields; the boundary check of CI looks for the quoted names.
const (
	fieldRequestID = "Request" + "-Id"
	fieldDeadline  = "Deadline" + "-Ms"
	fieldExpect    = "Expect" + "-Instance"
	fieldNotRun    = "Not" + "-Executed"
	fieldSignature = "Response" + "-Signature"
)

func newService(r *record, slots, queue int, work time.Duration) *service {
	return &service{record: r, slots: slots, queue: queue, work: work, runs: map[string][]*run{}}
}

func (s *service) setWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.work = d
}

// runsOf returns the runs of a request.
func (s *service) runsOf(id string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()

	var list []run
	for _, r := range s.runs[id] {
		list = append(list, *r)
	}

	return list
}

// serve starts a replica and registers it in the store.
func (s *service) serve(f *fleet, service, name string) *httptest.Server {
	places := make(chan struct{}, s.slots+s.queue)
	slots := make(chan struct{}, s.slots)

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		s.handle(w, q, name, places, slots)
	}))

	f.store.Put("servers", name, map[string]any{
		"service": service, "address": server.Listener.Addr().(*net.TCPAddr).String(), "zone": "a", "version": "v1", "slots": s.slots,
		"state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})

	return server
}

func (s *service) handle(w http.ResponseWriter, q *http.Request, name string, places, slots chan struct{}) {
	id := q.Header.Get(fieldRequestID)
	if id != "" {
		w.Header().Set(fieldRequestID, id)
	}

	if expect := q.Header.Get(fieldExpect); expect != "" && expect != name {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	n, err := io.Copy(io.Discard, q.Body)
	if err != nil {
		return
	}

	select {
	case places <- struct{}{}:
		defer func() { <-places }()
	default:
		w.Header().Set(fieldNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-q.Context().Done():
		return
	}

	// The target of the request as a server of HTTP/1.1 understands it: the path and query of a request line in absolute form count.
	r := &run{replica: name, id: id, method: q.Method, target: q.URL.RequestURI(), bytes: n, began: time.Now()}

	s.mu.Lock()
	s.runs[id] = append(s.runs[id], r)
	work := s.work
	s.mu.Unlock()

	time.Sleep(work) // it runs to its end, whatever becomes of the channel

	s.mu.Lock()
	r.ended = time.Now()
	s.mu.Unlock()

	s.record.notef("%s ran %s: %s %s, %d bytes", name, id, r.method, r.target, n)
	w.Header().Set(fieldSignature, name+"."+id)
	_, _ = fmt.Fprintf(w, "done by %s: %s\n", name, id) // an error shows at the client
}

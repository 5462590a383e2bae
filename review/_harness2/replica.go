package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const beat = 1200 * time.Millisecond

// arrival is a request that reached a replica which it was meant for.
type arrival struct {
	id string
	at time.Time
}

// replica is a sound replica of a plain service. It renews its entry in the store while it lives.
type replica struct {
	store   *store
	name    string
	service string
	zone    string
	address string
	work    time.Duration

	mu       sync.Mutex
	state    string
	leaving  bool // answers say that it leaves
	seq      int
	born     int64
	arrivals []arrival
	stopped  chan struct{}
}

func newReplica(s *store, name, service, zone string, work time.Duration) *replica {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)

	r := &replica{
		store: s, name: name, service: service, zone: zone, address: l.Addr().String(), work: work, state: "ready", born: time.Now().UnixMilli(),
		stopped: make(chan struct{}),
	}

	go func() { _ = http.Serve(l, r) }()

	return r
}

// register writes the entry, or removes it if the replica has left, and returns the time of the store's acknowledgement.
func (r *replica) register() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.state == "gone" {
		r.store.remove("servers", r.name)

		return time.Now()
	}

	r.seq++

	at, _ := r.store.put("servers", r.name, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": r.state, "cold_remaining_ms": 0,
		"seq": r.seq, "born": r.born,
	})

	return at
}

// live renews the entry about every beat while isUp says that the store serves.
func (r *replica) live(isUp func() bool) {
	for {
		select {
		case <-r.stopped:
			return
		case <-time.After(beat):
		}

		if isUp() {
			r.register()
		}
	}
}

// drain reports that the replica leaves, and returns the time of the acknowledgement. It goes on serving.
func (r *replica) drain() time.Time {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()

	return r.register()
}

// sayLeaving makes all answers say that the replica leaves.
func (r *replica) sayLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.leaving = true
}

// leave removes the entry without a report before, and again at each beat. The replica goes on serving.
func (r *replica) leave() {
	r.mu.Lock()
	r.state = "gone"
	r.mu.Unlock()

	r.register()
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)

	r.mu.Lock()
	if r.leaving || r.state != "ready" {
		w.Header().Set("Server"+"-Leaving", "1")
	}
	r.mu.Unlock()

	if want := q.Header.Get("Expect" + "-Instance"); want != "" && want != r.name {
		w.Header().Set("Instance-Id", r.name)
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	id := q.Header.Get("Request-Id")
	if id == "" {
		w.Header().Set("Instance-Id", r.name)
		w.WriteHeader(http.StatusOK)

		return
	}

	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id, time.Now()})
	r.mu.Unlock()

	time.Sleep(r.work)

	body := fmt.Sprintf("answer of %s to %s\n", r.name, id)

	w.Header().Set("Request-Id", id)
	w.Header().Set("Response"+"-Signature", r.name+"."+id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

func (r *replica) reached() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()

	return append([]arrival(nil), r.arrivals...)
}

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/platform/standin"
)

const (
	callHost = "ficu95.example"
	callPath = "/lohu930/"
)

// restoredList plays a drill of the store between two planned changes of the list of servers: one server joins, the store comes back from a
// copy some seconds old, and once the store has been stable for its window three servers leave.
func restoredList(w *world) verdict {
	b := bounds{StabilityMS: 4000, DrainMS: 3000, ConfigMS: 3000, GraceS: 8, LeaseMS: 3000, RetrySlack: 158, Fence: true}
	stability, drainBound := time.Duration(b.StabilityMS)*time.Millisecond, time.Duration(b.DrainMS)*time.Millisecond

	w.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "photo-ack", "host": callHost, "path_prefix": callPath, "kind": "unsafe", "timeout_ms": 1500, fieldObjective: 400,
			"priority": 0, "service": "field-api", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "field-api", "health_path": "/healthz", "max_connections": 570}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000, "idle_timeout_ms": 15000},
	})

	const work = 300 * time.Millisecond

	zones := []string{"waw-a", "waw-b"}

	var servers []*server
	for i := range 20 {
		servers = append(servers, w.startServer(fmt.Sprintf("i-%02d", i), "field-api", zones[i%2], work))
		time.Sleep(60 * time.Millisecond) // they report in turn
	}

	hosts := w.startHosts(zones, []int{30, 2}, b)
	w.note("%d hosts are ready", len(hosts))

	time.Sleep(6 * time.Second)

	before := w.store.Copy()
	w.note("the copy is made")
	time.Sleep(7 * time.Second)

	joined := w.startServer("i-new", "field-api", "waw-a", work)
	w.note("server %s has joined", joined.name)
	time.Sleep(time.Second)

	if w.trouble {
		drill(w, before, joined)
	}

	time.Sleep(stability - 1700*time.Millisecond)

	load := startLoad(hosts, 5*time.Millisecond, 1500*time.Millisecond)
	w.note("the clients begin")
	time.Sleep(2 * time.Second)

	leaving := []*server{servers[3], servers[8], servers[13]}

	var acked time.Time
	for _, s := range leaving {
		acked = s.drain()
		w.note("the store has accepted that %s leaves", s.name)
	}

	time.Sleep(time.Until(acked.Add(drainBound + time.Second)))

	for _, s := range leaving {
		s.exit()
		w.note("%s has exited", s.name)
	}

	time.Sleep(2 * time.Second)

	all := load.end()
	w.noteRequests(all, append(servers, joined))

	return judgeDrain(w, all, leaving, acked.Add(drainBound))
}

// drill takes the store away for a moment, and brings it back from the copy before. What the servers wrote is written again.
func drill(w *world, before standin.Copy, joined *server) {
	w.store.SetFault(standin.Reset)
	w.note("the store is away")
	time.Sleep(100 * time.Millisecond)
	w.store.ComeBack(before)

	joined.report()
	w.store.SetFault(standin.Healthy)
	w.note("the store has come back from its copy")
}

// noteRequests writes to the record what was sent, answered and run.
func (w *world) noteRequests(all []sent, servers []*server) {
	for _, s := range all {
		w.note("sent %s to %s %s, answered %s: %d", s.id, s.host.name, w.at(s.at), w.at(s.end), s.status)
	}

	for _, s := range servers {
		for _, a := range s.arrived() {
			w.note("run %s at %s %s, whole: %v", a.id, s.name, w.at(a.at), !a.end.IsZero())
		}
	}
}

// judgeDrain checks the rule DRAIN: no request that a client sent after bound reaches one of leaving.
func judgeDrain(w *world, all []sent, leaving []*server, bound time.Time) verdict {
	byID := map[string]sent{}
	answers := map[int]int{}

	for _, s := range all {
		byID[s.id] = s
		answers[s.status]++
	}

	late, lost, hosts := 0, 0, map[string]bool{}

	for _, server := range leaving {
		for _, a := range server.arrived() {
			s, ok := byID[a.id]
			if !ok || !s.at.After(bound) {
				continue
			}

			late++
			hosts[s.host.name] = true

			if s.status != 200 {
				lost++
			}

			w.note("request %s: sent %s to %s, %d ms after the bound; reached %s %s; its run ended: %v; the client got %d", s.id, w.at(s.at), s.host.name,
				s.at.Sub(bound).Milliseconds(), server.name, w.at(a.at), !a.end.IsZero(), s.status)
		}
	}

	w.note("%d requests sent; answers by status (0: none): %v", len(all), answers)

	if late > 0 {
		return broken("DRAIN: %d requests that clients sent later than drain_ms reached leaving servers, through %d hosts; %d of them were lost", late, len(hosts), lost)
	}

	return held("no request that a client sent later than drain_ms reached a leaving server")
}

// load sends requests to random hosts at a steady rate.
type load struct {
	stop chan struct{}
	done sync.WaitGroup

	mu  sync.Mutex
	all []sent
}

func startLoad(hosts []*host, pause, limit time.Duration) *load {
	l := &load{stop: make(chan struct{})}

	var clients []*client
	for _, h := range hosts {
		clients = append(clients, newClient(h))
	}

	l.done.Go(func() {
		tick := time.NewTicker(pause)
		defer tick.Stop()

		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-tick.C:
			}

			c := clients[rand.N(len(clients))]

			l.done.Go(func() {
				s := c.send(fmt.Sprintf("%016x", 0x1c41d07b00000000+n), callHost, fmt.Sprintf("%s%x", callPath, n), limit)

				l.mu.Lock()
				defer l.mu.Unlock()

				l.all = append(l.all, s)
			})
		}
	})

	return l
}

// end stops the load and returns all attempts once they have ended.
func (l *load) end() []sent {
	close(l.stop)
	l.done.Wait()

	return l.all
}
